// Counts unanswered openings and sets the time of avoidance.

#include "acaciahold/Steering/reachability.h"

#include <algorithm>

namespace acaciahold::steering {

void CountUnanswered(Reachability& reachability,
                     uint32_t threshold,
                     Instant now) {
  ++reachability.unanswered;
  if (reachability.unanswered < threshold ||
      now < reachability.avoid_deadline) {
    return;
  }
  reachability.avoid_deadline = now + reachability.avoid_duration;
  reachability.avoid_duration =
      std::min(reachability.avoid_duration * 2, kMaxAvoidDuration);
}

void LimitToOneProbe(Reachability& reachability,
                     uint32_t threshold,
                     Instant now) {
  if (reachability.unanswered >= threshold &&
      now >= reachability.avoid_deadline) {
    reachability.avoid_deadline = now + kOpenTimeout;
  }
}

}  // namespace acaciahold::steering
