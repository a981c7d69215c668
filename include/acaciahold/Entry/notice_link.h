// Reliable delivery of bucket notices to one peer, in numbered batches that
// are sent again until they are acknowledged. Packets whose flow is in a batch
// wait here for its acknowledgement. Storing a notice twice changes nothing,
// so the receiver keeps no record of batches.

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
inline constexpr size_t kMaxParkedPackets = 4'096;

// A packet that waits for its flow's notice to be stored.
struct ParkedPacket {
  Endpoint to;
  std::vector<std::byte> inner;
};

struct NoticeLink {
  // Invariant: a packet is parked in the batch that has its flow's notice.
  struct Batch {
    wire::NoticeBatch message;
    std::vector<ParkedPacket> parked;
    Instant resend_deadline;
  };

  Endpoint peer;
  struct Pending {
    steering::BucketNotice notice;
    std::vector<ParkedPacket> parked;  // At most one.
  };
  std::vector<Pending> pending;
  Instant flush_deadline;  // Meaningful while something is pending.
  std::map<uint64_t, Batch> outstanding;  // By sequence.
};

void Enqueue(NoticeLink& link, steering::BucketNotice notice, Instant now);
void EnqueueParked(NoticeLink& link,
                   steering::BucketNotice notice,
                   ParkedPacket packet,
                   Instant now);

// Batches that are to be sent now, new or again. `next_sequence` numbers the
// new ones and is shared by all links of a host.
std::vector<const wire::NoticeBatch*> TakeDue(NoticeLink& link,
                                              membership::HostId self,
                                              uint64_t incarnation,
                                              uint64_t& next_sequence,
                                              Instant now);

size_t CountParked(const NoticeLink& link);

}  // namespace acaciahold::entry

#endif  // ACACIAHOLD_ENTRY_NOTICE_LINK_H_
