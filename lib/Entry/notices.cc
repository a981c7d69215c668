// Replication of bucket notices between the owner and the backup of each
// bucket.

#include "acaciahold/Support/check.h"
#include "entry_state.h"

namespace acaciahold::entry {
namespace {

using steering::BucketNotice;

steering::FlowShard& ShardFor(Entry& entry, const BucketNotice& notice) {
  return entry.shards[steering::ShardOf(notice.bucket)];
}

// Returns the link to the bucket's backup if this host is the owner, else to
// the owner. Returns null if there is no such host.
NoticeLink* FindLink(Entry& entry, const BucketNotice& notice) {
  auto& control = entry.control;
  if (!control.plan) {
    return nullptr;
  }
  const auto* service = steering::FindService(*control.plan, notice.service);
  if (!service) {
    return nullptr;
  }
  const auto& route = service->routes[notice.bucket];
  auto other = route.owner == control.plan->self ? route.backup : route.owner;
  if (other == steering::kNoHost || other == control.plan->self) {
    return nullptr;
  }
  auto& link = control.links[control.plan->hosts[other].id];
  link.peer = control.plan->hosts[other].peer;
  return &link;
}

void MarkNoticeLost(Entry& entry, const BucketNotice& notice) {
  auto& shard = ShardFor(entry, notice);
  std::lock_guard lock(shard.mutex);
  steering::OnNoticeLost(shard, notice);
}

}  // namespace

void QueueNotice(Entry& entry, BucketNotice notice, Instant now) {
  auto* link = FindLink(entry, notice);
  if (!link) {
    MarkNoticeLost(entry, notice);
    return;
  }
  Enqueue(*link, std::move(notice), now);
}

void ParkPacket(Entry& entry,
                const steering::Decision& decision,
                std::span<const std::byte> inner,
                Instant now) {
  auto* link = FindLink(entry, decision.notice);
  if (!link || CountParkedPackets(*link) >= kMaxParkedPackets) {
    return;  // The packet is dropped; the caller resends it.
  }
  EnqueueWithPacket(*link, decision.notice,
                    {decision.to, {inner.begin(), inner.end()}}, now);
}

void FlushLinks(Entry& entry, Instant now, Actions& actions) {
  auto& control = entry.control;
  const auto& self = control.membership.self;
  for (auto& [host, link] : control.links) {
    auto due = TakeDueBatches(link, self.id, self.incarnation,
                              control.next_batch, now);
    for (const auto* batch : due) {
      SendTo(entry, link.peer, *batch, actions);
    }
  }
}

void ResetLinks(Entry& entry) {
  for (auto& [host, link] : entry.control.links) {
    for (const auto& it : link.pending) {
      MarkNoticeLost(entry, it.notice);
    }
    for (const auto& [sequence, batch] : link.outstanding) {
      for (const auto& notice : batch.message.notices) {
        MarkNoticeLost(entry, notice);
      }
    }
  }
  entry.control.links.clear();
}

void HandleNotices(Entry& entry,
                   const wire::NoticeBatch& batch,
                   Endpoint from,
                   Instant now,
                   Actions& actions) {
  for (const auto& notice : batch.notices) {
    auto& shard = ShardFor(entry, notice);
    std::lock_guard lock(shard.mutex);
    steering::MergeNotice(shard, notice, now);
    steering::OnOwnerNotice(shard, notice);
  }
  SendTo(entry, from, wire::NoticeAck{batch.sequence, batch.incarnation},
         actions);
}

void HandleNoticeAck(Entry& entry,
                     const wire::NoticeAck& ack,
                     Actions& actions) {
  auto& control = entry.control;
  if (ack.incarnation != control.membership.self.incarnation) {
    return;
  }
  for (auto& [host, link] : control.links) {
    auto it = link.outstanding.find(ack.sequence);
    if (it == link.outstanding.end()) {
      continue;
    }
    for (const auto& notice : it->second.message.notices) {
      auto& shard = ShardFor(entry, notice);
      std::lock_guard lock(shard.mutex);
      steering::OnNoticeStored(shard, notice);
    }
    for (auto& packet : it->second.parked) {
      ++entry.counters.forwarded;
      actions.inner.push_back({packet.to, std::move(packet.inner)});
    }
    link.outstanding.erase(it);
    return;
  }
}

}  // namespace acaciahold::entry
