// What all entry hosts see together.

#include "acaciahold/Directory/suspicion.h"

#include <random>

#include <boost/test/unit_test.hpp>

namespace acaciahold::directory {
namespace {

using std::chrono::milliseconds;

const Instant kStart = FromUnixMillis(1'000'000);
constexpr UpstreamId kUpstreams = 60;

Directory MakeDirectory() {
  Directory directory;
  for (UpstreamId id = 1; id <= kUpstreams; ++id) {
    Record record;
    record.id = id;
    record.service = id % 3 == 0 ? "ledger" : "orders";
    record.endpoint = {static_cast<uint32_t>(id), 80};
    record.born_ms = 1;
    Merge(directory, record, kStart);
  }
  return directory;
}

// `hosts` entry hosts that each see `per_second` requests; those at upstreams
// up to `hung` all fail, of the others `lost` of a hundred. Returns when each
// upstream was first suspected, after the start.
std::map<UpstreamId, Duration> Play(int hosts,
                                    double per_second,
                                    UpstreamId hung,
                                    int lost,
                                    milliseconds time) {
  std::mt19937_64 random(7);
  auto directory = MakeDirectory();
  Suspicions suspicions;
  std::map<UpstreamId, Duration> suspected;
  milliseconds step(200);
  std::poisson_distribution<int> requests(per_second * 0.2);
  for (milliseconds at(0); at < time; at += step) {
    for (int host = 0; host < hosts; ++host) {
      std::vector<Trouble> troubles;
      for (int n = requests(random); n > 0; --n) {
        UpstreamId id = random() % kUpstreams + 1;
        if (id <= hung || static_cast<int>(random() % 100) < lost) {
          troubles.push_back({id, 1});
        }
      }
      OnTroubles(suspicions, "host-" + std::to_string(host), troubles,
                 kStart + at);
    }
    for (auto id : Judge(suspicions, directory, kStart + at)) {
      suspected.try_emplace(id, at);
    }
  }
  return suspected;
}

}  // namespace

// Eighty hosts see a request at a given upstream every four seconds each. Six
// upstreams of sixty hang.
BOOST_AUTO_TEST_CASE(HungUpstreamsAreKnownWithinASecond) {
  auto suspected = Play(80, 15, 6, 0, milliseconds(3'000));
  BOOST_REQUIRE(suspected.size() == 6U);
  for (const auto& [id, after] : suspected) {
    BOOST_TEST(id <= 6U);
    BOOST_TEST((after <= milliseconds(1'000)));
  }
}

BOOST_AUTO_TEST_CASE(LostPacketsMakeNobodySuspect) {
  BOOST_TEST(Play(80, 15, 0, 3, milliseconds(20'000)).empty());
}

// Where a whole service is slow, avoiding a part of it would overload the rest.
BOOST_AUTO_TEST_CASE(OverloadOfAllMakesNobodySuspect) {
  BOOST_TEST(Play(80, 15, kUpstreams, 0, milliseconds(5'000)).empty());
}

BOOST_AUTO_TEST_CASE(OneHostAloneAccusesNobody) {
  BOOST_TEST(Play(1, 200, 2, 0, milliseconds(3'000)).empty());
}

BOOST_AUTO_TEST_CASE(ASuspectIsToldOnceAndTriedAgain) {
  auto directory = MakeDirectory();
  Suspicions suspicions;
  std::vector<Trouble> troubles{{1, 6}};
  OnTroubles(suspicions, "a", troubles, kStart);
  OnTroubles(suspicions, "b", troubles, kStart);
  BOOST_TEST(
      (Judge(suspicions, directory, kStart) == std::vector<UpstreamId>{1}));
  BOOST_TEST(Judge(suspicions, directory, kStart + kJudgeInterval).empty());
  // The reports are old by the time at which it is tried again.
  Instant later = kStart + kSuspectTime;
  BOOST_TEST(Judge(suspicions, directory, later).empty());
  BOOST_TEST(suspicions.suspected.empty());
}

// Each control host tells its entry hosts once, however many tell it.
BOOST_AUTO_TEST_CASE(WhatIsSuspectedAlreadyIsNoNews) {
  Suspicions suspicions;
  BOOST_TEST(OnSuspected(suspicions, 1, kStart));
  BOOST_TEST(!OnSuspected(suspicions, 1, kStart + milliseconds(10)));
  BOOST_TEST(OnSuspected(suspicions, 1, kStart + kSuspectTime));
}

BOOST_AUTO_TEST_CASE(WhatLeavesIsNotSuspected) {
  auto directory = MakeDirectory();
  directory.entries.at(1).record.phase = Phase::kDraining;
  Suspicions suspicions;
  std::vector<Trouble> troubles{{1, 9}, {999, 9}};
  OnTroubles(suspicions, "a", troubles, kStart);
  OnTroubles(suspicions, "b", troubles, kStart);
  BOOST_TEST(Judge(suspicions, directory, kStart).empty());
}

}  // namespace acaciahold::directory
