// A model of one service in virtual time: callers that try again, many entry
// hosts, upstreams with slots and a bounded queue, and a control host that sums
// up reports. For tests of the refusal of new flows.

#ifndef ACACIAHOLD_UNITTESTS_STEERING_ADMISSION_MODEL_H_
#define ACACIAHOLD_UNITTESTS_STEERING_ADMISSION_MODEL_H_

#include <functional>
#include <map>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "acaciahold/Load/standing.h"
#include "acaciahold/Steering/admission.h"
#include "acaciahold/Steering/route_load.h"

namespace acaciahold::steering::model {

enum class Policy {
  kNone,          // Hosts refuse nothing.
  kWithoutTerms,  // IsOverloaded alone.
  kAlone,         // AdmitAlone.
  kByStanding,    // AdmitByStanding, or AdmitAlone without a recent standing.
};

struct Route {
  std::string name;
  catalog::RouteTerms terms;
  double work = 0.04;  // Seconds of a slot.
  // Requests a second, in slots that they keep busy, at a time in seconds.
  std::function<double(double)> demand;
  double open_part = 0;  // Of the requests: those on open flows.
};

struct Settings {
  Policy policy = Policy::kByStanding;
  std::vector<Route> routes;
  std::function<double(double)> slowness = [](double) { return 1.0; };
  // Whether control hosts send digests, and how late they arrive, in intervals.
  std::function<bool(double)> has_digest = [](double) { return true; };
  size_t delay = 1;
  // Seconds for which a full upstream holds a request that it rejects.
  double reject_time = 0;
  int hosts = 80;
  int upstreams = 120;
  uint64_t seed = 1;
};

// Of the requests that callers first sent in one second.
struct Outcome {
  int wanted = 0;
  int in_time = 0;
  int served = 0;
  int refused = 0;   // Tries that hosts refused.
  int rejected = 0;  // Tries that upstreams rejected.
};

Outcome operator+(const Outcome& a, const Outcome& b);

struct Second {
  std::map<std::string, Outcome> routes;
  double busy = 0;  // Part of the slots.
};

struct Result {
  std::vector<Second> seconds;
  std::vector<load::ServiceStanding> standings;  // One for each interval.
};

Result Run(const Settings& settings, int seconds);

// The outcome of a route from one second to before another.
Outcome Between(const Result& result,
                const std::string& route,
                int from,
                int to);
double BusyBetween(const Result& result, int from, int to);

// Prints the outcome by route, for the design note.
void Print(const std::string& title, const Result& result, int from, int to);

}  // namespace acaciahold::steering::model

#endif  // ACACIAHOLD_UNITTESTS_STEERING_ADMISSION_MODEL_H_
