// Token bucket and queues of the pacer.

#include "acaciahold/Node/pacer.h"

#include <algorithm>

namespace acaciahold::node {
namespace {

constexpr double kBytesPerMegabit = 125'000;

bool HasWaiting(const Pacer& pacer) {
  return !pacer.short_packets.empty() || !pacer.long_packets.empty();
}

double CreditAt(const Pacer& pacer, Instant now) {
  double seconds =
      std::chrono::duration<double>(now - pacer.credit_updated_at).count();
  return std::min(kBurstBytes, pacer.credit + std::max(0.0, seconds) *
                                                  pacer.bytes_per_second);
}

void DeductCredit(Pacer& pacer, size_t bytes, Instant now) {
  pacer.credit = CreditAt(pacer, now) -
                 static_cast<double>(bytes + kDatagramOverheadBytes);
  pacer.credit_updated_at = now;
}

std::deque<WaitingPacket>& NextQueue(Pacer& pacer) {
  return pacer.short_packets.empty() ? pacer.long_packets : pacer.short_packets;
}

}  // namespace

Pacer MakePacer(double link_mbps) {
  Pacer pacer;
  pacer.bytes_per_second = link_mbps * kBytesPerMegabit * kPacedFraction;
  return pacer;
}

bool TryConsumeCredit(Pacer& pacer, size_t bytes, Instant now) {
  if (pacer.bytes_per_second <= 0) {
    return true;
  }
  // A short packet may be sent before queued long ones. Otherwise packets don't
  // overtake queued ones.
  bool is_first = bytes <= kShortPacketBytes ? pacer.short_packets.empty()
                                             : !HasWaiting(pacer);
  if (!is_first || CreditAt(pacer, now) <= 0) {
    return false;
  }
  DeductCredit(pacer, bytes, now);
  return true;
}

void Enqueue(Pacer& pacer,
             Endpoint to,
             uint64_t key,
             std::span<const std::byte> bytes) {
  auto& queue = bytes.size() <= kShortPacketBytes ? pacer.short_packets
                                                  : pacer.long_packets;
  bool is_queued =
      std::any_of(queue.begin(), queue.end(),
                  [&](const WaitingPacket& it) { return it.key == key; });
  if (is_queued) {
    ++pacer.repeated;
    return;
  }
  if (queue.size() >= kMaxWaitingPackets) {
    ++pacer.dropped;
    return;
  }
  queue.push_back({to, key, {bytes.begin(), bytes.end()}});
}

std::optional<WaitingPacket> Dequeue(Pacer& pacer, Instant now) {
  if (!HasWaiting(pacer) || CreditAt(pacer, now) <= 0) {
    return std::nullopt;
  }
  auto& queue = NextQueue(pacer);
  auto packet = std::move(queue.front());
  queue.pop_front();
  DeductCredit(pacer, packet.bytes.size(), now);
  return packet;
}

std::optional<Instant> NextSendTime(const Pacer& pacer, Instant now) {
  if (!HasWaiting(pacer)) {
    return std::nullopt;
  }
  double deficit = std::max(0.0, -CreditAt(pacer, now));
  // Adds one byte, since a packet is sent only while the credit is above 0.
  double seconds = (deficit + 1) / pacer.bytes_per_second;
  return now + std::chrono::duration_cast<Duration>(
                   std::chrono::duration<double>(seconds));
}

}  // namespace acaciahold::node
