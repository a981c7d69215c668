// An entry host: sockets and timers around the entry core, and the HTTP
// exchanges with peers that the core asks for.

#ifndef ACACIAHOLD_HOST_ENTRY_SHELL_H_
#define ACACIAHOLD_HOST_ENTRY_SHELL_H_

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

inline constexpr std::chrono::milliseconds kEntryTick{4};
// How often an entry host asks some control host for a newer table; between
// entry hosts the news travels with the probes.
inline constexpr std::chrono::seconds kTablePollInterval{2};
inline constexpr std::chrono::seconds kPullTimeout{2};

class EntryShell {
 public:
  // Binds the sockets. Fails with SystemError.
  static Result<std::unique_ptr<EntryShell>> Open(
      boost::asio::io_context& io,
      http::Client& client,
      const config::Settings& settings,
      std::shared_ptr<opentracing::Tracer> tracer);

  void Start();

  // Tells peers that this host leaves; packets are still served.
  void Leave();
  void Stop();

  entry::Entry& entry() { return *entry_; }

  // Takes a table if it is newer.
  void OnTable(const table::ServiceTable& table);

  // Answers requests below /v1/ that are for the entry role.
  std::optional<http::Response> Handle(const http::Request& request);

 private:
  EntryShell(boost::asio::io_context& io,
             http::Client& client,
             const config::Settings& settings);

  boost::asio::awaitable<void> Tick();
  boost::asio::awaitable<void> PollTable();
  boost::asio::awaitable<void> PullTable(Endpoint from);
  boost::asio::awaitable<void> PullRegistry(Endpoint from);
  boost::asio::awaitable<void> PullHandoff(entry::Actions::HandoffPull pull);

  // Carries out what the core asked for.
  void Perform(entry::Actions actions);

  http::Response OnAnnounce(const http::Request& request);
  http::Response OnHandoffRequest(std::string_view target);
  http::Response OnStatus();

  boost::asio::io_context& io_;
  http::Client& client_;
  const config::Settings& settings_;
  std::shared_ptr<opentracing::Tracer> tracer_;
  std::unique_ptr<entry::Entry> entry_;
  // One for each thread, at the same endpoint.
  std::vector<std::shared_ptr<UdpSocket>> packet_sockets_;
  std::shared_ptr<UdpSocket> peer_socket_;
  std::atomic<bool> is_pulling_table_{false};
};

}  // namespace acaciahold::host

#endif  // ACACIAHOLD_HOST_ENTRY_SHELL_H_
