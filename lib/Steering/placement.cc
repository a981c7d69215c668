// Weighted rotation over upstreams.

#include "acaciahold/Steering/placement.h"

#include <algorithm>
#include <cmath>

namespace acaciahold::steering {
namespace {

double Speed(const PlacementCandidate& candidate) {
  return candidate.slots * (candidate.is_cold ? kColdSpeed : 1.0);
}

// Load for each slot, over all candidates.
double MeanLoad(std::span<PlacementCandidate* const> candidates, Instant now) {
  double load = 0;
  double slots = 0;
  for (const auto* candidate : candidates) {
    load += LoadAt(candidate->load, now);
    slots += candidate->slots;
  }
  return slots > 0 ? load / slots : 0;
}

double Weight(const PlacementCandidate& candidate, double mean_load, Instant now) {
  // One request more on each side keeps small counts from deciding.
  double own_load = (LoadAt(candidate.load, now) + 1) / candidate.slots;
  double catch_up = std::clamp((mean_load + 1.0 / candidate.slots) / own_load,
                               1 / kMaxCatchUp, kMaxCatchUp);
  double locality = candidate.is_local ? 1.0 : kRemoteWeight;
  return Speed(candidate) * catch_up * locality;
}

}  // namespace

double LoadAt(const LoadMeter& meter, Instant now) {
  double age = std::chrono::duration<double>(now - meter.counted_at) /
               std::chrono::duration<double>(kLoadMemory);
  return meter.count * std::exp(-std::max(0.0, age));
}

void CountLoad(LoadMeter& meter, double amount, Instant now) {
  meter.count = LoadAt(meter, now) + amount;
  meter.counted_at = now;
}

int PickCandidate(std::span<PlacementCandidate* const> candidates,
                  int excluded,
                  Instant now) {
  int best = -1;
  for (int i = 0; i < static_cast<int>(candidates.size()); ++i) {
    bool is_better = i != excluded &&
                     (best < 0 || candidates[i]->turn < candidates[best]->turn);
    if (is_better) {
      best = i;
    }
  }
  if (best >= 0) {
    auto& candidate = *candidates[best];
    candidate.turn +=
        1 / Weight(candidate, MeanLoad(candidates, now), now);
    CountLoad(candidate.load, 1, now);
  }
  return best;
}

void JoinRotation(PlacementCandidate& candidate,
                  std::span<PlacementCandidate* const> others,
                  double jitter) {
  double first = 0;
  bool has_others = false;
  for (const auto* other : others) {
    if (other == &candidate) {
      continue;
    }
    first = has_others ? std::min(first, other->turn) : other->turn;
    has_others = true;
  }
  candidate.turn = std::max(candidate.turn, first) + jitter / candidate.slots;
}

}  // namespace acaciahold::steering
