// The control role of a host: does the I/O for its replica of the replicated
// log, applies committed edits to the service table, and handles HTTP requests
// about both.

#ifndef ACACIAHOLD_HOST_CONTROL_SERVER_H_
#define ACACIAHOLD_HOST_CONTROL_SERVER_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "acaciahold/Config/settings.h"
#include "acaciahold/Consensus/replica.h"
#include "acaciahold/Http/client.h"
#include "acaciahold/Http/message.h"
#include "acaciahold/Storage/data_folder.h"
#include "acaciahold/Table/service_table.h"

namespace acaciahold::host {

// Number of applied log entries between two snapshots.
inline constexpr consensus::Index kEntriesPerSnapshot = 1'000;
inline constexpr std::chrono::milliseconds kControlTickInterval{10};
// If an edit is not committed within this time, its sender is told that the
// outcome is unknown.
inline constexpr std::chrono::seconds kEditTimeout{5};

class ControlServer {
 public:
  using TableListener = std::function<void(const table::ServiceTable&)>;

  // Opens the data folder and restores the replica and the table from it. Fails
  // with SystemError or CorruptionError, or with FieldError if the table in the
  // snapshot cannot be decoded.
  static Result<std::unique_ptr<ControlServer>> Open(
      boost::asio::io_context& io,
      http::Client& client,
      const config::Settings& settings);

  // Starts the replica and its timer. `listener` is called with newer tables,
  // without mutex_ held; revisions that follow each other quickly may be
  // combined into one call.
  void Start(TableListener listener);

  // Handles the requests below /v1/ that belong to the control role. Returns
  // nullopt for any other request.
  boost::asio::awaitable<std::optional<http::Response>> Handle(
      const http::Request& request);

  table::ServiceTable CurrentTable() const;

 private:
  using CompletionChannel = boost::asio::experimental::concurrent_channel<void(
      boost::system::error_code)>;

  // An edit that was proposed to the log and whose entry is not yet applied.
  // `done` is signaled when the wait is over. `outcome` is then empty, and the
  // sender is told that the outcome is unknown, if the wait was abandoned or
  // the entry at the index has another term.
  struct PendingEdit {
    consensus::Term term = 0;
    std::shared_ptr<CompletionChannel> done;
    std::shared_ptr<std::optional<table::EditOutcome>> outcome;
  };

  ControlServer(boost::asio::io_context& io,
                http::Client& client,
                const config::Settings& settings,
                storage::DataFolder folder);

  boost::asio::awaitable<void> Tick();

  // Stores the replica's state, sends its messages and applies its committed
  // entries, in this order: a message may acknowledge only what has been
  // stored. Requires mutex_.
  void HandleOutput(consensus::Output output);
  void ApplyEntry(const consensus::LogEntry& entry);
  // Takes a snapshot after every kEntriesPerSnapshot applied entries.
  void CompactLogIfDue();
  void SendMessage(consensus::Message message);
  // Abandons the wait for all pending edits.
  void FailPendingEdits();
  void PublishTable();

  http::Response OnLogMessage(const http::Request& request);
  boost::asio::awaitable<http::Response> OnEdit(const http::Request& request);
  boost::asio::awaitable<http::Response> ProposeEdit(table::Edit edit);
  boost::asio::awaitable<http::Response> ForwardToLeader(
      const http::Request& request);
  boost::asio::awaitable<http::Response> OnChangeMembers(
      const http::Request& request);
  http::Response OnGetEdit(std::string_view id) const;
  http::Response OnHistory(const http::Request& request) const;
  http::Response OnStatus() const;
  std::optional<Endpoint> LeaderEndpoint() const;

  boost::asio::io_context& io_;
  http::Client& client_;
  const config::Settings& settings_;
  mutable std::mutex mutex_;
  // mutex_ guards the members from here to published_revision_.
  storage::DataFolder folder_;
  consensus::Replica replica_;
  table::TableState state_;
  std::map<consensus::Index, PendingEdit> pending_edits_;
  // Whether this replica led after the last output. The core changes its role
  // before the output is handled.
  bool was_leader_ = false;
  // Set when a write to the data folder fails, and never reset. The replica
  // then handles no more messages, timers or edits, because the data on disk
  // can no longer be relied on.
  bool has_failed_ = false;
  // Revision of the last table passed to listener_.
  uint64_t published_revision_ = 0;

  TableListener listener_;
};

}  // namespace acaciahold::host

#endif  // ACACIAHOLD_HOST_CONTROL_SERVER_H_
