// Helpers to access a shard's buckets, shared by the packet decisions and the
// bucket moves.

#ifndef ACACIAHOLD_LIB_STEERING_BUCKET_ACCESS_H_
#define ACACIAHOLD_LIB_STEERING_BUCKET_ACCESS_H_

#include <vector>

#include "acaciahold/Steering/flow_shard.h"

namespace acaciahold::steering {

// Whether the host exists and is not suspected to have failed.
inline bool IsReady(const Plan& plan, HostIndex host) {
  return host != kNoHost && !plan.hosts[host].is_suspect;
}

// Position of a bucket in its shard's vector of buckets.
inline uint32_t PositionOf(uint32_t bucket) {
  return bucket / kShards;
}

// Inverse of PositionOf.
inline uint32_t BucketAt(const FlowShard& shard, uint32_t position) {
  return position * kShards + shard.index;
}

// Returns the service's buckets in the shard; creates them if missing.
inline std::vector<Bucket>& BucketsOf(FlowShard& shard, uint64_t service) {
  auto& buckets = shard.services[service].buckets;
  if (buckets.empty()) {
    buckets.resize(kBucketsPerShard);
  }
  return buckets;
}

// Returns the upstream that the plan assigns to the bucket, or 0 if none.
inline upstream::UpstreamId DesiredTarget(const ServicePlan& service,
                                          uint32_t bucket) {
  uint16_t index = service.desired_targets[bucket];
  return index == kNoTarget ? 0 : service.targets[index].id;
}

// Removes a counted flow from the open flows in its upstream's admission state.
inline void Release(const ServicePlan* service, const Flow& flow) {
  if (!flow.is_counted || !service) {
    return;
  }
  if (const auto* target = FindTarget(*service, flow.upstream)) {
    admission::Release(*target->cell);
  }
}

// Adds the flow to the open flows in its upstream's admission state.
inline void CountOpenFlow(Flow& flow, const Target& target) {
  if (flow.is_counted) {
    return;
  }
  flow.is_counted = true;
  admission::CountMigratedFlow(*target.cell);
}

// Returns the host that holds the bucket's other replica.
inline HostIndex OtherReplicaHost(const Plan& plan, const Route& route) {
  return route.owner == plan.self ? route.backup : route.owner;
}

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_LIB_STEERING_BUCKET_ACCESS_H_
