// Paces outgoing packets to the bandwidth of the host's own link by a token
// bucket. Performs no I/O.
//
// An upload arrives as a window of sixteen packets at once, more than the
// link's queue holds. Packets that overflow it are lost and sent again only
// after the caller's timeout. The pacer queues them instead: short packets
// before long ones, and a packet that is already queued only once.

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

// Maximum burst after an idle period; well below the capacity of a link's
// queue.
inline constexpr double kBurstBytes = 5'000;
// Fraction of the link's bandwidth for paced packets; the rest is left to
// connections between hosts and to probes.
inline constexpr double kPacedFraction = 0.95;
// IP and UDP headers of a datagram.
inline constexpr size_t kDatagramOverheadBytes = 28;
// Maximum size of a short packet: opening packets, acknowledgements and small
// requests.
inline constexpr size_t kShortPacketBytes = 400;
// Capacity of each queue. Packets in a longer queue would wait longer than
// callers wait for an answer.
inline constexpr size_t kMaxWaitingPackets = 128;

struct WaitingPacket {
  Endpoint to;
  uint64_t key = 0;  // Equal for retransmissions of a packet.
  std::vector<std::byte> bytes;
};

struct Pacer {
  double bytes_per_second = 0;  // 0: unlimited; no packet is queued.
  // Bytes that may be sent at `credit_updated_at`; negative after a packet that
  // exceeded it.
  double credit = kBurstBytes;
  Instant credit_updated_at;
  std::deque<WaitingPacket> short_packets;
  std::deque<WaitingPacket> long_packets;
  uint64_t dropped = 0;   // Because the queue was full.
  uint64_t repeated = 0;  // Not queued because the same packet was queued.
};

// `link_mbps` is in Mbit/s; 0: unlimited.
Pacer MakePacer(double link_mbps);

// Returns whether a packet of `bytes` bytes may be sent now, and if so deducts
// it from the credit. Otherwise the packet is to be queued.
bool TryConsumeCredit(Pacer& pacer, size_t bytes, Instant now);

// Queues a copy of a packet, unless a packet with the same key is queued or the
// queue is full.
void Enqueue(Pacer& pacer,
             Endpoint to,
             uint64_t key,
             std::span<const std::byte> bytes);

// Removes the next packet that may be sent now and deducts it from the credit.
// Returns nothing if none may be sent.
std::optional<WaitingPacket> Dequeue(Pacer& pacer, Instant now);

// When the next packet may be sent; nothing if no packet is queued.
std::optional<Instant> NextSendTime(const Pacer& pacer, Instant now);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_PACER_H_
