// Routing of callers' requests to the owner of their key, execution with
// retries, and the handlers for messages about keys from other hosts.

#include "acaciahold/Host/request_proxy.h"

#include <algorithm>
#include <charconv>
#include <exception>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

#include "acaciahold/Observe/tracing.h"
#include "acaciahold/Support/hash.h"
#include "request_run.h"

namespace acaciahold::host {

namespace asio = boost::asio;
using http::FetchOutcome;
using http::Response;
using http::Status;
using request::AttemptResult;
using request::KeyVerdict;
using request::State;

namespace {

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kCallerKeyHeader = "Idempotency-Key";
constexpr size_t kMaxKeyBytes = 128;
constexpr std::chrono::milliseconds kRequestTickInterval{20};

std::string ServiceName(std::string_view target) {
  auto path = http::TargetPath(target);
  if (path.empty() || path.front() != '/') {
    return "";
  }
  path.remove_prefix(1);
  return std::string(path.substr(0, path.find('/')));
}

// Returns the deadline from the request's header, at most kMaxRequestTime from
// `now`. The default is kDefaultRequestTimeout from `now`.
Instant ParseDeadline(const http::Request& request, Instant now) {
  Instant latest = now + request::kMaxRequestTime;
  auto it = request.find(http::kDeadlineHeader);
  if (it == request.end()) {
    return now + kDefaultRequestTimeout;
  }
  int64_t millis = 0;
  auto text = it->value();
  std::from_chars(text.data(), text.data() + text.size(), millis);
  // Clamps before the conversion, in which large numbers would overflow.
  if (millis > ToUnixMillis(latest)) {
    return latest;
  }
  return FromUnixMillis(std::max<int64_t>(0, millis));
}

uint64_t HashRequest(const http::Request& request) {
  uint64_t h = HashText(std::string_view(request.method_string().data(),
                                         request.method_string().size()));
  h = CombineHashes(h, HashText(std::string_view(request.target().data(),
                                                 request.target().size())));
  return CombineHashes(h, HashText(request.body()));
}

// Increments a counter for its lifetime.
class ScopedCounter {
 public:
  explicit ScopedCounter(std::atomic<uint64_t>& count) : count_(count) {
    ++count_;
  }
  ScopedCounter(const ScopedCounter&) = delete;
  ScopedCounter& operator=(const ScopedCounter&) = delete;
  ~ScopedCounter() { --count_; }

 private:
  std::atomic<uint64_t>& count_;
};

CallOutcome RefusedOutcome(request::Refusal refusal) {
  return {State::kRefused, refusal, {}};
}

}  // namespace

RequestProxy::RequestProxy(asio::io_context& io,
                           http::Client& client,
                           entry::Entry& entry,
                           uint64_t max_open_requests,
                           std::shared_ptr<opentracing::Tracer> tracer,
                           observe::History* history)
    : io_(io),
      client_(client),
      entry_(entry),
      max_open_requests_(max_open_requests),
      tracer_(std::move(tracer)),
      history_(history),
      random_(std::random_device{}()) {}

void RequestProxy::Start() {
  asio::co_spawn(io_, Tick(), asio::detached);
}

asio::awaitable<void> RequestProxy::Tick() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    timer.expires_after(kRequestTickInterval);
    auto [ec] = co_await timer.async_wait(kToken);
    if (ec) {
      co_return;
    }
    auto routes = Routes();
    if (!routes) {
      continue;
    }
    for (const auto& [service, unused] : routes->services) {
      GrantWaiters(service);
    }
  }
}

RequestProxy::RoutesPtr RequestProxy::Routes() {
  RoutesPtr known;
  {
    std::lock_guard lock(mutex_);
    known = routes_;
  }
  auto updated = request::RefreshRoutes(entry_, known);
  if (updated == known) {
    return known;
  }
  std::lock_guard lock(mutex_);
  bool is_first_refresh = !routes_;
  routes_ = updated;
  for (const auto& [name, service] : updated->services) {
    for (const auto& target : service.local) {
      request::BeginCoordination(dispatcher_, target.key,
                                 target.is_new || is_first_refresh,
                                 ReadClock());
    }
  }
  return updated;
}

RequestProxy::Call RequestProxy::MakeCall(http::Request request,
                                          std::string service) const {
  Call call;
  call.service = std::move(service);
  auto key = request.find(kCallerKeyHeader);
  if (key != request.end()) {
    call.key = std::string(key->value());
  }
  call.request_hash = HashRequest(request);
  call.deadline = ParseDeadline(request, ReadClock());
  call.request = std::move(request);
  return call;
}

