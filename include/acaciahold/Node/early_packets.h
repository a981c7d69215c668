// Packets that come before an entry host knows what to do with them: decisions
// without I/O.
//
// The load that it answers: all hosts start again at the same moment, and
// callers have been repeating their packets meanwhile. A host that reads them
// some hundredths of a second before it has the table would drop them, and the
// next repetition comes up to 1.6 s later.

#ifndef ACACIAHOLD_NODE_EARLY_PACKETS_H_
#define ACACIAHOLD_NODE_EARLY_PACKETS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "acaciahold/Support/time.h"

namespace acaciahold::node {

// What some hundredths of a second bring to one host, with room for a crowd.
inline constexpr size_t kMaxEarlyPackets = 256;
// Within it a first repetition has come, which makes the packet useless.
inline constexpr Duration kEarlyTimeout = std::chrono::milliseconds(200);

struct EarlyPacket {
  std::vector<std::byte> bytes;
  Instant deadline;  // Useless after it.
};

struct EarlyPackets {
  std::deque<EarlyPacket> packets;  // Oldest first.
  uint64_t dropped = 0;             // Too many, or too old.
};

// Keeps a copy. The oldest goes where there are too many.
void KeepEarly(EarlyPackets& early,
               std::span<const std::byte> packet,
               Instant now);

// Takes all that are not too old, oldest first.
std::vector<EarlyPacket> TakeEarly(EarlyPackets& early, Instant now);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_EARLY_PACKETS_H_
