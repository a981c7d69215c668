// Decides how fit upstreams are for new flows, and takes load digests in.

#include "acaciahold/Steering/fitness.h"

#include <algorithm>
#include <cmath>

#include "acaciahold/Load/load_summary.h"
#include "acaciahold/Load/speed.h"

namespace acaciahold::steering {
namespace {

// Whether an upstream that started later was announced at the same endpoint.
bool IsSuperseded(const TagSteering& steering,
                  const directory::Record& record) {
  auto it = steering.latest_by_endpoint.find(PackEndpoint(record.endpoint));
  return it != steering.latest_by_endpoint.end() && it->second != record.id;
}

// Refills the token bucket of a cold upstream; returns whether it allows one
// more flow. `limit` is the new flows per second of all entry hosts together.
bool HasColdToken(const TagSteering& steering,
                  TagUpstream& upstream,
                  double limit,
                  Instant now) {
  auto& limiter = upstream.cold_limiter;
  if (limiter.updated_at == Instant()) {
    limiter.updated_at = now;
  }
  double seconds =
      std::chrono::duration<double>(now - limiter.updated_at).count();
  double host_limit =
      steering.entry_hosts > 0 ? limit / steering.entry_hosts : 0;
  limiter.tokens =
      std::min(1.0, limiter.tokens + std::max(0.0, seconds) * host_limit);
  limiter.updated_at = now;
  return limiter.tokens >= 1;
}

// Whether less than kMaxBusyFraction of the service's slots is busy. `coverage`
// is the part of the entry hosts that reported; the others have callers too. A
// demand of 0 means that the work is not known yet.
bool HasRoom(const load::ServiceStanding& standing, double coverage) {
  auto [demand, room] = load::AddUp(standing);
  return !standing.is_short && demand > 0 &&
         demand < kMaxBusyFraction * room * coverage;
}

void ApplyDemands(TagSteering& steering,
                  const load::ServiceStanding& standing,
                  Instant deadline) {
  auto service = steering.services.find(standing.service);
  if (service == steering.services.end()) {
    return;
  }
  auto& scheduler = service->second.scheduler;
  scheduler.demands.clear();
  for (const auto& it : standing.domains) {
    // A domain without an index has no upstream that this host knows.
    auto index = steering.domain_indexes.find(it.failure_domain);
    bool is_valid = std::isfinite(it.demand_slots) && it.demand_slots >= 0 &&
                    std::isfinite(it.slots) && it.slots >= 0;
    if (index != steering.domain_indexes.end() && is_valid) {
      scheduler.demands.push_back({index->second, it.demand_slots, it.slots});
    }
  }
  scheduler.demand_deadline = deadline;
}

}  // namespace

Eligibility EligibilityOf(const TagSteering& steering,
                          const TagUpstream& upstream,
                          Instant now) {
  const auto& record = upstream.entry->record;
  if (record.phase != directory::Phase::kServing ||
      steering.view.domains_out.contains(record.failure_domain)) {
    return Eligibility::kExcluded;
  }
  auto domain = steering.domains.find(record.failure_domain);
  bool is_avoided =
      now < upstream.reachability.avoid_deadline ||
      (domain != steering.domains.end() && now < domain->second.avoid_deadline);
  bool is_out_of_reach =
      steering.is_cut_off && upstream.candidate.domain != kOwnDomain;
  bool is_fallback =
      is_avoided || is_out_of_reach || now < upstream.suspect_deadline ||
      now < upstream.dark_deadline || IsSilent(steering, upstream);
  return is_fallback ? Eligibility::kFallback : Eligibility::kPreferred;
}

double CoverageOf(uint32_t reporters, uint32_t entry_hosts) {
  return entry_hosts > 0
             ? std::min(1.0, static_cast<double>(reporters) / entry_hosts)
             : 0;
}

double SpeedOf(const TagUpstream& upstream, Instant now) {
  return now < upstream.speed_deadline ? upstream.speed : 1;
}

std::string_view FitnessName(const TagSteering& steering,
                             const TagUpstream& upstream,
                             Instant now) {
  switch (EligibilityOf(steering, upstream, now)) {
    case Eligibility::kPreferred:
      return SpeedOf(upstream, now) < 1 ? "slow" : "preferred";
    case Eligibility::kFallback:
      return "fallback";
    case Eligibility::kExcluded:
      return "excluded";
  }
  return "excluded";
}

void CollectCandidates(TagSteering& steering,
                       std::string_view service_name,
                       Instant now) {
  auto& candidates = steering.scratch_candidates;
  auto& upstreams = steering.scratch_upstreams;
  candidates.clear();
  upstreams.clear();
  auto service = steering.services.find(service_name);
  if (service == steering.services.end()) {
    return;
  }
  auto best = Eligibility::kFallback;
  double cold_limit = ColdLimit(steering, service_name);
  for (auto* upstream : service->second.upstreams) {
    const auto& entry = *upstream->entry;
    auto eligibility = EligibilityOf(steering, *upstream, now);
    if (eligibility > best || IsSuperseded(steering, entry.record)) {
      continue;
    }
    upstream->candidate.is_cold = now < entry.cold_deadline;
    upstream->candidate.speed = load::FlowShare(SpeedOf(*upstream, now));
    bool is_full = upstream->candidate.is_cold && cold_limit > 0 &&
                   !HasColdToken(steering, *upstream, cold_limit, now);
    if (is_full) {
      continue;
    }
    if (eligibility < best) {
      candidates.clear();
      upstreams.clear();
      best = eligibility;
    }
    candidates.push_back(&upstream->candidate);
    upstreams.push_back(upstream);
  }
}

void ApplyDigest(TagSteering& steering,
                 const load::LoadDigest& digest,
                 Instant now) {
  Instant deadline = now + load::kMaxAge;
  for (auto& [id, upstream] : steering.upstreams) {
    upstream.speed_deadline = {};
    upstream.dark_deadline = {};
  }
  for (const auto& it : digest.slow) {
    auto upstream = steering.upstreams.find(it.upstream);
    bool is_valid = it.speed > 0 && it.speed < 1;
    if (upstream != steering.upstreams.end() && is_valid) {
      upstream->second.speed = std::max(it.speed, load::kMinSpeed);
      upstream->second.speed_deadline = deadline;
    }
  }
  for (auto id : digest.dark) {
    auto upstream = steering.upstreams.find(id);
    if (upstream != steering.upstreams.end()) {
      upstream->second.dark_deadline = deadline;
    }
  }
  for (auto& [name, service] : steering.services) {
    service.scheduler.demand_deadline = {};
  }
  // A host that is cut off keeps the room of its last digest until it is too
  // old; a digest that does not agree with others on a service ends it.
  double coverage = CoverageOf(digest.reporters, steering.entry_hosts);
  if (digest.reporters > 0) {
    for (auto& [name, service] : steering.services) {
      service.room_deadline = {};
    }
  }
  for (const auto& standing : digest.services) {
    auto service = steering.services.find(standing.service);
    if (service != steering.services.end() && HasRoom(standing, coverage)) {
      service->second.room_deadline = deadline;
    }
    ApplyDemands(steering, standing, deadline);
  }
}

void ApplyRecentDigests(TagSteering& steering, Instant now) {
  const auto* best = load::BestDigest(steering.digests, now);
  ApplyDigest(steering, load::AgreedDigest(steering.digests, now),
              best ? best->came_at : now);
}

}  // namespace acaciahold::steering
