// Spaces outgoing packets at the speed of the host's own link: a core without
// I/O.
//
// The load that it answers: an upload comes as a window of sixteen packets at
// once, and the link's queue holds fewer. What does not fit is lost, and comes
// again only after the caller's timeout. Here it waits, short packets before
// long ones, and a repeated packet does not wait twice.

#ifndef ACACIAHOLD_NODE_PACER_H_
#define ACACIAHOLD_NODE_PACER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <vector>

#include "acaciahold/Support/address.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::node {

// Sent at once after a pause, well within what the queue of a link holds.
inline constexpr double kBurstBytes = 5'000;
// Of the link's speed; the rest is for links between hosts and probes.
inline constexpr double kPacedShare = 0.95;
// Heads of the layers below, for each datagram.
inline constexpr size_t kDatagramOverheadBytes = 28;
// Up to this a packet is short: openings, acknowledgements, small requests.
inline constexpr size_t kShortPacketBytes = 400;
// More would wait longer than callers wait for an answer.
inline constexpr size_t kMaxWaitingPackets = 128;

struct WaitingPacket {
  Endpoint to;
  uint64_t key = 0;  // The same for repetitions of a packet.
  std::vector<std::byte> bytes;
};

struct Pacer {
  double bytes_per_second = 0;  // 0: no limit, nothing ever waits.
  double credit = kBurstBytes;  // Bytes that may be sent now.
  Instant credited_at;
  std::deque<WaitingPacket> short_packets;
  std::deque<WaitingPacket> long_packets;
  uint64_t dropped = 0;   // For want of room.
  uint64_t repeated = 0;  // Left out, since the same packet was waiting.
};

Pacer MakePacer(double link_mbps);

// Whether a packet of this size may be sent now. Where it may, it is accounted
// for; else it is to be given to Hold.
bool TrySend(Pacer& pacer, size_t bytes, Instant now);

// Keeps a packet until its turn.
void Hold(Pacer& pacer,
          Endpoint to,
          uint64_t key,
          std::span<const std::byte> bytes);

// The next packet that may be sent now, accounted for.
std::optional<WaitingPacket> TakeNext(Pacer& pacer, Instant now);

// When the next packet may be sent; nothing where none waits.
std::optional<Instant> NextSendAt(const Pacer& pacer, Instant now);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_PACER_H_
