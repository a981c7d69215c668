// HTTP proxy for the requests of callers. A request with an idempotency key
// first goes to the host that owns the key. Each attempt goes to a host that
// coordinates upstreams of the service, waits there for a free slot and is sent
// to the upstream. The complete response is returned to the caller.

#ifndef ACACIAHOLD_HOST_REQUEST_PROXY_H_
#define ACACIAHOLD_HOST_REQUEST_PROXY_H_

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

// Timeout of requests without a deadline header.
inline constexpr std::chrono::seconds kDefaultRequestTimeout{10};
// Maximum time that an attempt waits for a slot at one host.
inline constexpr std::chrono::milliseconds kMaxQueueTime{250};
// A slot whose attempt ended without a response is released after this delay,
// by which an upstream has noticed the closed connection and ended the request.
inline constexpr std::chrono::milliseconds kSlotReleaseDelay{250};
// An upstream gets no new request from this host for this long after an attempt
// at it was shed, could not be sent or got no response.
inline constexpr std::chrono::milliseconds kUpstreamBackoff{100};
// Timeout for storing a key's record, or the outcome, at one other host.
inline constexpr std::chrono::milliseconds kKeyBackupTimeout{500};

// Outcome of a request as reported to its caller.
struct CallOutcome {
  request::State state = request::State::kUnknown;
  request::Refusal refusal = request::Refusal::kNone;
  http::Response answer;  // Set for kAnswered only.
};

// Counters for metrics.
struct RequestCounters {
  std::atomic<uint64_t> answered{0};
  std::atomic<uint64_t> unknown{0};
  std::atomic<uint64_t> replayed{0};  // Stored responses sent to resends.
  std::atomic<uint64_t> attempts{0};
  std::atomic<uint64_t> retries{0};  // Attempts other than the first.
  std::array<std::atomic<uint64_t>, 8> refused{};  // By request::Refusal.
};

class RequestProxy {
 public:
  RequestProxy(boost::asio::io_context& io,
               http::Client& client,
               entry::Entry& entry,
               uint64_t max_open_requests,
               std::shared_ptr<opentracing::Tracer> tracer,
               observe::History* history);

  void Start();

  // Refuses new requests from now on. Open requests continue.
  void BeginShutdown() { is_shutting_down_ = true; }
  uint64_t open_requests() const { return open_requests_; }

  // Handles a request of a caller.
  boost::asio::awaitable<http::Response> HandleCaller(http::Request request);

  // Handles the requests below /v1/relay/, which other entry hosts send.
  // Returns nullopt for any other request.
  boost::asio::awaitable<std::optional<http::Response>> HandleRelay(
      const http::Request& request);

  const RequestCounters& counters() const { return counters_; }

 private:
  // Wakes up one waiting coroutine.
  using Signal = boost::asio::experimental::concurrent_channel<void(
      boost::system::error_code)>;
  using RoutesPtr = std::shared_ptr<const request::RequestRoutes>;

  // A caller's request and the values parsed from its headers.
  struct Call {
    std::string service;
    std::string key;  // Idempotency key; empty if the caller sent none.
    uint64_t request_hash = 0;
    Instant deadline;
    http::Request request;
    std::string id;     // Used in attempt ids, traces and the history file.
    std::string trace;  // Encoded context of the parent span on this host.
  };

  // A request with an idempotency key that this host is executing. Any number
  // of callers may wait for its outcome.
  struct InFlightRequest;
  // Owns a granted slot and returns it on destruction.
  class SlotGuard;
  friend class SlotGuard;

  Call MakeCall(http::Request request, std::string service) const;
  // Returns the current routes, refreshed if the plan has changed, or null
  // before the first plan.
  RoutesPtr Routes();

  // Executes a call without a key on this host. Sends a call with a key to the
  // owner of the key, or to the next host in rank if that fails.
  boost::asio::awaitable<CallOutcome> RouteCall(Call call);
  // Returns the stored response for the key without executing the request, or
  // an unknown outcome if there is none. Used when the request may already have
  // been executed on another host.
  CallOutcome LookUpOutcome(const Call& call);
  // Handles a call whose key this host owns: replays the stored response, waits
  // for the execution in progress, or starts one.
  boost::asio::awaitable<CallOutcome> HandleAsKeyOwner(
      Call call,
      std::vector<request::KeyHost> hosts);
  // Executes the request, records its outcome here and at the backup, and wakes
  // up the waiting callers.
  boost::asio::awaitable<void> ExecuteKeyed(
      Call call,
      std::vector<request::KeyHost> hosts,
      std::shared_ptr<InFlightRequest> in_flight);
  boost::asio::awaitable<CallOutcome> AwaitOutcome(
      std::shared_ptr<InFlightRequest> in_flight,
      Instant deadline);
  // Stores the key's record at the first other host in rank that accepts it.
  // Returns false if there are other hosts and none accepted it.
  boost::asio::awaitable<bool> StoreAtBackup(
      const Call& call,
      const std::vector<request::KeyHost>& hosts);
  // Sends the outcome to the first other host in rank; does not wait for it.
  void SendOutcomeToBackup(const Call& call,
                           const std::vector<request::KeyHost>& hosts,
                           const CallOutcome& outcome);

