// Requests of callers over HTTP: to the owner of their idempotency key, to a
// host that coordinates an upstream with a free slot, to the upstream, and the
// whole answer back.

#ifndef ACACIAHOLD_HOST_REQUEST_SHELL_H_
#define ACACIAHOLD_HOST_REQUEST_SHELL_H_

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/experimental/concurrent_channel.hpp>
#include <boost/asio/io_context.hpp>
#include <opentracing/tracer.h>

#include "acaciahold/Entry/entry.h"
#include "acaciahold/Http/client.h"
#include "acaciahold/Http/message.h"
#include "acaciahold/Observe/history.h"
#include "acaciahold/Request/dispatcher.h"
#include "acaciahold/Request/key_table.h"
#include "acaciahold/Request/request.h"
#include "acaciahold/Request/routes.h"

namespace acaciahold::host {

inline constexpr std::chrono::seconds kDefaultRequestTime{10};
// How long a request may wait for a slot at one host.
inline constexpr std::chrono::milliseconds kMaxQueueTime{250};
// An upstream whose connection was closed has ended the request by then.
inline constexpr std::chrono::milliseconds kCancelGrace{250};
// An upstream that refused is not tried again for so long.
inline constexpr std::chrono::milliseconds kShedPause{100};
inline constexpr std::chrono::milliseconds kKeyStoreTimeout{500};

// How a request ended, as its caller is told.
struct CallOutcome {
  request::State state = request::State::kUnknown;
  request::Refusal refusal = request::Refusal::kNone;
  http::Response answer;  // For kAnswered.
};

struct RequestCounters {
  std::atomic<uint64_t> answered{0};
  std::atomic<uint64_t> unknown{0};
  std::atomic<uint64_t> replayed{0};
  std::atomic<uint64_t> attempts{0};
  std::atomic<uint64_t> retries{0};
  std::array<std::atomic<uint64_t>, 8> refused{};  // By request::Refusal.
};

class RequestShell {
 public:
  RequestShell(boost::asio::io_context& io,
               http::Client& client,
               entry::Entry& entry,
               uint64_t max_open_requests,
               std::shared_ptr<opentracing::Tracer> tracer,
               observe::History* history);

  void Start();

  // From now on new requests are refused; open ones go on.
  void BeginShutdown() { is_shutting_down_ = true; }
  uint64_t open_requests() const { return open_; }

  // A caller's request.
  boost::asio::awaitable<http::Response> HandleCaller(http::Request request);

  // Requests below /v1/relay/ from other entry hosts; nothing for others.
  boost::asio::awaitable<std::optional<http::Response>> HandleRelay(
      const http::Request& request);

  const RequestCounters& counters() const { return counters_; }

 private:
  using Signal = boost::asio::experimental::concurrent_channel<void(
      boost::system::error_code)>;
  using RoutesPtr = std::shared_ptr<const request::RequestRoutes>;

  // A caller's request with what follows from its headers.
  struct Call {
    std::string service;
    std::string key;  // Empty for none.
    uint64_t request_hash = 0;
    Instant deadline;
    http::Request request;
    std::string id;     // For attempts, traces and histories.
    std::string trace;  // Context of the span that this hop belongs to.
  };

  // A running keyed request that any number of callers wait for.
  struct Run;
  // A taken slot, given back when it goes.
  class SlotHold;
  friend class SlotHold;

  Call MakeCall(http::Request request, std::string service) const;
  RoutesPtr Routes();

  boost::asio::awaitable<CallOutcome> Route(Call call);
  CallOutcome AnswerFromRecord(const Call& call);
  boost::asio::awaitable<CallOutcome> RunAsKeyOwner(
      Call call,
      std::vector<request::KeyHost> hosts);
  boost::asio::awaitable<void> RunKeyed(Call call,
                                        std::vector<request::KeyHost> hosts,
                                        std::shared_ptr<Run> run);
  boost::asio::awaitable<CallOutcome> AwaitRun(std::shared_ptr<Run> run,
                                               Instant deadline);
  boost::asio::awaitable<bool> StoreAtBackup(
      const Call& call,
      const std::vector<request::KeyHost>& hosts);
  void TellBackup(const Call& call,
                  const std::vector<request::KeyHost>& hosts,
                  const CallOutcome& outcome);

  // Attempts until the request is in a final state.
  boost::asio::awaitable<CallOutcome> Execute(const Call& call);
  boost::asio::awaitable<std::pair<request::AttemptResult, http::Response>>
  AttemptAt(const request::RouteChoice& choice,
            const Call& call,
            uint32_t attempt);

  // One attempt at an upstream that this host coordinates.
  boost::asio::awaitable<std::pair<request::AttemptResult, http::Response>>
  DispatchHere(const Call& call, uint32_t attempt);
  boost::asio::awaitable<std::optional<upstream::UpstreamId>> WaitForSlot(
      const std::string& service,
      Instant deadline);
  boost::asio::awaitable<std::pair<request::AttemptResult, http::Response>>
  SendUpstream(const Call& call,
               const request::LocalTarget& target,
               uint32_t attempt);

  void ReturnSlot(const std::string& service, upstream::UpstreamId upstream);
  void ReturnSlotLater(std::string service, upstream::UpstreamId upstream);
  void Judge(const request::LocalTarget& target, request::AttemptResult end);
  request::DispatchLoad Load(const std::string& service);
  void GrantWaiters(const std::string& service);
  std::vector<request::SlotCandidate> Candidates(
      const request::ServiceRoutes& service,
      Instant now);
  boost::asio::awaitable<void> Tick();

  http::Response ToCaller(const CallOutcome& outcome);
  http::Request ToRelay(const Call& call, std::string_view path) const;
  http::Request ToKeyMessage(std::string_view path, const Call& call) const;
  static Call FromRelay(const http::Request& request);
  boost::asio::awaitable<http::Response> OnDispatch(
      const http::Request& request);
  boost::asio::awaitable<http::Response> OnKeyed(const http::Request& request);
  http::Response OnKeyStore(const http::Request& request);
  http::Response OnKeyFinish(const http::Request& request);

  boost::asio::io_context& io_;
  http::Client& client_;
  entry::Entry& entry_;
  const uint64_t max_open_;
  std::shared_ptr<opentracing::Tracer> tracer_;
  observe::History* history_;  // May be null.
  std::atomic<uint64_t> open_{0};
  std::atomic<uint64_t> next_id_{1};
  std::atomic<bool> is_shutting_down_{false};
  RequestCounters counters_;

  std::mutex mutex_;
  // Guarded by mutex_:
  RoutesPtr routes_;
  request::Dispatcher dispatcher_;
  request::LoadTable loads_;
  request::RetryBudget budget_;
  std::mt19937_64 random_;
  std::map<request::WaiterId,
           std::pair<std::shared_ptr<Signal>, upstream::UpstreamId>>
      waiters_;
  std::map<upstream::Key, Instant> paused_until_;

  std::mutex key_mutex_;
  // Guarded by key_mutex_:
  request::KeyTable keys_;
  std::map<std::string, std::shared_ptr<Run>> runs_;
};

}  // namespace acaciahold::host

#endif  // ACACIAHOLD_HOST_REQUEST_SHELL_H_
