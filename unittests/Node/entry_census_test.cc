// Counting entry hosts, also where hundreds start at once.

#include "acaciahold/Node/entry_census.h"

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

struct Told {
  size_t names = 0;
  size_t counts = 0;
};

// Hosts come 50 a tick until there are `hosts`; then nothing changes.
Told StartHosts(size_t hosts) {
  auto census = StartCensus(kStart);
  Told told;
  Instant now = kStart;
  for (size_t tick = 1; tick <= 40; ++tick) {
    now += kTick;
    auto fed = std::min<size_t>(hosts, 50 * tick);
    auto news = TakeNews(census, MakeNames(0, fed), now);
    told.names += news.names.size();
    told.counts += news.count ? 1 : 0;
  }
  return told;
}

}  // namespace

// All hosts were killed and come back. Each is told of once, whatever their
// number, and the count goes out once a tick at most.
BOOST_AUTO_TEST_CASE(AStartOfAllCostsInStepWithTheHosts) {
  for (size_t hosts : {30U, 100U, 300U, 1'000U}) {
    auto told = StartHosts(hosts);
    BOOST_TEST(told.names == hosts);
    BOOST_TEST(told.counts <= hosts / 50 + 1);
  }
}

// A host that is told of too few others would take more than its part.
BOOST_AUTO_TEST_CASE(TheCountIsHeldBackAfterAStart) {
  auto census = StartCensus(kStart);
  auto news = TakeNews(census, MakeNames(0, 1), kStart + kTick);
  BOOST_TEST(!news.count.has_value());
  OnEntryHosts(census, MakeNames(1, 9), kStart + kTick);
  news = TakeNews(census, MakeNames(0, 1), kStart + kEntryCountDelay);
  BOOST_TEST(news.count.value_or(0) == 10U);
}

BOOST_AUTO_TEST_CASE(ALostHostIsCountedForItsLease) {
  auto census = StartCensus(kStart);
  Instant now = kStart + kEntryCountDelay;
  TakeNews(census, MakeNames(0, 2), now);
  auto news = TakeNews(census, MakeNames(0, 1), now + kTick);
  BOOST_TEST(!news.count.has_value());
  news = TakeNews(census, MakeNames(0, 1), now + kEntryHostLease);
  BOOST_TEST(news.count.value_or(0) == 1U);
}

// Another control host may have started since.
BOOST_AUTO_TEST_CASE(AllAreToldAgainNowAndThen) {
  auto census = StartCensus(kStart);
  BOOST_TEST(TakeNews(census, MakeNames(0, 3), kStart).names.size() == 3U);
  BOOST_TEST(TakeNews(census, MakeNames(0, 3), kStart + kTick).names.empty());
  auto later = kStart + kEntryHostLease / 2;
  BOOST_TEST(TakeNews(census, MakeNames(0, 3), later).names.size() == 3U);
}

}  // namespace acaciahold::node
