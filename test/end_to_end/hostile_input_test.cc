// Input that no honest peer sends: every process goes on serving, and counts
// what it threw away under a reason.

#include <random>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "acaciahold/Host/udp.h"
#include "request_load.h"
#include "scenario.h"

namespace acaciahold::standins {
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

// The value of a metric's line; -1 where there is none.
double Metric(Endpoint admin, const std::string& line) {
  auto text = GetText(admin, "/metrics");
  auto at = text.find(line + " ");
  return at == std::string::npos ? -1
                                 : std::stod(text.substr(at + line.size()));
}

boost::asio::ip::tcp::socket Connect(boost::asio::io_context& io, Endpoint to) {
  boost::asio::ip::tcp::socket socket(io);
  socket.connect({boost::asio::ip::address_v4(to.address), to.port});
  return socket;
}

std::vector<std::byte> Noise(std::mt19937_64& random) {
  std::vector<std::byte> noise(random() % 200);
  for (auto& byte : noise) {
    byte = static_cast<std::byte>(random());
  }
  return noise;
}

}  // namespace

BOOST_AUTO_TEST_CASE(HostilePacketsAndRequestsLeaveEveryHostServing) {
  Layout layout;
  layout.max_body_bytes = 1U << 20U;
  Scenario scenario("hostile", {.layout = layout, .order_upstreams = 4});
  auto& host = scenario.deployment->entries()[0];
  std::mt19937_64 random(9);

  for (int i = 0; i < 10'000; ++i) {
    scenario.lab->SendRaw(host.packets, Noise(random));
    scenario.lab->SendRaw(host.peer, Noise(random));
  }
  auto cut = BuildTcp({1, 2}, kFeed, true);
  cut.resize(cut.size() - 4);
  scenario.lab->SendRaw(host.packets, cut);

  boost::asio::io_context io;
  auto half = Connect(io, host.requests);
  boost::asio::write(half, boost::asio::buffer(std::string(
                               "POST /orders/x HTTP/1.1\r\nContent-Le")));
  half.close();
  auto noise = Connect(io, host.requests);
  boost::asio::write(noise, boost::asio::buffer(std::string("\x16\x03\r\n")));
  auto large = Connect(io, host.requests);
  boost::asio::write(
      large, boost::asio::buffer(std::string("POST /orders/x HTTP/1.1\r\nHost: "
                                             "a\r\nContent-Length: "
                                             "100000000\r\n\r\n")));
  std::string chunk(1U << 16U, 'x');
  boost::system::error_code ec;
  for (int i = 0; i < 1'600 && !ec; ++i) {
    boost::asio::write(large, boost::asio::buffer(chunk), ec);
  }

  auto admin = host.admin;
  BOOST_TEST(AwaitCondition(
      [&] {
        return Metric(admin,
                      "acaciahold_packets_dropped_total{reason=\"wrong-"
                      "length\"}") > 0;
      },
      seconds(8)));
  BOOST_TEST(Metric(admin,
                    "acaciahold_packets_dropped_total{reason="
                    "\"not-ipv4\"}") > 0);
  BOOST_TEST(Metric(admin,
                    "acaciahold_packets_dropped_total{reason="
                    "\"malformed-peer-message\"}") > 0);
  BOOST_TEST(AwaitCondition(
      [&] {
        return Metric(admin,
                      "acaciahold_http_callers_rejected_total{reason="
                      "\"body-too-large\"}") == 1 &&
               Metric(admin,
                      "acaciahold_http_callers_rejected_total{reason="
                      "\"malformed\"}") == 1 &&
               Metric(admin,
                      "acaciahold_http_callers_rejected_total{reason="
                      "\"incomplete\"}") == 1;
      },
      seconds(8)));

  RequestLoad load(scenario.RequestEndpoints(), "/orders/new", 3);
  load.Start(50, milliseconds(2'000), true);
  load.Drain();
  for (const auto& order : load.Orders()) {
    BOOST_CHECK(order.end == OrderEnd::kAnswered);
  }
  for (auto& entry : scenario.deployment->entries()) {
    BOOST_CHECK(GetJson(entry.admin, "/v1/status").is_object());
  }
}

}  // namespace acaciahold::standins
