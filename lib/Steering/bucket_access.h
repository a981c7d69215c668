// Access to the buckets of a shard, for its decisions and for its moves.

#ifndef ACACIAHOLD_LIB_STEERING_BUCKET_ACCESS_H_
#define ACACIAHOLD_LIB_STEERING_BUCKET_ACCESS_H_

#include <vector>

#include "acaciahold/Steering/flow_shard.h"

namespace acaciahold::steering {

inline bool IsReady(const Plan& plan, HostIndex host) {
  return host != kNoHost && !plan.hosts[host].is_suspect;
}

inline uint32_t PositionOf(uint32_t bucket) {
  return bucket / kShards;
}

inline uint32_t BucketAt(const FlowShard& shard, uint32_t position) {
  return position * kShards + shard.index;
}

inline std::vector<Bucket>& BucketsOf(FlowShard& shard, uint64_t service) {
  auto& buckets = shard.services[service].buckets;
  if (buckets.empty()) {
    buckets.resize(kBucketsPerShard);
  }
  return buckets;
}

inline upstream::UpstreamId DesiredTarget(const ServicePlan& service,
                                          uint32_t bucket) {
  uint16_t index = service.desired[bucket];
  return index == kNoTarget ? 0 : service.targets[index].id;
}

inline void Release(const ServicePlan* service, const Flow& flow) {
  if (!flow.is_counted || !service) {
    return;
  }
  if (const auto* target = FindTarget(*service, flow.upstream)) {
    admission::Release(*target->cell);
  }
}

inline void CountHere(Flow& flow, const Target& target) {
  if (flow.is_counted) {
    return;
  }
  flow.is_counted = true;
  admission::CountMigratedFlow(*target.cell);
}

// The host that holds the other copy of the bucket.
inline HostIndex OtherHolder(const Plan& plan, const Route& route) {
  return route.owner == plan.self ? route.backup : route.owner;
}

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_LIB_STEERING_BUCKET_ACCESS_H_
