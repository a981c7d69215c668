// Counts the requests of one listener's callers for one service that pass
// through this host, for the reports to control hosts. Performs no I/O.

#ifndef ACACIAHOLD_STEERING_ROUTE_LOAD_H_
#define ACACIAHOLD_STEERING_ROUTE_LOAD_H_

#include <cstdint>

#include "acaciahold/Support/time.h"

namespace acaciahold::steering {

struct RouteLoad {
  uint32_t in_flight = 0;  // Requests without an answer so far.
  // Since the last report; see load::RouteSample.
  uint32_t arrived = 0;
  uint32_t refused = 0;
  uint32_t timed = 0;
  uint64_t response_us = 0;
};

// Counts an answered request with a known response time.
void CountResponse(RouteLoad& load, Duration response_time);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_STEERING_ROUTE_LOAD_H_
