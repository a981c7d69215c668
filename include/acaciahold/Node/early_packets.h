// Buffers packets that an entry host receives before it has the service table.
// Performs no I/O.
//
// When all hosts restart at the same time, callers keep retransmitting their
// packets. A host that received one some tens of milliseconds before the table
// would drop it, and the next retransmission follows up to 1.6 s later.

#ifndef ACACIAHOLD_NODE_EARLY_PACKETS_H_
#define ACACIAHOLD_NODE_EARLY_PACKETS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "acaciahold/Support/time.h"

namespace acaciahold::node {

// Covers what one host receives within some tens of milliseconds, with room for
// a burst.
inline constexpr size_t kMaxEarlyPackets = 256;
// Age at which a buffered packet is dropped. The caller retransmits an older
// one soon, 200 ms after it was sent; forwarding both would add to the load of
// the first second.
inline constexpr Duration kEarlyPacketTimeout = std::chrono::milliseconds(80);

struct EarlyPacket {
  std::vector<std::byte> bytes;
  Instant deadline;  // Dropped from then on.
};

struct EarlyPacketBuffer {
  std::deque<EarlyPacket> packets;  // Oldest first.
  uint64_t dropped = 0;             // Because the buffer was full or by age.
};

// Buffers a copy of the packet. Drops the oldest if the buffer is full.
void AddEarlyPacket(EarlyPacketBuffer& buffer,
                    std::span<const std::byte> packet,
                    Instant now);

// Removes all packets from the buffer and returns those that have not expired,
// oldest first.
std::vector<EarlyPacket> TakeEarlyPackets(EarlyPacketBuffer& buffer,
                                          Instant now);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_EARLY_PACKETS_H_
