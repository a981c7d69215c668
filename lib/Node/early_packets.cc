// Keeping early packets for a while.

#include "acaciahold/Node/early_packets.h"

#include <iterator>

namespace acaciahold::node {
namespace {

void DropOld(EarlyPackets& early, Instant now) {
  while (!early.packets.empty() && now >= early.packets.front().deadline) {
    early.packets.pop_front();
    ++early.dropped;
  }
}

}  // namespace

void KeepEarly(EarlyPackets& early,
               std::span<const std::byte> packet,
               Instant now) {
  DropOld(early, now);
  if (early.packets.size() >= kMaxEarlyPackets) {
    early.packets.pop_front();
    ++early.dropped;
  }
  early.packets.push_back(
      {{packet.begin(), packet.end()}, now + kEarlyTimeout});
}

std::vector<EarlyPacket> TakeEarly(EarlyPackets& early, Instant now) {
  DropOld(early, now);
  std::vector<EarlyPacket> packets(
      std::make_move_iterator(early.packets.begin()),
      std::make_move_iterator(early.packets.end()));
  early.packets.clear();
  return packets;
}

}  // namespace acaciahold::node
