// Tests the decisions on opening and later packets: retransmissions, silent
// upstreams, unanswered openings, partitions and cold upstreams.

#include "acaciahold/Steering/tag_steering.h"

#include <algorithm>
#include <map>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "acaciahold/Support/hash.h"

namespace acaciahold::steering {
namespace {

using std::chrono::milliseconds;

const Instant kStart = FromUnixMillis(1'000'000);
constexpr Endpoint kListener{7, 443};

directory::Record MakeRecord(directory::UpstreamId id,
                             const std::string& domain) {
  directory::Record record;
  record.id = id;
  record.service = "orders";
  record.endpoint = {static_cast<uint32_t>(100 + id), 8080};
  record.failure_domain = domain;
  record.slots = 2;
  record.born_ms = 1;
  record.sequence = 1;
  return record;
}

catalog::View MakeView(uint64_t revision) {
  catalog::View view;
  view.revision = revision;
  view.catalog.version = revision;
  view.catalog.services = {{"orders", 0}};
  view.catalog.listeners = {{"a", kListener, {{"orders", 1}}}};
  return view;
}

// Returns the state of a host in "north" that knows upstreams 1 to 3 in "north"
// and 4 to 6 in "south" from feed 0.
TagSteering MakeSteering() {
  auto steering = MakeTagSteering("north", 1);
  OnView(steering, MakeView(1));
  OnFeedBegin(steering, 0);
  for (directory::UpstreamId id = 1; id <= 6; ++id) {
    OnRecord(steering, 0, MakeRecord(id, id <= 3 ? "north" : "south"), kStart);
  }
  OnFeedComplete(steering, 0);
  return steering;
}

Opening MakeOpening(uint32_t caller, uint32_t copy = 0) {
  return {{{caller, 4'000}, kListener}, 77, copy};
}

// Opens `n` flows, each of which is answered at once; returns the number of
// flows by upstream.
std::map<directory::UpstreamId, int> OpenFlows(TagSteering& steering,
                                               uint32_t first,
                                               int n,
                                               Instant now) {
  std::map<directory::UpstreamId, int> counts;
  for (int i = 0; i < n; ++i) {
    auto opening = MakeOpening(first + i);
    auto decision = OnOpening(steering, opening, now);
    ++counts[decision.upstream];
    OnTagged(steering, opening.flow, decision.tag, 1, now);
    now += milliseconds(5);
  }
  return counts;
}

}  // namespace

// A second feed knows the same upstreams and therefore sends no records. It
// must count as a feed that receives announcements of all of them.
BOOST_AUTO_TEST_CASE(FeedWithTheSameDirectoryCountsForAllUpstreams) {
  auto steering = MakeSteering();
  OnFeedBegin(steering, 1);
  OnSameDirectory(steering, 1);
  OnFeedComplete(steering, 1);
  BOOST_TEST(!OnSilence(steering, 0, 1, kStart));
  BOOST_TEST(!IsSilent(steering, steering.upstreams.at(1)));
  BOOST_TEST(OnSilence(steering, 1, 1, kStart));
  BOOST_TEST(IsSilent(steering, steering.upstreams.at(1)));
}

BOOST_AUTO_TEST_CASE(DropsOpeningWithoutATable) {
  auto steering = MakeTagSteering("north", 1);
  auto decision = OnOpening(steering, MakeOpening(1), kStart);
  BOOST_CHECK(decision.verdict == TagVerdict::kDrop);
  BOOST_CHECK(decision.reason == TagReason::kNoTable);
}

// A starting host receives the catalog and the upstreams one after the other.
// Guards against resetting flows because of listeners or upstreams that the
// host has not received yet.
BOOST_AUTO_TEST_CASE(ResetsNoFlowBeforeAFeedIsSynchronized) {
  auto steering = MakeTagSteering("north", 1);
  OnFeedBegin(steering, 0);
  OnView(steering, MakeView(1));
  auto unknown = MakeOpening(1);
  unknown.flow.listener.port = 444;
  BOOST_CHECK(OnOpening(steering, MakeOpening(1), kStart).verdict ==
              TagVerdict::kDrop);
  BOOST_CHECK(OnOpening(steering, unknown, kStart).verdict ==
              TagVerdict::kDrop);
  OnFeedComplete(steering, 0);
  BOOST_CHECK(OnOpening(steering, MakeOpening(1), kStart).verdict ==
              TagVerdict::kReset);
  BOOST_CHECK(OnOpening(steering, unknown, kStart).verdict ==
              TagVerdict::kReset);
}

BOOST_AUTO_TEST_CASE(ResetsOpeningToAnUnknownListener) {
  auto steering = MakeSteering();
  auto opening = MakeOpening(1);
  opening.flow.listener.port = 444;
  auto decision = OnOpening(steering, opening, kStart);
  BOOST_CHECK(decision.verdict == TagVerdict::kReset);
}

BOOST_AUTO_TEST_CASE(AnyHostForwardsLaterPacketsByTag) {
  auto steering = MakeSteering();
  auto opened = OnOpening(steering, MakeOpening(1), kStart);
  auto other = MakeSteering();  // Has not seen the flow.
  auto later = OnTagged(other, MakeOpening(1).flow, opened.tag, 1, kStart);
  BOOST_CHECK(later.verdict == TagVerdict::kForward);
  BOOST_TEST(later.upstream == opened.upstream);
  BOOST_CHECK(later.endpoint == opened.endpoint);
}

BOOST_AUTO_TEST_CASE(DropsPacketWithAnUnknownTag) {
  auto steering = MakeSteering();
  auto decision =
      OnTagged(steering, MakeOpening(1).flow, 0xdeadbeef, 1, kStart);
  BOOST_CHECK(decision.verdict == TagVerdict::kDrop);
}

BOOST_AUTO_TEST_CASE(DetectsRetransmittedData) {
  auto steering = MakeSteering();
  auto flow = MakeOpening(1).flow;
  auto send = [&](const TaggedFlow& on, uint32_t sequence) {
    return OnProgress(steering, on, UpstreamTag(1), {sequence, 50, true, false},
                      kStart);
  };
  BOOST_TEST(!send(flow, 100));
  BOOST_TEST(!send(MakeOpening(2).flow, 100));
  BOOST_TEST(!send(flow, 200));
  BOOST_TEST(send(flow, 200));
  BOOST_TEST(send(flow, 200));
  BOOST_TEST(steering.counts.repeated == 2U);
  // A request counts as one failure and is reported once.
  BOOST_TEST((TakeFailures(steering) ==
              std::vector<directory::UpstreamFailures>{{1, 1}}));
  BOOST_TEST(TakeFailures(steering).empty());
}

// A hanging upstream still acknowledges data, so callers don't retransmit it.
// The caller's close without an answer is the only sign of the failure.
BOOST_AUTO_TEST_CASE(CountsFlowsThatCallersCloseWithoutAnAnswer) {
  auto steering = MakeSteering();
  auto answered = MakeOpening(1).flow;
  auto given_up = MakeOpening(2).flow;
  OnProgress(steering, answered, UpstreamTag(1), {100, 50, true, false},
             kStart);
  OnProgress(steering, answered, UpstreamTag(1), {120, 90, false, true},
             kStart);
  BOOST_TEST(TakeFailures(steering).empty());
  OnProgress(steering, given_up, UpstreamTag(2), {100, 50, true, false},
             kStart);
  OnProgress(steering, given_up, UpstreamTag(2), {120, 50, false, true},
             kStart);
  BOOST_TEST(steering.counts.given_up == 1U);
  BOOST_TEST((TakeFailures(steering) ==
              std::vector<directory::UpstreamFailures>{{2, 1}}));
  // A flow whose data passed another host is not counted here.
  OnProgress(steering, MakeOpening(3).flow, UpstreamTag(3),
             {120, 50, false, true}, kStart);
  BOOST_TEST(TakeFailures(steering).empty());
}

// Upstream 1 hangs: it answers openings but no requests, so this host does not
// avoid it because of its own openings.
BOOST_AUTO_TEST_CASE(SuspectedUpstreamGetsNoNewFlowsUntilItsDeadline) {
  auto steering = MakeSteering();
  SuspectUpstream(steering, 1, std::chrono::seconds(3), kStart);
  BOOST_TEST(OpenFlows(steering, 10, 100, kStart)[1] == 0);
  auto counts = OpenFlows(steering, 200, 100, kStart + std::chrono::seconds(3));
  BOOST_TEST(counts[1] > 0);
  // If all upstreams are suspected, they are used nevertheless.
  for (directory::UpstreamId id = 1; id <= 6; ++id) {
    SuspectUpstream(steering, id, std::chrono::seconds(9), kStart);
  }
  auto decision =
      OnOpening(steering, MakeOpening(500), kStart + std::chrono::seconds(4));
  BOOST_CHECK(decision.verdict == TagVerdict::kForward);
}

BOOST_AUTO_TEST_CASE(RetransmittedOpeningGoesToTheSameUpstream) {
  auto steering = MakeSteering();
  auto first = OnOpening(steering, MakeOpening(1), kStart);
  auto copy = OnOpening(steering, MakeOpening(1, 1), kStart + milliseconds(50));
  BOOST_TEST(copy.upstream == first.upstream);
  OnTagged(steering, MakeOpening(1).flow, first.tag, 0,
           kStart + milliseconds(60));
  auto late =
      OnOpening(steering, MakeOpening(1, 2), kStart + milliseconds(600));
  BOOST_TEST(late.upstream == first.upstream);
}

BOOST_AUTO_TEST_CASE(RetransmittedUnansweredOpeningGoesToAnotherUpstream) {
  auto steering = MakeSteering();
  auto first = OnOpening(steering, MakeOpening(1), kStart);
  auto copy =
      OnOpening(steering, MakeOpening(1, 1), kStart + milliseconds(200));
  BOOST_CHECK(copy.verdict == TagVerdict::kForward);
  BOOST_TEST(copy.upstream != first.upstream);
}

BOOST_AUTO_TEST_CASE(OpeningWithAnotherSequenceIsANewFlow) {
  auto steering = MakeSteering();
  auto first = OnOpening(steering, MakeOpening(1), kStart);
  auto opening = MakeOpening(1);
  opening.sequence = 78;
  auto second = OnOpening(steering, opening, kStart + milliseconds(1));
  BOOST_TEST(second.upstream != first.upstream);
}

// Guards against mixing up two flows with the same slot for recent openings:
// the answer to one must not count for the other, nor may a copy of either
// opening follow the other to its upstream.
BOOST_AUTO_TEST_CASE(FlowsThatShareASlotAreToldApart) {
  auto slot_of = [](const TaggedFlow& flow) {
    return CombineHashes(PackEndpoint(flow.caller),
                         PackEndpoint(flow.listener)) %
           kRecentOpeningSlots;
  };
  auto opening = MakeOpening(1);
  uint32_t other_caller = 2;
  while (slot_of(MakeOpening(other_caller).flow) != slot_of(opening.flow)) {
    ++other_caller;
  }
  auto steering = MakeSteering();
  auto first = OnOpening(steering, opening, kStart);
  auto other = OnOpening(steering, MakeOpening(other_caller), kStart);
  BOOST_REQUIRE(other.upstream != first.upstream);
  const auto& recent = steering.recent_openings[slot_of(opening.flow)];
  BOOST_TEST(recent.upstream == other.upstream);

  auto later = OnTagged(steering, opening.flow, first.tag, 0, kStart);
  BOOST_TEST(later.upstream == first.upstream);
  BOOST_TEST(!recent.is_resolved);
  auto copy = OnOpening(steering, MakeOpening(other_caller, 1), kStart);
  BOOST_CHECK(copy.reason == TagReason::kRetransmission);
  BOOST_TEST(copy.upstream == other.upstream);
  // The older flow has lost its slot; its copy is placed as on another host.
  auto old_copy = OnOpening(steering, MakeOpening(1, 1), kStart);
  BOOST_CHECK(old_copy.reason == TagReason::kPlaced);
  // Each flow's packets still go to the upstream of their tag.
  BOOST_TEST(OnTagged(steering, opening.flow, first.tag, 0, kStart).upstream ==
             first.upstream);
  BOOST_TEST(
      OnTagged(steering, MakeOpening(other_caller).flow, other.tag, 0, kStart)
          .upstream == other.upstream);
}

BOOST_AUTO_TEST_CASE(DrainingOrExcludedUpstreamsGetNoNewFlows) {
  auto steering = MakeSteering();
  auto draining = MakeRecord(1, "north");
  draining.phase = directory::Phase::kDraining;
  draining.sequence = 2;
  OnRecord(steering, 0, draining, kStart);
  auto counts = OpenFlows(steering, 10, 60, kStart);
  BOOST_TEST(counts[1] == 0);
  // Its open flows continue.
  auto open =
      OnTagged(steering, MakeOpening(1).flow, UpstreamTag(1), 1, kStart);
  BOOST_CHECK(open.verdict == TagVerdict::kForward);
  auto view = MakeView(2);
  view.domains_out = {"north"};
  OnView(steering, view);
  counts = OpenFlows(steering, 100, 60, kStart);
  BOOST_TEST(counts[1] + counts[2] + counts[3] == 0);
  view.revision = 3;
  view.domains_out = {"north", "south"};
  OnView(steering, view);
  auto refused = OnOpening(steering, MakeOpening(300), kStart);
  BOOST_CHECK(refused.verdict == TagVerdict::kReset);
  BOOST_CHECK(refused.reason == TagReason::kNoUpstream);
}

BOOST_AUTO_TEST_CASE(IgnoresAnOlderView) {
  auto steering = MakeSteering();
  BOOST_TEST(OnView(steering, MakeView(5)));
  BOOST_TEST(!OnView(steering, MakeView(4)));
  // It may have terms that the held one lacks.
  BOOST_TEST(OnView(steering, MakeView(5)));
  BOOST_TEST(steering.view.revision == 5U);
}

BOOST_AUTO_TEST_CASE(NewFlowsGoToTheLatestStartAtAnEndpoint) {
  auto steering = MakeSteering();
  auto successor = MakeRecord(9, "north");
  successor.endpoint = MakeRecord(1, "north").endpoint;
  successor.born_ms = 50;
  OnRecord(steering, 0, successor, kStart);
  // A late announcement of the previous upstream at the endpoint.
  auto late = MakeRecord(1, "north");
  late.sequence = 8;
  OnRecord(steering, 0, late, kStart);
  auto counts = OpenFlows(steering, 10, 100, kStart);
  BOOST_TEST(counts[1] == 0);
  BOOST_TEST(counts[9] > 0);
}

BOOST_AUTO_TEST_CASE(UpstreamIsSilentOnlyIfAllFeedsReportIt) {
  auto steering = MakeSteering();
  OnFeedBegin(steering, 1);
  for (directory::UpstreamId id = 1; id <= 6; ++id) {
    OnRecord(steering, 1, MakeRecord(id, id <= 3 ? "north" : "south"), kStart);
  }
  OnFeedComplete(steering, 1);
  BOOST_TEST(!OnSilence(steering, 0, 2, kStart));
  BOOST_TEST(OpenFlows(steering, 10, 60, kStart)[2] > 0);
  BOOST_TEST(OnSilence(steering, 1, 2, kStart));
  BOOST_TEST(OpenFlows(steering, 100, 60, kStart)[2] == 0);
}

BOOST_AUTO_TEST_CASE(FeedWithoutRecordOfAnUpstreamCountsAsSilent) {
  auto steering = MakeSteering();
  OnFeedBegin(steering, 1);
  for (directory::UpstreamId id = 2; id <= 6; ++id) {
    OnRecord(steering, 1, MakeRecord(id, id <= 3 ? "north" : "south"), kStart);
  }
  OnFeedComplete(steering, 1);
  BOOST_TEST(OnSilence(steering, 0, 1, kStart));
  BOOST_TEST(OpenFlows(steering, 10, 60, kStart)[1] == 0);
}

BOOST_AUTO_TEST_CASE(IgnoresALostFeedUnlessItIsTheLast) {
  auto steering = MakeSteering();
  OnFeedBegin(steering, 1);
  for (directory::UpstreamId id = 1; id <= 6; ++id) {
    OnRecord(steering, 1, MakeRecord(id, id <= 3 ? "north" : "south"), kStart);
  }
  OnFeedComplete(steering, 1);
  OnSilence(steering, 0, 2, kStart);
  OnFeedLost(steering, 1, kStart);
  BOOST_TEST(OpenFlows(steering, 10, 60, kStart)[2] == 0);
  OnFeedLost(steering, 0, kStart);  // No feed is left: the state is kept.
  BOOST_TEST(OpenFlows(steering, 100, 60, kStart)[3] > 0);
}

// Upstream 2 crashes. Callers' retransmitted openings show it long before its
// announcements are missed.
BOOST_AUTO_TEST_CASE(AvoidsAnUpstreamThatDoesNotAnswerOpenings) {
  auto steering = MakeSteering();
  Instant now = kStart;
  int to_dead = 0;
  for (uint32_t i = 0; i < 200; ++i) {
    auto opening = MakeOpening(10 + i);
    auto decision = OnOpening(steering, opening, now);
    if (decision.upstream == 2) {
      ++to_dead;
      auto copy =
          OnOpening(steering, MakeOpening(10 + i, 1), now + milliseconds(200));
      BOOST_TEST(copy.upstream != 2U);
      OnTagged(steering, opening.flow, copy.tag, 1, now + milliseconds(205));
    } else {
      OnTagged(steering, opening.flow, decision.tag, 1, now + milliseconds(5));
    }
    OnTick(steering, now);
    now += milliseconds(10);
  }
  BOOST_TEST(to_dead <= 8);
}

// Openings to an upstream whose process is not running are reset, so callers
// don't retransmit them. Only the missing next packet of the flow shows the
// failure.
BOOST_AUTO_TEST_CASE(AvoidsAnUpstreamThatResetsOpenings) {
  auto steering = MakeSteering();
  Instant now = kStart;
  int to_dead = 0;
  for (uint32_t i = 0; i < 400; ++i) {
    auto opening = MakeOpening(10 + i);
    auto decision = OnOpening(steering, opening, now);
    if (decision.upstream == 2) {
      ++to_dead;
    } else {
      OnTagged(steering, opening.flow, decision.tag, 1, now);
    }
    now += milliseconds(10);
    OnTick(steering, now);
  }
  BOOST_TEST(to_dead <= 40);  // An even share would be more than 110.
}

BOOST_AUTO_TEST_CASE(UsesAnUpstreamAgainAfterItAnswers) {
  auto steering = MakeSteering();
  Instant now = kStart;
  for (uint32_t i = 0; i < 30; ++i) {
    auto opening = MakeOpening(10 + i);
    auto decision = OnOpening(steering, opening, now);
    if (decision.upstream != 2) {
      OnTagged(steering, opening.flow, decision.tag, 1, now);
    }
    now += milliseconds(50);
    OnTick(steering, now);
  }
  for (auto end = now + kMaxAvoidDuration; now < end;
       now += milliseconds(100)) {
    OnTick(steering, now);
  }
  BOOST_TEST(OpenFlows(steering, 500, 120, now)[2] > 20);
}

// During a partition no upstream of the other failure domain answers. Guards
// against trying each of its upstreams until each is avoided on its own.
BOOST_AUTO_TEST_CASE(AvoidsAFailureDomainThatDoesNotAnswer) {
  auto steering = MakeSteering();
  auto view = MakeView(2);
  view.domains_out = {"north"};  // So that "south" is used.
  OnView(steering, view);
  for (directory::UpstreamId id = 7; id <= 9; ++id) {
    OnRecord(steering, 0, MakeRecord(id, "east"), kStart);
  }
  Instant now = kStart;
  int to_south = 0;
  for (uint32_t i = 0; i < 100; ++i) {
    auto opening = MakeOpening(10 + i);
    auto decision = OnOpening(steering, opening, now);
    if (decision.upstream <= 6) {
      ++to_south;
      auto copy =
          OnOpening(steering, MakeOpening(10 + i, 1), now + milliseconds(200));
      if (copy.upstream >= 7) {
        OnTagged(steering, opening.flow, copy.tag, 1, now + milliseconds(205));
      }
    } else {
      OnTagged(steering, opening.flow, decision.tag, 1, now);
    }
    now += milliseconds(4);
    OnTick(steering, now);
  }
  BOOST_TEST(to_south <= 12);
}

// The host's own domain is out of service, so half of the new flows go to a
// domain that is unreachable. As nothing is received from its control hosts
// either, one unanswered opening must suffice to avoid it.
BOOST_AUTO_TEST_CASE(AvoidsDomainWithoutControlAfterOneUnansweredOpening) {
  auto steering = MakeSteering();
  auto view = MakeView(2);
  view.domains_out = {"north"};
  OnView(steering, view);
  for (directory::UpstreamId id = 7; id <= 9; ++id) {
    OnRecord(steering, 0, MakeRecord(id, "east"), kStart);
  }
  steering.domains_without_control = {"south"};
  auto opening = MakeOpening(10);
  while (OnOpening(steering, opening, kStart).upstream >= 7) {
    ++opening.flow.caller.address;
  }
  opening.copy = 1;
  Instant now = kStart + milliseconds(200);
  BOOST_TEST(OnOpening(steering, opening, now).upstream >= 7U);
  auto counts = OpenFlows(steering, 300, 60, now);
  BOOST_TEST(counts[4] + counts[5] + counts[6] == 0);
}

BOOST_AUTO_TEST_CASE(CutOffHostUsesOnlyItsOwnDomainIfItCan) {
  auto steering = MakeSteering();
  BOOST_TEST(RemoteRequestFraction(steering, kStart) == 0);
  steering.is_cut_off = true;
  auto counts = OpenFlows(steering, 10, 200, kStart);
  BOOST_TEST(counts[4] + counts[5] + counts[6] == 0);
  BOOST_TEST(RemoteRequestFraction(steering, kStart) == 0);
  auto view = MakeView(2);
  view.domains_out = {"north"};
  OnView(steering, view);
  BOOST_TEST(RemoteRequestFraction(steering, kStart) == 1);
  // Without an upstream in its own domain, it uses the others.
  counts = OpenFlows(steering, 300, 50, kStart);
  BOOST_TEST(counts[4] + counts[5] + counts[6] == 50);
}

// Many hosts learn of a cold upstream at the same time, at a high rate of new
// flows. All hosts together must respect its limit in any interval of one
// second.
BOOST_AUTO_TEST_CASE(HostsTogetherRespectTheLimitOfAColdUpstream) {
  constexpr uint32_t kHosts = 9;
  constexpr double kLimit = 6;
  std::vector<TagSteering> hosts(kHosts);
  for (auto& steering : hosts) {
    steering = MakeSteering();
    auto view = MakeView(2);
    view.catalog.services[0].cold_flows_per_second = kLimit;
    OnView(steering, view);
    steering.entry_hosts = kHosts;
    auto cold = MakeRecord(8, "north");
    cold.cold_ms = 10'000;
    OnRecord(steering, 0, cold, kStart);
  }
  std::vector<Instant> sent;
  for (uint32_t step = 0; step < 1'000; ++step) {
    Instant now = kStart + milliseconds(10 * step);
    for (uint32_t i = 0; i < kHosts; ++i) {
      auto opening = MakeOpening(10'000 * i + step);
      auto decision = OnOpening(hosts[i], opening, now);
      OnTagged(hosts[i], opening.flow, decision.tag, 1, now);
      if (decision.upstream == 8) {
        sent.push_back(now);
      }
    }
  }
  BOOST_TEST(sent.size() > 30U);  // The cold upstream is used.
  for (auto first : sent) {
    auto in_second = std::count_if(sent.begin(), sent.end(), [&](Instant at) {
      return at >= first && at < first + std::chrono::seconds(1);
    });
    // Each host may have accumulated one token.
    BOOST_TEST(in_second <= static_cast<int>(kLimit * 1.5 + 5));
  }
}

BOOST_AUTO_TEST_CASE(HostWithoutEntryHostCountSendsNoFlowsToColdUpstreams) {
  auto steering = MakeSteering();
  auto view = MakeView(2);
  view.catalog.services[0].cold_flows_per_second = 100;
  OnView(steering, view);
  auto cold = MakeRecord(8, "north");
  cold.cold_ms = 10'000;
  OnRecord(steering, 0, cold, kStart);
  BOOST_TEST(OpenFlows(steering, 10, 100, kStart)[8] == 0);
}

// After a stall, old opening packets are queued in the process's socket and
// unread updates on its feed connections. Guards against placing flows by the
// old state.
BOOST_AUTO_TEST_CASE(StalledHostDropsOpeningsUntilItHasReadUpdates) {
  auto steering = MakeSteering();
  OnTick(steering, kStart);
  auto wake = kStart + milliseconds(3'500);
  auto old = OnOpening(steering, MakeOpening(1), wake);
  BOOST_CHECK(old.verdict == TagVerdict::kDrop);
  BOOST_CHECK(old.reason == TagReason::kStalled);
  OnTick(steering, wake);
  BOOST_CHECK(OnOpening(steering, MakeOpening(2), wake).reason ==
              TagReason::kStalled);
  // Open flows continue at once.
  auto open = OnTagged(steering, MakeOpening(3).flow, UpstreamTag(2), 1, wake);
  BOOST_CHECK(open.verdict == TagVerdict::kForward);
  OnTick(steering, wake + milliseconds(100));
  OnTick(steering, wake + kStallRecoveryTime);
  BOOST_CHECK(
      OnOpening(steering, MakeOpening(4), wake + kStallRecoveryTime).verdict ==
      TagVerdict::kForward);
}

BOOST_AUTO_TEST_CASE(CountsDecisionsAndAnswers) {
  auto steering = MakeSteering();
  OpenFlows(steering, 10, 4, kStart);
  const auto& counts = steering.counts;
  BOOST_TEST(counts.decisions[static_cast<size_t>(TagReason::kPlaced)] == 4U);
  BOOST_TEST(counts.decisions[static_cast<size_t>(TagReason::kByTag)] == 4U);
  BOOST_TEST(counts.answers[0] == 4U);
}

// An upstream may belong to another service after a restart.
BOOST_AUTO_TEST_CASE(UpstreamGetsOnlyFlowsOfItsLatestService) {
  auto steering = MakeSteering();
  auto moved = MakeRecord(1, "north");
  moved.service = "ledger";
  moved.born_ms = 50;
  OnRecord(steering, 0, moved, kStart);
  BOOST_TEST(OpenFlows(steering, 10, 100, kStart)[1] == 0);
  auto view = MakeView(2);
  view.catalog.listeners[0].targets = {{"ledger", 1}};
  OnView(steering, view);
  BOOST_TEST(OpenFlows(steering, 200, 100, kStart)[1] == 100);
}

BOOST_AUTO_TEST_CASE(RemovesUpstreamsThatLeftLongAgo) {
  auto steering = MakeSteering();
  auto gone = MakeRecord(2, "north");
  gone.phase = directory::Phase::kGone;
  gone.sequence = 3;
  OnRecord(steering, 0, gone, kStart);
  RemoveOldUpstreams(steering, kStart + directory::kRetentionTime);
  BOOST_TEST(steering.upstreams.size() == 5U);
  auto decision =
      OnTagged(steering, MakeOpening(1).flow, UpstreamTag(2), 1, kStart);
  BOOST_CHECK(decision.reason == TagReason::kUnknownTag);
}

namespace {

// Makes the service's response time high for long enough, with many requests
// in flight.
void OverloadService(TagSteering& steering) {
  auto& load = steering.services.begin()->second.load;
  load.response_seconds = 1;
  load.idle_response_seconds = 0.1;
  load.first_answer_at = kStart - 2 * kLearningTime;
  load.high_since = kStart - 2 * kOverloadDelay;
  load.in_flight = 1'000;
}

}  // namespace

// A new flow that can't be served in time is refused at once. A retransmission
// may belong to a flow that another host has forwarded: it must not be reset.
BOOST_AUTO_TEST_CASE(RefusesOnlyFirstOpeningsInAnOverload) {
  auto steering = MakeSteering();
  OverloadService(steering);
  auto refused = OnOpening(steering, MakeOpening(1), kStart);
  BOOST_TEST((refused.verdict == TagVerdict::kReset));
  BOOST_TEST((refused.reason == TagReason::kOverloaded));
  auto opening = MakeOpening(2);
  opening.copy = 1;
  auto placed = OnOpening(steering, opening, kStart);
  BOOST_TEST((placed.verdict == TagVerdict::kForward));
}

}  // namespace acaciahold::steering
