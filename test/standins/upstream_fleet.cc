// Announces upstreams and answers their requests.

#include "upstream_fleet.h"

#include <stdexcept>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>

namespace acaciahold::standins {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;

constexpr auto kCompletionToken = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kAnnounceInterval{500};
constexpr std::chrono::milliseconds kAnnounceTimeout{400};

uint64_t NewIncarnation() {
  return static_cast<uint64_t>(ToUnixMillis(ReadClock()));
}

}  // namespace

struct UpstreamFleet::Instance {
  FleetUpstream options;
  std::shared_ptr<http::Server> server;
  std::mutex mutex;
  // Guarded by mutex:
  std::string phase = "serving";
  bool has_stopped_announcing = false;
  uint64_t incarnation = 0;
  uint32_t running_requests = 0;
  Instant warm_at;
  uint64_t requests_run = 0;
};

namespace {

// Releases the slot of a running request when it completes or its coroutine is
// destroyed. The latter counts as a cancellation.
template <typename Instance>
class RunningRequest {
 public:
  RunningRequest(Instance& instance, std::atomic<uint64_t>& canceled)
      : instance_(instance), canceled_(canceled) {}
  RunningRequest(const RunningRequest&) = delete;
  RunningRequest& operator=(const RunningRequest&) = delete;
  ~RunningRequest() {
    std::lock_guard lock(instance_.mutex);
    --instance_.running_requests;
    canceled_ += is_done_ ? 0 : 1;
  }
  void SetDone() { is_done_ = true; }

 private:
  Instance& instance_;
  std::atomic<uint64_t>& canceled_;
  bool is_done_ = false;
};

std::atomic<uint64_t> g_canceled_requests{0};

}  // namespace

UpstreamFleet::UpstreamFleet(
    std::map<std::string, std::vector<Endpoint>> announce_to,
    int threads)
    : announce_to_(std::move(announce_to)), client_(io_) {
  for (int i = 0; i < threads; ++i) {
    threads_.emplace_back([this] {
      auto guard = asio::make_work_guard(io_);
      io_.run();
    });
  }
}

UpstreamFleet::~UpstreamFleet() {
  io_.stop();
  for (auto& thread : threads_) {
    thread.join();
  }
}

size_t UpstreamFleet::Add(const FleetUpstream& upstream) {
  auto instance = std::make_shared<Instance>();
  instance->options = upstream;
  instance->incarnation = NewIncarnation();
  instance->warm_at = ReadClock() + Duration(upstream.warmup_time);
  if (upstream.slots > 0) {
    auto server = http::Server::Listen(
        io_, upstream.endpoint, {}, [this, instance](http::Request request) {
          return HandleRequest(instance, std::move(request));
        });
    if (!server) {
      throw std::runtime_error("can't listen at " +
                               FormatEndpoint(upstream.endpoint));
    }
    instance->server = *server;
    instance->server->Start();
  }
  instances_.push_back(instance);
  asio::co_spawn(io_, Announce(instance), asio::detached);
  return instances_.size() - 1;
}

void UpstreamFleet::SetPhase(size_t i, const std::string& phase) {
  std::lock_guard lock(instances_[i]->mutex);
  instances_[i]->phase = phase;
}

void UpstreamFleet::StopAnnouncing(size_t i) {
  std::lock_guard lock(instances_[i]->mutex);
  instances_[i]->has_stopped_announcing = true;
}

void UpstreamFleet::Restart(size_t i, bool use_new_incarnation) {
  std::lock_guard lock(instances_[i]->mutex);
  instances_[i]->warm_at =
      ReadClock() + Duration(instances_[i]->options.warmup_time);
  if (use_new_incarnation) {
    instances_[i]->incarnation = NewIncarnation();
  }
}

asio::awaitable<void> UpstreamFleet::Announce(
    std::shared_ptr<Instance> instance) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  const auto& hosts = announce_to_.at(instance->options.failure_domain);
  for (size_t round = 0;; ++round) {
    json::object announcement{
        {"service", instance->options.service},
        {"endpoint", FormatEndpoint(instance->options.endpoint)},
        {"failure_domain", instance->options.failure_domain}};
    bool has_stopped_announcing = false;
    {
      std::lock_guard lock(instance->mutex);
      announcement["phase"] = instance->phase;
      announcement["incarnation"] = instance->incarnation;
      has_stopped_announcing = instance->has_stopped_announcing;
    }
    if (!has_stopped_announcing) {
      http::Request request(http::Verb::post, "/v1/announce", 11);
      request.body() = json::serialize(announcement);
      co_await client_.Fetch(hosts[round % hosts.size()], std::move(request),
                             ReadClock() + Duration(kAnnounceTimeout));
    }
    timer.expires_after(kAnnounceInterval);
    co_await timer.async_wait(kCompletionToken);
  }
}

asio::awaitable<http::Response> UpstreamFleet::HandleRequest(
    std::shared_ptr<Instance> instance,
    http::Request request) {
  bool is_over_capacity = false;
  {
    std::lock_guard lock(instance->mutex);
    uint32_t capacity = ReadClock() < instance->warm_at
                            ? instance->options.cold_slots
                            : instance->options.slots;
    is_over_capacity = instance->running_requests >= capacity;
    if (!is_over_capacity) {
      ++instance->running_requests;
      ++instance->requests_run;
    }
  }
  if (is_over_capacity) {
    std::lock_guard lock(mutex_);
    ++report_.requests_shed;
    ++report_.requests_over_capacity;
    http::Response response(http::Status::service_unavailable, 11);
    response.set(http::Field::retry_after, "1");
    response.prepare_payload();
    co_return response;
  }
  RunningRequest running(*instance, g_canceled_requests);
  {
    std::lock_guard lock(mutex_);
    ++report_.requests_run;
    if (!request.body().empty()) {
      report_.requests_run_twice += ++runs_by_body_[request.body()] == 2;
    }
  }
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(instance->options.service_time);
  co_await timer.async_wait(kCompletionToken);
  running.SetDone();
  auto response = http::MakeResponse(http::Status::ok,
                                     "done: " + request.body(), "text/plain");
  auto attempt = request.find(http::kAttemptHeader);
  if (attempt != request.end()) {
    response.set(http::kAttemptHeader, attempt->value());
  }
  co_return response;
}

FleetReport UpstreamFleet::Report() {
  std::lock_guard lock(mutex_);
  auto report = report_;
  report.requests_canceled = g_canceled_requests;
  return report;
}

uint64_t UpstreamFleet::CountRuns(const std::string& body) {
  std::lock_guard lock(mutex_);
  auto it = runs_by_body_.find(body);
  return it == runs_by_body_.end() ? 0 : it->second;
}

std::vector<uint64_t> UpstreamFleet::CountRunsByUpstream(
    const std::string& service) {
  std::vector<uint64_t> runs;
  for (const auto& instance : instances_) {
    if (instance->options.service == service) {
      std::lock_guard lock(instance->mutex);
      runs.push_back(instance->requests_run);
    }
  }
  return runs;
}

}  // namespace acaciahold::standins
