// Stride scheduling of new flows over upstreams.

#include "acaciahold/Steering/placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>

namespace acaciahold::steering {
namespace {

// Requests that the candidate processes at once, reduced if it is slow.
double WarmSlots(const PlacementCandidate& candidate) {
  return candidate.slots * candidate.speed;
}

// The same, reduced while it is cold.
double EffectiveSlots(const PlacementCandidate& candidate) {
  return WarmSlots(candidate) * (candidate.is_cold ? kColdSpeedFactor : 1.0);
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
    slots += WarmSlots(*candidate);
  }
  return slots > 0 ? load / slots : 0;
}

// How the flows of this host's callers are divided among failure domains: the
// fraction that leaves the own domain, and the slots to spare that other
// domains take it with.
struct DomainShares {
  double spilled = 0;
  std::vector<double> surplus;  // By domain.
};

// Every host assumes that each domain has the same number of callers. If all
// hosts do, then all slots get the same load.
DomainShares EqualShares(const std::vector<double>& slots) {
  double total = std::accumulate(slots.begin(), slots.end(), 0.0);
  double needed = total / static_cast<double>(slots.size());
  DomainShares shares;
  shares.spilled = std::max(0.0, 1 - slots[kOwnDomain] / needed);
  for (double it : slots) {
    shares.surplus.push_back(std::max(0.0, it - needed));
  }
  return shares;
}

// Divides by the demand of each domain. Every domain, this one and those that
// take its rest, is filled up to the same level: kDomainHeadroom, or more if
// the demand of all of them doesn't fit below it. All hosts that have the same
// demands compute the same level, so that several domains with too much demand
// don't fill the same slots twice. Returns nothing without a demand of the own
// domain.
std::optional<DomainShares> SharesByDemand(
    const std::vector<double>& slots,
    std::span<const DomainDemand> demands) {
  // Another domain without a known demand has no slots to spare.
  std::vector<double> known_slots(slots.size(), 0);
  std::vector<double> known_demands(slots.size(), 0);
  for (const auto& it : demands) {
    if (it.domain >= slots.size()) {
      continue;
    }
    // This host may know of fewer upstreams that take flows, or of more that
    // others find unfit.
    known_slots[it.domain] = std::min(slots[it.domain], it.slots);
    known_demands[it.domain] = it.demand_slots;
  }
  known_slots[kOwnDomain] = slots[kOwnDomain];
  double own_demand = known_demands[kOwnDomain];
  double total = std::accumulate(known_slots.begin(), known_slots.end(), 0.0);
  if (own_demand <= 0 || total <= 0) {
    return std::nullopt;
  }
  double demand =
      std::accumulate(known_demands.begin(), known_demands.end(), 0.0);
  double level = std::max(kDomainHeadroom, demand / total);
  DomainShares shares;
  shares.spilled =
      std::max(0.0, 1 - level * known_slots[kOwnDomain] / own_demand);
  for (size_t i = 0; i < slots.size(); ++i) {
    shares.surplus.push_back(
        std::max(0.0, level * known_slots[i] - known_demands[i]));
  }
  return shares;
}

// Replaces each domain's number of slots in `domains` by the weight of one of
// its slots.
void WeighSlots(std::vector<double>& domains,
                std::span<const DomainDemand> demands) {
  auto shares = SharesByDemand(domains, demands);
  if (!shares) {
    shares = EqualShares(domains);
  }
  double total = std::accumulate(domains.begin(), domains.end(), 0.0);
  double surplus = std::accumulate(shares->surplus.begin() + kOwnDomain + 1,
                                   shares->surplus.end(), 0.0);
  for (size_t i = 0; i < domains.size(); ++i) {
    double fraction = i == kOwnDomain ? 1 - shares->spilled : 0;
    if (i != kOwnDomain && surplus > 0) {
      fraction = shares->spilled * shares->surplus[i] / surplus;
    }
    double slots = domains[i];
    domains[i] = kSpreadFraction;
    if (slots > 0) {
      domains[i] += (1 - kSpreadFraction) * fraction * total / slots;
    }
  }
}

bool HasDemands(const StrideScheduler& scheduler, Instant now) {
  return now < scheduler.demand_deadline;
}

void UpdateSlotWeights(StrideScheduler& scheduler,
                       std::span<PlacementCandidate* const> candidates,
                       uint32_t domains,
                       Instant now) {
  scheduler.slot_weights.assign(domains, 0);
  for (const auto* candidate : candidates) {
    scheduler.slot_weights[candidate->domain] += EffectiveSlots(*candidate);
  }
  std::span<const DomainDemand> demands;
  if (HasDemands(scheduler, now)) {
    demands = scheduler.demands;
  }
  WeighSlots(scheduler.slot_weights, demands);
}

// Returns the candidate's weight without regard to its load.
double BaseWeight(const StrideScheduler& scheduler,
                  const PlacementCandidate& candidate) {
  return EffectiveSlots(candidate) * scheduler.slot_weights[candidate.domain];
}

void SetPace(const StrideScheduler& scheduler,
             PlacementCandidate& candidate,
             Instant now) {
  candidate.paced_speed = candidate.speed;
  candidate.paced_slot_weight = scheduler.slot_weights[candidate.domain];
  candidate.is_paced_by_demand = HasDemands(scheduler, now);
}

// Scales the time until the candidate's next turn if load digests, or the end
// of their demands, have changed its speed or weight since it was computed.
void UpdatePace(const StrideScheduler& scheduler,
                PlacementCandidate& candidate,
                Instant now) {
  double slower = candidate.paced_speed / candidate.speed;
  if (HasDemands(scheduler, now) || candidate.is_paced_by_demand) {
    slower *=
        candidate.paced_slot_weight / scheduler.slot_weights[candidate.domain];
    SetPace(scheduler, candidate, now);
  }
  candidate.paced_speed = candidate.speed;
  if (slower != 1) {
    double left = candidate.virtual_time - scheduler.virtual_time;
    candidate.virtual_time = scheduler.virtual_time + left * slower;
  }
}

// Returns the factor by which the candidate's weight is raised if its load is
// below the mean, or lowered if it is above.
double LoadCorrection(const PlacementCandidate& candidate,
                      double mean_load_per_slot,
                      Instant now) {
  // One request is added to both loads, so that small counts change little.
  double own_load_per_slot =
      (LoadAt(candidate.load, now) + 1) / WarmSlots(candidate);
  return std::clamp(
      (mean_load_per_slot + 1.0 / WarmSlots(candidate)) / own_load_per_slot,
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
  UpdateSlotWeights(scheduler, candidates, domains, now);
  int best = -1;
  for (int i = 0; i < static_cast<int>(candidates.size()); ++i) {
    auto& candidate = *candidates[i];
    if (candidate.virtual_time < scheduler.virtual_time) {
      candidate.virtual_time =
          scheduler.virtual_time +
          candidate.start_fraction / BaseWeight(scheduler, candidate);
      SetPace(scheduler, candidate, now);
    } else {
      UpdatePace(scheduler, candidate, now);
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
    SetPace(scheduler, candidate, now);
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
