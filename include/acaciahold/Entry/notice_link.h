// Reliable delivery of bucket notices to one peer, in numbered batches that
// are resent until they are acknowledged. The first packet of a flow that a
// batch replicates is parked until the batch is acknowledged. Storing a notice
// is idempotent, so the receiver does not track which batches it has received.

#ifndef ACACIAHOLD_ENTRY_NOTICE_LINK_H_
#define ACACIAHOLD_ENTRY_NOTICE_LINK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "acaciahold/Steering/flow_shard.h"
#include "acaciahold/Wire/peer_message.h"

namespace acaciahold::entry {

inline constexpr Duration kNoticeFlushDelay = std::chrono::milliseconds(2);
inline constexpr Duration kNoticeResendInterval =
    std::chrono::milliseconds(100);
// Limit for each link. Further packets are dropped, and the caller resends
// them.
inline constexpr size_t kMaxParkedPackets = 4'096;

// A packet that is not forwarded before the peer has stored its flow's notice.
struct ParkedPacket {
  Endpoint to;  // The upstream.
  std::vector<std::byte> inner;
};

struct NoticeLink {
  // Invariant: a parked packet belongs to the batch that contains the notice of
  // its flow.
  struct Batch {
    wire::NoticeBatch message;
    std::vector<ParkedPacket> parked;
    Instant resend_deadline;
  };

  Endpoint peer;
  // A notice that is not yet part of a batch.
  struct Pending {
    steering::BucketNotice notice;
    std::vector<ParkedPacket> parked;  // At most one.
  };
  std::vector<Pending> pending;
  Instant flush_deadline;  // Valid only if `pending` is not empty.
  std::map<uint64_t, Batch> outstanding;  // Keyed by sequence number.
};

// Adds a notice to the next batch.
void Enqueue(NoticeLink& link, steering::BucketNotice notice, Instant now);
// The same as Enqueue(), and parks the packet until the notice is acknowledged.
void EnqueueWithPacket(NoticeLink& link,
                       steering::BucketNotice notice,
                       ParkedPacket packet,
                       Instant now);

// Returns the batches that must be sent now, for the first time or again. The
// pointers are valid until the link changes. `next_sequence` is the sequence
// number of the next new batch, and is shared by all links of a host.
std::vector<const wire::NoticeBatch*> TakeDueBatches(NoticeLink& link,
                                                     membership::HostId self,
                                                     uint64_t incarnation,
                                                     uint64_t& next_sequence,
                                                     Instant now);

size_t CountParkedPackets(const NoticeLink& link);

}  // namespace acaciahold::entry

#endif  // ACACIAHOLD_ENTRY_NOTICE_LINK_H_
