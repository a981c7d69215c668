// Sending requests over kept or new connections.

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

// Whether the other side neither closed the connection nor sent anything that
// was not asked for.
bool IsQuiet(beast::tcp_stream& stream) {
  char byte = 0;
  auto n = ::recv(stream.socket().native_handle(), &byte, 1,
                  MSG_PEEK | MSG_DONTWAIT);
  return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

std::chrono::steady_clock::time_point ToSteady(Instant deadline) {
  auto left = std::max(Duration::zero(), deadline - ReadClock());
  return std::chrono::steady_clock::now() + left;
}

// Whether the answer names another attempt than the one that was asked.
bool IsCrossed(const Request& request, const Response& response) {
  auto asked = request.find(kAttemptHeader);
  auto answered = response.find(kAttemptHeader);
  return asked != request.end() && answered != response.end() &&
         asked->value() != answered->value();
}

}  // namespace

std::unique_ptr<Client::Stream> Client::TakeIdle(Endpoint to) {
  std::lock_guard lock(mutex_);
  auto it = idle_.find(to);
  while (it != idle_.end() && !it->second.empty()) {
    auto stream = std::move(it->second.back());
    it->second.pop_back();
    if (IsQuiet(*stream)) {
      return stream;
    }
  }
  return nullptr;
}

void Client::KeepIdle(Endpoint to, std::unique_ptr<Stream> stream) {
  std::lock_guard lock(mutex_);
  auto& streams = idle_[to];
  if (streams.size() < kMaxIdleConnections) {
    stream->expires_never();
    streams.push_back(std::move(stream));
  }
}

asio::awaitable<FetchResult> Client::Fetch(Endpoint to,
                                           Request request,
                                           Instant deadline) {
  auto stream = TakeIdle(to);
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
        std::min(ToSteady(deadline),
                 std::chrono::steady_clock::now() + kConnectTimeout));
    tcp::endpoint at(asio::ip::address_v4(to.address), to.port);
    auto [ec] = co_await stream->async_connect(at, kToken);
    if (ec) {
      co_return result;
    }
    boost::system::error_code option_ec;
    stream->socket().set_option(tcp::no_delay(true), option_ec);
  }
  stream->expires_at(ToSteady(deadline));
  request.version(11);
  request.keep_alive(true);
  request.set(Field::host, FormatEndpoint(to));
  request.prepare_payload();
  auto [write_ec, written] =
      co_await beast::http::async_write(*stream, request, kToken);
  if (write_ec && written == 0) {
    co_return result;
  }
  result.end = FetchEnd::kNoAnswer;
  // After a failed write there may still be an early answer to read.
  beast::flat_buffer buf;
  beast::http::response_parser<beast::http::string_body> parser;
  parser.body_limit(kMaxAnswerBytes);
  if (request.method() == Verb::head) {
    parser.skip(true);
  }
  auto [read_ec, n] =
      co_await beast::http::async_read(*stream, buf, parser, kToken);
  // An answer that only the connection's end delimits can't be told from one
  // that was cut.
  bool is_whole = !read_ec && !parser.need_eof();
  if (!is_whole || IsCrossed(request, parser.get())) {
    co_return result;
  }
  bool keep = !write_ec && parser.get().keep_alive() && buf.size() == 0;
  result.response = parser.release();
  result.end = FetchEnd::kAnswer;
  if (keep) {
    KeepIdle(to, std::move(stream));
  }
  co_return result;
}

}  // namespace acaciahold::http
