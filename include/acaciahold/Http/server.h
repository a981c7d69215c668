// HTTP/1.1 server over Boost.Beast. It limits everything that clients control:
// the number of connections, the size of headers and bodies, and the time taken
// to send them.

#ifndef ACACIAHOLD_HTTP_SERVER_H_
#define ACACIAHOLD_HTTP_SERVER_H_

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include "acaciahold/Http/message.h"
#include "acaciahold/Support/address.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::http {

// Handles one request. It is canceled if the client closes the connection.
using Handler = std::function<boost::asio::awaitable<Response>(Request)>;

struct ServerLimits {
  uint64_t max_body_bytes = 8ULL << 20U;
  uint32_t max_header_bytes = 16U << 10U;
  uint32_t max_connections = 4'096;
};

// A connection is closed after this time without a request.
inline constexpr std::chrono::seconds kIdleTimeout{60};
// Timeout for receiving a request, counted from its first byte, and for sending
// a response.
inline constexpr std::chrono::seconds kTransferTimeout{10};

// Counters for metrics.
struct ServerCounters {
  std::atomic<uint64_t> requests{0};  // Completely received requests.
  std::atomic<uint64_t> body_too_large{0};
  std::atomic<uint64_t> malformed{0};
  // The connection closed, or kTransferTimeout expired, before the end of the
  // request.
  std::atomic<uint64_t> incomplete{0};
  std::atomic<uint64_t> too_many_connections{0};
  // The client closed the connection before the response was ready.
  std::atomic<uint64_t> client_disconnected{0};
};

class Server : public std::enable_shared_from_this<Server> {
 public:
  // Opens the listening socket; connections are accepted after Start(). Fails
  // with SystemError.
  static Result<std::shared_ptr<Server>> Listen(boost::asio::io_context& io,
                                                Endpoint endpoint,
                                                ServerLimits limits,
                                                Handler handler);

  void Start();

  // Stops accepting connections. Open connections are closed after their
  // current request.
  void Stop();

  const ServerCounters& counters() const { return counters_; }
  uint32_t open_connections() const { return open_connections_; }

 private:
  using Socket = boost::asio::ip::tcp::socket;

  Server(boost::asio::io_context& io, ServerLimits limits, Handler handler);

  boost::asio::awaitable<void> AcceptLoop();
  static boost::asio::awaitable<void> ServeConnection(
      std::shared_ptr<Server> server,
      Socket socket);

  boost::asio::io_context& io_;
  ServerLimits limits_;
  Handler handler_;
  boost::asio::ip::tcp::acceptor acceptor_;
  ServerCounters counters_;
  std::atomic<uint32_t> open_connections_{0};
  std::atomic<bool> is_stopping_{false};
};

}  // namespace acaciahold::http

#endif  // ACACIAHOLD_HTTP_SERVER_H_
