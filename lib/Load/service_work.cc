// Estimates the work of a request of each listener, how many requests open a
// flow, and how busy all of them keep the slots.

#include <algorithm>
#include <array>
#include <utility>

#include "service_demand.h"

namespace acaciahold::load {
namespace {

// The busy part of the slots with as many requests in flight for each slot. It
// is below 1 for more than one request, since queues differ.
struct Utilization {
  double in_flight = 0;
  double busy = 0;
};
constexpr std::array<Utilization, 4> kUtilizations{
    {{0, 0}, {0.8, 0.72}, {1.5, 0.86}, {kTarget, 0.975}}};
// Above the target, the work that arrived exceeds what the slots process by
// this part, for each further request in flight and for its square: queues that
// are almost full show a large excess.
constexpr double kExcess = 0.04;
constexpr double kExcessOfSquare = 0.13;
// Upper bound of the result, since requests that wait to be rejected look
// like longer queues.
constexpr double kMaxUtilization = 1.7;
// With more requests in flight, response times show the queues, not the work.
constexpr double kMaxLearningInFlight = 1.5;
// Weights of a report's mean response time in the learned work. Waiting makes
// answers later, never sooner.
constexpr double kShorterWorkWeight = 0.3;
constexpr double kLongerWorkWeight = 0.05;
// Answers that give a report its full weight.
constexpr double kEnoughAnswers = 20;
// Number of refused openings from which the number of all openings is estimated
// from them.
constexpr double kEnoughRefused = 20;

// Bounds the openings by the refused ones and the fractions that may have been
// in effect.
void EstimateOpenings(RouteDemand& route) {
  auto& history = *route.history;
  if (!route.terms) {
    return;
  }
  double openings = history.opening_part * route.arrived;
  auto [lowest, highest] =
      std::minmax_element(history.issued.begin(), history.issued.end());
  bool is_known =
      *lowest < 1 && route.refused * IntervalSeconds() >= kEnoughRefused;
  if (is_known && *highest < 1) {
    openings = std::min(openings, route.refused / (1 - *highest));
  }
  if (is_known) {
    openings = std::max(openings, route.refused / (1 - *lowest));
  }
  route.openings = std::clamp(openings, route.refused, route.arrived);
  if (route.arrived > 0) {
    history.opening_part = route.openings / route.arrived;
  }
}

// Returns how often callers try on average if each try fails with this
// probability.
double TriesAt(double failing) {
  double tries = 0;
  double part = 1;
  for (int i = 0; i < kTries; ++i) {
    tries += part;
    part *= failing;
  }
  return tries;
}

}  // namespace

double UtilizationAt(double in_flight) {
  double excess = in_flight - kTarget;
  if (excess >= 0) {
    double busy = kUtilizations.back().busy + kExcess * excess +
                  kExcessOfSquare * excess * excess;
    return std::min(busy, kMaxUtilization);
  }
  size_t i = 1;
  while (in_flight > kUtilizations[i].in_flight) {
    ++i;
  }
  auto [from, low] = kUtilizations[i - 1];
  auto [to, high] = kUtilizations[i];
  return low + (high - low) * (in_flight - from) / (to - from);
}

// Entry hosts stop counting requests that aren't answered for a while. Where
// responses take longer, the number follows from the rate at which requests
// were let in (Little's law); this is later to show a change, so that two
// intervals must agree.
void CountInFlight(ServiceHistory& history, Service& service) {
  double counted = 0;
  double answered = 0;
  double rate = 0;
  double response = 0;
  for (const auto& it : service.routes) {
    counted += it.in_flight;
    answered += it.timed;
    rate += it.arrived - it.refused;
    response += it.timed * it.response_seconds;
  }
  double slots = std::max(1.0, service.slots);
  double by_rate = rate * response / std::max(1.0, answered) / slots;
  double last = std::exchange(history.in_flight_by_rate, by_rate);
  service.in_flight = std::max(counted / slots, std::min(last, by_rate));
}

void LearnWork(Service& service, bool is_short) {
  bool is_learning = !is_short && service.in_flight < kMaxLearningInFlight;
  for (auto& it : service.routes) {
    double& work = it.history->work_seconds;
    // Requests that are answered sooner than their work was thought to take
    // need less of it, however many are in flight.
    bool is_too_long = it.response_seconds < work;
    if (it.timed <= 0 || (work > 0 && !is_learning && !is_too_long)) {
      continue;
    }
    // While learning, without the time in the queue, which the requests in
    // flight show; else an upper bound.
    double busy = std::min(1.0, UtilizationAt(service.in_flight));
    double seconds = it.response_seconds;
    if (is_learning || work <= 0) {
      seconds *= busy / std::max(busy, service.in_flight);
    }
    double weight = seconds < work ? kShorterWorkWeight : kLongerWorkWeight;
    weight *= std::min(1.0, it.timed / kEnoughAnswers);
    work = work > 0 ? work + weight * (seconds - work) : seconds;
  }
}

void ComputeDemand(Service& service, double capacity) {
  for (auto& it : service.routes) {
    EstimateOpenings(it);
    service.admitted += (it.arrived - it.refused) * it.history->work_seconds;
  }
  // What exceeds the capacity was rejected by full upstreams, and comes back.
  double run = std::min(1.0, capacity / std::max(capacity, service.admitted));
  for (auto& it : service.routes) {
    double work = it.history->work_seconds;
    double admitted = it.openings > 0 ? 1 - it.refused / it.openings : 1;
    it.first_tries = it.openings / TriesAt(1 - admitted * run);
    it.open = (it.arrived - it.openings) * work;
    service.demand += it.open + it.first_tries * work;
  }
}

}  // namespace acaciahold::load
