// Callers' packets: reading the flow from an inner IPv4 packet, and building
// the refusal that tells a caller at once that nothing can take its flow.

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

// A hash of the key, the same on every host.
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
  kWrongLength,  // The header's length is not the packet's.
  kFragment,
  kOtherProtocol,
  kMalformed,
};

inline constexpr size_t kMaxInnerBytes = 9'000;

using ParsedPacket = std::variant<InnerPacket, PacketFault>;

// Reads the headers; the payload is not looked at.
ParsedPacket ParseInner(std::span<const std::byte> bytes);

std::string_view FaultName(PacketFault fault);

// The answer to a packet whose flow is refused: a TCP reset, or ICMP
// administratively prohibited for UDP. Empty where none is due, as for a reset.
std::vector<std::byte> BuildRefusal(std::span<const std::byte> bytes);

}  // namespace acaciahold::packet

#endif  // ACACIAHOLD_PACKET_INNER_PACKET_H_
