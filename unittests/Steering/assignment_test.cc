// Tests of bucket assignment: even by weight, and few buckets move.

#include "acaciahold/Steering/assignment.h"

#include <algorithm>
#include <map>

#include <boost/test/unit_test.hpp>

#include "../check_property.h"

namespace acaciahold::steering {

namespace {

std::vector<Candidate> Candidates(int n, uint32_t weight = 100) {
  std::vector<Candidate> candidates;
  for (int i = 0; i < n; ++i) {
    candidates.push_back({static_cast<uint64_t>(1000 + i * 17), weight});
  }
  return candidates;
}

// Buckets by candidate id.
std::map<uint64_t, uint32_t> Count(const std::vector<Candidate>& candidates,
                                   const std::vector<uint16_t>& assigned) {
  std::map<uint64_t, uint32_t> counts;
  for (uint16_t index : assigned) {
    BOOST_REQUIRE(index != kNoTarget);
    ++counts[candidates[index].id];
  }
  return counts;
}

// Buckets whose candidate differs.
int Moved(const std::vector<Candidate>& a, const std::vector<Candidate>& b) {
  auto before = AssignBuckets(5, a);
  auto after = AssignBuckets(5, b);
  int moved = 0;
  for (size_t i = 0; i < before.size(); ++i) {
    moved += a[before[i]].id != b[after[i]].id;
  }
  return moved;
}

}  // namespace

BOOST_AUTO_TEST_CASE(GivesEachItsShareByWeight) {
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
      uint64_t exact = uint64_t{candidates[i].weight} * kBucketsPerService;
      RC_ASSERT(counts[i] >= exact / total);
      RC_ASSERT(counts[i] <= exact / total + 1);
    }
  });
}

BOOST_AUTO_TEST_CASE(LeavesBucketsWithoutATargetWhereNoneHasWeight) {
  for (uint16_t index : AssignBuckets(9, Candidates(3, 0))) {
    BOOST_TEST(index == kNoTarget);
  }
  BOOST_TEST(AssignBuckets(9, {}).size() == kBucketsPerService);
}

BOOST_AUTO_TEST_CASE(MovesAboutWhatALossForces) {
  auto all = Candidates(14);
  auto less = all;
  less.erase(less.begin() + 4);
  int forced = static_cast<int>(Count(all, AssignBuckets(5, all))[all[4].id]);
  BOOST_TEST(Moved(all, less) >= forced);
  BOOST_TEST(Moved(all, less) <= 2 * forced);
}

BOOST_AUTO_TEST_CASE(ForgetsHowItCameAbout) {
  auto candidates = Candidates(9);
  auto reversed = candidates;
  std::reverse(reversed.begin(), reversed.end());
  BOOST_TEST(Moved(candidates, reversed) == 0);
}

}  // namespace acaciahold::steering
