// Assignment of a service's buckets to its upstreams: the same on every host
// with the same inputs, whatever happened before.

#ifndef ACACIAHOLD_STEERING_ASSIGNMENT_H_
#define ACACIAHOLD_STEERING_ASSIGNMENT_H_

#include <cstdint>
#include <span>
#include <vector>

namespace acaciahold::steering {

inline constexpr uint32_t kBucketsPerService = 1024;
inline constexpr uint16_t kNoTarget = 0xffff;

struct Candidate {
  uint64_t id = 0;
  uint32_t weight = 0;  // 0: takes no bucket.
};

// The candidate's index for each bucket, kNoTarget where no candidate has
// weight. Each candidate gets its share of the buckets by weight, rounded to a
// neighbouring whole number, so that load is even; and a change of candidates
// moves few buckets.
std::vector<uint16_t> AssignBuckets(uint64_t service,
                                    std::span<const Candidate> candidates,
                                    uint32_t buckets = kBucketsPerService);

// The rank of a host or upstream for a key; the highest wins.
uint64_t RendezvousScore(uint64_t key, uint64_t id);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_STEERING_ASSIGNMENT_H_
