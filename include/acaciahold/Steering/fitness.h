// Decides how fit an upstream is for new flows; nothing else does. Combines
// what this host sees itself (reachability of the upstream and its failure
// domain, announcements), its phase in the directory, what the table says
// (failure domains out of service) and what the reports of all hosts show
// (suspected, dark, slow). Performs no I/O.
//
// What comes from load digests has a deadline: without recent digests every
// upstream counts as neither dark nor slow.

#ifndef ACACIAHOLD_STEERING_FITNESS_H_
#define ACACIAHOLD_STEERING_FITNESS_H_

#include <string_view>

#include "acaciahold/Load/load.h"
#include "acaciahold/Steering/tag_steering.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::steering {

// There is room for the requests of a service while less than this part of its
// slots is busy. Far below 1, since the upstreams of one failure domain may be
// busier than others.
inline constexpr double kMaxBusyFraction = 0.6;

// Returns the part of the entry hosts whose reports a digest includes, at
// most 1. Hosts of earlier versions don't report, nor do those out of reach.
// 0 if the number of entry hosts is 0, which means that it is unknown.
double CoverageOf(uint32_t reporters, uint32_t entry_hosts);

// Whether an upstream may be given new flows. kFallback upstreams are only used
// if no kPreferred one can take the flow; kExcluded ones never are.
enum class Eligibility { kPreferred, kFallback, kExcluded };

Eligibility EligibilityOf(const TagSteering& steering,
                          const TagUpstream& upstream,
                          Instant now);

// Returns the upstream's speed relative to the others of its service, above 0
// and at most 1.
double SpeedOf(const TagUpstream& upstream, Instant now);

// Returns how the upstream stands, for metrics: "preferred", "slow", "fallback"
// or "excluded".
std::string_view FitnessName(const TagSteering& steering,
                             const TagUpstream& upstream,
                             Instant now);

// Fills the scratch lists with the service's upstreams that may take a new flow
// now and that share the best eligibility. Updates which of their placement
// candidates are cold and which part of their slots counts.
void CollectCandidates(TagSteering& steering,
                       std::string_view service_name,
                       Instant now);

// Applies a digest that was received at `now` until load::kMaxAge after it: the
// upstreams that are dark or slow, the demand of failure domains, and which
// services have room. What an earlier digest said and this one does not ends; a
// digest without reporters leaves the room as it is.
void ApplyDigest(TagSteering& steering,
                 const load::LoadDigest& digest,
                 Instant now);

// Applies what the recent digests in `steering.digests` agree on. It counts as
// received when the digest that it is taken from was, so that the digests of
// other feeds don't prolong it.
void ApplyRecentDigests(TagSteering& steering, Instant now);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_STEERING_FITNESS_H_
