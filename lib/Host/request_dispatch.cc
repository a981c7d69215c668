// Attempts at upstreams that this host coordinates: waiting for a slot, sending
// the request and releasing the slot.

#include <algorithm>
#include <exception>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "acaciahold/Observe/tracing.h"
#include "request_run.h"

namespace acaciahold::host {

namespace asio = boost::asio;
using http::FetchOutcome;
using http::Response;
using http::Status;
using request::AttemptResult;
using upstream::UpstreamId;

namespace {

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);

// Whether the upstream refused the request without running it. Upstreams signal
// this with a 503 response that has a Retry-After header.
bool IsShed(const Response& answer) {
  return answer.result() == Status::service_unavailable &&
         answer.find(http::Field::retry_after) != answer.end();
}

const request::LocalTarget* FindLocalTarget(
    const request::ServiceRoutes& service,
    UpstreamId id) {
  for (const auto& target : service.local) {
    if (target.key.id == id) {
      return &target;
    }
  }
  return nullptr;
}

}  // namespace

// Releases the slot on destruction, by default after kSlotReleaseDelay because
// the upstream may still be running the request.
class RequestProxy::SlotGuard {
 public:
  SlotGuard(RequestProxy& proxy, std::string service, UpstreamId upstream)
      : proxy_(proxy), service_(std::move(service)), upstream_(upstream) {}
  SlotGuard(const SlotGuard&) = delete;
  SlotGuard& operator=(const SlotGuard&) = delete;
  ~SlotGuard() {
    if (releases_without_delay_) {
      proxy_.ReturnSlot(service_, upstream_);
    } else {
      proxy_.ReturnSlotAfterDelay(service_, upstream_);
    }
  }

  // Makes the destructor release the slot at once. Call this when the upstream
  // is known not to be running the request.
  void ReleaseWithoutDelay() { releases_without_delay_ = true; }

 private:
  RequestProxy& proxy_;
  std::string service_;
  UpstreamId upstream_;
  bool releases_without_delay_ = false;
};

void RequestProxy::ReturnSlot(const std::string& service, UpstreamId upstream) {
  {
    std::lock_guard lock(mutex_);
    request::ReleaseSlot(dispatcher_, service, upstream);
  }
  GrantWaiters(service);
}

void RequestProxy::ReturnSlotAfterDelay(std::string service,
                                        UpstreamId upstream) {
  auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(kSlotReleaseDelay);
  timer->async_wait(
      [this, timer, service = std::move(service),
       upstream](boost::system::error_code) { ReturnSlot(service, upstream); });
}

std::vector<request::SlotCandidate> RequestProxy::AvailableCandidates(
    const request::ServiceRoutes& service,
    Instant now) {
  std::vector<request::SlotCandidate> candidates;
  for (const auto& target : service.local) {
    auto it = backoff_until_.find(target.key);
    if (it == backoff_until_.end() || now >= it->second) {
      candidates.push_back({target.key.id, target.limit});
    }
  }
  return candidates;
}

void RequestProxy::GrantWaiters(const std::string& service) {
  auto routes = Routes();
  auto it = routes->services.find(service);
  if (it == routes->services.end()) {
    return;
  }
  std::lock_guard lock(mutex_);
  Instant now = ReadClock();
  for (const auto& grant : request::GrantWaiters(
           dispatcher_, service, AvailableCandidates(it->second, now), now)) {
    auto& waiter = waiters_.at(grant.waiter);
    waiter.second = grant.upstream;
    waiter.first->try_send(boost::system::error_code());
  }
}

request::DispatchLoad RequestProxy::LocalLoad(const std::string& service) {
  auto routes = Routes();
  auto it = routes->services.find(service);
  if (it == routes->services.end()) {
    return {};
  }
  std::lock_guard lock(mutex_);
  return request::ComputeLoad(
      dispatcher_, service, request::LocalCandidates(it->second), ReadClock());
}

asio::awaitable<std::optional<UpstreamId>> RequestProxy::WaitForSlot(
    const std::string& service,
    Instant deadline) {
  using asio::experimental::awaitable_operators::operator||;
  auto executor = co_await asio::this_coro::executor;
  auto routes = Routes();
  auto it = routes->services.find(service);
  if (it == routes->services.end()) {
    co_return std::nullopt;
  }
  auto signal = std::make_shared<Signal>(executor, 1);
  request::WaiterId id = 0;
  {
    std::lock_guard lock(mutex_);
    Instant now = ReadClock();
    auto admission = request::Admit(dispatcher_, service,
                                    AvailableCandidates(it->second, now), now);
    if (const auto* granted = std::get_if<request::Granted>(&admission)) {
      co_return granted->upstream;
    }
    const auto* queued = std::get_if<request::Queued>(&admission);
    if (!queued) {
      co_return std::nullopt;
    }
    id = queued->waiter;
    waiters_[id] = {signal, 0};
  }
  std::exception_ptr canceled;
  try {
    asio::steady_timer timer(executor);
    timer.expires_after(std::min<Duration>(
        kMaxQueueTime, std::max(Duration::zero(), deadline - ReadClock())));
    co_await (signal->async_receive(kToken) || timer.async_wait(kToken));
  } catch (const std::exception&) {
    canceled = std::current_exception();
  }
  UpstreamId granted = 0;
  {
    std::lock_guard lock(mutex_);
    granted = waiters_.at(id).second;
    waiters_.erase(id);
    if (granted == 0) {
      request::RemoveWaiter(dispatcher_, service, id);
    }
  }
  if (canceled) {
    if (granted != 0) {
      ReturnSlot(service, granted);
    }
    std::rethrow_exception(canceled);
  }
  if (granted == 0) {
    co_return std::nullopt;
  }
  co_return granted;
}

