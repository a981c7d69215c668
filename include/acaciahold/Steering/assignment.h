// Assigns a service's buckets to its upstreams. The result is a pure function
// of the inputs, so all hosts with the same inputs compute the same assignment.

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
  uint32_t weight = 0;  // 0: is assigned no bucket.
};

// Returns, for each bucket, the index of its candidate, or kNoTarget for all
// buckets if no candidate has a weight. The number of buckets of each candidate
// is proportional to its weight, rounded up or down to a whole number, so that
// load is even. A change of the candidates reassigns few buckets.
std::vector<uint16_t> AssignBuckets(uint64_t service,
                                    std::span<const Candidate> candidates,
                                    uint32_t buckets = kBucketsPerService);

// Returns the rendezvous hash score of a host or upstream for a key; the
// highest score wins.
uint64_t RendezvousScore(uint64_t key, uint64_t id);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_STEERING_ASSIGNMENT_H_
