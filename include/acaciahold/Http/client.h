// An HTTP/1.1 client over Boost.Beast that tells apart what its callers must
// know: whether a request can have reached the other side.

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

enum class FetchEnd {
  kAnswer,    // A whole answer to this request.
  kNotSent,   // No byte of the request was sent.
  kNoAnswer,  // Sent, in part at least; no whole answer came.
};

struct FetchResult {
  FetchEnd end = FetchEnd::kNotSent;
  Response response;  // For kAnswer.
};

inline constexpr uint64_t kMaxAnswerBytes = 64ULL << 20U;
inline constexpr std::chrono::milliseconds kConnectTimeout{1'000};
inline constexpr size_t kMaxIdleConnections = 64;  // To each endpoint.

// Keeps connections for reuse. Safe to use from several threads.
class Client {
 public:
  explicit Client(boost::asio::io_context& io) : io_(io) {}

  // Sends the request and reads the answer, until the deadline at the latest.
  // Cancellation closes the connection.
  boost::asio::awaitable<FetchResult> Fetch(Endpoint to,
                                            Request request,
                                            Instant deadline);

 private:
  using Stream = boost::beast::tcp_stream;

  // Runs on the stream's own strand.
  boost::asio::awaitable<FetchResult> Exchange(Endpoint to,
                                               std::unique_ptr<Stream> stream,
                                               bool is_new,
                                               Request request,
                                               Instant deadline);

  std::unique_ptr<Stream> TakeIdle(Endpoint to);
  void KeepIdle(Endpoint to, std::unique_ptr<Stream> stream);

  boost::asio::io_context& io_;
  std::mutex mutex_;
  // Guarded by mutex_. Invariant: no unread byte was seen on any of them.
  std::map<Endpoint, std::vector<std::unique_ptr<Stream>>> idle_;
};

}  // namespace acaciahold::http

#endif  // ACACIAHOLD_HTTP_CLIENT_H_
