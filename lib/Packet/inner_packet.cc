// Reading and building inner packets by libtins.

#include "acaciahold/Packet/inner_packet.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/endian/conversion.hpp>
#include <tins/exceptions.h>
#include <tins/icmp.h>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>

#include "acaciahold/Support/hash.h"

namespace acaciahold::packet {
namespace {

constexpr size_t kMinIpBytes = 20;
constexpr uint8_t kIpVersion = 4;
// ICMP quotes the header and this much of the payload.
constexpr size_t kQuotedPayloadBytes = 8;
constexpr uint8_t kCodeProhibited = 13;

const uint8_t* Data(std::span<const std::byte> bytes) {
  return reinterpret_cast<const uint8_t*>(bytes.data());
}

uint32_t ToHost(Tins::IPv4Address address) {
  return boost::endian::big_to_native(static_cast<uint32_t>(address));
}

ParsedPacket FromIp(const Tins::IP& ip) {
  InnerPacket packet;
  packet.key.caller.address = ToHost(ip.src_addr());
  packet.key.service.address = ToHost(ip.dst_addr());
  if (const auto* tcp = ip.find_pdu<Tins::TCP>()) {
    packet.key.protocol = Protocol::kTcp;
    packet.key.caller.port = tcp->sport();
    packet.key.service.port = tcp->dport();
    bool syn = tcp->get_flag(Tins::TCP::SYN) != 0;
    bool ack = tcp->get_flag(Tins::TCP::ACK) != 0;
    packet.opens = syn && !ack;
    packet.closes = tcp->get_flag(Tins::TCP::FIN) != 0 ||
                    tcp->get_flag(Tins::TCP::RST) != 0;
    return packet;
  }
  if (const auto* udp = ip.find_pdu<Tins::UDP>()) {
    packet.key.protocol = Protocol::kUdp;
    packet.key.caller.port = udp->sport();
    packet.key.service.port = udp->dport();
    return packet;
  }
  return PacketFault::kMalformed;
}

std::vector<std::byte> Serialize(Tins::IP& ip) {
  auto buf = ip.serialize();
  const auto* begin = reinterpret_cast<const std::byte*>(buf.data());
  return {begin, begin + buf.size()};
}

std::vector<std::byte> BuildReset(const Tins::IP& ip, const Tins::TCP& tcp) {
  Tins::TCP reset(tcp.sport(), tcp.dport());
  bool opens = tcp.get_flag(Tins::TCP::SYN) != 0;
  size_t payload = tcp.inner_pdu() ? tcp.inner_pdu()->size() : 0;
  reset.flags(Tins::TCP::RST | Tins::TCP::ACK);
  reset.seq(tcp.get_flag(Tins::TCP::ACK) != 0 ? tcp.ack_seq() : 0);
  reset.ack_seq(tcp.seq() + payload + (opens ? 1 : 0));
  Tins::IP answer = Tins::IP(ip.src_addr(), ip.dst_addr()) / reset;
  return Serialize(answer);
}

}  // namespace

uint64_t Fingerprint(const FlowKey& key) {
  uint64_t a = PackEndpoint(key.caller);
  uint64_t b = PackEndpoint(key.service);
  b |= uint64_t{static_cast<uint8_t>(key.protocol)} << 56U;
  return CombineHashes(a, b);
}

ParsedPacket ParseInner(std::span<const std::byte> bytes) {
  if (bytes.size() < kMinIpBytes) {
    return PacketFault::kTooShort;
  }
  if (bytes.size() > kMaxInnerBytes) {
    return PacketFault::kTooLong;
  }
  const uint8_t* data = Data(bytes);
  if (data[0] >> 4U != kIpVersion) {
    return PacketFault::kNotIpv4;
  }
  if (boost::endian::load_big_u16(data + 2) != bytes.size()) {
    return PacketFault::kWrongLength;
  }
  try {
    Tins::IP ip(data, bytes.size());
    if (ip.is_fragmented()) {
      return PacketFault::kFragment;
    }
    if (ip.protocol() != static_cast<uint8_t>(Protocol::kTcp) &&
        ip.protocol() != static_cast<uint8_t>(Protocol::kUdp)) {
      return PacketFault::kOtherProtocol;
    }
    return FromIp(ip);
  } catch (const Tins::exception_base&) {
    return PacketFault::kMalformed;
  }
}

std::string_view FaultName(PacketFault fault) {
  switch (fault) {
    case PacketFault::kTooShort:
      return "too-short";
    case PacketFault::kTooLong:
      return "too-long";
    case PacketFault::kNotIpv4:
      return "not-ipv4";
    case PacketFault::kWrongLength:
      return "wrong-length";
    case PacketFault::kFragment:
      return "fragment";
    case PacketFault::kOtherProtocol:
      return "other-protocol";
    case PacketFault::kMalformed:
      return "malformed";
  }
  return "malformed";
}

std::vector<std::byte> BuildRefusal(std::span<const std::byte> bytes) {
  try {
    Tins::IP ip(Data(bytes), bytes.size());
    if (const auto* tcp = ip.find_pdu<Tins::TCP>()) {
      if (tcp->get_flag(Tins::TCP::RST) != 0) {
        return {};
      }
      return BuildReset(ip, *tcp);
    }
    if (!ip.find_pdu<Tins::UDP>()) {
      return {};
    }
    Tins::ICMP icmp(Tins::ICMP::DEST_UNREACHABLE);
    icmp.code(kCodeProhibited);
    size_t quoted =
        std::min(bytes.size(), ip.header_size() + kQuotedPayloadBytes);
    Tins::IP answer = Tins::IP(ip.src_addr(), ip.dst_addr()) / icmp /
                      Tins::RawPDU(Data(bytes), quoted);
    return Serialize(answer);
  } catch (const Tins::exception_base&) {
    return {};
  }
}

}  // namespace acaciahold::packet
