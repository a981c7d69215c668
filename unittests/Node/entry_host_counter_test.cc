// Tests the count of entry hosts, also when hundreds start at the same time.

#include "acaciahold/Node/entry_host_counter.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

namespace acaciahold::node {
namespace {

using std::chrono::milliseconds;

const Instant kStart = FromUnixMillis(1'000'000);
constexpr milliseconds kTick{400};

std::vector<std::string> MakeNames(size_t first, size_t n) {
  std::vector<std::string> names;
  for (size_t i = first; i < first + n; ++i) {
    names.push_back("entry-" + std::to_string(i));
  }
  return names;
}

// Numbers of names and counts that were sent.
struct SentTotals {
  size_t names = 0;
  size_t counts = 0;
};

// Connects 50 entry hosts per tick until there are `hosts`, then changes
// nothing.
SentTotals StartHosts(size_t hosts) {
  auto counter = MakeEntryHostCounter(kStart);
  SentTotals sent;
  Instant now = kStart;
  for (size_t tick = 1; tick <= 40; ++tick) {
    now += kTick;
    auto connected = std::min<size_t>(hosts, 50 * tick);
    auto update = TakeUpdate(counter, MakeNames(0, connected), now);
    sent.names += update.names.size();
    sent.counts += update.count ? 1 : 0;
  }
  return sent;
}

}  // namespace

// Guards against quadratic traffic when all entry hosts restart. Each host is
// reported once, whatever their number, and the count is sent at most once per
// tick.
BOOST_AUTO_TEST_CASE(TrafficOfMassRestartIsLinear) {
  for (size_t hosts : {30U, 100U, 300U, 1'000U}) {
    auto sent = StartHosts(hosts);
    BOOST_TEST(sent.names == hosts);
    BOOST_TEST(sent.counts <= hosts / 50 + 1);
  }
}

// A count that is too low would make an entry host take more than its share.
BOOST_AUTO_TEST_CASE(CountIsDelayedAfterStart) {
  auto counter = MakeEntryHostCounter(kStart);
  auto update = TakeUpdate(counter, MakeNames(0, 1), kStart + kTick);
  BOOST_TEST(!update.count.has_value());
  RenewEntryHostLeases(counter, MakeNames(1, 9), kStart + kTick);
  update = TakeUpdate(counter, MakeNames(0, 1), kStart + kEntryCountDelay);
  BOOST_TEST(update.count.value_or(0) == 10U);
}

BOOST_AUTO_TEST_CASE(LostHostIsCountedUntilItsLeaseExpires) {
  auto counter = MakeEntryHostCounter(kStart);
  Instant now = kStart + kEntryCountDelay;
  TakeUpdate(counter, MakeNames(0, 2), now);
  auto update = TakeUpdate(counter, MakeNames(0, 1), now + kTick);
  BOOST_TEST(!update.count.has_value());
  update = TakeUpdate(counter, MakeNames(0, 1), now + kEntryHostLease);
  BOOST_TEST(update.count.value_or(0) == 1U);
}

// A control host that started since the last full report needs all names.
BOOST_AUTO_TEST_CASE(AllHostsAreReportedPeriodically) {
  auto counter = MakeEntryHostCounter(kStart);
  BOOST_TEST(TakeUpdate(counter, MakeNames(0, 3), kStart).names.size() == 3U);
  BOOST_TEST(
      TakeUpdate(counter, MakeNames(0, 3), kStart + kTick).names.empty());
  auto later = kStart + kEntryHostLease / 2;
  BOOST_TEST(TakeUpdate(counter, MakeNames(0, 3), later).names.size() == 3U);
}

// Guards against flow tags while an entry host that doesn't understand them is
// connected to any control host.
BOOST_AUTO_TEST_CASE(FlowTagsAreSupportedOnceAllEntryHostsUnderstandThem) {
  auto counter = MakeEntryHostCounter(kStart);
  Instant now = kStart + kEntryCountDelay;
  auto support = [&] {
    now += kTick;
    TakeUpdate(counter, MakeNames(0, 2), now);
    return counter.sent_support;
  };
  BOOST_CHECK(counter.sent_support == FlowTagSupport::kUnknown);
  RenewEntryHostLeases(counter, MakeNames(0, 3), now);
  NoteFlowTagReaders(counter, MakeNames(0, 2), true);
  BOOST_CHECK(support() == FlowTagSupport::kNotAll);
  NoteFlowTagReaders(counter, MakeNames(2, 1), true);
  BOOST_CHECK(support() == FlowTagSupport::kAll);
  // The third returns to the earlier version, and is then removed.
  NoteFlowTagReaders(counter, MakeNames(2, 1), false);
  BOOST_CHECK(support() == FlowTagSupport::kNotAll);
  now += kEntryHostLease;
  NoteFlowTagReaders(counter, MakeNames(0, 2), true);
  BOOST_CHECK(support() == FlowTagSupport::kAll);
}

// Guards against waiting for the next full report when an entry host starts
// again in another version.
BOOST_AUTO_TEST_CASE(HostIsReportedAgainWhenItsSupportOfFlowTagsChanges) {
  auto counter = MakeEntryHostCounter(kStart);
  TakeUpdate(counter, MakeNames(0, 2), kStart);
  NoteFlowTagReaders(counter, MakeNames(1, 1), true);
  auto update = TakeUpdate(counter, MakeNames(0, 2), kStart + kTick);
  BOOST_TEST(update.names == MakeNames(1, 1), boost::test_tools::per_element());
}

// A change of the support alone is sent to entry hosts too.
BOOST_AUTO_TEST_CASE(ChangedSupportOfFlowTagsIsSentWithTheCount) {
  auto counter = MakeEntryHostCounter(kStart);
  Instant now = kStart + kEntryCountDelay;
  TakeUpdate(counter, MakeNames(0, 2), now);
  NoteFlowTagReaders(counter, MakeNames(0, 2), true);
  auto update = TakeUpdate(counter, MakeNames(0, 2), now + kTick);
  BOOST_TEST(update.count.value_or(0) == 2U);
  update = TakeUpdate(counter, MakeNames(0, 2), now + 2 * kTick);
  BOOST_TEST(!update.count.has_value());
}

// Guards against flow tags when one of several control hosts knows of an entry
// host that doesn't understand them.
BOOST_AUTO_TEST_CASE(OneReportOfAnEarlierVersionDecides) {
  using enum FlowTagSupport;
  auto combine = [](std::vector<FlowTagSupport> reports) {
    return CombineFlowTagSupport(reports);
  };
  BOOST_CHECK(combine({kAll, kNotAll, kUnknown}) == kNotAll);
  BOOST_CHECK(combine({kUnknown, kAll}) == kAll);
  BOOST_CHECK(combine({kUnknown, kUnknown}) == kUnknown);
  BOOST_CHECK(combine({}) == kUnknown);
}

}  // namespace acaciahold::node
