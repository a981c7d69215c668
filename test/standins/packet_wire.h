// Encodes and decodes the platform's packets at the two ends of a flow.

#ifndef ACACIAHOLD_TEST_STANDINS_PACKET_WIRE_H_
#define ACACIAHOLD_TEST_STANDINS_PACKET_WIRE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "acaciahold/Steering/tag_steering.h"
#include "acaciahold/Support/address.h"

namespace acaciahold::standins {

// Bits of PacketFields::flags.
inline constexpr uint8_t kSyn = 16;
inline constexpr uint8_t kAck = 32;
inline constexpr uint8_t kFin = 2;
inline constexpr uint8_t kRst = 8;

// Data bytes in an upstream's answer.
inline constexpr uint16_t kAnswerBytes = 40;

// The fields of a packet.
struct PacketFields {
  steering::TaggedFlow flow;  // The same in both directions.
  bool is_from_caller = true;
  uint8_t flags = 0;
  steering::Tag tag = 0;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  uint16_t data_bytes = 0;
  uint32_t checksum = 1;  // 0 in resets that acaciahold sends itself.
};

std::vector<std::byte> EncodePacket(const PacketFields& fields);
// Decodes a packet from an upstream to a caller. Returns nullopt if its header
// is malformed.
std::optional<PacketFields> DecodePacketFromUpstream(
    std::span<const std::byte> packet);

// Binds a UDP socket with SO_REUSEADDR, so that a restarted upstream can use
// the endpoint of its predecessor.
boost::asio::ip::udp::socket BindUdp(boost::asio::io_context& io,
                                     Endpoint endpoint);

// Sends one datagram. Send errors are ignored, as packets may be lost anyway.
void SendDatagram(boost::asio::ip::udp::socket& socket,
                  std::span<const std::byte> bytes,
                  Endpoint to);

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_PACKET_WIRE_H_
