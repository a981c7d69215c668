// Implements ReadClock on top of the standard clocks.

#include "acaciahold/Support/time.h"

namespace acaciahold {

Instant ReadClock() {
  static const auto kSteadyStart = std::chrono::steady_clock::now();
  static const auto kWallStart =
      std::chrono::system_clock::now().time_since_epoch();
  auto elapsed = std::chrono::steady_clock::now() - kSteadyStart;
  return Instant(std::chrono::duration_cast<Duration>(kWallStart + elapsed));
}

}  // namespace acaciahold
