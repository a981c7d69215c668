// Tracks response times and requests in flight, and compares them with limits.

#include "acaciahold/Steering/overload.h"

#include <algorithm>
#include <cmath>

#include "acaciahold/Support/check.h"

namespace acaciahold::steering {
namespace {

double Seconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

double AnswersAt(const ServiceLoad& load, Instant now) {
  double age = std::max(0.0, Seconds(now - load.answers_updated_at));
  return load.answers * std::exp(-age / Seconds(kAnswerRateTimeConstant));
}

// Whether the response time of idle upstreams is not known yet.
bool IsLearning(const ServiceLoad& load, Instant now) {
  return now < load.first_answer_at + kLearningTime;
}

// `elapsed` is the time since the last answer, in seconds.
void UpdateIdleResponse(ServiceLoad& load, double elapsed) {
  double& idle = load.idle_response_seconds;
  if (idle <= 0 || load.response_seconds < idle) {
    idle = load.response_seconds;
    return;
  }
  double weight = std::min(1.0, elapsed / Seconds(kIdleResponseTimeConstant));
  idle += weight * (load.response_seconds - idle);
}

void UpdateResponse(ServiceLoad& load, double seconds) {
  if (load.response_seconds <= 0) {
    load.response_seconds = seconds;
    return;
  }
  load.response_seconds += kResponseWeight * (seconds - load.response_seconds);
}

}  // namespace

Duration InFlightTime(const ServiceLoad& load) {
  auto time = std::chrono::duration<double>(kInFlightFactor *
                                            load.idle_response_seconds);
  return std::max(kMinInFlightTime, std::chrono::duration_cast<Duration>(time));
}

void AddInFlight(ServiceLoad& load) {
  ++load.in_flight;
}

void RemoveInFlight(ServiceLoad& load) {
  AssertInvariant(load.in_flight > 0, "a request ends only once");
  --load.in_flight;
}

void OnAnswer(ServiceLoad& load,
              std::optional<Duration> response_time,
              Instant now) {
  double elapsed = load.answers_updated_at == Instant()
                       ? 0
                       : std::max(0.0, Seconds(now - load.answers_updated_at));
  if (response_time && load.first_answer_at == Instant()) {
    load.first_answer_at = now;
  }
  load.answers = AnswersAt(load, now) + 1;
  load.answers_updated_at = now;
  if (response_time) {
    UpdateResponse(load, Seconds(std::min(*response_time, InFlightTime(load))));
  }
  if (load.response_seconds <= 0 || IsLearning(load, now)) {
    return;
  }
  UpdateIdleResponse(load, elapsed);
  bool is_high =
      load.response_seconds >= kHighResponseFactor * load.idle_response_seconds;
  if (!is_high) {
    load.high_since = {};
  } else if (load.high_since == Instant()) {
    load.high_since = now;
  }
}

bool IsResponseHigh(const ServiceLoad& load, Instant now) {
  return load.high_since != Instant() &&
         now >= load.high_since + kOverloadDelay;
}

double MaxInFlight(const ServiceLoad& load, double host_slots, Instant now) {
  double answers_per_second =
      AnswersAt(load, now) / Seconds(kAnswerRateTimeConstant);
  double answered_in_time =
      answers_per_second * kMaxResponseFactor * load.idle_response_seconds;
  // At least one request: its answer is what ends the overload.
  return std::max({answered_in_time, kMinRequestsPerSlot * host_slots, 1.0});
}

bool IsOverloaded(const ServiceLoad& load, double host_slots, Instant now) {
  return IsResponseHigh(load, now) &&
         load.in_flight + 1 > MaxInFlight(load, host_slots, now);
}

}  // namespace acaciahold::steering
