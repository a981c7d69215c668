// Chooses an upstream for a new flow by stride scheduling (weighted round robin
// in virtual time). It needs no data from other hosts: each entry host
// distributes its own flows evenly, so the total is even too.
//
// It is designed for a mix of many short flows and some long flows that carry
// most of the requests, with upstreams that process two or three requests at
// once. A replaced upstream starts without long flows. It gets a bounded extra
// share of the new flows until its load is even, so that not all new flows go
// to the one upstream that looks idle. Hundreds of hosts may each see fewer
// flows than there are upstreams; they still prefer upstreams of their own
// failure domain.
//
// A failure domain may lose most of its upstreams while its callers stay, or
// its callers may multiply. Its hosts keep only the share of their flows that
// its upstreams can take; the rest goes to the domains with more upstreams than
// their own callers need. Without a recent demand of each domain they are
// assumed to have equally many callers.
//
// An upstream that answers more slowly than others counts with a part of its
// slots, so that it gets fewer flows.

#ifndef ACACIAHOLD_STEERING_PLACEMENT_H_
#define ACACIAHOLD_STEERING_PLACEMENT_H_

#include <cstdint>
#include <span>
#include <vector>

#include "acaciahold/Support/time.h"

namespace acaciahold::steering {

// An exponentially decaying count of recent requests.
struct LoadMeter {
  double count = 0;
  Instant updated_at;
};

// Time constant of the decay. Longer than the pause between two requests of a
// long flow.
inline constexpr Duration kLoadTimeConstant = std::chrono::seconds(4);
// Requests within this interval are counted without decay between them, which
// is accurate enough as it is much shorter than the time constant.
inline constexpr Duration kLoadResolution = std::chrono::milliseconds(20);

void CountLoad(LoadMeter& meter, double amount, Instant now);
double LoadAt(const LoadMeter& meter, Instant now);

// Index of the host's own failure domain.
inline constexpr uint32_t kOwnDomain = 0;

// Placement state of one upstream.
struct PlacementCandidate {
  uint32_t slots = 1;            // Requests that it processes at once.
  bool is_cold = false;          // Still warming up.
  double speed = 1;              // Part of its slots that counts, in (0, 1].
  uint32_t domain = kOwnDomain;  // Index of its failure domain.
  LoadMeter load;
  // In [0, 1), random on each host. The fraction of the candidate's interval
  // before it is first chosen, and before it is chosen after an absence.
  // Without it all hosts would choose it at the same time.
  double start_fraction = 0;
  // The virtual time at which the upstream is chosen next; the lowest one is
  // chosen first. A value below the scheduler's virtual time means that the
  // upstream was not among the candidates; see PickCandidate.
  double virtual_time = 0;
  // The speed and the weight of a slot of its domain that `virtual_time` was
  // computed with. A host may choose an upstream just once in many seconds, so
  // that a change can't wait for its next turn.
  double paced_speed = 1;
  double paced_slot_weight = 1;
  // Whether the weight came from the demand of the domains.
  bool is_paced_by_demand = false;
};

// Demand and room of a service in one failure domain, as all hosts together
// see it.
struct DomainDemand {
  uint32_t domain = kOwnDomain;
  double demand_slots = 0;  // That the requests of its callers keep busy.
  double slots = 0;         // Of its upstreams that may take new flows.
};

// The scheduler of one service. Holds the virtual time of the last choice. A
// candidate that was absent for a while does not get extra flows for that time.
struct StrideScheduler {
  double virtual_time = 0;
  // Buffer that is reused for each choice: by failure domain, the weight of one
  // slot. The weights of all slots add up to the number of slots.
  std::vector<double> slot_weights;
  // Used until `demand_deadline`; afterwards all failure domains count as
  // equal.
  std::vector<DomainDemand> demands;
  Instant demand_deadline;
};

// Bounds the correction for uneven load: an upstream gets at most its weighted
// share times this factor, and at least its share divided by it.
inline constexpr double kMaxLoadCorrection = 1.6;
// Assumed speed of a cold upstream relative to a warm one.
inline constexpr double kColdSpeedFactor = 0.5;
// Fraction of the new flows that is spread over the upstreams of all failure
// domains by their slots, even if the own domain has enough upstreams. It shows
// whether the other domains answer.
inline constexpr double kSpreadFraction = 0.1;
// The part of a failure domain's slots that its own demand, or what others send
// it, may keep busy before the rest goes elsewhere. Below 1, since requests
// arrive at random and wait for a slot long before all are busy on average.
inline constexpr double kDomainHeadroom = 0.8;

// Picks the candidate with the lowest virtual time and advances it. Returns its
// index, or -1 if there is none. `domains` is the number of failure domains
// with callers, above every candidate's `domain`. `excluded` is the index of a
// candidate that must not be picked, or -1.
int PickCandidate(StrideScheduler& scheduler,
                  std::span<PlacementCandidate* const> candidates,
                  uint32_t domains,
                  int excluded,
                  Instant now);

// Initializes the virtual time of a new candidate. `start_fraction` in [0, 1)
// is random, so that not all hosts choose the candidate at the same time.
void InitVirtualTime(PlacementCandidate& candidate, double start_fraction);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_STEERING_PLACEMENT_H_
