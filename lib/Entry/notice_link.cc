// Batching and resending of bucket notices.

#include "acaciahold/Entry/notice_link.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace acaciahold::entry {
namespace {

// Moves the pending notices into new batches of about wire::kDatagramBytes
// each. The resend deadline of a new batch has passed, so that it is sent at
// once.
void FlushPending(NoticeLink& link,
                  membership::HostId self,
                  uint64_t incarnation,
                  uint64_t& next_sequence) {
  auto pending = std::exchange(link.pending, {});
  NoticeLink::Batch* batch = nullptr;
  size_t bytes = 0;
  for (auto& it : pending) {
    size_t n = steering::NoticeBytes(it.notice);
    if (!batch || bytes + n > wire::kDatagramBytes) {
      uint64_t sequence = next_sequence++;
      batch = &link.outstanding[sequence];
      batch->message.sequence = sequence;
      batch->message.from = self;
      batch->message.incarnation = incarnation;
      bytes = 0;
    }
    bytes += n;
    batch->message.notices.push_back(std::move(it.notice));
    std::move(it.parked.begin(), it.parked.end(),
              std::back_inserter(batch->parked));
  }
}

}  // namespace

namespace {

void AppendPending(NoticeLink& link, NoticeLink::Pending item, Instant now) {
  if (link.pending.empty()) {
    link.flush_deadline = now + kNoticeFlushDelay;
  }
  link.pending.push_back(std::move(item));
}

}  // namespace

void Enqueue(NoticeLink& link, steering::BucketNotice notice, Instant now) {
  AppendPending(link, {std::move(notice), {}}, now);
}

void EnqueueWithPacket(NoticeLink& link,
                       steering::BucketNotice notice,
                       ParkedPacket packet,
                       Instant now) {
  NoticeLink::Pending item{std::move(notice), {}};
  item.parked.push_back(std::move(packet));
  AppendPending(link, std::move(item), now);
}

std::vector<const wire::NoticeBatch*> TakeDueBatches(NoticeLink& link,
                                                     membership::HostId self,
                                                     uint64_t incarnation,
                                                     uint64_t& next_sequence,
                                                     Instant now) {
  if (!link.pending.empty() && now >= link.flush_deadline) {
    FlushPending(link, self, incarnation, next_sequence);
  }
  std::vector<const wire::NoticeBatch*> due;
  for (auto& [sequence, batch] : link.outstanding) {
    if (now >= batch.resend_deadline) {
      batch.resend_deadline = now + kNoticeResendInterval;
      due.push_back(&batch.message);
    }
  }
  return due;
}

size_t CountParkedPackets(const NoticeLink& link) {
  size_t n = 0;
  for (const auto& it : link.pending) {
    n += it.parked.size();
  }
  for (const auto& [sequence, batch] : link.outstanding) {
    n += batch.parked.size();
  }
  return n;
}

}  // namespace acaciahold::entry
