// Updates buckets on new plans, bucket moves, notices from other hosts, and
// flow expiry.

#include <algorithm>

#include "acaciahold/Steering/flow_shard.h"
#include "acaciahold/Support/check.h"
#include "bucket_access.h"

namespace acaciahold::steering {
namespace {

using upstream::UpstreamId;

// Restarts the idle timeout of replicated flows. A replica's deadline dates
// from its notice; only from now on does this host see the flow's packets.
void RestartIdleTime(Bucket& bucket, Duration idle_timeout, Instant now) {
  for (auto& [fingerprint, flow] : bucket.flows) {
    if (!flow.is_counted) {
      flow.idle_deadline = now + idle_timeout;
    }
  }
}

void RetireBucket(Bucket& bucket, Duration idle_timeout, Instant now) {
  bucket.phase = BucketPhase::kRetired;
  bucket.has_peer_state = false;
  bucket.is_idle_at_peers = false;
  bucket.moving_to = 0;
  RestartIdleTime(bucket, idle_timeout, now);
}

// Marks the bucket as held; `is_new` is whether its service is new. A bucket of
// which no peer sent state has no upstream yet: its owner assigns one and
// replicates that to the backup, so that the two can't start from different
// plans.
void MarkHeld(Bucket& bucket,
              const ServicePlan& service,
              bool is_new,
              Instant now) {
  bucket.has_unknown_flows = !is_new && !bucket.has_peer_state &&
                             bucket.phase == BucketPhase::kUnknown;
  bucket.phase = BucketPhase::kHeld;
  bool is_settled = is_new || bucket.is_idle_at_peers;
  bucket.settled_at = is_settled ? now : now + service.idle_timeout;
}

// Whether the bucket's owner in the previous plan is missing in the current
// one.
bool IsOwnerLost(const Plan* previous,
                 const Plan& plan,
                 uint64_t service_id,
                 uint32_t index) {
  const auto* service = previous ? FindService(*previous, service_id) : nullptr;
  if (!service || service->routes[index].owner == kNoHost) {
    return false;
  }
  return !HasHost(plan, previous->hosts[service->routes[index].owner].id);
}

// Updates the bucket's role for a new plan. Returns whether this host must pull
// the bucket's state.
bool UpdateBucket(FlowShard& shard,
                  Bucket& bucket,
                  const ServicePlan& service,
                  uint32_t index,
                  Instant now) {
  const Plan& plan = *shard.plan;
  const auto& route = service.routes[index];
  bool is_owner = route.owner == plan.self;
  bool is_held = bucket.phase == BucketPhase::kHeld;
  if (is_held && !is_owner) {
    bucket.is_state_source |=
        bucket.is_owned ||
        IsOwnerLost(shard.previous.get(), plan, service.id, index);
  }
  if (!is_owner && route.backup != plan.self) {
    bucket.is_owned = false;
    if (is_held) {
      RetireBucket(bucket, service.idle_timeout, now);
    }
    return false;
  }
  if (is_owner && !bucket.is_owned) {
    bucket.settled_at = now + service.idle_timeout;
    RestartIdleTime(bucket, service.idle_timeout, now);
  }
  if (bucket.moving_to != 0 && !is_owner) {
    bucket.moving_to = 0;
  }
  bucket.is_owned = is_owner;
  return !is_held;
}

void DropRemovedServices(FlowShard& shard, const Plan& plan) {
  for (auto it = shard.services.begin(); it != shard.services.end();) {
    if (FindService(plan, it->first)) {
      ++it;
      continue;
    }
    for (const auto& bucket : it->second.buckets) {
      shard.flow_count -= bucket.flows.size();
    }
    it = shard.services.erase(it);
  }
}

// Returns the bucket's complete state as a notice.
BucketNotice CompleteState(const Bucket& bucket,
                           uint64_t service,
                           uint32_t index,
                           Instant now) {
  BucketNotice notice;
  notice.is_idle = bucket.phase == BucketPhase::kHeld && bucket.is_owned &&
                   now >= bucket.settled_at && bucket.flows.empty();
  notice.service = service;
  notice.bucket = static_cast<uint16_t>(index);
  notice.version = bucket.version;
  notice.assigned = bucket.assigned;
  for (const auto& [fingerprint, flow] : bucket.flows) {
    if (flow.upstream != bucket.assigned) {
      notice.added.push_back({fingerprint, flow.upstream});
    }
  }
  return notice;
}

// Returns the notice that offers a move to the backup, with the flows that stay
// on their previous upstreams.
BucketNotice OfferMove(Bucket& bucket,
                       uint64_t service,
                       uint32_t index,
                       UpstreamId moving_to) {
  BucketNotice notice;
  bucket.offered_version = std::max(bucket.version, bucket.offered_version) + 1;
  notice.service = service;
  notice.bucket = static_cast<uint16_t>(index);
  notice.version = bucket.offered_version;
  notice.assigned = moving_to;
  for (const auto& [fingerprint, flow] : bucket.flows) {
    if (flow.upstream != moving_to) {
      notice.added.push_back({fingerprint, flow.upstream});
    }
  }
  return notice;
}

void CompleteMove(Bucket& bucket, const BucketNotice& notice) {
  bucket.assigned = notice.assigned;
  bucket.version = notice.version;
  bucket.moving_to = 0;
  bucket.is_offer_lost = false;
}

// Returns the upstream that the bucket should be moved to now, or 0 if it
// should not or must not be moved.
UpstreamId MoveTarget(const Bucket& bucket,
                      const ServicePlan& service,
                      uint32_t index,
                      bool may_move,
                      Instant now) {
  UpstreamId desired = DesiredTarget(service, index);
  const auto* old = FindTarget(service, bucket.assigned);
  bool is_unusable = !old || !old->is_usable;
  bool is_due = desired != 0 && desired != bucket.assigned &&
                (is_unusable || (may_move && now >= bucket.settled_at));
  if (is_due) {
    return desired;
  }
  // If the last offer was lost, the backup may have stored it. Offer the
  // current upstream with a higher version, even if the bucket is not to move.
  return bucket.is_offer_lost ? bucket.assigned : 0;
}

// Starts the bucket's move, if one is due. Returns the notice to replicate, or
// nullopt if there is no move or no backup.
std::optional<BucketNotice> StartMove(Bucket& bucket,
                                      const ServicePlan& service,
                                      uint32_t index,
                                      bool may_move,
                                      Instant now) {
  bool is_waiting = bucket.moving_to != 0 && !bucket.is_offer_lost;
  if (!bucket.is_owned || bucket.phase != BucketPhase::kHeld || is_waiting) {
    return std::nullopt;
  }
  UpstreamId moving_to = MoveTarget(bucket, service, index, may_move, now);
  if (moving_to == 0) {
    return std::nullopt;
  }
  auto notice = OfferMove(bucket, service.id, index, moving_to);
  if (service.routes[index].backup == kNoHost) {
    CompleteMove(bucket, notice);
    return std::nullopt;
  }
  const auto* old = FindTarget(service, bucket.assigned);
  if (!old || !old->is_usable) {
    CompleteMove(bucket, notice);
  } else {
    bucket.moving_to = moving_to;
    bucket.is_offer_lost = false;
  }
  return notice;
}

// Returns null if the shard does not have the notice's bucket.
Bucket* FindBucket(FlowShard& shard, const BucketNotice& notice) {
  auto it = shard.services.find(notice.service);
  if (it == shard.services.end() || notice.bucket >= kBucketsPerService) {
    return nullptr;
  }
  return &it->second.buckets[PositionOf(notice.bucket)];
}

void RemoveFlow(FlowShard& shard,
                Bucket& bucket,
                const ServicePlan* service,
                uint64_t fingerprint) {
  auto it = bucket.flows.find(fingerprint);
  if (it == bucket.flows.end() || it->second.is_counted) {
    return;  // A counted flow is in use on this host until its idle deadline.
  }
  Release(service, it->second);
  bucket.flows.erase(it);
  --shard.flow_count;
}

// Removes the bucket's expired flows. Returns the fingerprints of removed
// exceptions.
std::vector<uint64_t> SweepBucket(FlowShard& shard,
                                  Bucket& bucket,
                                  const ServicePlan* service,
                                  Instant now) {
  std::vector<uint64_t> ended;
  for (auto it = bucket.flows.begin(); it != bucket.flows.end();) {
    bool is_replica = !it->second.is_counted && !bucket.is_owned &&
                      bucket.phase == BucketPhase::kHeld;
    if (is_replica || now < it->second.idle_deadline) {
      ++it;
      continue;
    }
    bool is_backup = !bucket.is_owned && bucket.phase == BucketPhase::kHeld;
    if (is_backup && it->second.upstream != bucket.assigned) {
      // The owner receives the flow's packets now. Keep the exception as a
      // replica.
      Release(service, it->second);
      it->second.is_counted = false;
      ++it;
      continue;
    }
    if (it->second.upstream != bucket.assigned) {
      ended.push_back(it->first);
    }
    Release(service, it->second);
    bucket.flows.erase(it++);
    --shard.flow_count;
  }
  return ended;
}

}  // namespace

bool OnPlan(FlowShard& shard, std::shared_ptr<const Plan> plan, Instant now) {
  bool needs_pull = false;
  if (shard.plan && shard.plan->view != plan->view) {
    shard.previous = shard.plan;
  }
  shard.plan = std::move(plan);
  DropRemovedServices(shard, *shard.plan);
  for (const auto& service : shard.plan->services) {
    auto& buckets = BucketsOf(shard, service->id);
    for (uint32_t i = 0; i < kBucketsPerShard; ++i) {
      needs_pull |=
          UpdateBucket(shard, buckets[i], *service, BucketAt(shard, i), now);
    }
  }
  return needs_pull;
}

void OnPullsDone(FlowShard& shard,
                 std::span<const uint64_t> held_by_peers,
                 Instant now) {
  const Plan& plan = *shard.plan;
  shard.has_unpulled_hosts = false;
  for (const auto& service : plan.services) {
    auto& buckets = BucketsOf(shard, service->id);
    bool is_held = std::any_of(
        buckets.begin(), buckets.end(),
        [](const Bucket& b) { return b.phase != BucketPhase::kUnknown; });
    bool is_new =
        !is_held && std::find(held_by_peers.begin(), held_by_peers.end(),
                              service->id) == held_by_peers.end();
    if (is_new) {
      shard.services[service->id].new_until = now + kNewServicePeriod;
    }
    for (uint32_t i = 0; i < kBucketsPerShard; ++i) {
      uint32_t index = BucketAt(shard, i);
      const auto& route = service->routes[index];
      bool is_responsible =
          route.owner == plan.self || route.backup == plan.self;
      if (is_responsible && buckets[i].phase != BucketPhase::kHeld) {
        MarkHeld(buckets[i], *service, is_new, now);
      }
    }
  }
}

std::vector<BucketNotice> StartMoves(FlowShard& shard,
                                     size_t max_bytes,
                                     bool may_move,
                                     Instant now) {
  std::vector<BucketNotice> notices;
  size_t bytes = 0;
  if (!shard.plan) {
    return notices;
  }
  for (const auto& service : shard.plan->services) {
    auto& buckets = BucketsOf(shard, service->id);
    for (uint32_t i = 0; i < kBucketsPerShard && bytes < max_bytes; ++i) {
      auto notice =
          StartMove(buckets[i], *service, BucketAt(shard, i), may_move, now);
      if (notice) {
        bytes += NoticeBytes(*notice);
        notices.push_back(std::move(*notice));
      }
    }
  }
  return notices;
}

void OnNoticeStored(FlowShard& shard, const BucketNotice& notice) {
  auto* bucket = FindBucket(shard, notice);
  if (!bucket) {
    return;
  }
  for (const auto& exception : notice.added) {
    auto it = bucket->flows.find(exception.fingerprint);
    if (it != bucket->flows.end() &&
        it->second.upstream == exception.upstream) {
      it->second.is_replicated = true;
    }
  }
  bool is_newest = bucket->moving_to != 0 && !bucket->is_offer_lost &&
                   notice.version == bucket->offered_version;
  if (is_newest) {
    CompleteMove(*bucket, notice);
  }
}

void OnNoticeLost(FlowShard& shard, const BucketNotice& notice) {
  auto* bucket = FindBucket(shard, notice);
  bool is_offer = bucket && bucket->is_owned && notice.version > 0 &&
                  notice.version == bucket->offered_version &&
                  notice.version >= bucket->version;
  if (!is_offer) {
    return;
  }
  // New flows are exceptions until the backup has stored a newer offer.
  bucket->is_offer_lost = true;
  bucket->moving_to = notice.assigned;
}

void OnOwnerNotice(FlowShard& shard, const BucketNotice& notice) {
  if (auto* bucket = FindBucket(shard, notice)) {
    bucket->is_state_source = false;
  }
}

void MergeNotice(FlowShard& shard, const BucketNotice& notice, Instant now) {
  const auto* service =
      shard.plan ? FindService(*shard.plan, notice.service) : nullptr;
  if (!service || notice.bucket >= kBucketsPerService) {
    return;
  }
  auto& bucket = BucketsOf(shard, notice.service)[PositionOf(notice.bucket)];
  if (notice.version > bucket.version || bucket.assigned == 0) {
    bucket.version = std::max(bucket.version, notice.version);
    bucket.assigned = notice.assigned;
    bucket.moving_to = 0;
    bucket.is_offer_lost = false;
  }
  bool is_first_notice =
      bucket.phase == BucketPhase::kUnknown && !bucket.has_peer_state;
  bucket.is_idle_at_peers =
      notice.is_idle && (is_first_notice || bucket.is_idle_at_peers);
  bucket.has_peer_state = true;
  for (const auto& exception : notice.added) {
    auto [it, is_new] = bucket.flows.try_emplace(exception.fingerprint);
    if (!is_new) {
      continue;
    }
    ++shard.flow_count;
    it->second.upstream = exception.upstream;
    it->second.is_answered = true;
    it->second.idle_deadline = now + service->idle_timeout;
  }
  for (uint64_t fingerprint : notice.removed) {
    RemoveFlow(shard, bucket, service, fingerprint);
  }
}

std::vector<BucketNotice> Sweep(FlowShard& shard, Instant now) {
  constexpr uint32_t kParts = 8;
  std::vector<BucketNotice> notices;
  uint32_t part = shard.sweep_position++ % kParts;
  for (auto& [service_id, shard_service] : shard.services) {
    auto& buckets = shard_service.buckets;
    const auto* service = FindService(*shard.plan, service_id);
    for (uint32_t i = part; i < kBucketsPerShard; i += kParts) {
      auto ended = SweepBucket(shard, buckets[i], service, now);
      if (ended.empty() || !buckets[i].is_owned) {
        continue;
      }
      auto notice =
          BucketNotice{.service = service_id,
                       .bucket = static_cast<uint16_t>(BucketAt(shard, i)),
                       .version = buckets[i].version,
                       .assigned = buckets[i].assigned,
                       .added = {},
                       .removed = std::move(ended)};
      notices.push_back(std::move(notice));
    }
  }
  return notices;
}

namespace {

// Whether the host is the route's owner or backup.
bool IsRoutedTo(const Plan& plan, const Route& route, membership::HostId host) {
  auto is_host = [&](HostIndex h) {
    return h != kNoHost && plan.hosts[h].id == host;
  };
  return is_host(route.owner) || is_host(route.backup);
}

// Whether the host was the bucket's owner or backup in the previous plan.
bool WasRoutedTo(const Plan* previous,
                 uint64_t service_id,
                 uint32_t index,
                 membership::HostId host) {
  const auto* service = previous ? FindService(*previous, service_id) : nullptr;
  return service && IsRoutedTo(*previous, service->routes[index], host);
}

}  // namespace

std::vector<BucketNotice> ExportBuckets(const FlowShard& shard,
                                        membership::HostId host,
                                        uint64_t known_view,
                                        Instant now) {
  std::vector<BucketNotice> notices;
  if (!shard.plan) {
    return notices;
  }
  const Plan& plan = *shard.plan;
  bool knows_previous_view =
      shard.previous && shard.previous->view == known_view;
  for (const auto& [service_id, shard_service] : shard.services) {
    const auto* service = FindService(plan, service_id);
    if (!service) {
      continue;
    }
    for (uint32_t i = 0; i < kBucketsPerShard; ++i) {
      uint32_t index = BucketAt(shard, i);
      const auto& bucket = shard_service.buckets[i];
      const auto& route = service->routes[index];
      // If `host` missed a view, every host that still has the bucket's state
      // sends it, since after several changes in quick succession the
      // responsible host may not have received the state yet.
      bool is_source =
          bucket.is_owned || bucket.is_state_source || !knows_previous_view;
      bool is_needed =
          IsRoutedTo(plan, route, host) &&
          (!knows_previous_view ||
           !WasRoutedTo(shard.previous.get(), service_id, index, host));
      if (is_source && is_needed && bucket.phase != BucketPhase::kUnknown) {
        notices.push_back(CompleteState(bucket, service_id, index, now));
      }
    }
  }
  return notices;
}

std::vector<uint64_t> HeldServices(const FlowShard& shard, Instant now) {
  std::vector<uint64_t> held_services;
  for (const auto& [id, service] : shard.services) {
    bool is_held = std::any_of(
        service.buckets.begin(), service.buckets.end(),
        [](const Bucket& b) { return b.phase != BucketPhase::kUnknown; });
    if (is_held && now >= service.new_until) {
      held_services.push_back(id);
    }
  }
  return held_services;
}

size_t NoticeBytes(const BucketNotice& notice) {
  constexpr size_t kHeaderBytes = 24;
  constexpr size_t kExceptionBytes = 16;
  constexpr size_t kRemovedBytes = 9;
  return kHeaderBytes + notice.added.size() * kExceptionBytes +
         notice.removed.size() * kRemovedBytes;
}

}  // namespace acaciahold::steering
