// Decides, on a control host, how each service stands: its demand and room by
// failure domain, and which part of each listener's new flows is to be refused.
// Performs no I/O.
//
// It is designed for times when a service gets more requests than its slots can
// process, for longer than the queues of its upstreams absorb: a flood of less
// urgent requests, or upstreams that have all become slower. New flows are then
// let in by priority, then by whether they can still be answered in time, then
// by the work that they need, up to what the slots process. How much that is
// follows from the requests in flight: with too many the queues grow, with too
// few slots are idle. Requests on open flows can't be refused, so new flows get
// what is left.

#ifndef ACACIAHOLD_LOAD_STANDING_H_
#define ACACIAHOLD_LOAD_STANDING_H_

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "acaciahold/Catalog/catalog.h"
#include "acaciahold/Directory/directory.h"
#include "acaciahold/Load/load.h"
#include "acaciahold/Support/address.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::load {

// Reports arrive one to two intervals after a fraction was decided, so that a
// report may show the effect of any of the last ones.
inline constexpr size_t kIssuedFractions = 4;

// What earlier sums showed of one listener's requests for a service.
struct RouteHistory {
  // Seconds of a slot that a request needs; 0: unknown. Once known, not
  // changed while the service is short, when response times show the queues
  // instead.
  double work_seconds = 0;
  // The part of the arrived requests that open a flow, from 0 to 1. Learned
  // from the refused ones; 1 before.
  double opening_part = 1;
  std::array<double, kIssuedFractions> issued{1, 1, 1, 1};  // Latest first.
};

struct ServiceHistory {
  std::map<Endpoint, RouteHistory> routes;
  std::map<std::string, double> domain_demands;  // Smoothed, in slots.
  bool is_short = false;
  double in_flight_by_rate = 0;  // Of the last interval, for each slot.
  // Work that the slots can process, in slots by the learned work; it is lower
  // than the slots if upstreams have become slower. Equals the slots unless the
  // service is short.
  double capacity = 0;
  uint32_t full_reports = 0;   // Last consecutive ones with long queues.
  uint32_t clear_reports = 0;  // Last consecutive ones with room for all.
};

// A service is not short with less demand than this part of its slots. Below it
// a standing can't tell slow upstreams from callers that acknowledge late, and
// entry hosts decide alone.
inline constexpr double kMinDemandPart = 0.25;

// What earlier sums showed.
struct StandingState {
  std::map<std::string, ServiceHistory> services;
  // Recent number of entry hosts that report; makes up for lost reports.
  double reporters = 0;
};

// Call once for each interval with the sums of all control hosts. Returns the
// standing of each service that has a listener with a priority; none if no
// entry host reported.
std::vector<ServiceStanding> ComputeStandings(
    StandingState& state,
    const LoadSums& sums,
    const catalog::View& view,
    const directory::Directory& directory,
    Instant now);

// Call instead for an interval whose sums are too incomplete. Forgets shortages
// and the number of reporters, since an old number would multiply the counts of
// those that report later.
void SkipInterval(StandingState& state);

}  // namespace acaciahold::load

#endif  // ACACIAHOLD_LOAD_STANDING_H_
