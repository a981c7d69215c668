// Load patterns that placement answers.

#include "acaciahold/Steering/placement.h"

#include <algorithm>
#include <array>
#include <random>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace acaciahold::steering {
namespace {

using std::chrono::milliseconds;

const Instant kStart = FromUnixMillis(1'000'000);

std::vector<PlacementCandidate*> PointersTo(
    std::vector<PlacementCandidate>& candidates) {
  std::vector<PlacementCandidate*> pointers;
  for (auto& candidate : candidates) {
    pointers.push_back(&candidate);
  }
  return pointers;
}

std::vector<PlacementCandidate> MakeCandidates(size_t n) {
  std::vector<PlacementCandidate> candidates(n);
  for (auto& candidate : candidates) {
    candidate.slots = 2;
  }
  return candidates;
}

}  // namespace

BOOST_AUTO_TEST_CASE(NoCandidateIsNoChoice) {
  StrideScheduler scheduler;
  BOOST_TEST(PickCandidate(scheduler, {}, -1, kStart) == -1);
}

BOOST_AUTO_TEST_CASE(ASteadyStreamIsSpreadEvenly) {
  StrideScheduler scheduler;
  auto candidates = MakeCandidates(5);
  auto pointers = PointersTo(candidates);
  std::array<int, 5> counts{};
  Instant now = kStart;
  for (int i = 0; i < 1'000; ++i) {
    ++counts[PickCandidate(scheduler, pointers, -1, now)];
    now += milliseconds(10);
  }
  auto [least, most] = std::minmax_element(counts.begin(), counts.end());
  BOOST_TEST(*most - *least <= 4);
}

BOOST_AUTO_TEST_CASE(SlotsDecideThePart) {
  StrideScheduler scheduler;
  auto candidates = MakeCandidates(2);
  candidates[1].slots = 6;
  auto pointers = PointersTo(candidates);
  std::array<int, 2> counts{};
  for (int i = 0; i < 800; ++i) {
    ++counts[PickCandidate(scheduler, pointers, -1,
                           kStart + milliseconds(10 * i))];
  }
  BOOST_TEST(counts[1] > 560);
  BOOST_TEST(counts[1] < 640);
}

BOOST_AUTO_TEST_CASE(TheExcludedOneIsPassedOver) {
  StrideScheduler scheduler;
  auto candidates = MakeCandidates(2);
  auto pointers = PointersTo(candidates);
  for (int i = 0; i < 10; ++i) {
    BOOST_TEST(PickCandidate(scheduler, pointers, 0, kStart) == 1);
  }
}

