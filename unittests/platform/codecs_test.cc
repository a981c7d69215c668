// Tests of the platform's packet header and JSON documents.

#include <array>
#include <cstring>
#include <functional>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "documents.h"
#include "packet_header.h"

namespace acaciahold::platform {
namespace {

// A buffer that holds a packet, with room for an upstream's id before it, like
// the buffers of node::PacketPort.
class PacketBuffer {
 public:
  explicit PacketBuffer(std::vector<unsigned char> bytes)
      : bytes_(kUpstreamIdBytes + bytes.size()) {
    std::memcpy(bytes_.data() + kUpstreamIdBytes, bytes.data(), bytes.size());
  }
  std::span<std::byte> packet() {
    return std::span(bytes_).subspan(kUpstreamIdBytes);
  }

 private:
  std::vector<std::byte> bytes_;
};

// The example of an opening packet from the platform's documentation.
std::vector<unsigned char> ExampleOpeningPacket() {
  return {0xd5, 0xc3, 0xb2, 0xa1, 0x10, 0x00, 0x00, 0x00, 0x00,
          0x00, 0x00, 0x00, 0x44, 0x33, 0x22, 0x11, 0x00, 0x00,
          0x00, 0x00, 0xbb, 0x01, 0x07, 0x00, 0x40, 0x64, 0x01,
          0x00, 0x12, 0xc6, 0x41, 0x9c, 0x00, 0x00};
}

std::vector<unsigned char> ToVector(std::span<const std::byte> bytes) {
  std::vector<unsigned char> copy(bytes.size());
  std::memcpy(copy.data(), bytes.data(), bytes.size());
  return copy;
}

constexpr std::string_view kHeartbeat =
    R"({"service":"s","addr":"10.128.0.9:8080","zone":"a","version":"v1",)"
    R"("slots":2,"state":"ready","warmupLeftMs":12.5,"seq":4,"born":99})";

std::string MakeConfig(const std::string& route, const std::string& version) {
  return R"({"version":)" + version + R"(,"routes":[)" + route +
         R"(],"services":[{"name":"s","healthPath":"/h","maxConns":9,)"
         R"("warmupS":2.0,"warmupPerS":1.5}],"limits":{"idleTimeoutMs":15000}})";
}

constexpr const char* kRoute =
    R"({"name":"r","host":"198.18.0.1","prefix":"/8443/","kind":"safe",)"
    R"("timeoutMs":800,"service":"s"})";

}  // namespace

BOOST_AUTO_TEST_CASE(ParsesExampleOpeningPacket) {
  PacketBuffer buffer(ExampleOpeningPacket());
  auto header = ParsePacketHeader(buffer.packet());
  BOOST_REQUIRE(header.has_value());
  BOOST_TEST(header->is_opening);
  BOOST_TEST(FormatEndpoint(header->flow.caller) == "100.64.0.7:40001");
  BOOST_TEST(FormatEndpoint(header->flow.listener) == "198.18.0.1:443");
  BOOST_TEST(header->sequence == 0x11223344U);
  BOOST_TEST(header->tag == 0U);
}

BOOST_AUTO_TEST_CASE(MakesExampleReset) {
  PacketBuffer buffer(ExampleOpeningPacket());
  auto header = ParsePacketHeader(buffer.packet());
  const std::vector<unsigned char> expected{
      0x00, 0x00, 0x00, 0x00, 0x08, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
      0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x41, 0x9c, 0x01, 0x00,
      0x12, 0xc6, 0x07, 0x00, 0x40, 0x64, 0xbb, 0x01, 0x00, 0x00};
  BOOST_CHECK(ToVector(MakeReset(buffer.packet(), *header)) == expected);
}

BOOST_AUTO_TEST_CASE(WriteTagChangesOnlyTheTag) {
  PacketBuffer buffer(ExampleOpeningPacket());
  WriteTag(buffer.packet(), 0xa1b2c3d4);
  auto expected = ExampleOpeningPacket();
  expected[8] = 0xd4;
  expected[9] = 0xc3;
  expected[10] = 0xb2;
  expected[11] = 0xa1;
  BOOST_CHECK(ToVector(buffer.packet()) == expected);
  BOOST_TEST(ParsePacketHeader(buffer.packet())->tag == 0xa1b2c3d4U);
}

BOOST_AUTO_TEST_CASE(PrependsUpstreamIdToPacket) {
  PacketBuffer buffer(ExampleOpeningPacket());
  auto prefixed_packet = PrependUpstreamId(buffer.packet(), 0x7f3a91c2);
  auto bytes = ToVector(prefixed_packet);
  BOOST_REQUIRE(bytes.size() == kPacketHeaderBytes + kUpstreamIdBytes);
  const std::vector<unsigned char> id{0, 0, 0, 0, 0x7f, 0x3a, 0x91, 0xc2};
  BOOST_CHECK(std::vector<unsigned char>(bytes.begin(), bytes.begin() + 8) ==
              id);
}

BOOST_AUTO_TEST_CASE(RejectsTruncatedPackets) {
  auto bytes = ExampleOpeningPacket();
  bytes.pop_back();
  BOOST_CHECK(!ParsePacketHeader(PacketBuffer(bytes).packet()));
  bytes = ExampleOpeningPacket();
  bytes[32] = 5;  // Data length, but no data follows the header.
  BOOST_CHECK(!ParsePacketHeader(PacketBuffer(bytes).packet()));
}

BOOST_AUTO_TEST_CASE(ParsesUpstreamIdsFromHexDigits) {
  BOOST_TEST(*ParseUpstreamId("i-7f3a91c2") == 0x7f3a91c2U);
  BOOST_CHECK(!ParseUpstreamId("i-"));
  BOOST_CHECK(!ParseUpstreamId("i-00112233445566778"));
}

// Guards against a packet that is not sent since another one of its caller with
// the same sequence number waits for the link: the first request of a flow
// after the acknowledgement that opened it, a later acknowledgement, a packet
// of a flow to another listener or upstream.
BOOST_AUTO_TEST_CASE(OnlyRetransmissionsHaveTheKeyOfAPacket) {
  PacketHeader request;
  request.flow = {{1, 4'000}, {7, 443}};
  request.sequence = 100;
  request.acknowledged = 50;
  request.data_bytes = 60;
  auto key = RetransmissionKey(request, 1);
  auto repeated = request;
  repeated.acknowledged = 80;
  repeated.tag = 9;
  BOOST_TEST(RetransmissionKey(repeated, 1) == key);
  BOOST_TEST(RetransmissionKey(request, 2) != key);
  auto changed = [&](const std::function<void(PacketHeader&)>& change) {
    auto header = request;
    change(header);
    return RetransmissionKey(header, 1);
  };
  BOOST_TEST(changed([](auto& it) { it.data_bytes = 0; }) != key);
  BOOST_TEST(changed([](auto& it) { it.is_closing = true; }) != key);
  BOOST_TEST(changed([](auto& it) { it.sequence = 160; }) != key);
  BOOST_TEST(changed([](auto& it) { it.flow.listener.port = 444; }) != key);
  auto bare = request;
  bare.data_bytes = 0;
  auto later = bare;
  later.acknowledged = 80;
  BOOST_TEST(RetransmissionKey(later, 1) != RetransmissionKey(bare, 1));
  PacketHeader opening;
  opening.is_opening = true;
  auto copy = opening;
  copy.acknowledged = 1;
  BOOST_TEST(RetransmissionKey(copy, 1) == RetransmissionKey(opening, 1));
}

// Upstreams are addressed by the number: texts that are read as the same number
// are one upstream.
BOOST_AUTO_TEST_CASE(UpstreamIdsAreEqualIfTheirNumbersAre) {
  BOOST_TEST(*ParseUpstreamId("i-7F3A91C2") == 0x7f3a91c2U);
  BOOST_TEST(*ParseUpstreamId("i-000000007f3a91c2") == 0x7f3a91c2U);
}

// Guards against an upstream with the number 0, whose packets any other one at
// its address would take.
BOOST_AUTO_TEST_CASE(RejectsTheUpstreamIdThatStandsForAny) {
  for (const auto* text : {"i-0", "i-0000000000000000"}) {
    std::string error;
    leaf::try_handle_all(
        [&]() -> Result<void> {
          BOOST_LEAF_CHECK(ParseUpstreamId(text));
          return {};
        },
        [&](const FieldError& e) { error = Describe(e); }, [] {});
    BOOST_TEST(error.find("id") != std::string::npos);
    BOOST_TEST(error.find(text) != std::string::npos);
  }
}

BOOST_AUTO_TEST_CASE(ParsesHeartbeat) {
  auto record = ParseHeartbeat(5, kHeartbeat);
  BOOST_REQUIRE(record.has_value());
  BOOST_TEST(record->id == 5U);
  BOOST_TEST(FormatEndpoint(record->endpoint) == "10.128.0.9:8080");
  BOOST_TEST(record->failure_domain == "a");
  BOOST_TEST(record->cold_ms == 13U);
  BOOST_TEST(record->born_ms == 99);
  BOOST_CHECK(record->phase == directory::Phase::kServing);
}

BOOST_AUTO_TEST_CASE(RejectsMalformedHeartbeats) {
  for (std::string_view body :
       {R"({"service":"s"})", "{", "[]",
        R"({"service":"s","addr":"x","zone":"a","slots":2,"state":"ready",)"
        R"("warmupLeftMs":0,"seq":4})",
        R"({"service":"s","addr":"1.1.1.1:1","zone":"a","slots":2,)"
        R"("state":"odd","warmupLeftMs":0,"seq":4})",
        R"({"service":"s","addr":"1.1.1.1:1","zone":"a","slots":"2",)"
        R"("state":"ready","warmupLeftMs":0,"seq":4})",
        R"({"service":"s","addr":"1.1.1.1:1","zone":"a","slots":2,)"
        R"("state":"ready","warmupLeftMs":-1,"seq":4})"}) {
    BOOST_CHECK(!ParseHeartbeat(5, body));
  }
}

BOOST_AUTO_TEST_CASE(ParsesOptionalDepartureStartTime) {
  BOOST_TEST(ParseDepartureStartTime("") == 0);
  BOOST_TEST(ParseDepartureStartTime("{}") == 0);
  BOOST_TEST(ParseDepartureStartTime(R"({"born":7})") == 7);
  BOOST_TEST(ParseDepartureStartTime(R"({"born":"x"})") == 0);
}

BOOST_AUTO_TEST_CASE(ParsesConfig) {
  auto document = ParseConfig(MakeConfig(kRoute, "7"));
  BOOST_REQUIRE(document.has_value());
  BOOST_TEST(document->errors.empty());
  const auto& catalog = document->catalog;
  BOOST_TEST(catalog.version == 7U);
  BOOST_REQUIRE(catalog.listeners.size() == 1U);
  BOOST_TEST(FormatEndpoint(catalog.listeners[0].endpoint) ==
             "198.18.0.1:8443");
  BOOST_TEST(catalog.services[0].cold_flows_per_second == 1.5);
  BOOST_TEST(catalog.idle_timeout_ms == 15'000U);
}

BOOST_AUTO_TEST_CASE(ParsesSplitWeights) {
  auto document = ParseConfig(MakeConfig(
      R"({"name":"r","host":"198.18.0.1","prefix":"/8443/","timeoutMs":800,)"
      R"("split":[{"service":"s","weight":90},{"service":"s","weight":10}]})",
      "7"));
  BOOST_REQUIRE(document.has_value());
  BOOST_TEST(document->catalog.listeners[0].targets[0].weight == 90U);
}

BOOST_AUTO_TEST_CASE(ParsesTermsOfRoutes) {
  using catalog::Repetition;
  auto document = ParseConfig(
      R"({"version":7,"services":[{"name":"s"}],"routes":[)"
      R"({"name":"a","host":"198.18.0.1","prefix":"/80/","service":"s",)"
      R"("kind":"safe","timeoutMs":800,"goalMs":120.5,"priority":2},)"
      R"({"name":"b","host":"198.18.0.1","prefix":"/81/","service":"s",)"
      R"("kind":"upload","timeoutMs":800}]})");
  BOOST_REQUIRE(document.has_value());
  const auto& listeners = document->catalog.listeners;
  BOOST_CHECK((listeners.at(0).terms ==
               catalog::RouteTerms{Repetition::kIdempotent, 800, 121, 2}));
  BOOST_CHECK((listeners.at(1).terms ==
               catalog::RouteTerms{Repetition::kAtMostOnce, 800, 0, {}}));
  BOOST_TEST(document->notes.empty());
}

// Guards against a valid table that is refused for a term that can't be read.
BOOST_AUTO_TEST_CASE(UnreadableTermsAreNotedAndMissing) {
  auto document = ParseConfig(
      R"({"version":7,"services":[{"name":"s"}],"routes":[)"
      R"({"name":"a","host":"198.18.0.1","prefix":"/80/","service":"s",)"
      R"("kind":4,"timeoutMs":800,"goalMs":"soon","priority":-1}]})");
  BOOST_REQUIRE(document.has_value());
  BOOST_TEST(document->errors.empty());
  BOOST_CHECK((document->catalog.listeners.at(0).terms ==
               catalog::RouteTerms{catalog::Repetition::kUnknown, 800, 0, {}}));
  BOOST_REQUIRE(document->notes.size() == 3U);
  BOOST_TEST(document->notes[1].field == "routes.a.goalMs");
  BOOST_TEST(document->notes[1].value == "\"soon\"");
}

BOOST_AUTO_TEST_CASE(ReportsErrorsOfInvalidConfigs) {
  auto no_timeout = ParseConfig(MakeConfig(
      R"({"name":"r","host":"198.18.0.1","prefix":"/8443/","timeoutMs":0,)"
      R"("service":"s"})",
      "7"));
  BOOST_REQUIRE(no_timeout.has_value());
  BOOST_REQUIRE(no_timeout->errors.size() == 1U);
  BOOST_TEST(no_timeout->errors[0].field == "routes.r.timeoutMs");
  auto unknown_service = ParseConfig(MakeConfig(
      R"({"name":"r","host":"198.18.0.1","prefix":"/8443/","timeoutMs":1,)"
      R"("service":"t"})",
      "7"));
  BOOST_REQUIRE(unknown_service.has_value());
  BOOST_TEST(unknown_service->errors.size() == 1U);
  auto duplicate_route =
      ParseConfig(MakeConfig(std::string(kRoute) + "," + kRoute, "7"));
  BOOST_REQUIRE(duplicate_route.has_value());
  BOOST_TEST(duplicate_route->errors.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RejectsMalformedConfigs) {
  auto valid_body = MakeConfig(kRoute, "7");
  BOOST_CHECK(!ParseConfig(valid_body.substr(0, valid_body.size() - 1)));
  BOOST_CHECK(!ParseConfig(MakeConfig(kRoute, "\"7\"")));
  BOOST_CHECK(!ParseConfig("{}"));
  BOOST_CHECK(!ParseConfig(
      MakeConfig(R"({"name":"r","host":"here","prefix":"/8443/","timeoutMs":1,)"
                 R"("service":"s"})",
                 "7")));
  BOOST_CHECK(!ParseConfig(
      MakeConfig(R"({"name":"r","host":"1.1.1.1","prefix":"/x/","timeoutMs":1,)"
                 R"("service":"s"})",
                 "7")));
}

}  // namespace acaciahold::platform
