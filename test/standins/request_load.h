// Load generator for a request service. It sends orders at a constant rate to
// random entry hosts, each with its own idempotency key and body, and records
// the outcome of each.

#ifndef ACACIAHOLD_TEST_STANDINS_REQUEST_LOAD_H_
#define ACACIAHOLD_TEST_STANDINS_REQUEST_LOAD_H_

#include <atomic>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "acaciahold/Http/client.h"
#include "acaciahold/Support/address.h"

namespace acaciahold::standins {

enum class OrderOutcome {
  kAnswered,
  kRefused,      // acaciahold reports that it did not run.
  kUnknown,      // acaciahold reports that it may have run.
  kNoAnswer,     // No complete response; the entry host was lost.
  kOther,        // Any other status.
  kWrongAnswer,  // A response body other than the expected one.
};

struct Order {
  std::string body;
  OrderOutcome outcome = OrderOutcome::kNoAnswer;
  std::chrono::microseconds latency{0};
};

class RequestLoad {
 public:
  RequestLoad(std::vector<Endpoint> entry_endpoints,
              std::string path,
              uint64_t seed);
  ~RequestLoad();

  // Starts sending at this rate for `duration` or until Stop, and returns at
  // once.
  void Start(double orders_per_second,
             std::chrono::milliseconds duration,
             bool use_idempotency_keys);
  void Stop();

  // Waits until sending has stopped and every order has an outcome.
  void AwaitCompletion();

  std::vector<Order> Orders();

 private:
  boost::asio::awaitable<void> SendAll(double orders_per_second,
                                       std::chrono::milliseconds duration,
                                       bool use_idempotency_keys);
  boost::asio::awaitable<void> SendOne(Endpoint entry,
                                       std::string body,
                                       bool use_idempotency_key);

  std::vector<Endpoint> entry_endpoints_;
  std::string path_;
  boost::asio::io_context io_;
  http::Client client_;
  std::mt19937_64 random_;
  std::atomic<uint64_t> pending_{0};
  std::atomic<bool> is_sending_{false};
  std::atomic<bool> is_stopping_{false};
  std::mutex mutex_;
  std::vector<Order> orders_;  // Guarded by mutex_.
  std::thread thread_;
};

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_REQUEST_LOAD_H_
