// Stride scheduling of new flows over upstreams.

#include "acaciahold/Steering/placement.h"

#include <algorithm>
#include <cmath>

namespace acaciahold::steering {
namespace {

// Requests that the candidate processes at once, reduced while it is cold.
double EffectiveSlots(const PlacementCandidate& candidate) {
  return candidate.slots * (candidate.is_cold ? kColdSpeedFactor : 1.0);
}

// Returns the mean load per slot of the local or of the remote candidates.
double MeanLoadPerSlot(std::span<PlacementCandidate* const> candidates,
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
  bool is_remote_fallback = !candidate.is_local && slots.local > 0;
  double locality_factor = is_remote_fallback
                               ? kRemoteWeightRatio * slots.local / slots.remote
                               : 1.0;
  return EffectiveSlots(candidate) * locality_factor;
}

// Returns the factor by which the candidate's weight is raised if its load is
// below the mean, or lowered if it is above.
double LoadCorrection(const PlacementCandidate& candidate,
                      double mean_load_per_slot,
                      Instant now) {
  // One request is added to both loads, so that small counts change little.
  double own_load_per_slot =
      (LoadAt(candidate.load, now) + 1) / candidate.slots;
  return std::clamp(
      (mean_load_per_slot + 1.0 / candidate.slots) / own_load_per_slot,
      1 / kMaxLoadCorrection, kMaxLoadCorrection);
}

}  // namespace

double LoadAt(const LoadMeter& meter, Instant now) {
  double age = std::chrono::duration<double>(now - meter.updated_at) /
               std::chrono::duration<double>(kLoadTimeConstant);
  return meter.count * std::exp(-std::max(0.0, age));
}

void CountLoad(LoadMeter& meter, double amount, Instant now) {
  if (now - meter.updated_at >= kLoadResolution) {
    meter.count = LoadAt(meter, now);
    meter.updated_at = now;
  }
  meter.count += amount;
}

int PickCandidate(StrideScheduler& scheduler,
                  std::span<PlacementCandidate* const> candidates,
                  int excluded,
                  Instant now) {
  auto slots = CountSlots(candidates);
  int best = -1;
  for (int i = 0; i < static_cast<int>(candidates.size()); ++i) {
    auto& candidate = *candidates[i];
    if (candidate.virtual_time < scheduler.virtual_time) {
      candidate.virtual_time =
          scheduler.virtual_time +
          candidate.start_fraction / BaseWeight(candidate, slots);
    }
    bool is_earlier =
        best < 0 || candidate.virtual_time < candidates[best]->virtual_time;
    if (i != excluded && is_earlier) {
      best = i;
    }
  }
  if (best >= 0) {
    auto& candidate = *candidates[best];
    scheduler.virtual_time = candidate.virtual_time;
    double mean_load_per_slot =
        MeanLoadPerSlot(candidates, candidate.is_local, now);
    candidate.virtual_time +=
        1 / (BaseWeight(candidate, slots) *
             LoadCorrection(candidate, mean_load_per_slot, now));
    CountLoad(candidate.load, 1, now);
  }
  return best;
}

void InitVirtualTime(PlacementCandidate& candidate, double start_fraction) {
  constexpr double kBeforeAllCandidates = -1;
  candidate.virtual_time = kBeforeAllCandidates;
  candidate.start_fraction = start_fraction;
}

}  // namespace acaciahold::steering
