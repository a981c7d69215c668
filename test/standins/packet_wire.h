// Packets of the platform as the two ends of a flow write and read them.

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

// Data of an upstream's answer.
inline constexpr uint16_t kAnswerBytes = 40;

// A packet as the two ends of a flow write it.
struct PacketFields {
  steering::TaggedFlow flow;  // Whichever way the packet goes.
  bool is_from_caller = true;
  uint8_t flags = 0;
  steering::Tag tag = 0;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  uint16_t data_bytes = 0;
  uint32_t sum = 1;  // 0 in resets of the system's own.
};

std::vector<std::byte> EncodePacket(const PacketFields& fields);
std::optional<PacketFields> DecodeFromUpstream(
    std::span<const std::byte> packet);

// A socket that receives at the endpoint, also where an earlier one did.
boost::asio::ip::udp::socket BindUdp(boost::asio::io_context& io,
                                     Endpoint endpoint);

// Sends one datagram; it may be lost, as on any network.
void SendTo(boost::asio::ip::udp::socket& socket,
            std::span<const std::byte> bytes,
            Endpoint to);

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_PACKET_WIRE_H_
