// Tests that malformed and hostile input stops no process, and that what is
// dropped is counted in the metrics by reason.

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

// Returns the value of a metric, given with its labels, or -1 if it is not on
// the metrics page.
double ReadMetric(Endpoint admin_endpoint, const std::string& line) {
  auto text = GetText(admin_endpoint, "/metrics");
  auto pos = text.find(line + " ");
  return pos == std::string::npos ? -1
                                  : std::stod(text.substr(pos + line.size()));
}

boost::asio::ip::tcp::socket Connect(boost::asio::io_context& io, Endpoint to) {
  boost::asio::ip::tcp::socket socket(io);
  socket.connect({boost::asio::ip::address_v4(to.address), to.port});
  return socket;
}

std::vector<std::byte> RandomBytes(std::mt19937_64& random) {
  std::vector<std::byte> bytes(random() % 200);
  for (auto& byte : bytes) {
    byte = static_cast<std::byte>(random());
  }
  return bytes;
}

}  // namespace

BOOST_AUTO_TEST_CASE(HostsKeepServingUnderMalformedPacketsAndRequests) {
  DeploymentOptions deployment_options;
  deployment_options.max_body_bytes = 1U << 20U;
  Scenario scenario(
      "hostile", {.deployment = deployment_options, .order_upstream_count = 4});
  auto& host = scenario.deployment->entry_hosts()[0];
  std::mt19937_64 random(9);

  for (int i = 0; i < 10'000; ++i) {
    scenario.flow_simulator->SendRaw(host.packet_endpoint, RandomBytes(random));
    scenario.flow_simulator->SendRaw(host.peer_endpoint, RandomBytes(random));
  }
  auto truncated_syn = BuildTcp({1, 2}, kFeedService, true);
  truncated_syn.resize(truncated_syn.size() - 4);
  scenario.flow_simulator->SendRaw(host.packet_endpoint, truncated_syn);

  boost::asio::io_context io;
  auto truncated_request = Connect(io, host.request_endpoint);
  boost::asio::write(truncated_request,
                     boost::asio::buffer(
                         std::string("POST /orders/x HTTP/1.1\r\nContent-Le")));
  truncated_request.close();
  auto malformed_request = Connect(io, host.request_endpoint);
  boost::asio::write(malformed_request,
                     boost::asio::buffer(std::string("\x16\x03\r\n")));
  auto oversized_request = Connect(io, host.request_endpoint);
  boost::asio::write(oversized_request, boost::asio::buffer(std::string(
                                            "POST /orders/x HTTP/1.1\r\nHost: "
                                            "a\r\nContent-Length: "
                                            "100000000\r\n\r\n")));
  std::string chunk(1U << 16U, 'x');
  boost::system::error_code ec;
  for (int i = 0; i < 1'600 && !ec; ++i) {
    boost::asio::write(oversized_request, boost::asio::buffer(chunk), ec);
  }

  auto admin_endpoint = host.admin_endpoint;
  BOOST_TEST(AwaitCondition(
      [&] {
        return ReadMetric(admin_endpoint,
                          "acaciahold_packets_dropped_total{reason=\"wrong-"
                          "length\"}") > 0;
      },
      seconds(8)));
  BOOST_TEST(ReadMetric(admin_endpoint,
                        "acaciahold_packets_dropped_total{reason="
                        "\"not-ipv4\"}") > 0);
  BOOST_TEST(ReadMetric(admin_endpoint,
                        "acaciahold_packets_dropped_total{reason="
                        "\"malformed-peer-message\"}") > 0);
  BOOST_TEST(AwaitCondition(
      [&] {
        return ReadMetric(admin_endpoint,
                          "acaciahold_http_callers_rejected_total{reason="
                          "\"body-too-large\"}") == 1 &&
               ReadMetric(admin_endpoint,
                          "acaciahold_http_callers_rejected_total{reason="
                          "\"malformed\"}") == 1 &&
               ReadMetric(admin_endpoint,
                          "acaciahold_http_callers_rejected_total{reason="
                          "\"incomplete\"}") == 1;
      },
      seconds(8)));

  RequestLoad load(scenario.RequestEndpoints(), "/orders/new", 3);
  load.Start(50, milliseconds(2'000), true);
  load.AwaitCompletion();
  for (const auto& order : load.Orders()) {
    BOOST_CHECK(order.outcome == OrderOutcome::kAnswered);
  }
  for (auto& entry : scenario.deployment->entry_hosts()) {
    BOOST_CHECK(GetJson(entry.admin_endpoint, "/v1/status").is_object());
  }
}

}  // namespace acaciahold::standins