asio::awaitable<Response> RequestProxy::HandleCaller(http::Request request) {
  std::string_view target(request.target().data(), request.target().size());
  auto routes = Routes();
  auto service = ServiceName(target);
  if (!routes || !routes->services.contains(service)) {
    co_return http::MakeProblem(
        Status::not_found, "unknown-service", "no such service",
        "the first part of the path names no request service");
  }
  if (is_shutting_down_) {
    co_return MakeCallerResponse(RefusedOutcome(request::Refusal::kShutdown));
  }
  if (open_requests_ >= max_open_requests_) {
    co_return MakeCallerResponse(RefusedOutcome(request::Refusal::kOverloaded));
  }
  ScopedCounter open(open_requests_);
  auto call = MakeCall(std::move(request), std::move(service));
  if (call.key.size() > kMaxKeyBytes) {
    co_return http::MakeProblem(Status::bad_request, "bad-key",
                                "the Idempotency-Key is too long",
                                "wanted at most 128 bytes");
  }
  call.id = std::to_string(routes->self) + "-" + std::to_string(next_id_++);
  auto span = tracer_->StartSpan("request");
  span->SetTag("service", call.service);
  span->SetTag("request", call.id);
  call.trace = observe::InjectContext(*span);
  auto outcome = co_await RouteCall(std::move(call));
  span->SetTag("state", static_cast<int>(outcome.state));
  co_return MakeCallerResponse(outcome);
}

asio::awaitable<CallOutcome> RequestProxy::RouteCall(Call call) {
  if (ReadClock() >= call.deadline) {
    co_return RefusedOutcome(request::Refusal::kDeadline);
  }
  if (call.key.empty()) {
    co_return co_await Execute(call);
  }
  auto hosts = request::RankKeyHosts(*Routes(), call.service, call.key);
  bool may_have_run = false;
  for (const auto& host : hosts) {
    if (host.is_self) {
      if (may_have_run) {
        co_return LookUpOutcome(call);
      }
      co_return co_await HandleAsKeyOwner(std::move(call), hosts);
    }
    auto relay = MakeRelayRequest(call, "/v1/relay/keyed");
    if (may_have_run) {
      relay.set(kLookupHeader, "1");
    }
    auto result =
        co_await client_.Fetch(host.admin, std::move(relay), call.deadline);
    if (result.end == FetchOutcome::kAnswer) {
      co_return ParseOutcomeResponse(std::move(result.response), may_have_run);
    }
    may_have_run |= result.end == FetchOutcome::kNoAnswer;
    if (ReadClock() >= call.deadline) {
      break;
    }
  }
  if (may_have_run) {
    co_return CallOutcome{State::kUnknown, {}, {}};
  }
  co_return RefusedOutcome(request::Refusal::kNoUpstream);
}

CallOutcome RequestProxy::LookUpOutcome(const Call& call) {
  std::lock_guard lock(key_mutex_);
  auto it = key_table_.records.find(MakeRecordKey(call.service, call.key));
  if (it != key_table_.records.end() && it->second.answer &&
      it->second.request_hash == call.request_hash) {
    return {State::kAnswered, {}, MakeReplayResponse(*it->second.answer)};
  }
  return {State::kUnknown, {}, {}};
}

asio::awaitable<CallOutcome> RequestProxy::HandleAsKeyOwner(
    Call call,
    std::vector<request::KeyHost> hosts) {
  auto key = MakeRecordKey(call.service, call.key);
  std::shared_ptr<InFlightRequest> in_flight;
  bool is_new = false;
  {
    std::lock_guard lock(key_mutex_);
    auto lookup =
        request::BeginKey(key_table_, key, call.request_hash, ReadClock());
    switch (lookup.verdict) {
      case KeyVerdict::kRequestMismatch:
        co_return CallOutcome{State::kAnswered, {}, KeyReusedProblem()};
      case KeyVerdict::kAnswered:
        ++counters_.replayed;
        co_return CallOutcome{
            State::kAnswered, {}, MakeReplayResponse(lookup.answer)};
      case KeyVerdict::kUnknown:
        co_return CallOutcome{State::kUnknown, {}, {}};
      case KeyVerdict::kTableFull:
        co_return RefusedOutcome(request::Refusal::kOverloaded);
      case KeyVerdict::kRunning:
        in_flight = in_flight_requests_[key];
        break;
      case KeyVerdict::kNew:
        in_flight = std::make_shared<InFlightRequest>();
        in_flight_requests_[key] = in_flight;
        is_new = true;
        break;
    }
  }
  Instant deadline = call.deadline;
  if (is_new) {
    // Continues after the caller disconnects, so that a resend gets the
    // response.
    asio::co_spawn(io_,
                   ExecuteKeyed(std::move(call), std::move(hosts), in_flight),
                   asio::detached);
  }
  if (!in_flight) {
    co_return CallOutcome{State::kUnknown, {}, {}};
  }
  co_return co_await AwaitOutcome(in_flight, deadline);
}

