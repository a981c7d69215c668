// The entry role of a host: sockets and timers for entry::Entry, which itself
// does no I/O, and the HTTP requests to other hosts that it asks for.

#ifndef ACACIAHOLD_HOST_ENTRY_SERVER_H_
#define ACACIAHOLD_HOST_ENTRY_SERVER_H_

#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <opentracing/tracer.h>

#include "acaciahold/Config/settings.h"
#include "acaciahold/Entry/entry.h"
#include "acaciahold/Host/udp.h"
#include "acaciahold/Http/client.h"
#include "acaciahold/Http/message.h"

namespace acaciahold::host {

inline constexpr std::chrono::milliseconds kEntryTickInterval{4};
// Interval at which an entry host asks a control host, chosen at random, for a
// newer table. Entry hosts also learn of newer revisions from each other's
// probes.
inline constexpr std::chrono::seconds kTablePollInterval{2};
inline constexpr std::chrono::seconds kPeerFetchTimeout{2};

class EntryServer {
 public:
  // Binds the packet sockets and the peer socket. Fails with SystemError.
  static Result<std::unique_ptr<EntryServer>> Open(
      boost::asio::io_context& io,
      http::Client& client,
      const config::Settings& settings,
      std::shared_ptr<opentracing::Tracer> tracer);

  // Starts receiving datagrams, the timer and the polling for tables.
  void Start();

  // Tells the other entry hosts that this host is leaving. Packets are still
  // handled.
  void Leave();
  // Closes the sockets.
  void Stop();

  entry::Entry& entry() { return *entry_; }

  // Applies `table` if its revision is newer than the current one.
  void OnTable(const table::ServiceTable& table);

  // Handles the requests below /v1/ that belong to the entry role. Returns
  // nullopt for any other request.
  std::optional<http::Response> Handle(const http::Request& request);

 private:
  EntryServer(boost::asio::io_context& io,
              http::Client& client,
              const config::Settings& settings);

  boost::asio::awaitable<void> Tick();
  boost::asio::awaitable<void> PollTable();
  boost::asio::awaitable<void> FetchTable(Endpoint from);
  boost::asio::awaitable<void> FetchRegistry(Endpoint from);
  boost::asio::awaitable<void> FetchHandoff(entry::Actions::HandoffPull pull);

  // Sends the datagrams and starts the HTTP requests listed in `actions`.
  void ExecuteActions(entry::Actions actions);

  http::Response OnAnnounce(const http::Request& request);
  http::Response OnHandoffRequest(std::string_view target);
  http::Response OnStatus();

  boost::asio::io_context& io_;
  http::Client& client_;
  const config::Settings& settings_;
  std::shared_ptr<opentracing::Tracer> tracer_;
  std::unique_ptr<entry::Entry> entry_;
  // One per thread, all bound to the same endpoint with SO_REUSEPORT.
  std::vector<std::shared_ptr<UdpSocket>> packet_sockets_;
  std::shared_ptr<UdpSocket> peer_socket_;
  std::atomic<bool> is_fetching_table_{false};
};

}  // namespace acaciahold::host

#endif  // ACACIAHOLD_HOST_ENTRY_SERVER_H_
