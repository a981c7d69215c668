// Decides which upstreams and failure domains an entry host avoids, since its
// own openings there stay unanswered. Performs no I/O.
//
// It is designed for upstreams and links that die while announcements still
// arrive. Several consecutive openings must be unanswered, as single ones are
// also caused by lost packets. An avoided upstream is probed by one opening at
// a time.

#ifndef ACACIAHOLD_STEERING_REACHABILITY_H_
#define ACACIAHOLD_STEERING_REACHABILITY_H_

#include <cstdint>

#include "acaciahold/Support/time.h"

namespace acaciahold::steering {

// A flow without a further packet for this time counts as not opened: callers
// have retransmitted the opening packet by then.
inline constexpr Duration kOpenTimeout = std::chrono::milliseconds(450);
// Number of consecutive unanswered openings after which an upstream is avoided.
// More than one, as lost packets cause single unanswered openings.
inline constexpr uint32_t kMaxUnanswered = 3;
// How long an upstream or failure domain is avoided: the minimum at first, then
// doubled each time up to the maximum.
inline constexpr Duration kMinAvoidDuration = std::chrono::milliseconds(500);
inline constexpr Duration kMaxAvoidDuration = std::chrono::seconds(4);

// Number of consecutive unanswered openings, over all upstreams of a failure
// domain, after which the domain is avoided. A network partition leaves all of
// them unanswered.
inline constexpr uint32_t kMaxUnansweredInDomain = 4;
// Used instead of kMaxUnansweredInDomain if this host receives nothing from the
// domain's control hosts either.
inline constexpr uint32_t kMaxUnansweredWithoutControl = 1;

// Results of the openings that were sent to one upstream, or to one failure
// domain.
struct Reachability {
  uint32_t unanswered = 0;  // Consecutive unanswered openings.
  Duration avoid_duration = kMinAvoidDuration;
  // Before this time the upstream is chosen only if there is no other.
  // Afterwards a single opening probes it.
  Instant avoid_deadline;
};

// Counts an unanswered opening. Once `threshold` consecutive ones are
// unanswered, starts an avoidance unless one is in effect.
void CountUnanswered(Reachability& reachability,
                     uint32_t threshold,
                     Instant now);

// Call for an opening that is being forwarded. If it probes an upstream or
// domain whose avoidance has just expired, extends the avoidance by
// kOpenTimeout, so that further openings wait for the result.
void LimitToOneProbe(Reachability& reachability,
                     uint32_t threshold,
                     Instant now);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_STEERING_REACHABILITY_H_
