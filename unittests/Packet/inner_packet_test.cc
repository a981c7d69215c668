// Tests of inner packets: what is read, what is refused, and random bytes.

#include "acaciahold/Packet/inner_packet.h"

#include <boost/test/unit_test.hpp>
#include <tins/icmp.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>

#include "../check_property.h"

namespace acaciahold::packet {

namespace {

std::vector<std::byte> Bytes(Tins::IP ip) {
  auto buf = ip.serialize();
  const auto* begin = reinterpret_cast<const std::byte*>(buf.data());
  return {begin, begin + buf.size()};
}

Tins::IP Syn() {
  Tins::TCP tcp(7000, 40000);
  tcp.flags(Tins::TCP::SYN);
  tcp.seq(41);
  return Tins::IP("10.9.0.1", "10.200.0.1") / tcp;
}

}  // namespace

BOOST_AUTO_TEST_CASE(ReadsATcpFlow) {
  auto parsed = ParseInner(Bytes(Syn()));
  const auto* packet = std::get_if<InnerPacket>(&parsed);
  BOOST_REQUIRE(packet);
  BOOST_TEST(FormatEndpoint(packet->key.caller) == "10.200.0.1:40000");
  BOOST_TEST(FormatEndpoint(packet->key.service) == "10.9.0.1:7000");
  BOOST_TEST(packet->opens);
  BOOST_TEST(!packet->closes);
}

BOOST_AUTO_TEST_CASE(TellsProtocolsApart) {
  auto udp = Bytes(Tins::IP("10.9.0.1", "10.200.0.1") / Tins::UDP(7000, 40000));
  auto parsed = ParseInner(udp);
  const auto* packet = std::get_if<InnerPacket>(&parsed);
  BOOST_REQUIRE(packet);
  auto tcp = std::get<InnerPacket>(ParseInner(Bytes(Syn())));
  BOOST_TEST(Fingerprint(packet->key) != Fingerprint(tcp.key));
}

BOOST_AUTO_TEST_CASE(NamesWhatIsWrong) {
  auto good = Bytes(Syn());
  auto fault = [](std::span<const std::byte> bytes) {
    return std::get<PacketFault>(ParseInner(bytes));
  };
  BOOST_CHECK(fault(std::span(good).first(10)) == PacketFault::kTooShort);
  auto longer = good;
  longer.push_back(std::byte{0});
  BOOST_CHECK(fault(longer) == PacketFault::kWrongLength);
  auto six = good;
  six[0] = std::byte{0x65};
  BOOST_CHECK(fault(six) == PacketFault::kNotIpv4);
  auto fragment = Syn();
  fragment.flags(Tins::IP::MORE_FRAGMENTS);
  BOOST_CHECK(fault(Bytes(fragment)) == PacketFault::kFragment);
  auto cut = good;
  cut.resize(24);
  cut[3] = std::byte{24};
  BOOST_CHECK(fault(cut) == PacketFault::kMalformed);
}

BOOST_AUTO_TEST_CASE(RefusesWithAReset) {
  auto refusal = BuildRefusal(Bytes(Syn()));
  Tins::IP ip(reinterpret_cast<const uint8_t*>(refusal.data()), refusal.size());
  const auto* tcp = ip.find_pdu<Tins::TCP>();
  BOOST_REQUIRE(tcp);
  BOOST_TEST(ip.src_addr().to_string() == "10.9.0.1");
  BOOST_TEST(tcp->get_flag(Tins::TCP::RST) == 1);
  BOOST_TEST(tcp->ack_seq() == 42U);
  BOOST_TEST(tcp->dport() == 40000);
}

// libtins writes the checksums anew, so that equal bytes show equal checksums.
BOOST_AUTO_TEST_CASE(RefusalsHaveTheChecksumsOfAnotherLibrary) {
  auto reset = BuildRefusal(Bytes(Syn()));
  Tins::IP ip(reinterpret_cast<const uint8_t*>(reset.data()), reset.size());
  BOOST_TEST((Bytes(ip) == reset));
  auto datagram = Tins::IP("10.9.0.1", "10.200.0.1") / Tins::UDP(7000, 40000) /
                  Tins::RawPDU("seventeen bytes !");
  auto refused = Bytes(datagram);
  auto prohibited = BuildRefusal(refused);
  Tins::IP answer(reinterpret_cast<const uint8_t*>(prohibited.data()),
                  prohibited.size());
  const auto* icmp = answer.find_pdu<Tins::ICMP>();
  BOOST_REQUIRE(icmp);
  BOOST_TEST((icmp->type() == Tins::ICMP::DEST_UNREACHABLE));
  BOOST_TEST(icmp->code() == 13);
  BOOST_TEST(answer.dst_addr().to_string() == "10.200.0.1");
  BOOST_TEST((Bytes(answer) == prohibited));
  // The quoted part: the header and eight bytes.
  BOOST_TEST(prohibited.size() == 20U + 8U + 28U);
  BOOST_TEST(std::equal(refused.begin(), refused.begin() + 28,
                        prohibited.begin() + 28));
}

// What one reads as a flow, so does the other.
BOOST_AUTO_TEST_CASE(ReadsAsAnotherLibraryDoes) {
  CheckProperty(12, 20'000, [](const std::vector<uint8_t>& noise) {
    auto bytes = Bytes(Syn());
    for (size_t i = 0; i < bytes.size() && i < noise.size(); ++i) {
      bool is_length = i == 2 || i == 3;
      // Noise stands in every third byte, so that much stays readable.
      if (!is_length && noise[i] % 3 == 0) {
        bytes[i] = std::byte{noise[i]};
      }
    }
    auto parsed = ParseInner(bytes);
    const auto* packet = std::get_if<InnerPacket>(&parsed);
    if (!packet) {
      return;
    }
    Tins::IP ip(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
    if (const auto* tcp = ip.find_pdu<Tins::TCP>()) {
      RC_ASSERT(packet->key.protocol == Protocol::kTcp);
      RC_ASSERT(packet->key.caller.port == tcp->sport());
      RC_ASSERT(packet->key.service.port == tcp->dport());
    } else {
      RC_ASSERT(packet->key.protocol == Protocol::kUdp);
    }
  });
}

BOOST_AUTO_TEST_CASE(NeverAnswersAResetWithAReset) {
  auto packet = Syn();
  packet.find_pdu<Tins::TCP>()->flags(Tins::TCP::RST);
  BOOST_TEST(BuildRefusal(Bytes(packet)).empty());
}

BOOST_AUTO_TEST_CASE(SurvivesRandomBytes) {
  CheckProperty(11, 20'000, [](const std::vector<uint8_t>& noise) {
    auto bytes = std::as_bytes(std::span(noise));
    ParseInner(bytes);
    BuildRefusal(bytes);
    auto headed = Bytes(Syn());
    for (size_t i = 20; i < headed.size() && i - 20 < noise.size(); ++i) {
      headed[i] = std::byte{noise[i - 20]};
    }
    ParseInner(headed);
    BuildRefusal(headed);
  });
}

}  // namespace acaciahold::packet
