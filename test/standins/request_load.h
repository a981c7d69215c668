// Callers of a request service: they send orders at a steady rate to random
// entry hosts, each with a key and a body of its own, and remember how each
// ended.

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

enum class OrderEnd {
  kAnswered,
  kRefused,      // The system says that it did not run.
  kUnknown,      // The system says that it may have run.
  kNoAnswer,     // The entry host was lost.
  kOther,        // Another status.
  kWrongAnswer,  // An answer that is not this order's, or not whole.
};

struct Order {
  std::string body;
  OrderEnd end = OrderEnd::kNoAnswer;
  std::chrono::microseconds latency{0};
};

class RequestLoad {
 public:
  RequestLoad(std::vector<Endpoint> entries, std::string path, uint64_t seed);
  ~RequestLoad();

  // Sends at the rate until the time is over or Stop; does not wait.
  void Start(double per_second,
             std::chrono::milliseconds duration,
             bool has_keys);
  void Stop();

  // Waits until every order that was sent has ended.
  void Drain();

  std::vector<Order> Orders();

 private:
  boost::asio::awaitable<void> SendAll(double per_second,
                                       std::chrono::milliseconds duration,
                                       bool has_keys);
  boost::asio::awaitable<void> SendOne(Endpoint entry,
                                       std::string body,
                                       bool has_key);

  std::vector<Endpoint> entries_;
  std::string path_;
  boost::asio::io_context io_;
  http::Client client_;
  std::mt19937_64 random_;
  std::atomic<uint64_t> open_{0};
  std::atomic<bool> is_sending_{false};
  std::atomic<bool> is_stopping_{false};
  std::mutex mutex_;
  std::vector<Order> orders_;  // Guarded by mutex_.
  std::thread thread_;
};

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_REQUEST_LOAD_H_
