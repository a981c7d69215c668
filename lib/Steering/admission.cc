// Compares an opening with its listener's fraction, or with the requests in
// flight.

#include "acaciahold/Steering/admission.h"

#include <algorithm>
#include <iterator>
#include <set>

#include "acaciahold/Load/load_summary.h"

namespace acaciahold::steering {
namespace {

// Requests for each slot of this host's share up to which less urgent openings
// are admitted too. More than one, since queues differ: some upstreams have
// idle slots while others have a queue.
constexpr double kMinBelowUrgent = 1.5;
constexpr double kMillisPerSecond = 1e3;
// Objectives are met while the mean response time is below this part of the
// lowest one: many requests take twice the mean.
constexpr double kMaxObjectivePart = 0.5;

}  // namespace

PriorityRank RankOf(const catalog::Catalog& catalog,
                    const std::string& service,
                    const catalog::RouteTerms& terms) {
  std::set<uint32_t> priorities;
  bool has_terms = false;
  for (const auto& listener : catalog.listeners) {
    if (catalog::IsTarget(listener, service)) {
      has_terms = has_terms || listener.terms.priority;
      priorities.insert(
          listener.terms.priority.value_or(load::kDefaultPriority));
    }
  }
  if (!has_terms) {
    return {};
  }
  uint32_t own = terms.priority.value_or(load::kDefaultPriority);
  auto higher = std::distance(priorities.begin(), priorities.lower_bound(own));
  return {static_cast<uint32_t>(higher),
          static_cast<uint32_t>(priorities.size())};
}

double AdmittedFraction(const load::ServiceStanding* standing,
                        Endpoint listener) {
  if (!standing) {
    return 1;
  }
  for (const auto& it : standing->admissions) {
    if (it.listener == listener) {
      return it.admitted_fraction;
    }
  }
  return 1;
}

bool AreObjectivesMet(const ServiceLoad& load,
                      const catalog::Catalog& catalog,
                      const std::string& service) {
  uint32_t lowest_ms = 0;
  for (const auto& it : catalog.listeners) {
    uint32_t objective_ms = it.terms.latency_objective_ms;
    if (!it.terms.priority || !catalog::IsTarget(it, service)) {
      continue;
    }
    if (objective_ms == 0) {
      return false;
    }
    lowest_ms =
        lowest_ms > 0 ? std::min(lowest_ms, objective_ms) : objective_ms;
  }
  return load.response_seconds * kMillisPerSecond <
         kMaxObjectivePart * lowest_ms;
}

Admission AdmitAlone(const ServiceLoad& load,
                     PriorityRank rank,
                     double host_slots,
                     Instant now) {
  if (IsOverloaded(load, host_slots, now)) {
    return rank.rank == 0 ? Admission::kOverloaded : Admission::kOutranked;
  }
  if (rank.rank == 0 || !IsResponseHigh(load, now)) {
    return Admission::kAdmitted;
  }
  double all = MaxInFlight(load, host_slots, now);
  double lowest = std::min(all, std::max(kMinBelowUrgent * host_slots, 1.0));
  double part = static_cast<double>(rank.ranks - rank.rank) / rank.ranks;
  return load.in_flight + 1 > lowest + part * (all - lowest)
             ? Admission::kOutranked
             : Admission::kAdmitted;
}

Admission AdmitByStanding(const load::ServiceStanding& standing,
                          Endpoint listener,
                          double draw) {
  bool is_refused =
      standing.is_short && draw >= AdmittedFraction(&standing, listener);
  return is_refused ? Admission::kOutranked : Admission::kAdmitted;
}

bool IsTimeoutMissed(const ServiceLoad& load,
                     const catalog::RouteTerms& terms,
                     double host_slots,
                     Instant now) {
  return terms.priority && terms.timeout_ms > 0 && IsResponseHigh(load, now) &&
         load.response_seconds * kMillisPerSecond > terms.timeout_ms &&
         load.in_flight + 1 > std::max(host_slots, 1.0);
}

RefusalFacts FactsOf(const load::ServiceStanding* standing,
                     Endpoint listener,
                     Duration age) {
  RefusalFacts facts;
  if (!standing) {
    return facts;
  }
  facts.has_standing = true;
  facts.admitted_fraction = AdmittedFraction(standing, listener);
  auto sum = load::AddUp(*standing);
  facts.demand_slots = sum.demand;
  facts.slots = sum.room;
  facts.age = age;
  return facts;
}

}  // namespace acaciahold::steering
