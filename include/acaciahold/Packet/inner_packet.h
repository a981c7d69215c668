// Parses callers' IPv4 packets, which are carried as the payload of UDP
// datagrams, and builds the packets that tell a caller that its flow is
// refused, so that it does not have to wait for a timeout.

#ifndef ACACIAHOLD_PACKET_INNER_PACKET_H_
#define ACACIAHOLD_PACKET_INNER_PACKET_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciahold/Support/address.h"

namespace acaciahold::packet {

enum class Protocol : uint8_t { kTcp = 6, kUdp = 17 };

struct FlowKey {
  Protocol protocol = Protocol::kTcp;
  Endpoint caller;
  Endpoint service;

  bool operator==(const FlowKey&) const = default;
};

// Returns a hash of the key that is the same on every host.
uint64_t Fingerprint(const FlowKey& key);

struct InnerPacket {
  FlowKey key;
  bool opens = false;   // TCP SYN without ACK.
  bool closes = false;  // TCP FIN or RST.
};

enum class PacketFault {
  kTooShort,
  kTooLong,
  kNotIpv4,
  kWrongLength,  // The IP header's total length is not the packet's size.
  kFragment,
  kOtherProtocol,  // Neither TCP nor UDP.
  kMalformed,      // A header is truncated or has an invalid length.
};

inline constexpr size_t kMaxInnerPacketBytes = 9'000;

using ParsedPacket = std::variant<InnerPacket, PacketFault>;

// Parses the IP and TCP or UDP headers; ignores the payload.
ParsedPacket ParseInnerPacket(std::span<const std::byte> bytes);

// Returns the name of the fault for metrics.
std::string_view FaultName(PacketFault fault);

// Builds the answer to a packet whose flow is refused: a TCP reset, or for UDP
// an ICMP message "administratively prohibited". Returns an empty vector if the
// packet must not be answered, for example a TCP reset or a fragment.
std::vector<std::byte> BuildRefusal(std::span<const std::byte> bytes);

}  // namespace acaciahold::packet

#endif  // ACACIAHOLD_PACKET_INNER_PACKET_H_
