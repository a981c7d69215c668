// The way of a request: from the caller to the key's owner and through its
// attempts.

#include "acaciahold/Host/request_shell.h"

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
using http::FetchEnd;
using http::Response;
using http::Status;
using request::AttemptResult;
using request::KeyVerdict;
using request::State;

namespace {

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr std::string_view kKeyHeader = "Idempotency-Key";
constexpr size_t kMaxKeyBytes = 128;
constexpr std::chrono::milliseconds kRequestTick{20};

std::string ServiceOf(std::string_view target) {
  auto path = http::PathOf(target);
  if (path.empty() || path.front() != '/') {
    return "";
  }
  path.remove_prefix(1);
  return std::string(path.substr(0, path.find('/')));
}

Instant ReadDeadline(const http::Request& request, Instant now) {
  Instant latest = now + request::kMaxRequestTime;
  auto it = request.find(http::kDeadlineHeader);
  if (it == request.end()) {
    return now + kDefaultRequestTime;
  }
  int64_t millis = 0;
  auto text = it->value();
  std::from_chars(text.data(), text.data() + text.size(), millis);
  // A number too large for an instant is as good as the latest one.
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

// Counts an open request while it lives.
class OpenCount {
 public:
  explicit OpenCount(std::atomic<uint64_t>& count) : count_(count) { ++count_; }
  OpenCount(const OpenCount&) = delete;
  OpenCount& operator=(const OpenCount&) = delete;
  ~OpenCount() { --count_; }

 private:
  std::atomic<uint64_t>& count_;
};

CallOutcome Refused(request::Refusal refusal) {
  return {State::kRefused, refusal, {}};
}

}  // namespace

RequestShell::RequestShell(asio::io_context& io,
                           http::Client& client,
                           entry::Entry& entry,
                           uint64_t max_open_requests,
                           std::shared_ptr<opentracing::Tracer> tracer,
                           observe::History* history)
    : io_(io),
      client_(client),
      entry_(entry),
      max_open_(max_open_requests),
      tracer_(std::move(tracer)),
      history_(history),
      random_(std::random_device{}()) {}

void RequestShell::Start() {
  asio::co_spawn(io_, Tick(), asio::detached);
}

asio::awaitable<void> RequestShell::Tick() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    timer.expires_after(kRequestTick);
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

RequestShell::RoutesPtr RequestShell::Routes() {
  RoutesPtr known;
  {
    std::lock_guard lock(mutex_);
    known = routes_;
  }
  auto fresh = request::RefreshRoutes(entry_, known);
  if (fresh == known) {
    return known;
  }
  std::lock_guard lock(mutex_);
  bool is_first_view = !routes_;
  routes_ = fresh;
  for (const auto& [name, service] : fresh->services) {
    for (const auto& target : service.local) {
      request::BeginCoordination(dispatcher_, target.key,
                                 target.is_new || is_first_view, ReadClock());
    }
  }
  return fresh;
}

RequestShell::Call RequestShell::MakeCall(http::Request request,
                                          std::string service) const {
  Call call;
  call.service = std::move(service);
  auto key = request.find(kKeyHeader);
  if (key != request.end()) {
    call.key = std::string(key->value());
  }
  call.request_hash = HashRequest(request);
  call.deadline = ReadDeadline(request, ReadClock());
  call.request = std::move(request);
  return call;
}

asio::awaitable<Response> RequestShell::HandleCaller(http::Request request) {
  std::string_view target(request.target().data(), request.target().size());
  auto routes = Routes();
  auto service = ServiceOf(target);
  if (!routes || !routes->services.contains(service)) {
    co_return http::MakeProblem(
        Status::not_found, "unknown-service", "no such service",
        "the first part of the path names no request service");
  }
  if (is_shutting_down_) {
    co_return ToCaller(Refused(request::Refusal::kShutdown));
  }
  if (open_ >= max_open_) {
    co_return ToCaller(Refused(request::Refusal::kOverloaded));
  }
  OpenCount open(open_);
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
  auto outcome = co_await Route(std::move(call));
  span->SetTag("state", static_cast<int>(outcome.state));
  co_return ToCaller(outcome);
}

// Keyed requests go by way of the key's owner.
asio::awaitable<CallOutcome> RequestShell::Route(Call call) {
  if (ReadClock() >= call.deadline) {
    co_return Refused(request::Refusal::kDeadline);
  }
  if (call.key.empty()) {
    co_return co_await Execute(call);
  }
  auto hosts = request::RankKeyHosts(*Routes(), call.service, call.key);
  bool may_have_run = false;
  for (const auto& host : hosts) {
    if (host.is_self) {
      if (may_have_run) {
        co_return AnswerFromRecord(call);
      }
      co_return co_await RunAsKeyOwner(std::move(call), hosts);
    }
    auto relay = ToRelay(call, "/v1/relay/keyed");
    if (may_have_run) {
      relay.set(kLookupHeader, "1");
    }
    auto result =
        co_await client_.Fetch(host.admin, std::move(relay), call.deadline);
    if (result.end == FetchEnd::kAnswer) {
      co_return ReadOutcome(std::move(result.response), may_have_run);
    }
    may_have_run |= result.end == FetchEnd::kNoAnswer;
    if (ReadClock() >= call.deadline) {
      break;
    }
  }
  if (may_have_run) {
    co_return CallOutcome{State::kUnknown, {}, {}};
  }
  co_return Refused(request::Refusal::kNoUpstream);
}

// What the record here says of a request that may be running elsewhere.
CallOutcome RequestShell::AnswerFromRecord(const Call& call) {
  std::lock_guard lock(key_mutex_);
  auto it = keys_.records.find(RecordKey(call.service, call.key));
  if (it != keys_.records.end() && it->second.answer &&
      it->second.request_hash == call.request_hash) {
    return {State::kAnswered, {}, FromKept(*it->second.answer)};
  }
  return {State::kUnknown, {}, {}};
}

asio::awaitable<CallOutcome> RequestShell::RunAsKeyOwner(
    Call call,
    std::vector<request::KeyHost> hosts) {
  auto key = RecordKey(call.service, call.key);
  std::shared_ptr<Run> run;
  bool is_new = false;
  {
    std::lock_guard lock(key_mutex_);
    auto lookup = request::BeginKey(keys_, key, call.request_hash, ReadClock());
    switch (lookup.verdict) {
      case KeyVerdict::kRequestMismatch:
        co_return CallOutcome{State::kAnswered, {}, OtherBodyProblem()};
      case KeyVerdict::kAnswered:
        ++counters_.replayed;
        co_return CallOutcome{State::kAnswered, {}, FromKept(lookup.answer)};
      case KeyVerdict::kUnknown:
        co_return CallOutcome{State::kUnknown, {}, {}};
      case KeyVerdict::kTableFull:
        co_return Refused(request::Refusal::kOverloaded);
      case KeyVerdict::kRunning:
        run = runs_[key];
        break;
      case KeyVerdict::kNew:
        run = std::make_shared<Run>();
        runs_[key] = run;
        is_new = true;
        break;
    }
  }
  Instant deadline = call.deadline;
  if (is_new) {
    // Runs on though the caller leaves, so that a resend finds the answer.
    asio::co_spawn(io_, RunKeyed(std::move(call), std::move(hosts), run),
                   asio::detached);
  }
  if (!run) {
    co_return CallOutcome{State::kUnknown, {}, {}};
  }
  co_return co_await AwaitRun(run, deadline);
}

asio::awaitable<CallOutcome> RequestShell::AwaitRun(std::shared_ptr<Run> run,
                                                    Instant deadline) {
  using asio::experimental::awaitable_operators::operator||;
  auto executor = co_await asio::this_coro::executor;
  auto signal = std::make_shared<Signal>(executor, 1);
  {
    std::lock_guard lock(run->mutex);
    if (run->outcome) {
      co_return *run->outcome;
    }
    run->waiting.push_back(signal);
  }
  asio::steady_timer timer(executor);
  timer.expires_after(std::max(Duration::zero(), deadline - ReadClock()));
  co_await (signal->async_receive(kToken) || timer.async_wait(kToken));
  std::lock_guard lock(run->mutex);
  if (run->outcome) {
    co_return *run->outcome;
  }
  co_return CallOutcome{State::kUnknown, {}, {}};
}

asio::awaitable<void> RequestShell::RunKeyed(
    Call call,
    std::vector<request::KeyHost> hosts,
    std::shared_ptr<Run> run) {
  OpenCount open(open_);
  CallOutcome outcome{State::kUnknown, {}, {}};
  try {
    bool is_stored = co_await StoreAtBackup(call, hosts);
    if (is_stored) {
      outcome = co_await Execute(call);
    } else {
      outcome = Refused(request::Refusal::kOverloaded);
    }
  } catch (const std::exception&) {
    // Only a canceled wait ends here; the request may have run.
    outcome = {State::kUnknown, {}, {}};
  }
  auto key = RecordKey(call.service, call.key);
  {
    std::lock_guard lock(key_mutex_);
    ApplyOutcome(keys_, key, outcome);
    runs_.erase(key);
  }
  TellBackup(call, hosts, outcome);
  std::lock_guard lock(run->mutex);
  run->outcome = std::move(outcome);
  for (const auto& signal : run->waiting) {
    signal->try_send(boost::system::error_code());
  }
}

// The record stands at a second host before the request goes upstream. The
// next host in rank stands in for one that can't be reached.
asio::awaitable<bool> RequestShell::StoreAtBackup(
    const Call& call,
    const std::vector<request::KeyHost>& hosts) {
  bool has_other = false;
  for (const auto& host : hosts) {
    if (host.is_self) {
      continue;
    }
    has_other = true;
    Instant deadline =
        std::min(call.deadline, ReadClock() + Duration(kKeyStoreTimeout));
    auto result = co_await client_.Fetch(
        host.admin, ToKeyMessage("/v1/relay/key-store", call), deadline);
    if (result.end == FetchEnd::kAnswer &&
        result.response.result() == Status::ok) {
      co_return true;
    }
  }
  co_return !has_other;
}

void RequestShell::TellBackup(const Call& call,
                              const std::vector<request::KeyHost>& hosts,
                              const CallOutcome& outcome) {
  for (const auto& host : hosts) {
    if (host.is_self) {
      continue;
    }
    auto message = ToKeyMessage("/v1/relay/key-finish", call);
    message.body() = EncodeOutcome(outcome);
    asio::co_spawn(io_,
                   client_.Fetch(host.admin, std::move(message),
                                 ReadClock() + Duration(kKeyStoreTimeout)),
                   [](std::exception_ptr, const http::FetchResult&) {});
    return;  // The first other host in rank.
  }
}

asio::awaitable<CallOutcome> RequestShell::Execute(const Call& call) {
  auto method = call.request.method_string();
  auto state = request::MakeRequest(
      request::IsIdempotentMethod({method.data(), method.size()}),
      call.deadline);
  std::vector<membership::HostId> avoid;
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
      choice = request::ChooseRoute(*routes, it->second, load, loads_, avoid,
                                    random_);
      if (choice) {
        auto host = choice->is_local ? routes->self : choice->remote.host;
        counters_.retries += state.attempt > 0;
        attempt = request::Dispatch(state, budget_, host);
        ++loads_[host].sent_since_report;
      }
    }
    if (!choice) {
      request::GiveUp(state, avoid.empty() ? request::Refusal::kNoUpstream
                                           : request::Refusal::kOverloaded);
      break;
    }
    ++counters_.attempts;
    auto [end, response] = co_await AttemptAt(*choice, call, attempt);
    avoid.push_back(state.upstream);
    answer = std::move(response);
    std::lock_guard lock(mutex_);
    request::OnAttemptEnd(state, budget_, attempt, end, ReadClock());
  }
  co_return CallOutcome{state.state, state.refusal, std::move(answer)};
}

