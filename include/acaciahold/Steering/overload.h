// Decides when an entry host refuses the opening packet of a new flow because
// its request could not be answered in time. Performs no I/O.
//
// It is designed for more requests than the upstreams of a service can
// answer, for longer than their queues can absorb. Then every queue stays full,
// every answer is late, upstreams refuse requests only after these have waited,
// and each refused request comes back. Refusing some openings at once keeps the
// queues short, so that the other requests are answered in time, and the caller
// may still be answered when it tries again.
//
// The response times of an upstream that does not answer don't count, so that
// a dead upstream is not mistaken for a full one. A short burst is left to the
// queues of the upstreams.

#ifndef ACACIAHOLD_STEERING_OVERLOAD_H_
#define ACACIAHOLD_STEERING_OVERLOAD_H_

#include <cstdint>
#include <optional>

#include "acaciahold/Support/time.h"

namespace acaciahold::steering {

// The requests of one service that pass through this host.
struct ServiceLoad {
  uint32_t in_flight = 0;  // Requests without an answer so far.
  // Exponentially decaying count of answers, valid at `answers_updated_at`.
  double answers = 0;
  Instant answers_updated_at;
  // Of the first answer with a known response time; unset before it.
  Instant first_answer_at;
  double response_seconds = 0;  // Smoothed over recent answers; 0: none yet.
  // The lowest smoothed response time, which is that of upstreams without a
  // queue. It slowly follows lasting changes. 0: not known yet; see
  // kLearningTime.
  double idle_response_seconds = 0;
  // Since when the smoothed response time has been high; unset if it is not.
  Instant high_since;
};

// The response time is high if it is at least this factor above that of idle
// upstreams, so that requests wait longer than they are processed.
inline constexpr double kHighResponseFactor = 2.2;
// How long the response time must have been high until openings are refused.
// Longer than a burst that the queues of the upstreams absorb.
inline constexpr Duration kOverloadDelay = std::chrono::milliseconds(500);
// The response time of idle upstreams is not known for this time after the
// first answer, and no opening is refused: the first answers are too few, and
// callers that waited for this host to start have filled the queues.
inline constexpr Duration kLearningTime = std::chrono::seconds(5);
// In an overload, an opening is refused if its request would be answered only
// after this multiple of the response time of idle upstreams.
inline constexpr double kMaxResponseFactor = 3.5;
// Requests for each slot of this host's share of the upstreams that are never
// refused. It keeps all slots busy if response times have risen for other
// reasons than a queue.
inline constexpr double kMinRequestsPerSlot = 3;
// Time constant of the decaying count of answers.
inline constexpr Duration kAnswerRateTimeConstant =
    std::chrono::milliseconds(500);
// Weight of one answer in the smoothed response time.
inline constexpr double kResponseWeight = 0.05;
// Time constant with which the idle response time follows a higher one.
inline constexpr Duration kIdleResponseTimeConstant = std::chrono::minutes(5);

// A request without an answer for this time no longer counts as in flight: its
// upstream is dead, or its caller was reset and has opened another flow. It is
// longer for services with longer response times.
inline constexpr Duration kMinInFlightTime = std::chrono::milliseconds(300);
inline constexpr double kInFlightFactor = 4;

// How long a request of the service counts as in flight.
Duration InFlightTime(const ServiceLoad& load);

// Counts a request, and the end of its time in flight.
void AddInFlight(ServiceLoad& load);
void RemoveInFlight(ServiceLoad& load);

// Records an answered request and its response time; nullopt if that is not
// known. A time above InFlightTime counts as that time, since the upstream or
// the path to it was interrupted.
void OnAnswer(ServiceLoad& load,
              std::optional<Duration> response_time,
              Instant now);

// Whether the response time has been high for kOverloadDelay.
bool IsResponseHigh(const ServiceLoad& load, Instant now);

// Returns the number of requests in flight up to which none is refused in an
// overload. `host_slots` is this host's share of the slots of the upstreams
// that may take them.
double MaxInFlight(const ServiceLoad& load, double host_slots, Instant now);

// Whether to refuse a new request, which implies IsResponseHigh.
bool IsOverloaded(const ServiceLoad& load, double host_slots, Instant now);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_STEERING_OVERLOAD_H_
