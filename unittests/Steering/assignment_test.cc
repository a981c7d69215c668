// Tests that buckets are assigned in proportion to the weights and that a
// change of candidates moves few buckets.

#include "acaciahold/Steering/assignment.h"

#include <algorithm>
#include <map>

#include <boost/test/unit_test.hpp>

#include "../check_property.h"

namespace acaciahold::steering {

namespace {

std::vector<Candidate> MakeCandidates(int n, uint32_t weight = 100) {
  std::vector<Candidate> candidates;
  for (int i = 0; i < n; ++i) {
    candidates.push_back({static_cast<uint64_t>(1000 + i * 17), weight});
  }
  return candidates;
}

// Returns the number of buckets of each candidate id.
std::map<uint64_t, uint32_t> CountBuckets(
    const std::vector<Candidate>& candidates,
    const std::vector<uint16_t>& assigned) {
  std::map<uint64_t, uint32_t> counts;
  for (uint16_t index : assigned) {
    BOOST_REQUIRE(index != kNoTarget);
    ++counts[candidates[index].id];
  }
  return counts;
}

// Returns the number of buckets whose candidate differs.
int CountMovedBuckets(const std::vector<Candidate>& a,
                      const std::vector<Candidate>& b) {
  auto before = AssignBuckets(5, a);
  auto after = AssignBuckets(5, b);
  int moved = 0;
  for (size_t i = 0; i < before.size(); ++i) {
    moved += a[before[i]].id != b[after[i]].id;
  }
  return moved;
}

}  // namespace

BOOST_AUTO_TEST_CASE(BucketCountsAreProportionalToWeights) {
  CheckProperty(51, 60, [](std::vector<uint8_t> weights) {
    std::vector<Candidate> candidates;
    uint64_t total = 0;
    for (uint8_t weight : weights) {
      candidates.push_back({candidates.size() * 31 + 7, weight});
      total += weight;
    }
    RC_PRE(total > 0);
    std::map<size_t, uint64_t> counts;
    for (uint16_t index : AssignBuckets(9, candidates)) {
      ++counts[index];
    }
    for (size_t i = 0; i < candidates.size(); ++i) {
      uint64_t scaled_quota =
          uint64_t{candidates[i].weight} * kBucketsPerService;
      RC_ASSERT(counts[i] >= scaled_quota / total);
      RC_ASSERT(counts[i] <= scaled_quota / total + 1);
    }
  });
}

BOOST_AUTO_TEST_CASE(BucketsHaveNoTargetIfNoCandidateHasWeight) {
  for (uint16_t index : AssignBuckets(9, MakeCandidates(3, 0))) {
    BOOST_TEST(index == kNoTarget);
  }
  BOOST_TEST(AssignBuckets(9, {}).size() == kBucketsPerService);
}

// The buckets of a removed candidate must move. At most as many others may move
// in addition.
BOOST_AUTO_TEST_CASE(RemovalOfACandidateMovesFewBuckets) {
  auto all = MakeCandidates(14);
  auto remaining = all;
  remaining.erase(remaining.begin() + 4);
  int min_moved =
      static_cast<int>(CountBuckets(all, AssignBuckets(5, all))[all[4].id]);
  BOOST_TEST(CountMovedBuckets(all, remaining) >= min_moved);
  BOOST_TEST(CountMovedBuckets(all, remaining) <= 2 * min_moved);
}

BOOST_AUTO_TEST_CASE(AssignmentIsIndependentOfCandidateOrder) {
  auto candidates = MakeCandidates(9);
  auto reversed = candidates;
  std::reverse(reversed.begin(), reversed.end());
  BOOST_TEST(CountMovedBuckets(candidates, reversed) == 0);
}

}  // namespace acaciahold::steering
