// Blocking HTTP requests; each runs its own event loop.

#include "acaciahold/Operator/connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "acaciahold/Http/client.h"

namespace acaciahold::op {
namespace {

constexpr std::chrono::seconds kRequestTimeout{12};

http::FetchResult SendToHost(Endpoint host, const http::Request& request) {
  boost::asio::io_context io;
  http::Client client(io);
  http::FetchResult result;
  boost::asio::co_spawn(
      io, client.Fetch(host, request, ReadClock() + kRequestTimeout),
      [&](std::exception_ptr, http::FetchResult fetch_result) {
        result = std::move(fetch_result);
      });
  io.run();
  return result;
}

}  // namespace

ApiResponse SendWithFailover(std::span<const Endpoint> hosts,
                             http::Verb verb,
                             const std::string& target,
                             const std::string& body) {
  http::Request request(verb, target, 11);
  request.body() = body;
  ApiResponse response;
  for (auto host : hosts) {
    auto result = SendToHost(host, request);
    if (result.end != http::FetchOutcome::kAnswer) {
      continue;
    }
    boost::json::error_code ec;
    response.status = result.response.result_int();
    response.body = boost::json::parse(result.response.body(), ec);
    response.from = host;
    if (result.response.result() != http::Status::service_unavailable) {
      return response;
    }
  }
  return response;
}

}  // namespace acaciahold::op
