// Stride scheduling of new flows over upstreams.

#include "acaciahold/Steering/placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace acaciahold::steering {
namespace {

// Requests that the candidate processes at once, reduced while it is cold.
double EffectiveSlots(const PlacementCandidate& candidate) {
  return candidate.slots * (candidate.is_cold ? kColdSpeedFactor : 1.0);
}

// Returns the mean load per slot of the candidates in the failure domain.
double MeanLoadPerSlot(std::span<PlacementCandidate* const> candidates,
                       uint32_t domain,
                       Instant now) {
  double load = 0;
  double slots = 0;
  for (const auto* candidate : candidates) {
    if (candidate->domain != domain) {
      continue;
    }
    load += LoadAt(candidate->load, now);
    slots += candidate->slots;
  }
  return slots > 0 ? load / slots : 0;
}

// Replaces each domain's number of slots in `domains` by the weight of one of
// its slots. Every host assumes that each domain has the same number of
// callers. If all hosts do, then all slots get the same load.
void WeighSlots(std::vector<double>& domains) {
  double total = std::accumulate(domains.begin(), domains.end(), 0.0);
  double needed = total / static_cast<double>(domains.size());
  double spilled = std::max(0.0, 1 - domains[kOwnDomain] / needed);
  double surplus = 0;
  for (size_t i = kOwnDomain + 1; i < domains.size(); ++i) {
    surplus += std::max(0.0, domains[i] - needed);
  }
  for (size_t i = 0; i < domains.size(); ++i) {
    double fraction = i == kOwnDomain ? 1 - spilled : 0;
    if (i != kOwnDomain && surplus > 0) {
      fraction = spilled * std::max(0.0, domains[i] - needed) / surplus;
    }
    double slots = domains[i];
    domains[i] = kSpreadFraction;
    if (slots > 0) {
      domains[i] += (1 - kSpreadFraction) * fraction * total / slots;
    }
  }
}

void UpdateSlotWeights(StrideScheduler& scheduler,
                       std::span<PlacementCandidate* const> candidates,
                       uint32_t domains) {
  scheduler.slot_weights.assign(domains, 0);
  for (const auto* candidate : candidates) {
    scheduler.slot_weights[candidate->domain] += EffectiveSlots(*candidate);
  }
  WeighSlots(scheduler.slot_weights);
}

// Returns the candidate's weight without regard to its load.
double BaseWeight(const StrideScheduler& scheduler,
                  const PlacementCandidate& candidate) {
  return EffectiveSlots(candidate) * scheduler.slot_weights[candidate.domain];
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
                  uint32_t domains,
                  int excluded,
                  Instant now) {
  if (candidates.empty()) {
    return -1;
  }
  UpdateSlotWeights(scheduler, candidates, domains);
  int best = -1;
  for (int i = 0; i < static_cast<int>(candidates.size()); ++i) {
    auto& candidate = *candidates[i];
    if (candidate.virtual_time < scheduler.virtual_time) {
      candidate.virtual_time =
          scheduler.virtual_time +
          candidate.start_fraction / BaseWeight(scheduler, candidate);
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
        MeanLoadPerSlot(candidates, candidate.domain, now);
    candidate.virtual_time +=
        1 / (BaseWeight(scheduler, candidate) *
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
