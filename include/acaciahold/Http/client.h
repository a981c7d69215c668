// HTTP/1.1 client over Boost.Beast. The result of a failed exchange says
// whether the request may have reached the server, which decides if it can be
// retried.

#ifndef ACACIAHOLD_HTTP_CLIENT_H_
#define ACACIAHOLD_HTTP_CLIENT_H_

#include <map>
#include <memory>
#include <mutex>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "acaciahold/Http/message.h"
#include "acaciahold/Support/address.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::http {

enum class FetchOutcome {
  kAnswer,    // A complete response to this request was received.
  kNotSent,   // No byte of the request was sent.
  kNoAnswer,  // Sent at least in part; no complete response was received.
};

struct FetchResult {
  FetchOutcome end = FetchOutcome::kNotSent;
  Response response;  // Set for kAnswer only.
};

inline constexpr uint64_t kMaxResponseBytes = 64ULL << 20U;
inline constexpr std::chrono::milliseconds kConnectTimeout{1'000};
inline constexpr size_t kMaxIdleConnections = 64;  // Per endpoint.

// Reuses connections. Thread-safe.
class Client {
 public:
  explicit Client(boost::asio::io_context& io) : io_(io) {}

  // Sends the request to `to` and returns the response. Ends at `deadline` at
  // the latest. Cancellation closes the connection.
  boost::asio::awaitable<FetchResult> Fetch(Endpoint to,
                                            Request request,
                                            Instant deadline);

 private:
  using Stream = boost::beast::tcp_stream;

  // Sends the request on `stream` and reads the response; connects first if
  // `is_new`. Runs on the strand of `stream`.
  boost::asio::awaitable<FetchResult> Exchange(Endpoint to,
                                               std::unique_ptr<Stream> stream,
                                               bool is_new,
                                               Request request,
                                               Instant deadline);

  // Returns null if there is no usable idle connection.
  std::unique_ptr<Stream> TakeIdleConnection(Endpoint to);
  // Closes the connection if kMaxIdleConnections are already idle.
  void PutIdleConnection(Endpoint to, std::unique_ptr<Stream> stream);

  boost::asio::io_context& io_;
  std::mutex mutex_;
  // Idle connections by endpoint, guarded by mutex_. Invariant: each response
  // on them was read completely, and no byte had been received after it.
  std::map<Endpoint, std::vector<std::unique_ptr<Stream>>> idle_connections_;
};

}  // namespace acaciahold::http

#endif  // ACACIAHOLD_HTTP_CLIENT_H_
