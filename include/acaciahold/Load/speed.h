// Finds upstreams that announce themselves as serving but answer much more
// slowly than others of their service. Performs no I/O.
//
// It is designed for a service of which one upstream, or up to a third of them,
// becomes several times slower, while each upstream sees a few requests a
// second whose work differs by a factor of several. Response times are compared
// with those of other upstreams on the same listener in the same seconds, since
// work differs between listeners and all upstreams may become slower together.
// A sequential test (CUSUM) on the logarithm of the ratio adds up the evidence
// of each upstream, so that a single long request is no verdict.

#ifndef ACACIAHOLD_LOAD_SPEED_H_
#define ACACIAHOLD_LOAD_SPEED_H_

#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "acaciahold/Catalog/catalog.h"
#include "acaciahold/Directory/directory.h"
#include "acaciahold/Load/load.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::load {

// The norm of a listener is the median over its samples of the last intervals.
// One interval holds too few of a small service; a longer time would keep the
// norm behind when all upstreams become slower.
inline constexpr size_t kNormIntervals = 3;
// A service with fewer upstreams that answer has no norm.
inline constexpr size_t kMinCompared = 3;
// Added to each response time before the comparison. Hosts far from an upstream
// see its answers a few milliseconds later, which is many times a quick one.
inline constexpr Duration kTimeSlack = std::chrono::milliseconds(3);
// Natural logarithm of the ratio that is no evidence for either side: samples
// above it add evidence, samples below take it away. Half of that of eight
// times the norm.
inline constexpr double kNeutralLog = 1.0;
// Bounds of the logarithm of one sample's ratio.
inline constexpr double kMaxLog = 3.5;
// Upper bound of the evidence from one interval. One long request delays those
// behind it and may make up most of the sum of several; it is over soon, while
// a slow upstream stays so.
inline constexpr double kMaxIntervalEvidence = 3;
// Evidence at which an upstream counts as slow: about five requests that take
// eight times the norm.
inline constexpr double kSlowEvidence = 5;
// The same for each request that the upstream usually answers in an interval,
// if that is more. Where there are more requests there are also more chance
// queues, and evidence comes faster.
inline constexpr double kEvidencePerRequest = 1.4;
// Weight of an interval in the usual number of requests.
inline constexpr double kRateWeight = 0.1;
// Upper bound of the evidence, so that a recovered upstream is soon cleared.
inline constexpr double kMaxEvidence = 2 * kSlowEvidence;
// Requests over which an upstream's speed is averaged.
inline constexpr double kSpeedSamples = 4;
// The lowest reported speed. A slow upstream still gets a few flows, whose
// response times show when it recovers.
inline constexpr double kMinSpeed = 0.2;
// A verdict ends above this speed.
inline constexpr double kClearedSpeed = 0.7;
// Time constant by which a slow upstream without samples is tried again.
inline constexpr Duration kRetryTimeConstant = std::chrono::seconds(20);
// Requests that an upstream accepted while cold are answered within this time
// after its warm-up.
inline constexpr Duration kWarmTime = std::chrono::seconds(2);
// At most this part of a service's slots is taken away by lower shares.
inline constexpr double kMaxTakenFraction = 0.5;
// The slots that are left must be this many times the busy ones, so that short
// queues stay short.
inline constexpr double kDemandRoom = 1.25;

// Returns which part of its usual share of new flows an upstream should get.
// Less than its speed: what it answers is late, while others have room.
constexpr double FlowShare(double speed) {
  return speed * speed;
}

// Requests of one listener that one upstream answered in one interval.
struct SpeedSample {
  directory::UpstreamId upstream = 0;
  double requests = 0;
  // Logarithm of the mean response time plus kTimeSlack in microseconds.
  double log_time = 0;
};

struct UpstreamSpeed {
  int64_t born_ms = 0;   // Identifies the start of the upstream.
  double requests = 0;   // Mean number answered in an interval.
  double evidence = 0;   // From 0 to kMaxEvidence.
  double log_ratio = 0;  // Of recent response times to the norm; 0: equal.
  bool is_slow = false;
};

// What earlier sums showed.
struct SpeedEstimator {
  Instant updated_at;
  std::map<directory::UpstreamId, UpstreamSpeed> upstreams;
  // By service and listener: the samples of each of the last kNormIntervals
  // intervals, oldest first.
  std::map<std::pair<std::string, Endpoint>,
           std::deque<std::vector<SpeedSample>>>
      samples;
};

// Call once for each interval with the sums of all control hosts. Judges only
// services with a listener that has a latency objective.
std::vector<SlowUpstream> FindSlowUpstreams(
    SpeedEstimator& state,
    const LoadSums& sums,
    const catalog::View& view,
    const directory::Directory& directory,
    Instant now);

}  // namespace acaciahold::load

#endif  // ACACIAHOLD_LOAD_SPEED_H_
