// Sends requests over idle or new connections.

#include "acaciahold/Http/client.h"

#include <algorithm>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <sys/socket.h>

namespace acaciahold::http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
using asio::ip::tcp;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);

// Whether the server has neither closed the connection nor sent unrequested
// data.
bool IsReusable(beast::tcp_stream& stream) {
  char byte = 0;
  auto n = ::recv(stream.socket().native_handle(), &byte, 1,
                  MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::chrono::steady_clock::time_point ToSteadyTime(Instant deadline) {
  auto remaining = std::max(Duration::zero(), deadline - ReadClock());
  return std::chrono::steady_clock::now() + remaining;
}

// Whether the response names a different attempt than the request.
bool IsForOtherAttempt(const Request& request, const Response& response) {
  auto asked = request.find(kAttemptHeader);
  auto answered = response.find(kAttemptHeader);
  return asked != request.end() && answered != response.end() &&
         asked->value() != answered->value();
}

}  // namespace

std::unique_ptr<Client::Stream> Client::TakeIdleConnection(Endpoint to) {
  std::lock_guard lock(mutex_);
  auto it = idle_connections_.find(to);
  while (it != idle_connections_.end() && !it->second.empty()) {
    auto stream = std::move(it->second.back());
    it->second.pop_back();
    if (IsReusable(*stream)) {
      return stream;
    }
  }
  return nullptr;
}

void Client::PutIdleConnection(Endpoint to, std::unique_ptr<Stream> stream) {
  std::lock_guard lock(mutex_);
  auto& streams = idle_connections_[to];
  if (streams.size() < kMaxIdleConnections) {
    stream->expires_never();
    streams.push_back(std::move(stream));
  }
}

asio::awaitable<FetchResult> Client::Fetch(Endpoint to,
                                           Request request,
                                           Instant deadline) {
  auto stream = TakeIdleConnection(to);
  bool is_new = !stream;
  if (is_new) {
    stream = std::make_unique<Stream>(asio::make_strand(io_));
  }
  auto executor = stream->get_executor();
  co_return co_await asio::co_spawn(
      executor,
      Exchange(to, std::move(stream), is_new, std::move(request), deadline),
      asio::use_awaitable);
}

asio::awaitable<FetchResult> Client::Exchange(Endpoint to,
                                              std::unique_ptr<Stream> stream,
                                              bool is_new,
                                              Request request,
                                              Instant deadline) {
  FetchResult result;
  if (is_new) {
    stream->expires_at(
        std::min(ToSteadyTime(deadline),
                 std::chrono::steady_clock::now() + kConnectTimeout));
    tcp::endpoint tcp_endpoint(asio::ip::address_v4(to.address), to.port);
    auto [ec] = co_await stream->async_connect(tcp_endpoint, kToken);
    if (ec) {
      co_return result;
    }
    boost::system::error_code option_ec;
    stream->socket().set_option(tcp::no_delay(true), option_ec);
  }
  stream->expires_at(ToSteadyTime(deadline));
  request.version(11);
  request.keep_alive(true);
  request.set(Field::host, FormatEndpoint(to));
  request.prepare_payload();
  auto [write_ec, written] =
      co_await beast::http::async_write(*stream, request, kToken);
  if (write_ec && written == 0) {
    co_return result;
  }
  result.end = FetchOutcome::kNoAnswer;
  // If the write failed, the server may have responded before reading the whole
  // request.
  beast::flat_buffer buf;
  beast::http::response_parser<beast::http::string_body> parser;
  parser.body_limit(kMaxResponseBytes);
  if (request.method() == Verb::head) {
    parser.skip(true);
  }
  auto [read_ec, n] =
      co_await beast::http::async_read(*stream, buf, parser, kToken);
  // A response whose end is marked only by the end of the connection cannot be
  // distinguished from a truncated one.
  bool is_complete = !read_ec && !parser.need_eof();
  if (!is_complete || IsForOtherAttempt(request, parser.get())) {
    co_return result;
  }
  bool is_reusable = !write_ec && parser.get().keep_alive() && buf.size() == 0;
  result.response = parser.release();
  result.end = FetchOutcome::kAnswer;
  if (is_reusable) {
    PutIdleConnection(to, std::move(stream));
  }
  co_return result;
}

}  // namespace acaciahold::http
