// Time types of the decision logic. The logic never reads a clock: each event
// is passed in together with the time at which it occurred.

#ifndef ACACIAHOLD_SUPPORT_TIME_H_
#define ACACIAHOLD_SUPPORT_TIME_H_

#include <chrono>
#include <cstdint>

namespace acaciahold {

using Duration = std::chrono::nanoseconds;

// A clock type that counts nanoseconds since the Unix epoch. It has no now():
// the I/O layer passes time points in.
struct UnixClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<UnixClock, Duration>;
};

using Instant = UnixClock::time_point;

// Converts milliseconds since the Unix epoch.
constexpr Instant FromUnixMillis(int64_t millis) {
  return Instant(std::chrono::milliseconds(millis));
}

// Returns milliseconds since the Unix epoch, rounded toward zero.
constexpr int64_t ToUnixMillis(Instant t) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             t.time_since_epoch())
      .count();
}

// Returns the current time. It is set from the wall clock at the first call and
// advances with the steady clock, so that it never goes backwards within a
// process. Only the I/O layer and tools may call this; the decision logic takes
// time points as arguments.
Instant ReadClock();

}  // namespace acaciahold

#endif  // ACACIAHOLD_SUPPORT_TIME_H_