asio::awaitable<std::pair<AttemptResult, Response>> RequestShell::AttemptAt(
    const request::RouteChoice& choice,
    const Call& call,
    uint32_t attempt) {
  if (choice.is_local) {
    co_return co_await DispatchHere(call, attempt);
  }
  auto span = observe::StartChildSpan(*tracer_, "relay", call.trace);
  span->SetTag("request", call.id);
  auto relay = ToRelay(call, "/v1/relay/dispatch");
  relay.set(observe::kTraceHeader, observe::InjectContext(*span));
  relay.set(kNumberHeader, std::to_string(attempt));
  auto result = co_await client_.Fetch(choice.remote.admin, std::move(relay),
                                       call.deadline);
  if (result.end != FetchEnd::kAnswer) {
    co_return std::pair(result.end == FetchEnd::kNotSent
                            ? AttemptResult::kNotSent
                            : AttemptResult::kNoAnswer,
                        Response());
  }
  {
    std::lock_guard lock(mutex_);
    loads_[choice.remote.host] = {ReadLoad(result.response), 0};
  }
  auto end = ReadAttemptEnd(result.response);
  co_return std::pair(end, std::move(result.response));
}

asio::awaitable<std::optional<Response>> RequestShell::HandleRelay(
    const http::Request& request) {
  std::string_view target(request.target().data(), request.target().size());
  auto path = http::PathOf(target);
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

asio::awaitable<Response> RequestShell::OnKeyed(const http::Request& request) {
  auto call = FromRelay(request);
  auto span = observe::StartChildSpan(*tracer_, "key-owner", call.trace);
  span->SetTag("request", call.id);
  call.trace = observe::InjectContext(*span);
  if (request.find(kLookupHeader) != request.end()) {
    co_return ToOutcomeAnswer(AnswerFromRecord(call));
  }
  if (is_shutting_down_) {
    co_return ToOutcomeAnswer(Refused(request::Refusal::kShutdown));
  }
  auto hosts = request::RankKeyHosts(*Routes(), call.service, call.key);
  co_return ToOutcomeAnswer(
      co_await RunAsKeyOwner(std::move(call), std::move(hosts)));
}

Response RequestShell::OnKeyStore(const http::Request& request) {
  auto call = FromRelay(request);
  std::lock_guard lock(key_mutex_);
  if (keys_.records.size() >= request::kMaxKeys) {
    return http::MakeProblem(Status::service_unavailable, "keys-full",
                             "no more keys can be kept", "");
  }
  request::StoreBackupRecord(keys_, RecordKey(call.service, call.key),
                             call.request_hash, ReadClock());
  return http::MakeResponse(Status::ok, "{}");
}

Response RequestShell::OnKeyFinish(const http::Request& request) {
  auto call = FromRelay(request);
  auto outcome = DecodeOutcome(request.body());
  if (!outcome) {
    return http::MakeProblem(Status::bad_request, "malformed-request",
                             "no outcome in the body", "");
  }
  std::lock_guard lock(key_mutex_);
  ApplyOutcome(keys_, RecordKey(call.service, call.key), *outcome);
  return http::MakeResponse(Status::ok, "{}");
}

}  // namespace acaciahold::host