asio::awaitable<CallOutcome> RequestProxy::AwaitOutcome(
    std::shared_ptr<InFlightRequest> in_flight,
    Instant deadline) {
  using asio::experimental::awaitable_operators::operator||;
  auto executor = co_await asio::this_coro::executor;
  auto signal = std::make_shared<Signal>(executor, 1);
  {
    std::lock_guard lock(in_flight->mutex);
    if (in_flight->outcome) {
      co_return *in_flight->outcome;
    }
    in_flight->waiters.push_back(signal);
  }
  asio::steady_timer timer(executor);
  timer.expires_after(std::max(Duration::zero(), deadline - ReadClock()));
  co_await (signal->async_receive(kToken) || timer.async_wait(kToken));
  std::lock_guard lock(in_flight->mutex);
  if (in_flight->outcome) {
    co_return *in_flight->outcome;
  }
  co_return CallOutcome{State::kUnknown, {}, {}};
}

asio::awaitable<void> RequestProxy::ExecuteKeyed(
    Call call,
    std::vector<request::KeyHost> hosts,
    std::shared_ptr<InFlightRequest> in_flight) {
  ScopedCounter open(open_requests_);
  CallOutcome outcome{State::kUnknown, {}, {}};
  try {
    bool is_stored = co_await StoreAtBackup(call, hosts);
    if (is_stored) {
      outcome = co_await Execute(call);
    } else {
      outcome = RefusedOutcome(request::Refusal::kOverloaded);
    }
  } catch (const std::exception&) {
    // Thrown only if a wait is canceled; the request may have run.
    outcome = {State::kUnknown, {}, {}};
  }
  auto key = MakeRecordKey(call.service, call.key);
  {
    std::lock_guard lock(key_mutex_);
    ApplyOutcome(key_table_, key, outcome);
    in_flight_requests_.erase(key);
  }
  SendOutcomeToBackup(call, hosts, outcome);
  std::lock_guard lock(in_flight->mutex);
  in_flight->outcome = std::move(outcome);
  for (const auto& signal : in_flight->waiters) {
    signal->try_send(boost::system::error_code());
  }
}

// The record is stored at a second host before the request is sent to an
// upstream, so that the key is still known if this host fails. If the second
// host cannot be reached, the next one in rank takes its place.
asio::awaitable<bool> RequestProxy::StoreAtBackup(
    const Call& call,
    const std::vector<request::KeyHost>& hosts) {
  bool has_other = false;
  for (const auto& host : hosts) {
    if (host.is_self) {
      continue;
    }
    has_other = true;
    Instant deadline =
        std::min(call.deadline, ReadClock() + Duration(kKeyBackupTimeout));
    auto result = co_await client_.Fetch(
        host.admin, MakeKeyMessage("/v1/relay/key-store", call), deadline);
    if (result.end == FetchOutcome::kAnswer &&
        result.response.result() == Status::ok) {
      co_return true;
    }
  }
  co_return !has_other;
}

void RequestProxy::SendOutcomeToBackup(
    const Call& call,
    const std::vector<request::KeyHost>& hosts,
    const CallOutcome& outcome) {
  for (const auto& host : hosts) {
    if (host.is_self) {
      continue;
    }
    auto message = MakeKeyMessage("/v1/relay/key-finish", call);
    message.body() = EncodeOutcome(outcome);
    asio::co_spawn(io_,
                   client_.Fetch(host.admin, std::move(message),
                                 ReadClock() + Duration(kKeyBackupTimeout)),
                   [](std::exception_ptr, const http::FetchResult&) {});
    return;  // Only the first other host in rank is notified.
  }
}

