// Decides whether an entry host refuses the opening packet of a new flow, by
// the terms of its listener. Performs no I/O.
//
// It is designed for times when a service gets more requests than its upstreams
// have room for. With a recent standing from the control hosts, the listener's
// fraction of it decides. Without one, the host decides by the response times
// that it sees itself (see overload.h), and refuses less urgent openings
// sooner.

#ifndef ACACIAHOLD_STEERING_ADMISSION_H_
#define ACACIAHOLD_STEERING_ADMISSION_H_

#include <cstdint>
#include <string>

#include "acaciahold/Catalog/catalog.h"
#include "acaciahold/Load/load.h"
#include "acaciahold/Steering/overload.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::steering {

enum class Admission {
  kAdmitted,
  kOverloaded,  // The request would be answered too late; see overload.h.
  kOutranked,   // The room is left to listeners that go first.
};

// Place of a listener among the listeners of a service, by priority.
struct PriorityRank {
  uint32_t rank = 0;   // 0: the most urgent.
  uint32_t ranks = 1;  // Number of different priorities.
};

// Returns the only rank unless listeners of the service differ in priority.
// Targets of weight 0 don't count.
PriorityRank RankOf(const catalog::Catalog& catalog,
                    const std::string& service,
                    const catalog::RouteTerms& terms);

// The part of the listener's new flows that is admitted; 1 without a standing.
double AdmittedFraction(const load::ServiceStanding* standing,
                        Endpoint listener);

// Whether the response times that this host sees are well below the latency
// objectives of all listeners of the service that have a priority. Then nothing
// is to be gained by a refusal. False if one of them has no objective.
bool AreObjectivesMet(const ServiceLoad& load,
                      const catalog::Catalog& catalog,
                      const std::string& service);

// Whether to admit an opening, without a standing. Equals IsOverloaded for the
// most urgent listeners. The others are refused at a lower number of requests
// in flight, which is at least 1 and at least 1.5 for each slot of
// `host_slots`, this host's share of the slots.
Admission AdmitAlone(const ServiceLoad& load,
                     PriorityRank rank,
                     double host_slots,
                     Instant now);

// Whether to admit an opening by a recent standing. `draw` is a random number
// in [0, 1).
Admission AdmitByStanding(const load::ServiceStanding& standing,
                          Endpoint listener,
                          double draw);

// Whether requests are answered only after their callers have given up: by the
// response times of this host, while its share of the slots is busy. False for
// a listener without a priority or a timeout.
bool IsTimeoutMissed(const ServiceLoad& load,
                     const catalog::RouteTerms& terms,
                     double host_slots,
                     Instant now);

// The numbers that led to a refusal, for the log.
struct RefusalFacts {
  bool has_standing = false;
  double admitted_fraction = 1;
  double demand_slots = 0;  // Of the whole service.
  double slots = 0;         // Of the whole service.
  Duration age = {};        // Of the standing.

  bool operator==(const RefusalFacts&) const = default;
};

RefusalFacts FactsOf(const load::ServiceStanding* standing,
                     Endpoint listener,
                     Duration age);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_STEERING_ADMISSION_H_
