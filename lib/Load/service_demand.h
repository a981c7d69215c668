// What reports say of one service, and what its requests need: the input of its
// standing.

#ifndef ACACIAHOLD_LIB_LOAD_SERVICE_DEMAND_H_
#define ACACIAHOLD_LIB_LOAD_SERVICE_DEMAND_H_

#include <map>
#include <string>
#include <vector>

#include "acaciahold/Load/standing.h"

namespace acaciahold::load {

// Requests of one listener in the last interval; rates are per second.
struct RouteDemand {
  Endpoint listener;
  const catalog::RouteTerms* terms = nullptr;  // Null: not in the table.
  RouteHistory* history = nullptr;
  double arrived = 0;
  double refused = 0;
  double timed = 0;             // Answers in the interval, not scaled.
  double response_seconds = 0;  // Mean; 0: unknown.
  double in_flight = 0;         // A number of requests, not a rate.
  double openings = 0;          // Those of `arrived` that can be refused.
  double open = 0;              // Work on open flows, in slots.
  double first_tries = 0;  // Those of `openings` that aren't further tries.
  double fraction = 1;     // Result.
};

struct Service {
  std::vector<RouteDemand> routes;
  double slots = 0;
  double in_flight = 0;  // For each slot.
  double admitted = 0;   // Work that was let in, in slots.
  double demand = 0;     // Work that was wanted, in slots.
};

// Requests in flight for each slot at which the service is kept while it is
// short: enough waiting ones that slots rarely idle, although queues differ.
inline constexpr double kTarget = 2.9;
// Times that a caller tries, at most, each time with a new opening.
inline constexpr int kTries = 3;

// kReportInterval in seconds.
double IntervalSeconds();

// Whether the service has a listener with a priority.
bool HasPriority(const catalog::View& view, const std::string& service);

// Slots of the upstreams that may take new flows, by failure domain.
std::map<std::string, double> SlotsByDomain(
    const std::string& service,
    const catalog::View& view,
    const directory::Directory& directory,
    Instant now);

// Returns one element for each listener of the service and one for each other
// that was reported. `scale` makes up for lost reports.
std::vector<RouteDemand> ListRoutes(ServiceHistory& history,
                                    const std::string& service,
                                    const catalog::View& view,
                                    const LoadSums& sums,
                                    double scale);

// Returns the part of their capacity that the slots were asked for, which is
// above 1 if queues grow, by the requests in flight for each slot.
double UtilizationAt(double in_flight);

// Sets Service::in_flight from the routes.
void CountInFlight(ServiceHistory& history, Service& service);

// Updates RouteHistory::work_seconds of the routes.
void LearnWork(Service& service, bool is_short);

// Sets Service::admitted and demand, the openings, tries and open work of the
// routes, and RouteHistory::opening_part. `capacity` is that of the slots.
void ComputeDemand(Service& service, double capacity);

}  // namespace acaciahold::load

#endif  // ACACIAHOLD_LIB_LOAD_SERVICE_DEMAND_H_
