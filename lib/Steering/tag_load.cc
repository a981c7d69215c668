// Counts requests by listener and by upstream, makes reports of the counts, and
// refuses openings for which there is no room.

#include "tag_load.h"

#include <algorithm>
#include <utility>

#include "acaciahold/Load/load_summary.h"
#include "acaciahold/Load/standing.h"
#include "acaciahold/Steering/fitness.h"

namespace acaciahold::steering {
namespace {

// The part of the entry hosts that must have reported for a standing without a
// shortage to mean that there is room.
constexpr double kMinCoverage = 0.8;

// Returns the listener, or none if the table does not have it: the counts are
// kept by listener, and packets may name any.
Endpoint KnownListener(const TagSteering& steering, Endpoint listener) {
  bool is_known = steering.listeners.contains(PackEndpoint(listener));
  return is_known ? listener : Endpoint();
}

load::ResponseSample& ResponsesOf(TagSteering& steering,
                                  const TagUpstream& upstream,
                                  Endpoint listener) {
  listener = KnownListener(steering, listener);
  auto& sample = steering.responses[{upstream.id, listener}];
  sample.upstream = upstream.id;
  sample.listener = listener;
  return sample;
}

// Returns this host's share of the slots of the candidates.
double HostSlots(const TagSteering& steering) {
  double slots = 0;
  for (const auto* candidate : steering.scratch_candidates) {
    slots += candidate->slots;
  }
  return slots / std::max(1U, steering.entry_hosts);
}

// Whether to refuse an opening because its caller gives up before the answer.
// False unless its listener is one of the least urgent: requests of more urgent
// ones are late because of what is admitted for the others.
bool IsTooLate(const TagSteering& steering,
               const ServiceLoad& load,
               const catalog::Listener& listener,
               const std::string& service_name,
               Instant now) {
  const auto& terms = listener.terms;
  if (!IsTimeoutMissed(load, terms, HostSlots(steering), now)) {
    return false;
  }
  auto rank = RankOf(steering.view.catalog, service_name, terms);
  return rank.rank + 1 == rank.ranks;
}

// Returns the service's standing from a digest that can tell whether there is
// room, or null: it shows a shortage, or enough demand of enough entry hosts.
const load::ServiceStanding* FindStanding(const TagSteering& steering,
                                          const std::string& service_name,
                                          Instant now) {
  const auto* standing =
      load::FreshStanding(steering.digests, service_name, now);
  if (!standing || standing->is_short) {
    return standing;
  }
  const auto* digest = load::BestDigest(steering.digests, now);
  auto [demand, room] = load::AddUp(*standing);
  bool is_covered =
      CoverageOf(digest->reporters, steering.entry_hosts) >= kMinCoverage;
  bool has_demand = demand >= load::kMinDemandPart * room;
  return is_covered && has_demand ? standing : nullptr;
}

Admission Admit(TagSteering& steering,
                const catalog::Listener& listener,
                const std::string& service_name,
                const ServiceLoad& load,
                const load::ServiceStanding* standing,
                Instant now) {
  bool is_response_high = IsResponseHigh(load, now);
  bool has_room = standing ? !standing->is_short
                           : !is_response_high ||
                                 AreObjectivesMet(load, steering.view.catalog,
                                                  service_name);
  if (has_room) {
    return Admission::kAdmitted;
  }
  if (is_response_high &&
      IsTooLate(steering, load, listener, service_name, now)) {
    return Admission::kOverloaded;
  }
  if (standing) {
    std::uniform_real_distribution<double> uniform;
    auto admission =
        AdmitByStanding(*standing, listener.endpoint, uniform(steering.random));
    if (admission == Admission::kAdmitted) {
      return admission;
    }
    // Nothing outranks the most urgent listeners.
    auto rank = RankOf(steering.view.catalog, service_name, listener.terms);
    return rank.rank == 0 ? Admission::kOverloaded : admission;
  }
  auto rank = RankOf(steering.view.catalog, service_name, listener.terms);
  return AdmitAlone(load, rank, HostSlots(steering), now);
}

}  // namespace

bool MayHaveReadLate(const TagSteering& steering, Instant now) {
  bool has_ticked = steering.ticked_at != Instant();
  return now < steering.sight.trusted_from ||
         (has_ticked && now > steering.ticked_at + kMaxTickInterval);
}

std::optional<TagDecision> RefuseOpening(TagSteering& steering,
                                         const catalog::Listener& listener,
                                         const std::string& service_name,
                                         TagService& service,
                                         Instant now) {
  if (MayHaveReadLate(steering, now)) {
    return std::nullopt;
  }
  const auto* standing = FindStanding(steering, service_name, now);
  auto admission =
      Admit(steering, listener, service_name, service.load, standing, now);
  if (admission == Admission::kAdmitted) {
    return std::nullopt;
  }
  auto& route = service.routes[listener.endpoint];
  ++route.arrived;
  ++route.refused;
  ++steering.counts
        .refused[listener.terms.priority.value_or(load::kDefaultPriority)];
  auto reason = admission == Admission::kOverloaded ? TagReason::kOverloaded
                                                    : TagReason::kOutranked;
  Duration age = {};
  if (const auto* digest = load::BestDigest(steering.digests, now)) {
    age = now - digest->came_at;
  }
  return TagDecision{TagVerdict::kReset,
                     reason,
                     0,
                     {},
                     0,
                     FactsOf(standing, listener.endpoint, age)};
}

RouteLoad& RouteOf(TagSteering& steering,
                   const TagUpstream& upstream,
                   Endpoint listener) {
  auto& service = steering.services.find(upstream.service)->second;
  return RouteOf(steering, service, listener);
}

RouteLoad& RouteOf(const TagSteering& steering,
                   TagService& service,
                   Endpoint listener) {
  return service.routes[KnownListener(steering, listener)];
}

void CountOverdueOpening(TagSteering& steering,
                         const TagUpstream& upstream,
                         Endpoint listener) {
  ++ResponsesOf(steering, upstream, listener).overdue;
}

void CountAnsweredOpening(TagSteering& steering,
                          const TagUpstream& upstream,
                          Endpoint listener) {
  ++ResponsesOf(steering, upstream, listener).answered;
}

void CountPresumedAnswer(TagSteering& steering,
                         const TagUpstream& upstream,
                         Endpoint listener) {
  ++ResponsesOf(steering, upstream, listener).answered;
}

void CountProgress(TagSteering& steering,
                   const TagUpstream& upstream,
                   Endpoint listener,
                   const RequestProgress& progress) {
  if (!progress.is_answered && !progress.is_failure) {
    return;
  }
  auto& sample = ResponsesOf(steering, upstream, listener);
  bool is_first_sign = progress.is_answered && !progress.is_presumed_answered;
  sample.answered += is_first_sign ? 1 : 0;
  sample.overdue += progress.is_failure ? 1 : 0;
  if (progress.response_time) {
    auto time = std::chrono::duration_cast<std::chrono::microseconds>(
        *progress.response_time);
    ++sample.timed;
    sample.response_us += static_cast<uint64_t>(time.count());
  }
}

load::LoadReport TakeLoadReport(TagSteering& steering) {
  load::LoadReport report;
  for (auto& [name, service] : steering.services) {
    for (auto& [listener, it] : service.routes) {
      if (it.arrived + it.refused + it.timed + it.in_flight > 0) {
        report.routes.push_back({name, listener, it.arrived, it.refused,
                                 it.timed, it.response_us, it.in_flight});
      }
      it = {.in_flight = it.in_flight};
    }
  }
  for (const auto& [key, sample] : std::exchange(steering.responses, {})) {
    report.responses.push_back(sample);
    report.responses.back().overdue_hosts = sample.overdue > 0 ? 1 : 0;
  }
  return report;
}

}  // namespace acaciahold::steering
