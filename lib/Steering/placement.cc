// Weighted rotation over upstreams.

#include "acaciahold/Steering/placement.h"

#include <algorithm>
#include <cmath>

namespace acaciahold::steering {
namespace {

double Speed(const PlacementCandidate& candidate) {
  return candidate.slots * (candidate.is_cold ? kColdSpeed : 1.0);
}

// Load for each slot, over all candidates that are as near.
double MeanLoad(std::span<PlacementCandidate* const> candidates,
                bool is_local,
                Instant now) {
  double load = 0;
  double slots = 0;
  for (const auto* candidate : candidates) {
    if (candidate->is_local != is_local) {
      continue;
    }
    load += LoadAt(candidate->load, now);
    slots += candidate->slots;
  }
  return slots > 0 ? load / slots : 0;
}

double Weight(const PlacementCandidate& candidate,
              double mean_load,
              Instant now) {
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
  if (now - meter.counted_at >= kLoadStep) {
    meter.count = LoadAt(meter, now);
    meter.counted_at = now;
  }
  meter.count += amount;
}

int PickCandidate(Rotation& rotation,
                  std::span<PlacementCandidate* const> candidates,
                  int excluded,
                  Instant now) {
  int best = -1;
  for (int i = 0; i < static_cast<int>(candidates.size()); ++i) {
    auto& turn = candidates[i]->turn;
    turn = std::max(turn, rotation.turn);
    if (i != excluded && (best < 0 || turn < candidates[best]->turn)) {
      best = i;
    }
  }
  if (best >= 0) {
    auto& candidate = *candidates[best];
    rotation.turn = candidate.turn;
    double mean_load = MeanLoad(candidates, candidate.is_local, now);
    candidate.turn += 1 / Weight(candidate, mean_load, now);
    CountLoad(candidate.load, 1, now);
  }
  return best;
}

void JoinRotation(const Rotation& rotation,
                  PlacementCandidate& candidate,
                  double jitter) {
  candidate.turn = rotation.turn + jitter / candidate.slots;
}

}  // namespace acaciahold::steering
