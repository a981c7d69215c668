// Announcing and answering upstreams.

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

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::milliseconds kAnnounceInterval{500};
constexpr std::chrono::milliseconds kAnnounceTimeout{400};

uint64_t NewIncarnation() {
  return static_cast<uint64_t>(ToUnixMillis(ReadClock()));
}

}  // namespace

struct UpstreamFleet::Node {
  FleetUpstream options;
  std::shared_ptr<http::Server> server;
  std::mutex mutex;
  // Guarded by mutex:
  std::string phase = "serving";
  bool is_silent = false;
  uint64_t incarnation = 0;
  uint32_t busy = 0;
  Instant warm_at;
  uint64_t ran = 0;
};

namespace {

// Counts one running request, also when it is canceled.
template <typename Node>
class Running {
 public:
  Running(Node& node, std::atomic<uint64_t>& canceled)
      : node_(node), canceled_(canceled) {}
  Running(const Running&) = delete;
  Running& operator=(const Running&) = delete;
  ~Running() {
    std::lock_guard lock(node_.mutex);
    --node_.busy;
    canceled_ += is_done_ ? 0 : 1;
  }
  void SetDone() { is_done_ = true; }

 private:
  Node& node_;
  std::atomic<uint64_t>& canceled_;
  bool is_done_ = false;
};

std::atomic<uint64_t> g_canceled{0};

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
  auto node = std::make_shared<Node>();
  node->options = upstream;
  node->incarnation = NewIncarnation();
  node->warm_at = ReadClock() + Duration(upstream.cold_time);
  if (upstream.slots > 0) {
    auto server = http::Server::Listen(
        io_, upstream.at, {}, [this, node](http::Request request) {
          return Answer(node, std::move(request));
        });
    if (!server) {
      throw std::runtime_error("can't listen at " +
                               FormatEndpoint(upstream.at));
    }
    node->server = *server;
    node->server->Start();
  }
  nodes_.push_back(node);
  asio::co_spawn(io_, Announce(node), asio::detached);
  return nodes_.size() - 1;
}

void UpstreamFleet::SetPhase(size_t i, const std::string& phase) {
  std::lock_guard lock(nodes_[i]->mutex);
  nodes_[i]->phase = phase;
}

void UpstreamFleet::SetSilent(size_t i) {
  std::lock_guard lock(nodes_[i]->mutex);
  nodes_[i]->is_silent = true;
}

void UpstreamFleet::Restart(size_t i, bool announced) {
  std::lock_guard lock(nodes_[i]->mutex);
  nodes_[i]->warm_at = ReadClock() + Duration(nodes_[i]->options.cold_time);
  if (announced) {
    nodes_[i]->incarnation = NewIncarnation();
  }
}

asio::awaitable<void> UpstreamFleet::Announce(std::shared_ptr<Node> node) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  const auto& hosts = announce_to_.at(node->options.failure_domain);
  for (size_t turn = 0;; ++turn) {
    json::object said{{"service", node->options.service},
                      {"endpoint", FormatEndpoint(node->options.at)},
                      {"failure_domain", node->options.failure_domain}};
    bool is_silent = false;
    {
      std::lock_guard lock(node->mutex);
      said["phase"] = node->phase;
      said["incarnation"] = node->incarnation;
      is_silent = node->is_silent;
    }
    if (!is_silent) {
      http::Request request(http::Verb::post, "/v1/announce", 11);
      request.body() = json::serialize(said);
      co_await client_.Fetch(hosts[turn % hosts.size()], std::move(request),
                             ReadClock() + Duration(kAnnounceTimeout));
    }
    timer.expires_after(kAnnounceInterval);
    co_await timer.async_wait(kToken);
  }
}

asio::awaitable<http::Response> UpstreamFleet::Answer(
    std::shared_ptr<Node> node,
    http::Request request) {
  bool is_beyond = false;
  {
    std::lock_guard lock(node->mutex);
    uint32_t bears =
        ReadClock() < node->warm_at ? node->options.cold : node->options.slots;
    is_beyond = node->busy >= bears;
    if (!is_beyond) {
      ++node->busy;
      ++node->ran;
    }
  }
  if (is_beyond) {
    std::lock_guard lock(mutex_);
    ++report_.shed;
    ++report_.overloaded;
    http::Response answer(http::Status::service_unavailable, 11);
    answer.set(http::Field::retry_after, "1");
    answer.prepare_payload();
    co_return answer;
  }
  Running running(*node, g_canceled);
  {
    std::lock_guard lock(mutex_);
    ++report_.ran;
    if (!request.body().empty()) {
      report_.ran_twice += ++runs_[request.body()] == 2;
    }
  }
  asio::steady_timer timer(co_await asio::this_coro::executor);
  timer.expires_after(node->options.service_time);
  co_await timer.async_wait(kToken);
  running.SetDone();
  auto answer = http::MakeResponse(http::Status::ok, "done: " + request.body(),
                                   "text/plain");
  auto attempt = request.find(http::kAttemptHeader);
  if (attempt != request.end()) {
    answer.set(http::kAttemptHeader, attempt->value());
  }
  co_return answer;
}

FleetReport UpstreamFleet::Report() {
  std::lock_guard lock(mutex_);
  auto report = report_;
  report.canceled = g_canceled;
  return report;
}

uint64_t UpstreamFleet::RunsOf(const std::string& body) {
  std::lock_guard lock(mutex_);
  auto it = runs_.find(body);
  return it == runs_.end() ? 0 : it->second;
}

std::vector<uint64_t> UpstreamFleet::RunsByUpstream(
    const std::string& service) {
  std::vector<uint64_t> runs;
  for (const auto& node : nodes_) {
    if (node->options.service == service) {
      std::lock_guard lock(node->mutex);
      runs.push_back(node->ran);
    }
  }
  return runs;
}

}  // namespace acaciahold::standins
