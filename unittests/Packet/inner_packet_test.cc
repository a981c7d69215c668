// Tests of parsing inner packets and of building refusals.

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

BOOST_AUTO_TEST_CASE(ParsesTcpFlow) {
  auto parsed = ParseInnerPacket(Bytes(Syn()));
  const auto* packet = std::get_if<InnerPacket>(&parsed);
  BOOST_REQUIRE(packet);
  BOOST_TEST(FormatEndpoint(packet->key.caller) == "10.200.0.1:40000");
  BOOST_TEST(FormatEndpoint(packet->key.service) == "10.9.0.1:7000");
  BOOST_TEST(packet->opens);
  BOOST_TEST(!packet->closes);
}

BOOST_AUTO_TEST_CASE(FingerprintDependsOnProtocol) {
  auto udp = Bytes(Tins::IP("10.9.0.1", "10.200.0.1") / Tins::UDP(7000, 40000));
  auto parsed = ParseInnerPacket(udp);
  const auto* packet = std::get_if<InnerPacket>(&parsed);
  BOOST_REQUIRE(packet);
  auto tcp = std::get<InnerPacket>(ParseInnerPacket(Bytes(Syn())));
  BOOST_TEST(Fingerprint(packet->key) != Fingerprint(tcp.key));
}

BOOST_AUTO_TEST_CASE(ReportsFaultOfInvalidPacket) {
  auto valid = Bytes(Syn());
  auto fault = [](std::span<const std::byte> bytes) {
    return std::get<PacketFault>(ParseInnerPacket(bytes));
  };
  BOOST_CHECK(fault(std::span(valid).first(10)) == PacketFault::kTooShort);
  auto longer = valid;
  longer.push_back(std::byte{0});
  BOOST_CHECK(fault(longer) == PacketFault::kWrongLength);
  auto ipv6 = valid;
  ipv6[0] = std::byte{0x65};
  BOOST_CHECK(fault(ipv6) == PacketFault::kNotIpv4);
  auto fragment = Syn();
  fragment.flags(Tins::IP::MORE_FRAGMENTS);
  BOOST_CHECK(fault(Bytes(fragment)) == PacketFault::kFragment);
  auto truncated = valid;
  truncated.resize(24);
  truncated[3] = std::byte{24};
  BOOST_CHECK(fault(truncated) == PacketFault::kMalformed);
}

BOOST_AUTO_TEST_CASE(RefusesTcpFlowWithReset) {
  auto refusal = BuildRefusal(Bytes(Syn()));
  Tins::IP ip(reinterpret_cast<const uint8_t*>(refusal.data()), refusal.size());
  const auto* tcp = ip.find_pdu<Tins::TCP>();
  BOOST_REQUIRE(tcp);
  BOOST_TEST(ip.src_addr().to_string() == "10.9.0.1");
  BOOST_TEST(tcp->get_flag(Tins::TCP::RST) == 1);
  BOOST_TEST(tcp->ack_seq() == 42U);
  BOOST_TEST(tcp->dport() == 40000);
}

// Guards against wrong checksums in refusals, which callers would discard.
// Serializing with libtins recomputes the checksums, so equal bytes mean that
// they were right.
BOOST_AUTO_TEST_CASE(RefusalChecksumsMatchLibtins) {
  auto reset = BuildRefusal(Bytes(Syn()));
  Tins::IP ip(reinterpret_cast<const uint8_t*>(reset.data()), reset.size());
  BOOST_TEST((Bytes(ip) == reset));
  auto datagram = Tins::IP("10.9.0.1", "10.200.0.1") / Tins::UDP(7000, 40000) /
                  Tins::RawPDU("seventeen bytes !");
  auto refused = Bytes(datagram);
  auto icmp_refusal = BuildRefusal(refused);
  Tins::IP answer(reinterpret_cast<const uint8_t*>(icmp_refusal.data()),
                  icmp_refusal.size());
  const auto* icmp = answer.find_pdu<Tins::ICMP>();
  BOOST_REQUIRE(icmp);
  BOOST_TEST((icmp->type() == Tins::ICMP::DEST_UNREACHABLE));
  BOOST_TEST(icmp->code() == 13);
  BOOST_TEST(answer.dst_addr().to_string() == "10.200.0.1");
  BOOST_TEST((Bytes(answer) == icmp_refusal));
  // IP header, ICMP header, and the quoted 20-byte IP header with 8 bytes of
  // payload.
  BOOST_TEST(icmp_refusal.size() == 20U + 8U + 28U);
  BOOST_TEST(std::equal(refused.begin(), refused.begin() + 28,
                        icmp_refusal.begin() + 28));
}

// Compares each packet that is parsed as a flow with the result of libtins. The
// packets are a valid one with random bytes in it.
BOOST_AUTO_TEST_CASE(ParsesFlowsLikeLibtins) {
  CheckProperty(12, 20'000, [](const std::vector<uint8_t>& random_bytes) {
    auto bytes = Bytes(Syn());
    for (size_t i = 0; i < bytes.size() && i < random_bytes.size(); ++i) {
      bool is_length = i == 2 || i == 3;
      // Replaces about a third of the bytes, so that many packets stay valid.
      if (!is_length && random_bytes[i] % 3 == 0) {
        bytes[i] = std::byte{random_bytes[i]};
      }
    }
    auto parsed = ParseInnerPacket(bytes);
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

BOOST_AUTO_TEST_CASE(DoesNotAnswerReset) {
  auto packet = Syn();
  packet.find_pdu<Tins::TCP>()->flags(Tins::TCP::RST);
  BOOST_TEST(BuildRefusal(Bytes(packet)).empty());
}

BOOST_AUTO_TEST_CASE(HandlesRandomBytes) {
  CheckProperty(11, 20'000, [](const std::vector<uint8_t>& random_bytes) {
    auto bytes = std::as_bytes(std::span(random_bytes));
    ParseInnerPacket(bytes);
    BuildRefusal(bytes);
    auto with_ip_header = Bytes(Syn());
    for (size_t i = 20;
         i < with_ip_header.size() && i - 20 < random_bytes.size(); ++i) {
      with_ip_header[i] = std::byte{random_bytes[i - 20]};
    }
    ParseInnerPacket(with_ip_header);
    BuildRefusal(with_ip_header);
  });
}

}  // namespace acaciahold::packet