  // Makes attempts until the request reaches a final state.
  boost::asio::awaitable<CallOutcome> Execute(const Call& call);
  // Makes one attempt on this host, or relays it to the chosen host.
  boost::asio::awaitable<std::pair<request::AttemptResult, http::Response>>
  RunAttempt(const request::RouteChoice& choice,
             const Call& call,
             uint32_t attempt);

  // Makes one attempt at an upstream that this host coordinates.
  boost::asio::awaitable<std::pair<request::AttemptResult, http::Response>>
  DispatchLocally(const Call& call, uint32_t attempt);
  // Returns the upstream whose slot was granted, or nullopt if the queue is
  // full or no slot became free in time.
  boost::asio::awaitable<std::optional<upstream::UpstreamId>> WaitForSlot(
      const std::string& service,
      Instant deadline);
  // Sends the request to the upstream; the slot must have been granted.
  boost::asio::awaitable<std::pair<request::AttemptResult, http::Response>>
  SendUpstream(const Call& call,
               const request::LocalTarget& target,
               uint32_t attempt);

  void ReturnSlot(const std::string& service, upstream::UpstreamId upstream);
  void ReturnSlotAfterDelay(std::string service, upstream::UpstreamId upstream);
  // Reports the result to the upstream registry, and starts the backoff for the
  // upstream unless it answered.
  void RecordAttemptResult(const request::LocalTarget& target,
                           request::AttemptResult end);
  // Returns the load of the service at this host.
  request::DispatchLoad LocalLoad(const std::string& service);
  // Grants free slots to queued attempts and wakes them up.
  void GrantWaiters(const std::string& service);
  // Returns the local upstreams of the service that are not in backoff.
  // Requires mutex_.
  std::vector<request::SlotCandidate> AvailableCandidates(
      const request::ServiceRoutes& service,
      Instant now);
  // Grants slots periodically, because slot limits can rise without an event.
  boost::asio::awaitable<void> Tick();

  http::Response MakeCallerResponse(const CallOutcome& outcome);
  http::Request MakeRelayRequest(const Call& call, std::string_view path) const;
  http::Request MakeKeyMessage(std::string_view path, const Call& call) const;
  static Call ParseRelayRequest(const http::Request& request);
  boost::asio::awaitable<http::Response> OnDispatch(
      const http::Request& request);
  boost::asio::awaitable<http::Response> OnKeyed(const http::Request& request);
  http::Response OnKeyStore(const http::Request& request);
  http::Response OnKeyFinish(const http::Request& request);

  boost::asio::io_context& io_;
  http::Client& client_;
  entry::Entry& entry_;
  const uint64_t max_open_requests_;
  std::shared_ptr<opentracing::Tracer> tracer_;
  observe::History* history_;  // Null if no history file is configured.
  std::atomic<uint64_t> open_requests_{0};
  std::atomic<uint64_t> next_id_{1};
  std::atomic<bool> is_shutting_down_{false};
  RequestCounters counters_;

  std::mutex mutex_;
  // mutex_ guards the members from here to backoff_until_.
  RoutesPtr routes_;
  request::Dispatcher dispatcher_;
  request::LoadTable remote_loads_;
  request::RetryBudget retry_budget_;
  std::mt19937_64 random_;
  // For each queued attempt, its signal and the upstream whose slot was granted
  // to it, 0 before that.
  std::map<request::WaiterId,
           std::pair<std::shared_ptr<Signal>, upstream::UpstreamId>>
      waiters_;
  std::map<upstream::Key, Instant> backoff_until_;

  std::mutex key_mutex_;
  // key_mutex_ guards the members from here on.
  request::KeyTable key_table_;
  std::map<std::string, std::shared_ptr<InFlightRequest>> in_flight_requests_;
};

}  // namespace acaciahold::host

#endif  // ACACIAHOLD_HOST_REQUEST_PROXY_H_