asio::awaitable<CallOutcome> RequestProxy::Execute(const Call& call) {
  auto method = call.request.method_string();
  auto state = request::MakeRequest(
      request::IsIdempotentMethod({method.data(), method.size()}),
      call.deadline);
  std::vector<membership::HostId> tried_hosts;
  http::Response answer;
  while (!request::IsFinal(state)) {
    auto routes = Routes();
    auto it = routes->services.find(call.service);
    std::optional<request::RouteChoice> choice;
    uint32_t attempt = 0;
    if (it != routes->services.end()) {
      std::lock_guard lock(mutex_);
      auto load = request::ComputeLoad(dispatcher_, call.service,
                                       request::LocalCandidates(it->second),
                                       ReadClock());
      choice = request::ChooseRoute(*routes, it->second, load, remote_loads_,
                                    tried_hosts, random_);
      if (choice) {
        auto host = choice->is_local ? routes->self : choice->remote.host;
        counters_.retries += state.attempt > 0;
        attempt = request::Dispatch(state, retry_budget_, host);
        ++remote_loads_[host].sent_since_report;
      }
    }
    if (!choice) {
      request::GiveUp(state, tried_hosts.empty()
                                 ? request::Refusal::kNoUpstream
                                 : request::Refusal::kOverloaded);
      break;
    }
    ++counters_.attempts;
    auto [end, response] = co_await RunAttempt(*choice, call, attempt);
    tried_hosts.push_back(state.upstream);
    answer = std::move(response);
    std::lock_guard lock(mutex_);
    request::OnAttemptEnd(state, retry_budget_, attempt, end, ReadClock());
  }
  co_return CallOutcome{state.state, state.refusal, std::move(answer)};
}

asio::awaitable<std::pair<AttemptResult, Response>> RequestProxy::RunAttempt(
    const request::RouteChoice& choice,
    const Call& call,
    uint32_t attempt) {
  if (choice.is_local) {
    co_return co_await DispatchLocally(call, attempt);
  }
  auto span = observe::StartChildSpan(*tracer_, "relay", call.trace);
  span->SetTag("request", call.id);
  auto relay = MakeRelayRequest(call, "/v1/relay/dispatch");
  relay.set(observe::kTraceHeader, observe::InjectContext(*span));
  relay.set(kAttemptNumberHeader, std::to_string(attempt));
  auto result = co_await client_.Fetch(choice.remote.admin, std::move(relay),
                                       call.deadline);
  if (result.end != FetchOutcome::kAnswer) {
    co_return std::pair(result.end == FetchOutcome::kNotSent
                            ? AttemptResult::kNotSent
                            : AttemptResult::kNoAnswer,
                        Response());
  }
  {
    std::lock_guard lock(mutex_);
    remote_loads_[choice.remote.host] = {ParseLoadHeader(result.response), 0};
  }
  auto end = ParseAttemptResult(result.response);
  co_return std::pair(end, std::move(result.response));
}

asio::awaitable<std::optional<Response>> RequestProxy::HandleRelay(
    const http::Request& request) {
  std::string_view target(request.target().data(), request.target().size());
  auto path = http::TargetPath(target);
  if (path == "/v1/relay/dispatch") {
    co_return co_await OnDispatch(request);
  }
  if (path == "/v1/relay/keyed") {
    co_return co_await OnKeyed(request);
  }
  if (path == "/v1/relay/key-store") {
    co_return OnKeyStore(request);
  }
  if (path == "/v1/relay/key-finish") {
    co_return OnKeyFinish(request);
  }
  co_return std::nullopt;
}

asio::awaitable<Response> RequestProxy::OnKeyed(const http::Request& request) {
  auto call = ParseRelayRequest(request);
  auto span = observe::StartChildSpan(*tracer_, "key-owner", call.trace);
  span->SetTag("request", call.id);
  call.trace = observe::InjectContext(*span);
  if (request.find(kLookupHeader) != request.end()) {
    co_return MakeOutcomeResponse(LookUpOutcome(call));
  }
  if (is_shutting_down_) {
    co_return MakeOutcomeResponse(RefusedOutcome(request::Refusal::kShutdown));
  }
  auto hosts = request::RankKeyHosts(*Routes(), call.service, call.key);
  co_return MakeOutcomeResponse(
      co_await HandleAsKeyOwner(std::move(call), std::move(hosts)));
}

Response RequestProxy::OnKeyStore(const http::Request& request) {
  auto call = ParseRelayRequest(request);
  std::lock_guard lock(key_mutex_);
  if (key_table_.records.size() >= request::kMaxKeys) {
    return http::MakeProblem(Status::service_unavailable, "keys-full",
                             "no more keys can be kept", "");
  }
  request::StoreBackupRecord(key_table_, MakeRecordKey(call.service, call.key),
                             call.request_hash, ReadClock());
  return http::MakeResponse(Status::ok, "{}");
}

Response RequestProxy::OnKeyFinish(const http::Request& request) {
  auto call = ParseRelayRequest(request);
  auto outcome = DecodeOutcome(request.body());
  if (!outcome) {
    return http::MakeProblem(Status::bad_request, "malformed-request",
                             "no outcome in the body", "");
  }
  std::lock_guard lock(key_mutex_);
  ApplyOutcome(key_table_, MakeRecordKey(call.service, call.key), *outcome);
  return http::MakeResponse(Status::ok, "{}");
}

}  // namespace acaciahold::host
