// Tests of the messages between hosts: what is written is read, and no bytes
// do harm.

#include "acaciahold/Wire/peer_message.h"

#include <boost/test/unit_test.hpp>

#include "../check_property.h"

namespace acaciahold::wire {

namespace {

std::optional<PeerMessage> RoundTrip(const PeerMessage& message,
                                     std::string& storage) {
  auto bytes = Encode(message);
  return Decode(std::as_bytes(std::span(bytes)), storage);
}

}  // namespace

BOOST_AUTO_TEST_CASE(KeepsAProbe) {
  Gossip gossip;
  gossip.probe.kind = membership::ProbeKind::kPingRequest;
  gossip.probe.from = 5;
  gossip.probe.sequence = 9;
  gossip.probe.updates = {{{7, "entry-7", "fd2", {1, 2}, {3, 4}, 11},
                           membership::MemberState::kSuspect,
                           3}};
  gossip.table_revision = 12;
  gossip.upstreams = {
      {{"orders", {9, 80}, "fd1", 3, 0, 4, upstream::Phase::kDraining}, 6, 2}};
  std::string storage;
  auto decoded = RoundTrip(gossip, storage);
  BOOST_REQUIRE(decoded);
  const auto& copy = std::get<Gossip>(*decoded);
  BOOST_CHECK(copy.probe.kind == gossip.probe.kind);
  BOOST_CHECK(copy.probe.updates == gossip.probe.updates);
  BOOST_TEST(copy.table_revision == 12U);
  BOOST_CHECK(copy.upstreams.at(0).announcement.phase ==
              upstream::Phase::kDraining);
  BOOST_TEST(copy.upstreams.at(0).ramp_step == 2U);
}

BOOST_AUTO_TEST_CASE(KeepsNoticesAndPackets) {
  NoticeBatch batch{3, 4, 5, {{6, 7, 8, 9, {{10, 11}}, {12}, true}}};
  std::string storage;
  auto decoded = RoundTrip(batch, storage);
  BOOST_REQUIRE(decoded);
  BOOST_CHECK(std::get<NoticeBatch>(*decoded).notices == batch.notices);
  std::vector<std::byte> inner(40, std::byte{7});
  decoded = RoundTrip(PassedPacket{1, true, {2, 3}, 4, inner}, storage);
  BOOST_REQUIRE(decoded);
  const auto& packet = std::get<PassedPacket>(*decoded);
  BOOST_TEST(packet.is_acting);
  BOOST_TEST(std::equal(inner.begin(), inner.end(), packet.inner.begin(),
                        packet.inner.end()));
}

BOOST_AUTO_TEST_CASE(KeepsSharesAndHandoffs) {
  admission::ShareReport report;
  report.service = 1;
  report.host = 2;
  report.incarnation = 3;
  report.held = 4;
  report.is_record = true;
  std::string storage;
  auto decoded = RoundTrip(ShareReports{2, 3, {report}, 0, 0}, storage);
  BOOST_REQUIRE(decoded);
  const auto& copy = std::get<ShareReports>(*decoded).reports.at(0);
  BOOST_TEST(copy.host == 2U);
  BOOST_TEST(copy.held == 4U);
  BOOST_TEST(copy.is_record);
  Handoff handoff;
  handoff.held_services = {5, 6};
  LedgerState state{7, 8, {}};
  state.ledger.entries[9] = {1, 2, 3, 4, Instant(), false};
  state.ledger.frozen[{6, 7}] = {4, FromUnixMillis(5)};
  handoff.ledgers.push_back(state);
  auto again = DecodeHandoff(EncodeHandoff(handoff));
  BOOST_REQUIRE(again);
  BOOST_TEST(again->held_services == handoff.held_services);
  BOOST_TEST(again->ledgers.at(0).ledger.entries.at(9).amount == 3U);
  BOOST_CHECK(again->ledgers.at(0).ledger.frozen.at({6, 7}).release_deadline ==
              FromUnixMillis(5));
}

BOOST_AUTO_TEST_CASE(RefusesNumbersOutOfRange) {
  NoticeBatch batch{3, 4, 5, {{6, 7, 8, 9, {}, {}, false}}};
  batch.notices[0].bucket = steering::kBucketsPerService;
  std::string storage;
  BOOST_TEST(!RoundTrip(batch, storage));
}

BOOST_AUTO_TEST_CASE(SurvivesRandomBytes) {
  CheckProperty(61, 20'000, [](std::vector<uint8_t> noise, uint8_t place) {
    std::string storage;
    Decode(std::as_bytes(std::span(noise)), storage);
    DecodeHandoff({reinterpret_cast<const char*>(noise.data()), noise.size()});
    auto bytes = Encode(NoticeBatch{3, 4, 5, {{6, 7, 8, 9, {{1, 2}}, {}, 0}}});
    for (size_t i = 0; i < noise.size(); ++i) {
      bytes[(place + i) % bytes.size()] = static_cast<char>(noise[i]);
    }
    Decode(std::as_bytes(std::span(bytes)), storage);
  });
}

}  // namespace acaciahold::wire
