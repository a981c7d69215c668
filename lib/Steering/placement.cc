// Stride scheduling of new flows over upstreams.

#include "acaciahold/Steering/placement.h"

#include <algorithm>
#include <cmath>

namespace acaciahold::steering {
namespace {

// Requests that the candidate processes at once, reduced while it is cold.
double Speed(const PlacementCandidate& candidate) {
  return candidate.slots * (candidate.is_cold ? kColdSpeed : 1.0);
}

// Returns the mean load per slot of the local or of the remote candidates.
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

// Number of slots in the host's own failure domain and in others.
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

// Returns the candidate's weight without regard to its load.
double BaseWeight(const PlacementCandidate& candidate, const Slots& slots) {
  bool is_spill = !candidate.is_local && slots.local > 0;
  double locality = is_spill ? kRemotePart * slots.local / slots.remote : 1.0;
  return Speed(candidate) * locality;
}

// Returns the factor by which the candidate's weight is raised if its load is
// below the mean, or lowered if it is above.
double CatchUp(const PlacementCandidate& candidate,
               double mean_load,
               Instant now) {
  // One request is added to both loads, so that small counts change little.
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