// A replaced upstream has no long flows while the others carry many requests:
// the new flows must not all go to it, least of all while it is cold.
BOOST_AUTO_TEST_CASE(NoCrowdGoesToTheOneThatLooksIdle) {
  StrideScheduler scheduler;
  auto candidates = MakeCandidates(5);
  for (size_t i = 1; i < candidates.size(); ++i) {
    candidates[i].load = {400, kStart};
  }
  candidates[0].is_cold = true;
  auto pointers = PointersTo(candidates);
  InitVirtualTime(candidates[0], 0.5);
  int to_cold = 0;
  for (int i = 0; i < 500; ++i) {
    to_cold += PickCandidate(scheduler, pointers, -1,
                             kStart + milliseconds(2 * i)) == 0;
  }
  BOOST_TEST(to_cold <= 100);  // Its even part.
  candidates[0].is_cold = false;
  int to_warm = 0;
  for (int i = 0; i < 500; ++i) {
    to_warm += PickCandidate(scheduler, pointers, -1,
                             kStart + milliseconds(1'000 + 2 * i)) == 0;
  }
  BOOST_TEST(to_warm > 110);  // It catches up,
  BOOST_TEST(to_warm < 200);  // within bounds.
}

// Ten hosts that choose alone, as seen by the upstreams.
BOOST_AUTO_TEST_CASE(HostsThatChooseAloneSpreadEvenlyTogether) {
  std::mt19937_64 random(5);
  std::uniform_real_distribution<double> jitter(0, 1);
  std::array<int, 6> counts{};
  for (int host = 0; host < 10; ++host) {
    StrideScheduler scheduler;
    auto candidates = MakeCandidates(6);
    auto pointers = PointersTo(candidates);
    for (auto& candidate : candidates) {
      InitVirtualTime(candidate, jitter(random));
    }
    for (int i = 0; i < 33; ++i) {
      ++counts[PickCandidate(scheduler, pointers, -1,
                             kStart + milliseconds(i))];
    }
  }
  auto [least, most] = std::minmax_element(counts.begin(), counts.end());
  BOOST_TEST(*most <= 60);
  BOOST_TEST(*least >= 50);
}

// An upstream that was avoided for a while comes back: it gets its part, and
// not all that it missed at once.
BOOST_AUTO_TEST_CASE(AReturningCandidateDoesNotMakeUpForItsAbsence) {
  StrideScheduler scheduler;
  auto candidates = MakeCandidates(4);
  auto pointers = PointersTo(candidates);
  std::span<PlacementCandidate* const> others(pointers.data() + 1, 3);
  Instant now = kStart;
  for (int i = 0; i < 300; ++i) {
    PickCandidate(scheduler, others, -1, now);
    now += milliseconds(5);
  }
  int to_returned = 0;
  for (int i = 0; i < 20; ++i) {
    to_returned += PickCandidate(scheduler, pointers, -1, now) == 0;
  }
  BOOST_TEST(to_returned <= 9);
  BOOST_TEST(to_returned >= 5);
}

BOOST_AUTO_TEST_CASE(OwnDomainGoesFirst) {
  StrideScheduler scheduler;
  auto candidates = MakeCandidates(4);
  candidates[2].is_local = false;
  candidates[3].is_local = false;
  auto pointers = PointersTo(candidates);
  int remote = 0;
  for (int i = 0; i < 500; ++i) {
    remote += PickCandidate(scheduler, pointers, -1,
                            kStart + milliseconds(10 * i)) >= 2;
  }
  BOOST_TEST(remote < 75);
}

namespace {

// One host's candidates: some in its own domain, the others elsewhere.
std::vector<PlacementCandidate> MakeDomains(size_t local,
                                            size_t remote,
                                            std::mt19937_64& random) {
  std::uniform_real_distribution<double> jitter(0, 1);
  auto candidates = MakeCandidates(local + remote);
  for (size_t i = 0; i < candidates.size(); ++i) {
    candidates[i].is_local = i < local;
    InitVirtualTime(candidates[i], jitter(random));
  }
  return candidates;
}

}  // namespace

// One of hundreds of hosts opens fewer flows than there are upstreams.
BOOST_AUTO_TEST_CASE(TheFirstFlowsOfAHostStayInItsDomain) {
  std::mt19937_64 random(6);
  int remote = 0;
  for (int host = 0; host < 20; ++host) {
    StrideScheduler scheduler;
    auto candidates = MakeDomains(80, 400, random);
    auto pointers = PointersTo(candidates);
    for (int i = 0; i < 100; ++i) {
      remote += PickCandidate(scheduler, pointers, -1,
                              kStart + milliseconds(200 * i)) >= 80;
    }
  }
  BOOST_TEST(remote <= 20 * 100 * 2 * kRemoteWeightRatio);
}

BOOST_AUTO_TEST_CASE(OtherDomainsPartDoesNotGrowWithTheirNumber) {
  std::mt19937_64 random(7);
  for (size_t domains : {1U, 3U, 5U, 9U}) {
    StrideScheduler scheduler;
    auto candidates = MakeDomains(10, 10 * domains, random);
    auto pointers = PointersTo(candidates);
    int remote = 0;
    for (int i = 0; i < 1'000; ++i) {
      remote += PickCandidate(scheduler, pointers, -1,
                              kStart + milliseconds(10 * i)) >= 10;
    }
    BOOST_TEST(remote <= 1'000 * 1.5 * kRemoteWeightRatio);
  }
}

// Hundreds of hosts avoided an upstream for a while. Their next flows must not
// all go to it.
BOOST_AUTO_TEST_CASE(AReturnedUpstreamMeetsNoCrowdOfHosts) {
  constexpr int kHosts = 300;
  constexpr int kUpstreams = 80;
  std::mt19937_64 random(8);
  int to_returned = 0;
  for (int host = 0; host < kHosts; ++host) {
    StrideScheduler scheduler;
    auto candidates = MakeDomains(kUpstreams, 0, random);
    auto pointers = PointersTo(candidates);
    std::span<PlacementCandidate* const> others(pointers.data() + 1,
                                                kUpstreams - 1);
    PickCandidate(scheduler, pointers, 0, kStart);
    for (int i = 0; i < 40; ++i) {
      PickCandidate(scheduler, others, -1, kStart + milliseconds(100 * i));
    }
    to_returned += PickCandidate(scheduler, pointers, -1,
                                 kStart + milliseconds(4'000)) == 0;
  }
  BOOST_TEST(to_returned <= 4 * kHosts / kUpstreams);
}

BOOST_AUTO_TEST_CASE(LoadDecays) {
  LoadMeter meter;
  CountLoad(meter, 10, kStart);
  CountLoad(meter, 5, kStart);
  BOOST_TEST(LoadAt(meter, kStart) == 15);
  BOOST_TEST(LoadAt(meter, kStart + kLoadTimeConstant * 5) < 0.2);
}

}  // namespace acaciahold::steering
