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

// Slots of candidates in the own failure domain, and in others.
struct Slots {
  double local = 0;
  double remote = 0;
};

Slots CountSlots(std::span<PlacementCandidate* const> candidates) {
  Slots slots;
  for (const auto* candidate : candidates) {
    (candidate->is_local ? slots.local : slots.remote) += candidate->slots;
  }
  return slots;
}

// A candidate's part, load left aside.
double BaseWeight(const PlacementCandidate& candidate, const Slots& slots) {
  bool is_spill = !candidate.is_local && slots.local > 0;
  double locality = is_spill ? kRemotePart * slots.local / slots.remote : 1.0;
  return Speed(candidate) * locality;
}

// How much more than its part a candidate gets, for want of load.
double CatchUp(const PlacementCandidate& candidate,
               double mean_load,
               Instant now) {
  // One request more on each side keeps small counts from deciding.
  double own_load = (LoadAt(candidate.load, now) + 1) / candidate.slots;
  return std::clamp((mean_load + 1.0 / candidate.slots) / own_load,
                    1 / kMaxCatchUp, kMaxCatchUp);
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
  auto slots = CountSlots(candidates);
  int best = -1;
  for (int i = 0; i < static_cast<int>(candidates.size()); ++i) {
    auto& candidate = *candidates[i];
    if (candidate.turn < rotation.turn) {
      candidate.turn =
          rotation.turn + candidate.phase / BaseWeight(candidate, slots);
    }
    bool is_better = best < 0 || candidate.turn < candidates[best]->turn;
    if (i != excluded && is_better) {
      best = i;
    }
  }
  if (best >= 0) {
    auto& candidate = *candidates[best];
    rotation.turn = candidate.turn;
    double mean_load = MeanLoad(candidates, candidate.is_local, now);
    candidate.turn +=
        1 / (BaseWeight(candidate, slots) * CatchUp(candidate, mean_load, now));
    CountLoad(candidate.load, 1, now);
  }
  return best;
}

void JoinRotation(PlacementCandidate& candidate, double jitter) {
  constexpr double kBeforeAllTurns = -1;
  candidate.turn = kBeforeAllTurns;
  candidate.phase = jitter;
}

}  // namespace acaciahold::steering
