// Blocking HTTP exchanges.

#include "acaciahold/Operator/connection.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>

#include "acaciahold/Http/client.h"

namespace acaciahold::op {
namespace {

constexpr std::chrono::seconds kAskTimeout{12};

http::FetchResult AskOne(Endpoint host, const http::Request& request) {
  boost::asio::io_context io;
  http::Client client(io);
  http::FetchResult result;
  boost::asio::co_spawn(io,
                        client.Fetch(host, request, ReadClock() + kAskTimeout),
                        [&](std::exception_ptr, http::FetchResult fetched) {
                          result = std::move(fetched);
                        });
  io.run();
  return result;
}

}  // namespace

Answer Ask(std::span<const Endpoint> hosts,
           http::Verb verb,
           const std::string& target,
           const std::string& body) {
  http::Request request(verb, target, 11);
  request.body() = body;
  Answer answer;
  for (auto host : hosts) {
    auto result = AskOne(host, request);
    if (result.end != http::FetchEnd::kAnswer) {
      continue;
    }
    boost::json::error_code ec;
    answer.status = result.response.result_int();
    answer.body = boost::json::parse(result.response.body(), ec);
    answer.from = host;
    if (result.response.result() != http::Status::service_unavailable) {
      return answer;
    }
  }
  return answer;
}

}  // namespace acaciahold::op
