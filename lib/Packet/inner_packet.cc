// Parses and builds inner packets with the header structs of the C library.
//
// libtins could do the same, and the tests compare the results with it. But its
// shared library depends on a dozen others, and loading these takes an entry
// host longer at each start than all its other startup work; see
// docs/design/platform.md.

#include "acaciahold/Packet/inner_packet.h"

#include <algorithm>
#include <cstring>
#include <optional>

#include <boost/endian/conversion.hpp>
#include <netinet/ip.h>
#include <netinet/ip_icmp.h>
#include <netinet/tcp.h>
#include <netinet/udp.h>

#include "acaciahold/Support/hash.h"

namespace acaciahold::packet {
namespace {

using boost::endian::big_to_native;
using boost::endian::native_to_big;

constexpr size_t kMinIpBytes = sizeof(iphdr);
constexpr uint8_t kIpVersion = 4;
// Unit of the header lengths in IP and TCP headers.
constexpr size_t kWordBytes = 4;
constexpr uint8_t kRefusalTtl = 128;
// An ICMP error quotes the IP header and this much of the payload.
constexpr size_t kQuotedPayloadBytes = 8;

// Copies a header from bytes that may be unaligned. `bytes` must not be shorter
// than the header.
template <typename Header>
Header LoadHeader(std::span<const std::byte> bytes) {
  Header header;
  std::memcpy(&header, bytes.data(), sizeof(header));
  return header;
}

template <typename Header>
std::span<const std::byte> BytesOf(const Header& header) {
  return std::as_bytes(std::span(&header, 1));
}

// An IP packet, split into header and payload.
struct IpPacket {
  iphdr header;
  std::span<const std::byte> header_bytes;  // Header with options.
  std::span<const std::byte> payload;
};

// Returns nothing if the header length is invalid. `bytes` must have the total
// length that the IP header gives.
std::optional<IpPacket> LoadIp(std::span<const std::byte> bytes) {
  auto header = LoadHeader<iphdr>(bytes);
  size_t n = header.ihl * kWordBytes;
  if (n < kMinIpBytes || n > bytes.size()) {
    return std::nullopt;
  }
  return IpPacket{header, bytes.first(n), bytes.subspan(n)};
}

bool IsFragment(const iphdr& header) {
  return (big_to_native(header.frag_off) & (IP_MF | IP_OFFMASK)) != 0;
}

// Returns the TCP header, or nothing if the payload does not contain all of it
// with its options.
std::optional<tcphdr> LoadTcp(std::span<const std::byte> payload) {
  if (payload.size() < sizeof(tcphdr)) {
    return std::nullopt;
  }
  auto header = LoadHeader<tcphdr>(payload);
  size_t n = header.doff * kWordBytes;
  bool is_complete = n >= sizeof(tcphdr) && n <= payload.size();
  return is_complete ? std::optional(header) : std::nullopt;
}

FlowKey KeyOf(const iphdr& ip,
              Protocol protocol,
              uint16_t source_port,
              uint16_t destination_port) {
  return {protocol,
          {big_to_native(ip.saddr), big_to_native(source_port)},
          {big_to_native(ip.daddr), big_to_native(destination_port)}};
}

ParsedPacket ParseTcp(const IpPacket& ip) {
  auto tcp = LoadTcp(ip.payload);
  if (!tcp) {
    return PacketFault::kMalformed;
  }
  InnerPacket packet;
  packet.key = KeyOf(ip.header, Protocol::kTcp, tcp->source, tcp->dest);
  packet.opens = tcp->syn != 0 && tcp->ack == 0;
  packet.closes = tcp->fin != 0 || tcp->rst != 0;
  return packet;
}

ParsedPacket ParseUdp(const IpPacket& ip) {
  if (ip.payload.size() < sizeof(udphdr)) {
    return PacketFault::kMalformed;
  }
  auto udp = LoadHeader<udphdr>(ip.payload);
  InnerPacket packet;
  packet.key = KeyOf(ip.header, Protocol::kUdp, udp.source, udp.dest);
  return packet;
}

// Adds 16-bit words to the sum for an IP, TCP or ICMP checksum; Checksum()
// folds it. Of several parts, all but the last must have an even length.
uint32_t AddWords(uint32_t sum, std::span<const std::byte> bytes) {
  for (size_t i = 0; i < bytes.size(); ++i) {
    auto byte = std::to_integer<uint32_t>(bytes[i]);
    sum += i % 2 == 0 ? byte << 8U : byte;
  }
  return sum;
}

// Returns the checksum for a sum from AddWords(), in network byte order.
uint16_t Checksum(uint32_t sum) {
  while (sum > UINT16_MAX) {
    sum = (sum & UINT16_MAX) + (sum >> 16U);
  }
  return native_to_big(static_cast<uint16_t>(~sum));
}

// The fields of the IP header that the TCP checksum covers. All values are in
// network byte order.
struct PseudoHeader {
  uint32_t source = 0;
  uint32_t destination = 0;
  uint16_t protocol = 0;
  uint16_t length = 0;
};

// Builds an IP header from the refused packet's destination to its source.
iphdr MakeRefusalHeader(const iphdr& refused,
                        uint8_t protocol,
                        size_t payload_bytes) {
  iphdr header{};
  header.version = kIpVersion;
  header.ihl = sizeof(header) / kWordBytes;
  header.tot_len =
      native_to_big(static_cast<uint16_t>(sizeof(header) + payload_bytes));
  header.ttl = kRefusalTtl;
  header.protocol = protocol;
  header.saddr = refused.daddr;
  header.daddr = refused.saddr;
  header.check = Checksum(AddWords(0, BytesOf(header)));
  return header;
}

std::vector<std::byte> Concatenate(
    std::initializer_list<std::span<const std::byte>> parts) {
  std::vector<std::byte> bytes;
  for (auto part : parts) {
    bytes.insert(bytes.end(), part.begin(), part.end());
  }
  return bytes;
}

// Builds a TCP reset that acknowledges the refused packet.
std::vector<std::byte> BuildReset(const IpPacket& ip, const tcphdr& tcp) {
  size_t payload = ip.payload.size() - tcp.doff * kWordBytes;
  uint32_t next_sequence = big_to_native(tcp.seq) +
                           static_cast<uint32_t>(payload) +
                           (tcp.syn != 0 ? 1 : 0);
  tcphdr reset{};
  reset.source = tcp.dest;
  reset.dest = tcp.source;
  reset.seq = tcp.ack != 0 ? tcp.ack_seq : 0;
  reset.ack_seq = native_to_big(next_sequence);
  reset.doff = sizeof(reset) / kWordBytes;
  reset.rst = 1;
  reset.ack = 1;
  auto header = MakeRefusalHeader(ip.header, IPPROTO_TCP, sizeof(reset));
  PseudoHeader pseudo{header.saddr, header.daddr,
                      native_to_big(uint16_t{IPPROTO_TCP}),
                      native_to_big(uint16_t{sizeof(reset)})};
  reset.check =
      Checksum(AddWords(AddWords(0, BytesOf(pseudo)), BytesOf(reset)));
  return Concatenate({BytesOf(header), BytesOf(reset)});
}

// Builds an ICMP message that the destination is administratively prohibited.
std::vector<std::byte> BuildUnreachable(const IpPacket& ip) {
  auto quoted =
      ip.payload.first(std::min(ip.payload.size(), kQuotedPayloadBytes));
  icmphdr icmp{};
  icmp.type = ICMP_DEST_UNREACH;
  icmp.code = ICMP_PKT_FILTERED;  // Administratively prohibited.
  uint32_t sum = AddWords(0, BytesOf(icmp));
  icmp.checksum = Checksum(AddWords(AddWords(sum, ip.header_bytes), quoted));
  auto header =
      MakeRefusalHeader(ip.header, IPPROTO_ICMP,
                        sizeof(icmp) + ip.header_bytes.size() + quoted.size());
  return Concatenate({BytesOf(header), BytesOf(icmp), ip.header_bytes, quoted});
}

}  // namespace

uint64_t Fingerprint(const FlowKey& key) {
  uint64_t a = PackEndpoint(key.caller);
  uint64_t b = PackEndpoint(key.service);
  b |= uint64_t{static_cast<uint8_t>(key.protocol)} << 56U;
  return CombineHashes(a, b);
}

ParsedPacket ParseInnerPacket(std::span<const std::byte> bytes) {
  if (bytes.size() < kMinIpBytes) {
    return PacketFault::kTooShort;
  }
  if (bytes.size() > kMaxInnerPacketBytes) {
    return PacketFault::kTooLong;
  }
  auto header = LoadHeader<iphdr>(bytes);
  if (header.version != kIpVersion) {
    return PacketFault::kNotIpv4;
  }
  if (big_to_native(header.tot_len) != bytes.size()) {
    return PacketFault::kWrongLength;
  }
  auto ip = LoadIp(bytes);
  if (!ip) {
    return PacketFault::kMalformed;
  }
  if (IsFragment(header)) {
    return PacketFault::kFragment;
  }
  switch (header.protocol) {
    case IPPROTO_TCP:
      return ParseTcp(*ip);
    case IPPROTO_UDP:
      return ParseUdp(*ip);
    default:
      return PacketFault::kOtherProtocol;
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
  auto ip = bytes.size() < kMinIpBytes ? std::nullopt : LoadIp(bytes);
  if (!ip || IsFragment(ip->header)) {
    return {};
  }
  if (ip->header.protocol == IPPROTO_UDP) {
    return BuildUnreachable(*ip);
  }
  auto tcp =
      ip->header.protocol == IPPROTO_TCP ? LoadTcp(ip->payload) : std::nullopt;
  return tcp && tcp->rst == 0 ? BuildReset(*ip, *tcp)
                              : std::vector<std::byte>{};
}

}  // namespace acaciahold::packet
