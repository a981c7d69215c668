// Attempts at upstreams that this host coordinates: slots, queues and the
// exchange itself.

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
using http::FetchEnd;
using http::Response;
using http::Status;
using request::AttemptResult;
using upstream::UpstreamId;

namespace {

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);

// By the upstreams' protocol a 503 with Retry-After is said before running.
bool IsShed(const Response& answer) {
  return answer.result() == Status::service_unavailable &&
         answer.find(http::Field::retry_after) != answer.end();
}

const request::LocalTarget* FindLocal(const request::ServiceRoutes& service,
                                      UpstreamId id) {
  for (const auto& target : service.local) {
    if (target.key.id == id) {
      return &target;
    }
  }
  return nullptr;
}

}  // namespace

// Gives the slot back at once after a whole answer; otherwise only when the
// upstream has had time to see that the connection is closed.
class RequestShell::SlotHold {
 public:
  SlotHold(RequestShell& shell, std::string service, UpstreamId upstream)
      : shell_(shell), service_(std::move(service)), upstream_(upstream) {}
  SlotHold(const SlotHold&) = delete;
  SlotHold& operator=(const SlotHold&) = delete;
  ~SlotHold() {
    if (is_idle_) {
      shell_.ReturnSlot(service_, upstream_);
    } else {
      shell_.ReturnSlotLater(service_, upstream_);
    }
  }

  // The upstream is known to run nothing in this slot.
  void SetIdle() { is_idle_ = true; }

 private:
  RequestShell& shell_;
  std::string service_;
  UpstreamId upstream_;
  bool is_idle_ = false;
};

void RequestShell::ReturnSlot(const std::string& service, UpstreamId upstream) {
  {
    std::lock_guard lock(mutex_);
    request::ReleaseSlot(dispatcher_, service, upstream);
  }
  GrantWaiters(service);
}

void RequestShell::ReturnSlotLater(std::string service, UpstreamId upstream) {
  auto timer = std::make_shared<asio::steady_timer>(io_);
  timer->expires_after(kCancelGrace);
  timer->async_wait(
      [this, timer, service = std::move(service),
       upstream](boost::system::error_code) { ReturnSlot(service, upstream); });
}

std::vector<request::SlotCandidate> RequestShell::Candidates(
    const request::ServiceRoutes& service,
    Instant now) {
  std::vector<request::SlotCandidate> candidates;
  for (const auto& target : service.local) {
    auto it = paused_until_.find(target.key);
    if (it == paused_until_.end() || now >= it->second) {
      candidates.push_back({target.key.id, target.limit});
    }
  }
  return candidates;
}

void RequestShell::GrantWaiters(const std::string& service) {
  auto routes = Routes();
  auto it = routes->services.find(service);
  if (it == routes->services.end()) {
    return;
  }
  std::lock_guard lock(mutex_);
  Instant now = ReadClock();
  for (const auto& grant : request::GrantWaiters(
           dispatcher_, service, Candidates(it->second, now), now)) {
    auto& waiter = waiters_.at(grant.waiter);
    waiter.second = grant.upstream;
    waiter.first->try_send(boost::system::error_code());
  }
}

request::DispatchLoad RequestShell::Load(const std::string& service) {
  auto routes = Routes();
  auto it = routes->services.find(service);
  if (it == routes->services.end()) {
    return {};
  }
  std::lock_guard lock(mutex_);
  return request::ComputeLoad(
      dispatcher_, service, request::LocalCandidates(it->second), ReadClock());
}

asio::awaitable<std::optional<UpstreamId>> RequestShell::WaitForSlot(
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
    auto admission =
        request::Admit(dispatcher_, service, Candidates(it->second, now), now);
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

asio::awaitable<std::pair<AttemptResult, Response>> RequestShell::DispatchHere(
    const Call& call,
    uint32_t attempt) {
  auto upstream = co_await WaitForSlot(call.service, call.deadline);
  if (!upstream) {
    co_return std::pair(AttemptResult::kShed, Response());
  }
  SlotHold hold(*this, call.service, *upstream);
  auto routes = Routes();
  auto it = routes->services.find(call.service);
  const auto* target =
      it == routes->services.end() ? nullptr : FindLocal(it->second, *upstream);
  if (!target || ReadClock() >= call.deadline) {
    hold.SetIdle();
    co_return std::pair(AttemptResult::kShed, Response());
  }
  auto result = co_await SendUpstream(call, *target, attempt);
  if (result.first != AttemptResult::kNoAnswer) {
    hold.SetIdle();
  }
  Judge(*target, result.first);
  co_return result;
}

void RequestShell::Judge(const request::LocalTarget& target,
                         AttemptResult end) {
  upstream::Outcomes seen;
  seen.successes = end == AttemptResult::kAnswer;
  seen.sheds = end == AttemptResult::kShed;
  seen.failures =
      end == AttemptResult::kNotSent || end == AttemptResult::kNoAnswer;
  entry::OnUpstreamOutcomes(entry_, target.key, seen, target.limit,
                            ReadClock());
  if (seen.successes > 0) {
    return;
  }
  std::lock_guard lock(mutex_);
  paused_until_[target.key] = ReadClock() + Duration(kShedPause);
}

asio::awaitable<std::pair<AttemptResult, Response>> RequestShell::SendUpstream(
    const Call& call,
    const request::LocalTarget& target,
    uint32_t attempt) {
  std::string name = call.id + "-" + std::to_string(attempt);
  auto span = observe::StartChildSpan(*tracer_, "attempt", call.trace);
  span->SetTag("request", call.id);
  span->SetTag("upstream", FormatEndpoint(target.endpoint));
  http::Request request = call.request;
  request.version(11);
  request.set(http::kDeadlineHeader,
              std::to_string(ToUnixMillis(call.deadline)));
  request.set(http::kAttemptHeader, name);
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
  if (result.end == FetchEnd::kNotSent) {
    end = AttemptResult::kNotSent;
  } else if (result.end == FetchEnd::kAnswer) {
    end =
        IsShed(result.response) ? AttemptResult::kShed : AttemptResult::kAnswer;
  }
  span->SetTag("end", static_cast<int>(end));
  co_return std::pair(end, std::move(result.response));
}

asio::awaitable<Response> RequestShell::OnDispatch(
    const http::Request& request) {
  auto call = FromRelay(request);
  auto number = request[kNumberHeader];
  auto attempt =
      static_cast<uint32_t>(ReadNumber({number.data(), number.size()}));
  auto [end, answer] = co_await DispatchHere(call, attempt);
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
  auto load = Load(call.service);
  relay.set(kLoadHeader, std::to_string(load.busy) + "/" +
                             std::to_string(load.waiting) + "/" +
                             std::to_string(load.slots));
  co_return relay;
}

}  // namespace acaciahold::host