asio::awaitable<std::pair<AttemptResult, Response>>
RequestProxy::DispatchLocally(const Call& call, uint32_t attempt) {
  auto upstream = co_await WaitForSlot(call.service, call.deadline);
  if (!upstream) {
    co_return std::pair(AttemptResult::kShed, Response());
  }
  SlotGuard slot(*this, call.service, *upstream);
  auto routes = Routes();
  auto it = routes->services.find(call.service);
  const auto* target = it == routes->services.end()
                           ? nullptr
                           : FindLocalTarget(it->second, *upstream);
  if (!target || ReadClock() >= call.deadline) {
    slot.ReleaseWithoutDelay();
    co_return std::pair(AttemptResult::kShed, Response());
  }
  auto result = co_await SendUpstream(call, *target, attempt);
  if (result.first != AttemptResult::kNoAnswer) {
    slot.ReleaseWithoutDelay();
  }
  RecordAttemptResult(*target, result.first);
  co_return result;
}

void RequestProxy::RecordAttemptResult(const request::LocalTarget& target,
                                       AttemptResult end) {
  upstream::Outcomes outcomes;
  outcomes.successes = end == AttemptResult::kAnswer;
  outcomes.sheds = end == AttemptResult::kShed;
  outcomes.failures =
      end == AttemptResult::kNotSent || end == AttemptResult::kNoAnswer;
  entry::OnUpstreamOutcomes(entry_, target.key, outcomes, target.limit,
                            ReadClock());
  if (outcomes.successes > 0) {
    return;
  }
  std::lock_guard lock(mutex_);
  backoff_until_[target.key] = ReadClock() + Duration(kUpstreamBackoff);
}

asio::awaitable<std::pair<AttemptResult, Response>> RequestProxy::SendUpstream(
    const Call& call,
    const request::LocalTarget& target,
    uint32_t attempt) {
  std::string attempt_id = call.id + "-" + std::to_string(attempt);
  auto span = observe::StartChildSpan(*tracer_, "attempt", call.trace);
  span->SetTag("request", call.id);
  span->SetTag("upstream", FormatEndpoint(target.endpoint));
  http::Request request = call.request;
  request.version(11);
  request.set(http::kDeadlineHeader,
              std::to_string(ToUnixMillis(call.deadline)));
  request.set(http::kAttemptHeader, attempt_id);
  if (!call.key.empty()) {
    request.set("Idempotency-Key", call.key);
  }
  if (history_) {
    history_->Write(ReadClock(), "dispatch",
                    {{"request", call.id},
                     {"attempt", attempt},
                     {"service", call.service},
                     {"upstream", FormatEndpoint(target.endpoint)}});
  }
  auto result = co_await client_.Fetch(target.endpoint, std::move(request),
                                       call.deadline);
  AttemptResult end = AttemptResult::kNoAnswer;
  if (result.end == FetchOutcome::kNotSent) {
    end = AttemptResult::kNotSent;
  } else if (result.end == FetchOutcome::kAnswer) {
    end =
        IsShed(result.response) ? AttemptResult::kShed : AttemptResult::kAnswer;
  }
  span->SetTag("end", static_cast<int>(end));
  co_return std::pair(end, std::move(result.response));
}

asio::awaitable<Response> RequestProxy::OnDispatch(
    const http::Request& request) {
  auto call = ParseRelayRequest(request);
  auto number = request[kAttemptNumberHeader];
  auto attempt =
      static_cast<uint32_t>(ParseNumber({number.data(), number.size()}));
  auto [end, answer] = co_await DispatchLocally(call, attempt);
  Response relay;
  switch (end) {
    case AttemptResult::kAnswer:
      relay = std::move(answer);
      relay.set(http::kOutcomeHeader, "answer");
      break;
    case AttemptResult::kNoAnswer:
      relay = http::MakeResponse(Status::ok, "");
      relay.set(http::kOutcomeHeader, "unknown");
      break;
    default:
      relay = http::MakeResponse(Status::ok, "");
      relay.set(http::kOutcomeHeader, "not-run");
  }
  auto load = LocalLoad(call.service);
  relay.set(kLoadHeader, std::to_string(load.busy) + "/" +
                             std::to_string(load.waiting) + "/" +
                             std::to_string(load.slots));
  co_return relay;
}

}  // namespace acaciahold::host
