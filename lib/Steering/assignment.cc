// Assigns buckets by stable matching: every bucket ranks the upstreams by
// weighted rendezvous score, and every upstream ranks the buckets by the same
// score and accepts as many as its quota. Deferred acceptance gives the same
// result in any order in which the buckets are processed.

#include "acaciahold/Steering/assignment.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>

#include "acaciahold/Support/hash.h"

namespace acaciahold::steering {
namespace {

constexpr double kHashRange = 18446744073709551616.0;  // 2^64.

// Returns the number of buckets for each candidate by the largest remainder
// method; ties are broken by id.
std::vector<uint32_t> ComputeQuotas(std::span<const Candidate> candidates,
                                    uint32_t buckets) {
  uint64_t total = 0;
  for (const auto& it : candidates) {
    total += it.weight;
  }
  std::vector<uint32_t> quotas(candidates.size(), 0);
  if (total == 0) {
    return quotas;
  }
  uint32_t allotted = 0;
  std::vector<std::pair<uint64_t, size_t>> remainders;
  for (size_t i = 0; i < candidates.size(); ++i) {
    uint64_t scaled_quota = uint64_t{candidates[i].weight} * buckets;
    quotas[i] = static_cast<uint32_t>(scaled_quota / total);
    allotted += quotas[i];
    remainders.emplace_back(scaled_quota % total, i);
  }
  std::sort(remainders.begin(), remainders.end(),
            [&](const auto& a, const auto& b) {
              if (a.first != b.first) {
                return a.first > b.first;
              }
              return candidates[a.second].id < candidates[b.second].id;
            });
  for (size_t i = 0; allotted < buckets; ++i, ++allotted) {
    ++quotas[remainders[i].second];
  }
  return quotas;
}

// Weighted rendezvous score; the highest is preferred. The probability that a
// candidate has the highest score is proportional to its weight.
double WeightedScore(uint64_t key, const Candidate& candidate) {
  double u = (static_cast<double>(RendezvousScore(key, candidate.id)) + 1.0) /
             kHashRange;
  return -static_cast<double>(candidate.weight) / std::log(u);
}

struct Proposal {
  double score = 0;
  uint32_t bucket = 0;

  // Reversed order, so that the lowest accepted score is on top of the queue.
  bool operator<(const Proposal& other) const {
    if (score != other.score) {
      return score > other.score;
    }
    return bucket < other.bucket;
  }
};

// Returns the candidates of one bucket as (score, index), best first.
std::vector<std::pair<double, uint16_t>> RankCandidates(
    uint64_t key,
    std::span<const Candidate> candidates,
    std::span<const uint32_t> quotas) {
  std::vector<std::pair<double, uint16_t>> ranked;
  for (size_t i = 0; i < candidates.size(); ++i) {
    if (quotas[i] > 0) {
      ranked.emplace_back(WeightedScore(key, candidates[i]),
                          static_cast<uint16_t>(i));
    }
  }
  std::sort(ranked.rbegin(), ranked.rend());
  return ranked;
}

}  // namespace

uint64_t RendezvousScore(uint64_t key, uint64_t id) {
  return CombineHashes(key, id);
}

std::vector<uint16_t> AssignBuckets(uint64_t service,
                                    std::span<const Candidate> candidates,
                                    uint32_t buckets) {
  std::vector<uint16_t> assigned(buckets, kNoTarget);
  auto quotas = ComputeQuotas(candidates, buckets);
  std::vector<std::vector<std::pair<double, uint16_t>>> preferences(buckets);
  for (uint32_t b = 0; b < buckets; ++b) {
    preferences[b] =
        RankCandidates(CombineHashes(service, b), candidates, quotas);
  }
  std::vector<size_t> next_choice(buckets, 0);
  std::vector<std::priority_queue<Proposal>> accepted(candidates.size());
  std::vector<uint32_t> unmatched(buckets);
  std::iota(unmatched.begin(), unmatched.end(), 0);
  while (!unmatched.empty()) {
    uint32_t bucket = unmatched.back();
    unmatched.pop_back();
    if (next_choice[bucket] >= preferences[bucket].size()) {
      continue;
    }
    auto [score, target] = preferences[bucket][next_choice[bucket]++];
    accepted[target].push({score, bucket});
    if (accepted[target].size() > quotas[target]) {
      unmatched.push_back(accepted[target].top().bucket);
      accepted[target].pop();
    }
  }
  for (size_t i = 0; i < accepted.size(); ++i) {
    for (; !accepted[i].empty(); accepted[i].pop()) {
      assigned[accepted[i].top().bucket] = static_cast<uint16_t>(i);
    }
  }
  return assigned;
}

}  // namespace acaciahold::steering
