// Buffers early packets up to a maximum number and age.

#include "acaciahold/Node/early_packets.h"

#include <iterator>

namespace acaciahold::node {
namespace {

void DropExpired(EarlyPacketBuffer& buffer, Instant now) {
  while (!buffer.packets.empty() && now >= buffer.packets.front().deadline) {
    buffer.packets.pop_front();
    ++buffer.dropped;
  }
}

}  // namespace

void AddEarlyPacket(EarlyPacketBuffer& buffer,
                    std::span<const std::byte> packet,
                    Instant now) {
  DropExpired(buffer, now);
  if (buffer.packets.size() >= kMaxEarlyPackets) {
    buffer.packets.pop_front();
    ++buffer.dropped;
  }
  buffer.packets.push_back(
      {{packet.begin(), packet.end()}, now + kEarlyPacketTimeout});
}

std::vector<EarlyPacket> TakeEarlyPackets(EarlyPacketBuffer& buffer,
                                          Instant now) {
  DropExpired(buffer, now);
  std::vector<EarlyPacket> packets(
      std::make_move_iterator(buffer.packets.begin()),
      std::make_move_iterator(buffer.packets.end()));
  buffer.packets.clear();
  return packets;
}

}  // namespace acaciahold::node
