// Accepts connections and handles the requests on them.

#include "acaciahold/Http/server.h"

#include <exception>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <sys/socket.h>

#include "acaciahold/Link/link.h"

namespace acaciahold::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;
using boost::system::error_code;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
using Parser = beast::http::request_parser<beast::http::string_body>;

// Completes when the client has closed the connection. If bytes of a pipelined
// request arrive first, a disconnect can no longer be detected and this waits
// until it is canceled; the bytes are read after the response.
asio::awaitable<void> WaitForDisconnect(tcp::socket& socket) {
  while (true) {
    auto [ec] = co_await socket.async_wait(tcp::socket::wait_read, kToken);
    char byte = 0;
    auto n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    bool is_disconnected = ec || n == 0 || (n < 0 && errno != EAGAIN);
    if (is_disconnected) {
      co_return;
    }
    if (n > 0) {
      // Waits for the cancellation that follows when the handler completes.
      asio::steady_timer never(co_await asio::this_coro::executor);
      never.expires_at(asio::steady_timer::time_point::max());
      co_await never.async_wait(kToken);
      co_return;
    }
  }
}

asio::awaitable<void> SendProblem(beast::tcp_stream& stream,
                                  Status status,
                                  std::string_view type,
                                  std::string_view detail) {
  auto problem = MakeProblem(status, type, type, detail);
  problem.keep_alive(false);
  co_await beast::http::async_write(stream, problem, kToken);
}

asio::awaitable<void> RejectRequest(beast::tcp_stream& stream,
                                    error_code ec,
                                    ServerCounters& counters) {
  if (ec == beast::http::error::body_limit) {
    ++counters.body_too_large;
    co_await SendProblem(stream, Status::payload_too_large, "body-too-large",
                         "the body is longer than this host accepts");
    co_return;
  }
  bool is_incomplete = ec == beast::error::timeout ||
                       ec == beast::http::error::partial_message ||
                       ec == asio::error::connection_reset ||
                       ec == asio::error::operation_aborted;
  if (is_incomplete) {
    ++counters.incomplete;
    co_return;
  }
  ++counters.malformed;
  co_await SendProblem(stream, Status::bad_request, "malformed-request",
                       ec.message());
}

// Increments a counter for its lifetime.
class ScopedCounter {
 public:
  explicit ScopedCounter(std::atomic<uint32_t>& count) : count_(count) {
    ++count_;
  }
  ScopedCounter(const ScopedCounter&) = delete;
  ScopedCounter& operator=(const ScopedCounter&) = delete;
  ~ScopedCounter() { --count_; }

 private:
  std::atomic<uint32_t>& count_;
};

}  // namespace

Server::Server(asio::io_context& io, ServerLimits limits, Handler handler)
    : io_(io), limits_(limits), handler_(std::move(handler)), acceptor_(io) {}

Result<std::shared_ptr<Server>> Server::Listen(asio::io_context& io,
                                               Endpoint endpoint,
                                               ServerLimits limits,
                                               Handler handler) {
  std::shared_ptr<Server> server(new Server(io, limits, std::move(handler)));
  BOOST_LEAF_CHECK(link::OpenAcceptor(server->acceptor_, endpoint));
  return server;
}

void Server::Start() {
  asio::co_spawn(io_, AcceptLoop(), asio::detached);
}

void Server::Stop() {
  is_stopping_ = true;
  asio::post(acceptor_.get_executor(), [this] {
    error_code ec;
    acceptor_.close(ec);
  });
}

asio::awaitable<void> Server::AcceptLoop() {
  while (!is_stopping_) {
    auto [ec, socket] =
        co_await acceptor_.async_accept(asio::make_strand(io_), kToken);
    if (ec == asio::error::operation_aborted || !acceptor_.is_open()) {
      co_return;
    }
    if (ec) {
      continue;
    }
    if (open_connections_ >= limits_.max_connections) {
      ++counters_.too_many_connections;
      continue;  // Closes the socket.
    }
    auto executor = socket.get_executor();
    asio::co_spawn(executor,
                   ServeConnection(shared_from_this(), std::move(socket)),
                   asio::detached);
  }
}

asio::awaitable<void> Server::ServeConnection(std::shared_ptr<Server> server,
                                              Socket socket) {
  using asio::experimental::awaitable_operators::operator||;
  ScopedCounter count(server->open_connections_);
  auto& counters = server->counters_;
  error_code option_ec;
  socket.set_option(tcp::no_delay(true), option_ec);
  beast::tcp_stream stream(std::move(socket));
  beast::flat_buffer buf;
  while (!server->is_stopping_) {
    Parser parser;
    parser.body_limit(server->limits_.max_body_bytes);
    parser.header_limit(server->limits_.max_header_bytes);
    if (buf.size() == 0) {
      // kTransferTimeout starts at the first byte of the request.
      stream.expires_after(kIdleTimeout);
      auto [ec, n] = co_await stream.async_read_some(buf.prepare(4096), kToken);
      if (ec) {
        co_return;
      }
      buf.commit(n);
    }
    stream.expires_after(kTransferTimeout);
    auto [read_ec, n] =
        co_await beast::http::async_read(stream, buf, parser, kToken);
    if (read_ec == beast::http::error::end_of_stream) {
      co_return;
    }
    if (read_ec) {
      stream.expires_after(kTransferTimeout);
      co_await RejectRequest(stream, read_ec, counters);
      co_return;
    }
    ++counters.requests;
    stream.expires_never();
    bool keep_alive = parser.get().keep_alive();
    auto answer = co_await (server->handler_(parser.release()) ||
                            WaitForDisconnect(stream.socket()));
    if (answer.index() == 1) {
      ++counters.client_disconnected;
      co_return;
    }
    auto& response = std::get<0>(answer);
    response.keep_alive(keep_alive && !server->is_stopping_);
    stream.expires_after(kTransferTimeout);
    auto [write_ec, written] =
        co_await beast::http::async_write(stream, response, kToken);
    if (write_ec || !response.keep_alive()) {
      co_return;
    }
  }
}

}  // namespace acaciahold::http
