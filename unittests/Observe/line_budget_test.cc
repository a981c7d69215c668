// How many lines are written, and what is told of the rest.

#include "acaciahold/Observe/line_budget.h"

#include <boost/test/unit_test.hpp>

namespace acaciahold::observe {
namespace {

using std::chrono::milliseconds;

const Instant kStart = FromUnixMillis(1'000'000);
constexpr size_t kLineBytes = 200;

// Tries so many lines in one second, and returns how many were written.
uint32_t Try(LineBudget& budget, Weight weight, std::string_view event, int n) {
  uint32_t written = 0;
  for (int i = 0; i < n; ++i) {
    if (MayWrite(budget, weight, event, kStart + milliseconds(i % 900))) {
      OnWritten(budget, event, kLineBytes);
      ++written;
    }
  }
  return written;
}

}  // namespace

BOOST_AUTO_TEST_CASE(EachKindHasItsLines) {
  LineBudget budget;
  BOOST_TEST(Try(budget, Weight::kRoutine, "flow_placed", 500) ==
             budget.limits.routine_lines);
  BOOST_TEST(Try(budget, Weight::kNotable, "flow_reset", 10) == 10U);
}

// Every flow fails at once: what turned work away is still told.
BOOST_AUTO_TEST_CASE(RoutineLinesLeaveRoomForNotableOnes) {
  LineBudget budget;
  budget.limits.bytes = 20 * kLineBytes;
  BOOST_TEST(Try(budget, Weight::kRoutine, "flow_placed", 500) == 10U);
  BOOST_TEST(Try(budget, Weight::kRoutine, "packet_dropped", 500) == 0U);
  BOOST_TEST(Try(budget, Weight::kNotable, "flow_reset", 500) == 10U);
  BOOST_TEST(budget.bytes <= budget.limits.bytes);
}

BOOST_AUTO_TEST_CASE(WhatIsLeftOutIsToldOnceTheSecondHasEnded) {
  LineBudget budget;
  budget.limits.routine_lines = 3;
  Try(budget, Weight::kRoutine, "flow_placed", 10);
  OnNotWritten(budget, "flow_reset");
  BOOST_TEST(TakeLeftOut(budget, kStart + milliseconds(999)).empty());
  auto left_out = TakeLeftOut(budget, kStart + milliseconds(1'000));
  BOOST_REQUIRE(left_out.size() == 2U);
  BOOST_TEST(left_out[0].event == "flow_placed");
  BOOST_TEST(left_out[0].lines == 7U);
  BOOST_TEST(left_out[1].event == "flow_reset");
  BOOST_TEST(left_out[1].lines == 1U);
  BOOST_TEST(TakeLeftOut(budget, kStart + milliseconds(1'001)).empty());
  // The next second has its own lines.
  BOOST_TEST(MayWrite(budget, Weight::kRoutine, "flow_placed",
                      kStart + milliseconds(1'001)));
}

BOOST_AUTO_TEST_CASE(NoLinesIsALimitAsWell) {
  LineBudget budget;
  budget.limits = {0, 0, 0};
  BOOST_TEST(Try(budget, Weight::kNotable, "flow_reset", 5) == 0U);
}

}  // namespace acaciahold::observe
