// Tests for the rate limits of the event log and the counts of dropped lines.

#include "acaciahold/Observe/log_rate_limiter.h"

#include <boost/test/unit_test.hpp>

namespace acaciahold::observe {
namespace {

using std::chrono::milliseconds;

const Instant kStart = FromUnixMillis(1'000'000);
constexpr size_t kLineBytes = 200;

// Attempts `n` lines within one second. Returns how many were written.
uint32_t WriteLines(LogRateLimiter& limiter,
                    EventPriority priority,
                    std::string_view event,
                    int n) {
  uint32_t written = 0;
  for (int i = 0; i < n; ++i) {
    if (AllowLine(limiter, priority, event, kStart + milliseconds(i % 900))) {
      OnLineWritten(limiter, event, kLineBytes);
      ++written;
    }
  }
  return written;
}

}  // namespace

BOOST_AUTO_TEST_CASE(LimitsLinesPerEvent) {
  LogRateLimiter limiter;
  BOOST_TEST(WriteLines(limiter, EventPriority::kRoutine, "flow_placed", 500) ==
             limiter.limits.routine_lines);
  BOOST_TEST(WriteLines(limiter, EventPriority::kNotable, "flow_reset", 10) ==
             10U);
}

// When all flows fail at once, routine lines must not use up the byte limit:
// the lines about rejected work still have to be written.
BOOST_AUTO_TEST_CASE(RoutineLinesUseAtMostHalfTheByteLimit) {
  LogRateLimiter limiter;
  limiter.limits.bytes = 20 * kLineBytes;
  BOOST_TEST(WriteLines(limiter, EventPriority::kRoutine, "flow_placed", 500) ==
             10U);
  BOOST_TEST(WriteLines(limiter, EventPriority::kRoutine, "packet_dropped",
                        500) == 0U);
  BOOST_TEST(WriteLines(limiter, EventPriority::kNotable, "flow_reset", 500) ==
             10U);
  BOOST_TEST(limiter.bytes <= limiter.limits.bytes);
}

BOOST_AUTO_TEST_CASE(ReportsDroppedLinesOnceAfterWindowEnd) {
  LogRateLimiter limiter;
  limiter.limits.routine_lines = 3;
  WriteLines(limiter, EventPriority::kRoutine, "flow_placed", 10);
  OnLineDropped(limiter, "flow_reset");
  BOOST_TEST(TakeDroppedLines(limiter, kStart + milliseconds(999)).empty());
  auto dropped = TakeDroppedLines(limiter, kStart + milliseconds(1'000));
  BOOST_REQUIRE(dropped.size() == 2U);
  BOOST_TEST(dropped[0].event == "flow_placed");
  BOOST_TEST(dropped[0].lines == 7U);
  BOOST_TEST(dropped[1].event == "flow_reset");
  BOOST_TEST(dropped[1].lines == 1U);
  BOOST_TEST(TakeDroppedLines(limiter, kStart + milliseconds(1'001)).empty());
  // The line limit applies anew in the next window.
  BOOST_TEST(AllowLine(limiter, EventPriority::kRoutine, "flow_placed",
                       kStart + milliseconds(1'001)));
}

BOOST_AUTO_TEST_CASE(ZeroLimitsDropAllLines) {
  LogRateLimiter limiter;
  limiter.limits = {0, 0, 0};
  BOOST_TEST(WriteLines(limiter, EventPriority::kNotable, "flow_reset", 5) ==
             0U);
}

}  // namespace acaciahold::observe
