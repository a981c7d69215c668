// Counts the requests of a route.

#include "acaciahold/Steering/route_load.h"

namespace acaciahold::steering {

void CountResponse(RouteLoad& load, Duration response_time) {
  auto time =
      std::chrono::duration_cast<std::chrono::microseconds>(response_time);
  ++load.timed;
  load.response_us += static_cast<uint64_t>(time.count());
}

}  // namespace acaciahold::steering
