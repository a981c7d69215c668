// Sending orders and judging their answers.

#include "request_load.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace acaciahold::standins {
namespace {

namespace asio = boost::asio;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds kOrderTimeout{12};
constexpr std::chrono::milliseconds kDrainPoll{20};

OrderEnd Judge(const http::FetchResult& result, const std::string& body) {
  if (result.end != http::FetchOutcome::kAnswer) {
    return OrderEnd::kNoAnswer;
  }
  const auto& response = result.response;
  auto outcome = response[http::kOutcomeHeader];
  if (response.result() == http::Status::ok) {
    return response.body() == "done: " + body ? OrderEnd::kAnswered
                                              : OrderEnd::kWrongAnswer;
  }
  if (outcome == "not-run") {
    return OrderEnd::kRefused;
  }
  return outcome == "unknown" ? OrderEnd::kUnknown : OrderEnd::kOther;
}

}  // namespace

RequestLoad::RequestLoad(std::vector<Endpoint> entries,
                         std::string path,
                         uint64_t seed)
    : entries_(std::move(entries)),
      path_(std::move(path)),
      client_(io_),
      random_(seed) {
  thread_ = std::thread([this] {
    auto guard = asio::make_work_guard(io_);
    io_.run();
  });
}

RequestLoad::~RequestLoad() {
  io_.stop();
  thread_.join();
}

void RequestLoad::Start(double per_second,
                        std::chrono::milliseconds duration,
                        bool has_keys) {
  is_sending_ = true;
  asio::co_spawn(io_, SendAll(per_second, duration, has_keys), asio::detached);
}

void RequestLoad::Stop() {
  is_stopping_ = true;
}

void RequestLoad::Drain() {
  while (is_sending_ || open_ > 0) {
    std::this_thread::sleep_for(kDrainPoll);
  }
}

std::vector<Order> RequestLoad::Orders() {
  std::lock_guard lock(mutex_);
  return orders_;
}

asio::awaitable<void> RequestLoad::SendAll(double per_second,
                                           std::chrono::milliseconds duration,
                                           bool has_keys) {
  auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor);
  auto start = std::chrono::steady_clock::now();
  std::uniform_int_distribution<size_t> spread(0, entries_.size() - 1);
  std::string prefix = std::to_string(random_()) + "-";
  auto gap = std::chrono::duration<double>(1.0 / per_second);
  for (uint64_t n = 0; !is_stopping_; ++n) {
    auto due = start + std::chrono::duration_cast<std::chrono::nanoseconds>(
                           gap * static_cast<double>(n));
    if (due - start >= duration) {
      break;
    }
    timer.expires_at(due);
    co_await timer.async_wait(kToken);
    ++open_;
    asio::co_spawn(executor,
                   SendOne(entries_[spread(random_)],
                           "order " + prefix + std::to_string(n), has_keys),
                   asio::detached);
  }
  is_sending_ = false;
}

asio::awaitable<void> RequestLoad::SendOne(Endpoint entry,
                                           std::string body,
                                           bool has_key) {
  http::Request request(http::Verb::post, path_, 11);
  request.set(http::Field::content_type, "text/plain");
  if (has_key) {
    request.set("Idempotency-Key", body);
  }
  request.body() = body;
  auto start = std::chrono::steady_clock::now();
  auto result = co_await client_.Fetch(entry, std::move(request),
                                       ReadClock() + Duration(kOrderTimeout));
  Order order;
  order.end = Judge(result, body);
  order.latency = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - start);
  order.body = std::move(body);
  {
    std::lock_guard lock(mutex_);
    orders_.push_back(std::move(order));
  }
  --open_;
}

}  // namespace acaciahold::standins
