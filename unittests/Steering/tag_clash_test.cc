// Tests flows of two upstreams whose ids had the same tag when a tag was made
// of the id alone: each packet goes to the upstream of its flow, whichever of
// the two a host learned first, and whatever became of the other.

#include <deque>
#include <map>
#include <set>

#include <boost/test/unit_test.hpp>

#include "../check_property.h"
#include "clash_hosts.h"

namespace acaciahold::steering::clash {
namespace {

constexpr uint32_t kFlows = 200;

std::vector<directory::UpstreamId> UpstreamsOf(
    const std::vector<OpenFlow>& flows) {
  std::map<directory::UpstreamId, int> counts;
  for (const auto& it : flows) {
    ++counts[it.upstream];
  }
  std::vector<directory::UpstreamId> ids;
  for (const auto& [id, count] : counts) {
    ids.push_back(id);
  }
  return ids;
}

directory::Record Gone(directory::Record record) {
  record.phase = directory::Phase::kGone;
  return record;
}

}  // namespace

// Guards against review case 11: an upstream started, and all flows that were
// open at another service's upstream with the same tag were sent to it.
BOOST_AUTO_TEST_CASE(OpenFlowsStayWhenAnUpstreamOfAnotherServiceStarts) {
  auto host = MakeHost({Older()});
  auto flows = OpenFlows(host, kFeedListener, 1, kFlows);
  BOOST_REQUIRE(flows.size() == kFlows);
  OnRecord(host, 0, Newer("archive"), kStart);
  BOOST_TEST(CountKept(host, flows) == kFlows);
  auto restarted = MakeHost({Newer("archive"), Older()});
  BOOST_TEST(CountKept(restarted, flows) == kFlows);
}

// Guards against the same loss within one service, where the listener does not
// tell the upstreams apart.
BOOST_AUTO_TEST_CASE(OpenFlowsStayWhenAnUpstreamOfTheSameServiceStarts) {
  auto host = MakeHost({Older()});
  auto flows = OpenFlows(host, kFeedListener, 1, kFlows);
  OnRecord(host, 0, Newer("feed"), kStart);
  BOOST_TEST(CountKept(host, flows) == kFlows);
  auto restarted = MakeHost({Newer("feed"), Older()});
  BOOST_TEST(CountKept(restarted, flows) == kFlows);
}

// Guards against an upstream that no flow ever opens at, since the packets
// after its openings go to the other upstream with its tag.
BOOST_AUTO_TEST_CASE(BothUpstreamsOfAServiceAreServed) {
  auto host = MakeHost({Older(), Newer("feed")});
  auto flows = OpenFlows(host, kFeedListener, 1, kFlows);
  std::vector<directory::UpstreamId> both{kOlder, kNewer};
  BOOST_TEST(UpstreamsOf(flows) == both, boost::test_tools::per_element());
  BOOST_TEST(CountKept(host, flows) == kFlows);
  auto other_order = MakeHost({Newer("feed"), Older()});
  BOOST_TEST(CountKept(other_order, flows) == kFlows);
}

// Guards against losing the flows of a host that was cut off with one upstream
// and heard of the older one only after it had placed them.
BOOST_AUTO_TEST_CASE(OpenFlowsStayWhenTheOlderUpstreamIsLearnedLate) {
  for (const auto* service : {"feed", "archive"}) {
    auto here = MakeHost({Older()});
    auto there = MakeHost({Newer(service)});
    auto listener =
        service == Newer("feed").service ? kFeedListener : kArchiveListener;
    auto flows_here = OpenFlows(here, kFeedListener, 1, kFlows);
    auto flows_there = OpenFlows(there, listener, 1'000, kFlows);
    OnRecord(here, 0, Newer(service), kStart);
    OnRecord(there, 0, Older(), kStart);
    for (auto* host : {&here, &there}) {
      BOOST_TEST(CountKept(*host, flows_here) == kFlows);
      BOOST_TEST(CountKept(*host, flows_there) == kFlows);
    }
  }
}

// Guards against an index of tags that forgets a living upstream when the other
// one with its tag expires: its packets were then dropped for good.
BOOST_AUTO_TEST_CASE(OpenFlowsStayWhenTheOtherUpstreamExpires) {
  auto host = MakeHost({Older()});
  auto flows = OpenFlows(host, kFeedListener, 1, kFlows);
  OnRecord(host, 0, Newer("archive"), kStart);
  OnRecord(host, 0, Gone(Newer("archive")), kStart);
  RemoveOldUpstreams(host, kStart + directory::kRetentionTime);
  BOOST_TEST(!host.upstreams.contains(kNewer));
  BOOST_TEST(CountKept(host, flows) == kFlows);
}

// Guards against flows that are lost when an upstream starts again under its
// id and so becomes the newer one.
BOOST_AUTO_TEST_CASE(OpenFlowsStayWhenTheOtherUpstreamStartsAgain) {
  auto host = MakeHost({Older(), Newer("feed")});
  auto flows = OpenFlows(host, kFeedListener, 1, kFlows);
  auto again = Older();
  again.born_ms = kNewerBornMs + 1;
  again.endpoint.address += 5;
  OnRecord(host, 0, again, kStart);
  size_t kept = 0;
  size_t at_newer = 0;
  for (const auto& it : flows) {
    if (it.upstream == kNewer) {
      ++at_newer;
      kept += SendLater(host, it).upstream == kNewer ? 1 : 0;
    }
  }
  BOOST_TEST(at_newer > 0U);
  BOOST_TEST(kept == at_newer);
}

// Guards against an index that follows anything but the id: an upstream that
// changes its service, endpoint or failure domain, or comes back on another
// machine, keeps its flows and its place beside the other one.
BOOST_AUTO_TEST_CASE(OpenFlowsFollowAnUpstreamThatChangesUnderItsId) {
  auto host = MakeHost({Older(), Newer("feed")});
  auto flows = OpenFlows(host, kFeedListener, 1, kFlows);
  auto moved = Newer("archive");
  moved.sequence = 2;
  moved.endpoint.address += 5;
  moved.failure_domain = "south";
  OnRecord(host, 0, moved, kStart);
  BOOST_TEST(CountKept(host, flows) == kFlows);
  for (const auto& it : flows) {
    if (it.upstream == kNewer) {
      BOOST_CHECK(SendLater(host, it).endpoint == moved.endpoint);
    }
  }
}

// Guards against load, signs of life and answers that are counted for the other
// upstream with the tag.
BOOST_AUTO_TEST_CASE(RequestsAreCountedForTheUpstreamOfTheirFlow) {
  auto host = MakeHost({Older()});
  auto flows = OpenFlows(host, kFeedListener, 1, 20);
  OnRecord(host, 0, Newer("archive"), kStart);
  for (const auto& it : flows) {
    OnProgress(host, it.flow, it.tag, {100, 50, true, false}, kStart);
    SendLater(host, it);
  }
  const auto& older = host.upstreams.at(kOlder);
  const auto& newer = host.upstreams.at(kNewer);
  BOOST_TEST(LoadAt(older.candidate.load, kStart) > 0);
  BOOST_TEST(LoadAt(newer.candidate.load, kStart) == 0);
  BOOST_CHECK(older.sight.alive_at == kStart);
  BOOST_CHECK(newer.sight.alive_at == Instant());
}

// Guards against leaving out both upstreams with a tag, or the wrong one, when
// one of them does not answer an opening.
BOOST_AUTO_TEST_CASE(RetransmittedOpeningGoesToTheOtherUpstream) {
  auto host = MakeHost({Older(), Newer("feed")});
  for (uint32_t caller = 1; caller <= 20; ++caller) {
    auto flow = MakeFlow(caller, kFeedListener);
    auto first = OnOpening(host, {flow, 77, 0}, kStart);
    auto second = OnOpening(host, {flow, 77, 1}, kStart + kAnswerTimeout);
    BOOST_CHECK(second.verdict == TagVerdict::kForward);
    BOOST_TEST(second.upstream != first.upstream);
  }
}

namespace {

// Three hosts, two upstreams, and the flows that are open at them.
struct Model {
  explicit Model(bool same_service, directory::UpstreamId second = kNewer)
      : records{Older(), MakeRecord(second,
                                    same_service ? "feed" : "archive",
                                    kNewerBornMs)} {
    for (int i = 0; i < 3; ++i) {
      hosts.emplace_back(MakeHost({}));
    }
  }

  // Removes the upstream everywhere; its flows end.
  void Expire(size_t upstream) {
    for (auto& host : hosts) {
      if (host.upstreams.contains(records[upstream].id)) {
        OnRecord(host, 0, Gone(records[upstream]), kStart);
        RemoveOldUpstreams(host, kStart + directory::kRetentionTime);
      }
    }
    EndFlows(upstream);
    records[upstream].born_ms += kNewerBornMs;
  }

  void EndFlows(size_t upstream) {
    std::erase_if(flows, [&](const auto& it) {
      return it.upstream == records[upstream].id;
    });
  }

  // Starts the upstream again under its id; one host knows it so far.
  void StartAgain(size_t upstream, TagSteering& host) {
    EndFlows(upstream);
    records[upstream].born_ms += 1;
    OnRecord(host, 0, records[upstream], kStart);
  }

  bool KnowsBoth(const TagSteering& host) const {
    return host.upstreams.contains(records[0].id) &&
           host.upstreams.contains(records[1].id);
  }

  virtual void Open(TagSteering& host, Endpoint listener) {
    for (const auto& it : OpenFlows(host, listener, next_caller, 5)) {
      flows.push_back(it);
    }
    next_caller += 5;
  }

  void Step(int action, size_t at, size_t upstream) {
    auto& host = hosts[at];
    switch (action) {
      case 0:
      case 1:
        OnRecord(host, 0, records[upstream], kStart);
        break;
      case 2:
        Open(host, kFeedListener);
        break;
      case 3:
        Open(host, kArchiveListener);
        break;
      case 4:
        host = MakeHost({});
        break;
      case 5:
        StartAgain(upstream, host);
        break;
      case 6:
        Expire(upstream);
        break;
      default:
        OnRecord(host, 0, Gone(records[upstream]), kStart);
        EndFlows(upstream);
        break;
    }
  }

  // Whether a host that knows the flow's upstream sends its packets there, and
  // another host sends them to none.
  virtual bool IsKept(TagSteering& host, const OpenFlow& open) {
    auto decision = SendLater(host, open);
    if (!host.upstreams.contains(open.upstream)) {
      return decision.verdict == TagVerdict::kDrop;
    }
    return decision.verdict == TagVerdict::kForward &&
           decision.upstream == open.upstream;
  }

  bool AreFlowsKept() {
    for (auto& host : hosts) {
      for (const auto& it : flows) {
        if (!IsKept(host, it)) {
          return false;
        }
      }
    }
    return true;
  }

  std::vector<directory::Record> records;
  std::deque<TagSteering> hosts;  // Does not copy them, as a vector may.
  std::vector<OpenFlow> flows;
  uint32_t next_caller = 1;
};

// Callers of flows for which the first tag of both upstreams is the same.
struct ClashingCallers {
  ClashingCallers() : second(FindInSameBucket()) {
    for (auto listener : {kFeedListener, kArchiveListener}) {
      auto& found = callers[PackEndpoint(listener)];
      while (found.size() < kCallers) {
        uint32_t first = found.empty() ? 1 : found.back() + 1;
        found.push_back(FindClashingCaller(kOlder, second, listener, first));
      }
    }
  }

  static constexpr size_t kCallers = 8;
  directory::UpstreamId second;
  std::map<uint64_t, std::vector<uint32_t>> callers;  // By listener.
};

// All flows have a tag that both upstreams have, unless the host that placed
// them knew both.
struct ClashModel : Model {
  ClashModel(bool same_service, const ClashingCallers& clashing)
      : Model(same_service, clashing.second), callers(clashing.callers) {}

  void Open(TagSteering& host, Endpoint listener) override {
    auto& unused = callers.at(PackEndpoint(listener));
    if (unused.empty()) {
      return;
    }
    for (const auto& it : OpenFlows(host, listener, unused.back(), 1)) {
      flows.push_back(it);
      if (KnowsBoth(host)) {
        distinct.insert(it.tag);
      }
      unused.pop_back();
    }
  }

  bool IsKept(TagSteering& host, const OpenFlow& open) override {
    if (distinct.contains(open.tag)) {
      return Model::IsKept(host, open);
    }
    if (KnowsBoth(host)) {
      return SendLater(host, open).reason == TagReason::kAmbiguousTag;
    }
    // A host that knows only the other one can't tell; see flow-tags.md.
    return !host.upstreams.contains(open.upstream) || Model::IsKept(host, open);
  }

  std::map<uint64_t, std::vector<uint32_t>> callers;
  std::set<Tag> distinct;  // Of flows placed by hosts that knew both.
};

template <typename MakeModel>
void CheckEveryOrder(const MakeModel& make_model) {
  CheckProperty(11, 300, [&](const std::vector<uint16_t>& steps) {
    auto model = make_model();
    for (auto step : steps) {
      model.Step(step % 8, step / 8 % 3, step / 24 % 2);
      RC_ASSERT(model.AreFlowsKept());
    }
  });
}

}  // namespace

// Guards against flows that depend on the order in which hosts hear of two
// upstreams with the same tag, place flows on them, lose, forget and regain
// them, and start again.
BOOST_AUTO_TEST_CASE(FlowsOfOneServiceStayInEveryOrder) {
  CheckEveryOrder([] { return Model(true); });
}

BOOST_AUTO_TEST_CASE(FlowsOfTwoServicesStayInEveryOrder) {
  CheckEveryOrder([] { return Model(false); });
}

// Guards against the same with flows for which two upstreams have the same flow
// tag: hosts that know both give them another, and send what was placed without
// that knowledge to neither, in whichever order they learned them.
BOOST_AUTO_TEST_CASE(FlowsWithAFlowTagOfBothGoToNoOtherUpstreamInEveryOrder) {
  ClashingCallers clashing;
  for (bool same_service : {true, false}) {
    CheckEveryOrder([&] { return ClashModel(same_service, clashing); });
  }
}

}  // namespace acaciahold::steering::clash
