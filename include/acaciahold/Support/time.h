// Time as the decision core sees it: absolute instants only. The core never
// reads a clock; every event brings the instant at which it happened.

#ifndef ACACIAHOLD_SUPPORT_TIME_H_
#define ACACIAHOLD_SUPPORT_TIME_H_

#include <chrono>
#include <cstdint>

namespace acaciahold {

using Duration = std::chrono::nanoseconds;

// Nanoseconds since the Unix epoch. Has no now(): the shell supplies instants.
struct UnixClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<UnixClock, Duration>;
};

using Instant = UnixClock::time_point;

// Instant from milliseconds since the Unix epoch.
constexpr Instant FromUnixMillis(int64_t millis) {
  return Instant(std::chrono::milliseconds(millis));
}

// Milliseconds since the Unix epoch, rounded down.
constexpr int64_t ToUnixMillis(Instant t) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             t.time_since_epoch())
      .count();
}

// The current instant. It starts at the wall clock and advances with the
// steady clock, so that it never runs backwards within a process. For the
// shell and tools alone; the core takes instants as arguments.
Instant ReadClock();

}  // namespace acaciahold

#endif  // ACACIAHOLD_SUPPORT_TIME_H_
