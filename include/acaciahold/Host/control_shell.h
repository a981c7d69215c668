// A control host: carries out what its replica of the log asks for, applies
// committed edits to the table, and answers for both over HTTP.

#ifndef ACACIAHOLD_HOST_CONTROL_SHELL_H_
#define ACACIAHOLD_HOST_CONTROL_SHELL_H_

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

// Applied entries between snapshots.
inline constexpr consensus::Index kEntriesPerSnapshot = 1'000;
inline constexpr std::chrono::milliseconds kControlTick{10};
// How long an edit may wait to be committed before its caller is told that the
// outcome is not known.
inline constexpr std::chrono::seconds kEditTimeout{5};

class ControlShell {
 public:
  using TableListener = std::function<void(const table::ServiceTable&)>;

  // Opens the data folder. Fails with SystemError or CorruptionError.
  static Result<std::unique_ptr<ControlShell>> Open(
      boost::asio::io_context& io,
      http::Client& client,
      const config::Settings& settings);

  // `listener` hears of each new table, under no lock of the shell.
  void Start(TableListener listener);

  // Answers requests below /v1/ that are for the control role; nothing where
  // the request is for another part of the host.
  boost::asio::awaitable<std::optional<http::Response>> Handle(
      const http::Request& request);

  table::ServiceTable CurrentTable() const;

 private:
  using WaitChannel = boost::asio::experimental::concurrent_channel<void(
      boost::system::error_code)>;

  // One proposed edit that waits for its entry.
  struct Waiter {
    consensus::Term term = 0;
    std::shared_ptr<WaitChannel> done;
    std::shared_ptr<std::optional<table::EditOutcome>> outcome;
  };

  struct Work;  // What is left to do after the lock is released.

  ControlShell(boost::asio::io_context& io,
               http::Client& client,
               const config::Settings& settings,
               storage::DataFolder folder);

  boost::asio::awaitable<void> Tick();

  // Carries out an output; to be called under the lock.
  void Process(consensus::Output output);
  void Apply(const consensus::LogEntry& entry);
  void CompactIfDue();
  void Send(consensus::Message message);
  void FailWaiters();
  void Publish();

  http::Response OnLogMessage(const http::Request& request);
  boost::asio::awaitable<http::Response> OnEdit(const http::Request& request);
  boost::asio::awaitable<http::Response> ProposeEdit(table::Edit edit);
  boost::asio::awaitable<http::Response> ForwardToLeader(
      const http::Request& request);
  boost::asio::awaitable<http::Response> OnMembers(
      const http::Request& request);
  http::Response OnEditQuery(std::string_view id) const;
  http::Response OnHistory(const http::Request& request) const;
  http::Response OnStatus() const;
  std::optional<Endpoint> LeaderEndpoint() const;

  boost::asio::io_context& io_;
  http::Client& client_;
  const config::Settings& settings_;
  mutable std::mutex mutex_;
  // Guarded by mutex_:
  storage::DataFolder folder_;
  consensus::Replica replica_;
  table::TableState state_;
  std::map<consensus::Index, Waiter> waiters_;
  bool has_failed_ = false;  // The disk can't be trusted any more.
  uint64_t published_revision_ = 0;

  TableListener listener_;
};

}  // namespace acaciahold::host

#endif  // ACACIAHOLD_HOST_CONTROL_SHELL_H_
