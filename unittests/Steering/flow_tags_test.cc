// Tests flow tags with ids that are made to clash under the function that
// computes them, and their use beside hosts of an earlier version.

#include "acaciahold/Steering/flow_tags.h"

#include <algorithm>

#include <boost/test/unit_test.hpp>

#include "../check_property.h"
#include "clash_hosts.h"

namespace acaciahold::steering::clash {
namespace {

// For the flow of kClashCaller to kFeedListener, each of them has a tag that
// kOlder has too; together they have all tags of kOlder.
constexpr directory::UpstreamId kClashing[] = {0x2'0291'48b9, 0x2'4465'1cc0,
                                               0x2'0374'e23e};
constexpr uint32_t kClashCaller = 1;

// Whether each of the hosts sends a later packet of the flow to its upstream.
bool IsKeptBy(std::initializer_list<TagSteering*> hosts, const OpenFlow& open) {
  return std::all_of(hosts.begin(), hosts.end(), [&](auto* host) {
    auto decision = SendLater(*host, open);
    return decision.verdict == TagVerdict::kForward &&
           decision.upstream == open.upstream;
  });
}

OpenFlow Open(TagSteering& host, uint32_t caller, Endpoint listener) {
  auto flows = OpenFlows(host, listener, caller, 1);
  BOOST_REQUIRE(flows.size() == 1U);
  return flows.front();
}

}  // namespace

// Hosts on other machines and of other versions compute the same tags.
BOOST_AUTO_TEST_CASE(TagsAreTheSameOnAllMachines) {
  auto hash = HashOf(MakeFlow(kClashCaller, kFeedListener));
  BOOST_TEST(TagBucket(kOlder) == TagBucket(kClashing[0]));
  BOOST_TEST(FlowTag(kOlder, hash, 0) == FlowTag(kClashing[0], hash, 1));
  BOOST_TEST(FlowTag(kOlder, hash, 1) == FlowTag(kClashing[1], hash, 1));
  BOOST_TEST(FlowTag(kOlder, hash, 2) == FlowTag(kClashing[2], hash, 0));
  BOOST_TEST(UpstreamTag(kOlder) == 5U);
  BOOST_TEST(UpstreamTag(0) == 1U);
}

// Guards against ids that share all their tags: whatever two ids are, few flows
// have the same tag at both.
BOOST_AUTO_TEST_CASE(TwoUpstreamsOfABucketShareFewTags) {
  auto other = FindInSameBucket();
  uint32_t shared = 0;
  for (uint32_t caller = 1; caller <= 100'000; ++caller) {
    auto hash = HashOf(MakeFlow(caller, kFeedListener));
    shared += FlowTag(kOlder, hash, 0) == FlowTag(other, hash, 0) ? 1 : 0;
  }
  BOOST_TEST(shared <= 3U);  // 0.1 expected.
}

// Guards against an upstream that stays in the index after it was removed, or
// that another one with the same tag takes along.
BOOST_AUTO_TEST_CASE(IndexHoldsWhatWasAddedAndNotRemoved) {
  CheckProperty(5, 200, [](const std::vector<uint8_t>& steps) {
    auto index = MakeTagIndex();
    std::map<directory::UpstreamId, TagUpstream> held;
    for (auto step : steps) {
      directory::UpstreamId half = step % 4;
      directory::UpstreamId id = (half << 32U) | (half ^ (step / 4 % 3));
      if (held.contains(id)) {
        RemoveFromIndex(index, id);
        held.erase(id);
      } else {
        AddToIndex(index, id, held[id]);
      }
      size_t listed = 0;
      for (const auto& [tag, elements] : index.by_upstream_tag) {
        RC_ASSERT(!elements.empty());
        listed += elements.size();
      }
      RC_ASSERT(listed == held.size());
      for (auto& [known, upstream] : held) {
        std::vector<TagHolder> holders;
        FindHolders(index, FlowTag(known, 9, 2), 9, holders);
        RC_ASSERT(holders.size() == 1U);
        RC_ASSERT(holders[0].upstream == &upstream);
      }
    }
  });
}

// Guards against an ambiguous tag although the upstream has another: hosts that
// know both give the flow a tag that only one of them has, in whichever order
// they learned them.
BOOST_AUTO_TEST_CASE(NewFlowGetsATagThatOnlyItsUpstreamHas) {
  auto other = FindInSameBucket();
  for (const auto* service : {"feed", "archive"}) {
    auto second = MakeRecord(other, service, kNewerBornMs);
    auto caller = FindClashingCaller(kOlder, other, kFeedListener);
    auto host = MakeHost({Older(), second});
    auto reverse = MakeHost({second, Older()});
    for (auto* placer : {&host, &reverse}) {
      auto open = Open(*placer, caller, kFeedListener);
      BOOST_TEST(placer->counts.clashes_avoided == 1U);
      BOOST_TEST(IsKeptBy({&host, &reverse}, open));
    }
  }
}

// Guards against a flow that goes to the wrong upstream since the host that
// placed it did not know the other one with its tag. Nothing shows to which of
// the two it belongs, so that its packets are dropped.
BOOST_AUTO_TEST_CASE(FlowWithAnAmbiguousTagIsSentToNoUpstream) {
  auto other = FindInSameBucket();
  for (const auto* service : {"feed", "archive"}) {
    auto second = MakeRecord(other, service, kNewerBornMs);
    auto caller = FindClashingCaller(kOlder, other, kFeedListener);
    auto host = MakeHost({Older()});
    auto open = Open(host, caller, kFeedListener);
    BOOST_TEST(IsKeptBy({&host}, open));
    auto neighbor = Open(host, caller + 1, kFeedListener);
    OnRecord(host, 0, second, kStart);
    auto restarted = MakeHost({second, Older()});
    for (auto* it : {&host, &restarted}) {
      auto decision = SendLater(*it, open);
      BOOST_CHECK(decision.verdict == TagVerdict::kDrop);
      BOOST_CHECK(decision.reason == TagReason::kAmbiguousTag);
      BOOST_TEST(it->counts.ambiguous == 1U);
    }
    BOOST_TEST(IsKeptBy({&host, &restarted}, neighbor));
  }
}

// Each clash is reported once, with both ids.
BOOST_AUTO_TEST_CASE(AmbiguousTagIsReportedOnce) {
  auto other = FindInSameBucket();
  auto host = MakeHost({Older()});
  auto caller = FindClashingCaller(kOlder, other, kFeedListener);
  auto open = Open(host, caller, kFeedListener);
  OnRecord(host, 0, MakeRecord(other, "feed", kNewerBornMs), kStart);
  auto clash = SendLater(host, open).clash;
  BOOST_REQUIRE(clash.has_value());
  BOOST_TEST(clash->first == kOlder);
  BOOST_TEST(clash->second == other);
  BOOST_TEST(!SendLater(host, open).clash.has_value());
  BOOST_TEST(host.counts.ambiguous == 2U);
}

// A new flow needs no ambiguous tag while another upstream of the service has a
// tag of its own for it.
BOOST_AUTO_TEST_CASE(NewFlowGoesToAnUpstreamThatHasATagOfItsOwn) {
  auto host = MakeHost({Older(), MakeRecord(kNewer, "feed", kNewerBornMs)});
  for (auto id : kClashing) {
    OnRecord(host, 0, MakeRecord(id, "archive", kNewerBornMs), kStart);
  }
  for (int i = 0; i < 20; ++i) {
    auto flow = MakeFlow(kClashCaller, kFeedListener);
    auto decision = OnOpening(host, {flow, 77U + i, 0}, kStart);
    BOOST_TEST(decision.upstream == kNewer);
  }
  BOOST_TEST(host.counts.clashes_refused == 0U);
}

// Guards against a flow that opens although its later packets will be dropped.
// A service whose only upstream has no tag of its own for one flow is served by
// all others.
BOOST_AUTO_TEST_CASE(FlowWithoutAnyTagOfItsOwnIsRefusedAtOnce) {
  auto host = MakeHost({Older()});
  for (auto id : kClashing) {
    OnRecord(host, 0, MakeRecord(id, "archive", kNewerBornMs), kStart);
  }
  auto flow = MakeFlow(kClashCaller, kFeedListener);
  auto first = OnOpening(host, {flow, 77, 0}, kStart);
  BOOST_CHECK(first.verdict == TagVerdict::kReset);
  BOOST_CHECK(first.reason == TagReason::kAmbiguousTag);
  // Another host may have placed the flow.
  auto copy = OnOpening(host, {flow, 77, 1}, kStart);
  BOOST_CHECK(copy.verdict == TagVerdict::kDrop);
  BOOST_TEST(host.counts.clashes_refused == 2U);
  auto others = OpenFlows(host, kFeedListener, kClashCaller + 1, 100);
  BOOST_TEST(CountKept(host, others) == 100U);
}

// Guards against losing the flows that hosts of an earlier version have placed
// and place while the hosts are restarted one by one.
BOOST_AUTO_TEST_CASE(FlowsPlacedByAnEarlierVersionKeepTheirUpstream) {
  auto host = MakeHost({Older(), MakeRecord(3, "feed", kNewerBornMs)});
  auto flow = MakeFlow(1, kFeedListener);
  BOOST_TEST(IsKeptBy({&host}, {flow, UpstreamTag(kOlder), kOlder}));
  BOOST_TEST(IsKeptBy({&host}, {flow, UpstreamTag(3), 3}));
}

// Guards against new flows that hosts of an earlier version can't forward.
BOOST_AUTO_TEST_CASE(TagsBesideAnEarlierVersionAreThoseThatItUnderstands) {
  auto host = MakeHost({Older()});
  host.writes_flow_tags = false;
  BOOST_TEST(Open(host, 1, kFeedListener).tag == UpstreamTag(kOlder));
  // The tag is in use now, and must not be given to flows of another upstream.
  OnRecord(host, 0, Newer("archive"), kStart);
  auto open = Open(host, 2, kArchiveListener);
  BOOST_TEST(open.tag != UpstreamTag(kNewer));
  BOOST_TEST(IsKeptBy({&host}, open));
}

// Guards against losing all flows that an earlier version placed, when an
// upstream with the same tag starts.
BOOST_AUTO_TEST_CASE(FlowsOfAnEarlierVersionStayWhenTheirTagIsNoLongerUnique) {
  for (const auto* service : {"feed", "archive"}) {
    OpenFlow open{MakeFlow(1, kFeedListener), UpstreamTag(kOlder), kOlder};
    auto host = MakeHost({Older(), Newer(service)});
    auto reverse = MakeHost({Newer(service), Older()});
    BOOST_TEST(IsKeptBy({&host, &reverse}, open));
  }
  // The listener tells upstreams of two services apart.
  OpenFlow open{MakeFlow(1, kArchiveListener), UpstreamTag(kNewer), kNewer};
  auto host = MakeHost({Older(), Newer("archive")});
  BOOST_TEST(IsKeptBy({&host}, open));
}

// Guards against dropping a flow that an earlier version placed, since its tag
// is also a flow tag of another upstream, for which no such host would use it.
BOOST_AUTO_TEST_CASE(FlowsOfAnEarlierVersionStayIfTheirTagIsAFlowTagToo) {
  auto flow = MakeFlow(kClashCaller, kFeedListener);
  auto tag = FlowTag(kNewer, HashOf(flow), 0);
  directory::UpstreamId former = tag;
  BOOST_REQUIRE(UpstreamTag(former) == tag);
  for (const auto* service : {"feed", "archive"}) {
    for (auto born_ms : {kOlderBornMs, 2 * kNewerBornMs}) {
      auto record = MakeRecord(former, "feed", born_ms);
      auto host = MakeHost({record, Newer(service)});
      auto reverse = MakeHost({Newer(service), record});
      for (auto* it : {&host, &reverse}) {
        it->writes_flow_tags = false;
        BOOST_TEST(IsKeptBy({it}, {flow, tag, former}));
        // Later it may be either's.
        it->writes_flow_tags = true;
        auto decision = SendLater(*it, {flow, tag, former});
        BOOST_CHECK(decision.reason == TagReason::kAmbiguousTag);
      }
    }
  }
}

// Guards against sending flows to an upstream that has left, or of which only
// the departure is known, while another one with their tag lives.
BOOST_AUTO_TEST_CASE(FlowsOfAnEarlierVersionAreNotSentToAnUpstreamThatLeft) {
  auto gone = Older();
  gone.phase = directory::Phase::kGone;
  directory::Record departure;
  departure.id = kOlder;
  departure.phase = directory::Phase::kGone;
  OpenFlow open{MakeFlow(1, kFeedListener), UpstreamTag(kNewer), kNewer};
  for (const auto& left : {gone, departure}) {
    auto host = MakeHost({Newer("feed"), left});
    BOOST_TEST(IsKeptBy({&host}, open));
  }
}

// Clocks of machines differ: which of two upstreams of a service started first
// can't be told if they started at about the same time.
BOOST_AUTO_TEST_CASE(FlowsOfAnEarlierVersionAreDroppedIfTheStartsAreClose) {
  auto close = MakeRecord(kNewer, "feed", kOlderBornMs + 1'000);
  auto host = MakeHost({Older(), close});
  OpenFlow open{MakeFlow(1, kFeedListener), UpstreamTag(kOlder), kOlder};
  BOOST_CHECK(SendLater(host, open).reason == TagReason::kAmbiguousTag);
}

}  // namespace acaciahold::steering::clash
