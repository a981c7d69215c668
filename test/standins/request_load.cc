// Sends orders and classifies the responses.

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

constexpr auto kCompletionToken = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds kOrderTimeout{12};
constexpr std::chrono::milliseconds kCompletionPollInterval{20};

OrderOutcome ClassifyResult(const http::FetchResult& result,
                            const std::string& body) {
  if (result.end != http::FetchEnd::kAnswer) {
    return OrderOutcome::kNoAnswer;
  }
  const auto& response = result.response;
  auto outcome_header = response[http::kOutcomeHeader];
  if (response.result() == http::Status::ok) {
    return response.body() == "done: " + body ? OrderOutcome::kAnswered
                                              : OrderOutcome::kWrongAnswer;
  }
  if (outcome_header == "not-run") {
    return OrderOutcome::kRefused;
  }
  return outcome_header == "unknown" ? OrderOutcome::kUnknown
                                     : OrderOutcome::kOther;
}

}  // namespace

RequestLoad::RequestLoad(std::vector<Endpoint> entry_endpoints,
                         std::string path,
                         uint64_t seed)
    : entry_endpoints_(std::move(entry_endpoints)),
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

void RequestLoad::Start(double orders_per_second,
                        std::chrono::milliseconds duration,
                        bool use_idempotency_keys) {
  is_sending_ = true;
  asio::co_spawn(io_,
                 SendAll(orders_per_second, duration, use_idempotency_keys),
                 asio::detached);
}

void RequestLoad::Stop() {
  is_stopping_ = true;
}

void RequestLoad::AwaitCompletion() {
  while (is_sending_ || pending_ > 0) {
    std::this_thread::sleep_for(kCompletionPollInterval);
  }
}

std::vector<Order> RequestLoad::Orders() {
  std::lock_guard lock(mutex_);
  return orders_;
}

asio::awaitable<void> RequestLoad::SendAll(double orders_per_second,
                                           std::chrono::milliseconds duration,
                                           bool use_idempotency_keys) {
  auto executor = co_await asio::this_coro::executor;
  asio::steady_timer timer(executor);
  auto start = std::chrono::steady_clock::now();
  std::uniform_int_distribution<size_t> distribution(
      0, entry_endpoints_.size() - 1);
  std::string prefix = std::to_string(random_()) + "-";
  auto interval = std::chrono::duration<double>(1.0 / orders_per_second);
  for (uint64_t n = 0; !is_stopping_; ++n) {
    auto due = start + std::chrono::duration_cast<std::chrono::nanoseconds>(
                           interval * static_cast<double>(n));
    if (due - start >= duration) {
      break;
    }
    timer.expires_at(due);
    co_await timer.async_wait(kCompletionToken);
    ++pending_;
    asio::co_spawn(
        executor,
        SendOne(entry_endpoints_[distribution(random_)],
                "order " + prefix + std::to_string(n), use_idempotency_keys),
        asio::detached);
  }
  is_sending_ = false;
}

asio::awaitable<void> RequestLoad::SendOne(Endpoint entry,
                                           std::string body,
                                           bool use_idempotency_key) {
  http::Request request(http::Verb::post, path_, 11);
  request.set(http::Field::content_type, "text/plain");
  if (use_idempotency_key) {
    request.set("Idempotency-Key", body);
  }
  request.body() = body;
  auto start = std::chrono::steady_clock::now();
  auto result = co_await client_.Fetch(entry, std::move(request),
                                       ReadClock() + Duration(kOrderTimeout));
  Order order;
  order.outcome = ClassifyResult(result, body);
  order.latency = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - start);
  order.body = std::move(body);
  {
    std::lock_guard lock(mutex_);
    orders_.push_back(std::move(order));
  }
  --pending_;
}

}  // namespace acaciahold::standins
