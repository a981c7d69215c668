// Tests which evidence resets an open flow, and that no false alarm does.

#include "acaciahold/Steering/stranded_flow.h"

#include <boost/test/unit_test.hpp>

#include "acaciahold/Steering/fitness.h"
#include "stranded_host.h"

namespace acaciahold::steering {
namespace {

// The own domain's control hosts are heard, those of the other are not, and
// requests at both its upstreams are overdue.
void LoseDomain(Host& host) {
  host.steering.domains_without_control = {"south"};
  for (uint32_t caller = 10; caller < 14; ++caller) {
    host.LeaveOverdue(caller, caller % 2 == 0 ? kRemote : kOtherRemote);
  }
}

// All hosts together see this demand for the eight slots of the service.
void SetDemand(Host& host, double slots) {
  load::LoadDigest digest;
  digest.reporters = 10;
  digest.services.push_back({"orders", {{"north", slots, 8}}, false, {}});
  ApplyDigest(host.steering, digest, host.now);
}

StrandedCause LastCause(const Host& host) {
  return host.steering.last_stranding.cause;
}

}  // namespace

// Guards against callers that wait for a dead upstream until they give up,
// although the hosts know of it.
BOOST_AUTO_TEST_CASE(ResetsAFlowOfADarkUpstreamAfterItsOwnRetransmissions) {
  auto host = MakeHost();
  MakeDark(host);
  BOOST_TEST(host.TryAll(1, kOwn) == 3);
  BOOST_CHECK(LastCause(host) == StrandedCause::kDark);
  BOOST_TEST(host.steering.last_stranding.evidence.retransmissions == 2U);
  BOOST_TEST(host.TryAll(2, kOwn) == 2);  // After one overdue request.
}

// The caller can still meet its objective if it is reset at once, which needs
// fresh evidence of this host, as the upstream may have come back.
BOOST_AUTO_TEST_CASE(ResetsANewRequestOnADarkUpstreamOnlyOnFreshEvidence) {
  auto host = MakeHost();
  host.LeaveOverdue(1, kOwn);
  host.LeaveOverdue(2, kOwn);
  MakeDark(host);
  BOOST_TEST(host.IsReset(3, kOwn));
  host.Wait(seconds(3));
  BOOST_TEST(!host.IsReset(4, kOwn));
}

// Without a digest, a request in flight at an upstream that is slow for the
// first time looks much like it, so more is needed.
BOOST_AUTO_TEST_CASE(ResetsAFlowOfASuspectedUpstreamAfterItsThirdRepeat) {
  for (const auto& fault :
       {Fault(MakeSuspected), Fault(MakeSilent), Fault(MakeGone)}) {
    auto host = MakeHost();
    fault(host);
    BOOST_TEST(host.TryAll(1, kOwn) == 0);  // Alone.
    BOOST_TEST(host.TryAll(2, kOwn) == 4);  // With another overdue request.
  }
}

// Guards against callers that wait until they give up although the hosts
// suspect the upstream and no queue explains that it does not answer.
BOOST_AUTO_TEST_CASE(WhileThereIsRoomTheSecondRepeatIsEnough) {
  for (const auto& fault :
       {Fault(MakeSuspected), Fault(MakeSilent), Fault(MakeGone)}) {
    auto host = MakeHost();
    fault(host);
    SetDemand(host, 1);
    BOOST_TEST(host.TryAll(1, kOwn) == 3);
  }
}

// In full queues an upstream that lives may answer after the second repeat.
BOOST_AUTO_TEST_CASE(WithoutRoomASuspicionNeedsMore) {
  auto host = MakeHost();
  MakeSuspected(host);
  SetDemand(host, 7);
  BOOST_TEST(host.TryAll(1, kOwn) == 0);
  BOOST_TEST(host.TryAll(2, kOwn) == 4);
}

// Guards against taking a service whose work is not known for an idle one.
BOOST_AUTO_TEST_CASE(UnknownDemandIsNoRoom) {
  auto host = MakeHost();
  MakeSuspected(host);
  SetDemand(host, 0);
  BOOST_TEST(host.TryAll(1, kOwn) == 0);
}

// While hosts restart, the copies of one request reach different hosts. Guards
// against a host that takes the second retransmission for the first.
BOOST_AUTO_TEST_CASE(TellsTheNumberOfARetransmissionByItsGap) {
  auto host = MakeHost();
  MakeSuspected(host);
  SetDemand(host, 1);
  host.Wait(milliseconds(300));
  BOOST_TEST(!host.IsReset(1, kOwn));  // The first retransmission.
  host.Wait(milliseconds(400));
  BOOST_TEST(host.IsReset(1, kOwn));
  BOOST_TEST(host.steering.last_stranding.evidence.retransmissions == 2U);
}

// Guards against callers of a domain that is cut off, which hear of no demand.
BOOST_AUTO_TEST_CASE(WhileThereWasRoomADomainIsSoonOutOfReach) {
  auto host = MakeHost();
  SetDemand(host, 1);
  host.steering.domains_without_control = {"south"};
  host.LeaveOverdue(10, kRemote);
  host.LeaveOverdue(11, kOtherRemote);
  BOOST_TEST(host.TryAll(1, kRemote) == 3);
  BOOST_CHECK(LastCause(host) == StrandedCause::kOutOfReach);
}

// Guards against room that an old digest showed, or that digests disagree on.
BOOST_AUTO_TEST_CASE(RoomEndsWithTheDigestOrWithDisagreement) {
  auto late = MakeHost();
  SetDemand(late, 1);
  late.Wait(load::kMaxAge);
  late.Answer(kOwn);
  MakeSuspected(late);
  late.Wait(milliseconds(100));
  BOOST_TEST(late.TryAll(1, kOwn) == 0);
  auto contradicted = MakeHost();
  SetDemand(contradicted, 1);
  load::LoadDigest none_agreed;
  none_agreed.reporters = 10;
  ApplyDigest(contradicted.steering, none_agreed, contradicted.now);
  MakeSuspected(contradicted);
  BOOST_TEST(contradicted.TryAll(1, kOwn) == 0);
}

// Hosts of an earlier version don't report, and 0 means that the number is not
// known. Guards against counting on the room that their callers take.
BOOST_AUTO_TEST_CASE(HostsThatDoNotReportTakeUpRoomToo) {
  for (uint32_t entry_hosts : {0U, 10U, 18U}) {
    auto host = MakeHost();
    host.steering.entry_hosts = entry_hosts;
    SetDemand(host, 4);
    MakeSuspected(host);
    BOOST_TEST(host.TryAll(1, kOwn) == (entry_hosts == 10 ? 3 : 0));
  }
}

// What the hosts know may change long before the caller retransmits again.
// Guards against a caller that gives up before that.
BOOST_AUTO_TEST_CASE(ResetsAFlowBetweenTwoRetransmissions) {
  auto host = MakeHost();
  host.LeaveOverdue(1, kOwn);
  BOOST_TEST(TakeStrandedFlows(host.steering, host.now).empty());
  MakeDark(host);
  host.Wait(milliseconds(100));
  auto stranded = TakeStrandedFlows(host.steering, host.now);
  BOOST_REQUIRE(stranded.size() == 1U);
  BOOST_TEST(stranded[0].flow.caller.address == 1U);
  BOOST_TEST(stranded[0].acknowledged == 50U);
  BOOST_CHECK(stranded[0].why.cause == StrandedCause::kDark);
  BOOST_TEST(TakeStrandedFlows(host.steering, host.now).empty());
}

// Guards against a reset that comes after the answer, or on a route whose
// requests may run at most once.
BOOST_AUTO_TEST_CASE(ResetsNoFlowBetweenRetransmissionsThatWasAnswered) {
  auto host = MakeHost();
  host.LeaveOverdue(1, kOwn);
  host.Send(1, kOwn, {120, 90, false, false});
  MakeDark(host);
  BOOST_TEST(TakeStrandedFlows(host.steering, host.now).empty());
  auto once = MakeHost(Repetition::kAtMostOnce);
  once.LeaveOverdue(1, kOwn);
  MakeDark(once);
  BOOST_TEST(TakeStrandedFlows(once.steering, once.now).empty());
}

// Guards against waiting callers whose flows lead to a domain that is cut off.
BOOST_AUTO_TEST_CASE(ResetsFlowsToADomainThatIsOutOfReach) {
  auto host = MakeHost();
  LoseDomain(host);
  BOOST_TEST(host.TryAll(1, kRemote) == 3);
  BOOST_CHECK(LastCause(host) == StrandedCause::kOutOfReach);
}

// The control hosts of a domain may be lost while its upstreams serve.
BOOST_AUTO_TEST_CASE(ResetsNoFlowToADomainThatAnswersWithoutControlHosts) {
  auto host = MakeHost();
  LoseDomain(host);
  host.Send(20, kOtherRemote, {100, 50, true, false});
  host.Send(20, kOtherRemote, {120, 90, false, false});
  BOOST_TEST(host.TryAll(1, kRemote) == 0);
}

// One upstream that does not answer is not a domain.
BOOST_AUTO_TEST_CASE(ResetsNoFlowToADomainOfWhichOneUpstreamIsOverdue) {
  auto host = MakeHost();
  host.steering.domains_without_control = {"south"};
  for (uint32_t caller = 10; caller < 16; ++caller) {
    host.LeaveOverdue(caller, kRemote);
  }
  BOOST_TEST(host.TryAll(1, kRemote) == 0);
}

// A request that may run only once gains nothing from a reset, and a missing
// term means as before.
BOOST_AUTO_TEST_CASE(NeverResetsAFlowWhoseRequestsMayNotBeRepeated) {
  for (auto it : {Repetition::kAtMostOnce, Repetition::kUnknown}) {
    for (const auto& fault : kFaults) {
      auto host = MakeHost(it);
      host.LeaveOverdue(1, kOwn);
      host.LeaveOverdue(2, kOwn);
      fault(host);
      BOOST_TEST(host.TryAll(3, kOwn) == 0);
    }
    auto host = MakeHost(it);
    LoseDomain(host);
    BOOST_TEST(host.TryAll(1, kRemote) == 0);
  }
}

// Without other evidence a retransmitted request shows only loss or load.
BOOST_AUTO_TEST_CASE(NeverResetsOnTheFlowsOwnRetransmissionsAlone) {
  auto host = MakeHost();
  for (uint32_t caller = 1; caller < 30; ++caller) {
    BOOST_TEST(host.TryAll(caller, kOwn) == 0);
  }
}

// Guards against wrong reports: an upstream that answers others lives.
BOOST_AUTO_TEST_CASE(NeverResetsAFlowWhoseUpstreamAnswersThisHost) {
  for (const auto& fault : kFaults) {
    auto host = MakeHost();
    fault(host);
    host.IsReset(1, kOwn);
    for (int pause : {200, 400, 800}) {
      host.Wait(milliseconds(pause - 20));
      host.IsReset(2, kOwn);
      host.Wait(milliseconds(20));
      host.Send(2, kOwn,
                {120, 50 + static_cast<uint32_t>(pause), false, false});
      BOOST_TEST(!host.IsReset(1, kOwn));
    }
  }
}

// Callers acknowledge short answers late. That a request is not retransmitted
// shows that it was answered.
BOOST_AUTO_TEST_CASE(TakesARequestThatIsNotRetransmittedAsAnswered) {
  auto host = MakeHost();
  MakeDark(host);
  host.Send(2, kOwn, {80, 20, true, false});
  host.Send(2, kOwn, {90, 30, false, false});
  host.Wait(milliseconds(20));
  TakeLoadReport(host.steering);
  BOOST_TEST(!host.IsReset(1, kOwn));
  BOOST_TEST(!host.IsReset(2, kOwn));  // Sent at the same time.
  host.Wait(milliseconds(200));
  BOOST_TEST(!host.IsReset(1, kOwn));
  host.Wait(milliseconds(400));
  BOOST_TEST(!host.IsReset(1, kOwn));
  auto report = TakeLoadReport(host.steering);
  BOOST_TEST(report.responses.at(0).upstream == kOwn);
  BOOST_TEST(report.responses.at(0).answered == 1U);
  host.Send(2, kOwn, {120, 90, true, false});
  BOOST_TEST(TakeLoadReport(host.steering).responses.size() == 1U);
}

// The retransmissions of the request before say nothing about the next one.
BOOST_AUTO_TEST_CASE(CountsNoRetransmissionsOfAnEarlierRequest) {
  auto host = MakeHost();
  host.LeaveOverdue(2, kOwn);
  MakeDark(host);
  host.Send(1, kOwn, {100, 50, true, false});
  host.Wait(milliseconds(150));
  host.Send(1, kOwn, {100, 50, true, false});
  auto next = host.Send(1, kOwn, {120, 90, true, false});
  BOOST_CHECK(next.verdict == TagVerdict::kForward);
}

// The first packet of a long request is retransmitted, not the last one.
BOOST_AUTO_TEST_CASE(PresumesNoAnswerToARequestOfSeveralPackets) {
  auto host = MakeHost();
  for (auto pause : {200, 400, 800}) {
    host.Send(1, kOwn, {100, 50, true, false});
    host.Send(1, kOwn, {101, 50, true, false});
    host.Wait(milliseconds(pause));
  }
  auto report = TakeLoadReport(host.steering);
  BOOST_TEST(report.responses.size() == 1U);  // Of upstream 2.
}

// If nothing answers this host, its own link is the cause.
BOOST_AUTO_TEST_CASE(NeverResetsWhileNothingAnswersThisHost) {
  for (const auto& fault : kFaults) {
    auto host = MakeHost();
    host.has_answers = false;
    host.LeaveOverdue(1, kOwn);
    host.LeaveOverdue(2, kOwn);
    fault(host);
    BOOST_TEST(host.TryAll(3, kOwn) == 0);
  }
}

// A host without a feed does not know whether the upstream has come back.
BOOST_AUTO_TEST_CASE(NeverResetsWithoutAFeed) {
  auto host = MakeHost();
  host.steering.hears_feed = false;
  MakeDark(host);
  BOOST_TEST(host.TryAll(1, kOwn) == 0);
}

BOOST_AUTO_TEST_CASE(ResetsNothingWithinTheFirstSeconds) {
  for (const auto& fault : kFaults) {
    Host host;
    fault(host);
    host.Wait(milliseconds(500));
    BOOST_TEST(host.TryAll(1, kOwn) == 0);
  }
}

// A frozen host reads the packets of some seconds at once: the retransmissions
// and the answers seem to be simultaneous.
BOOST_AUTO_TEST_CASE(ResetsNothingAfterAFreeze) {
  for (auto freeze :
       {milliseconds(400), milliseconds(900), milliseconds(5'000)}) {
    for (const auto& fault : kFaults) {
      auto host = MakeHost();
      fault(host);
      BOOST_TEST(!host.IsReset(1, kOwn));
      host.now += freeze;
      for (int copy = 0; copy < 3; ++copy) {
        BOOST_TEST(!host.IsReset(1, kOwn));
        BOOST_TEST(!host.IsReset(2, kOwn));
      }
      OnTick(host.steering, host.now);
      host.Wait(milliseconds(100));
      BOOST_TEST(!host.IsReset(1, kOwn));
      BOOST_TEST(!host.IsReset(2, kOwn));
    }
  }
}

// Copies that the network held up arrive together.
BOOST_AUTO_TEST_CASE(CountsOnlyRetransmissionsThatCameWhenDue) {
  auto host = MakeHost();
  MakeDark(host);
  for (int copy = 0; copy < 4; ++copy) {
    host.Wait(milliseconds(20));
    BOOST_TEST(!host.IsReset(1, kOwn));
  }
}

// The digest stops: its evidence ends at its deadline.
BOOST_AUTO_TEST_CASE(EvidenceAgesOut) {
  for (const auto& fault : {Fault(MakeDark), Fault(MakeSuspected)}) {
    auto host = MakeHost();
    fault(host);
    host.Wait(seconds(61));
    BOOST_TEST(host.TryAll(1, kOwn) == 0);
  }
  auto host = MakeHost();
  LoseDomain(host);
  host.Wait(kOverdueTime);
  BOOST_TEST(host.TryAll(1, kRemote) == 0);
}

// It is not known how soon such an upstream answers.
BOOST_AUTO_TEST_CASE(NeverResetsOnASuspicionOfAnUpstreamThatWasNotInUse) {
  auto host = MakeHost();
  host.Wait(kUseTime);
  MakeSuspected(host);
  BOOST_TEST(host.TryAll(1, kOwn) == 0);
}

// Guards against announcements or reports that are missing as a whole.
BOOST_AUTO_TEST_CASE(DoubtsSuspicionsOfHalfTheService) {
  auto host = MakeHost();
  MakeSilent(host);
  OnSilence(host.steering, 0, kRemote, host.now);
  host.LeaveOverdue(1, kOwn);
  BOOST_TEST(host.TryAll(2, kOwn) == 0);
  host.Wait(kSilenceMemory);
  host.Answer(kOwn);
  host.at(kOwn).suspect_deadline = host.now + seconds(6);
  host.LeaveOverdue(3, kOwn);
  BOOST_TEST(host.TryAll(4, kOwn) == 4);
}

// Full queues and lost packets leave some requests answered after two
// retransmissions; then a suspicion says little.
BOOST_AUTO_TEST_CASE(DoubtsSuspicionsWhileRequestsAreAnsweredLate) {
  for (const auto& fault : {Fault(MakeSuspected), Fault(MakeSilent)}) {
    auto host = MakeHost();
    fault(host);
    host.LeaveOverdue(1, UpstreamTag(2));
    host.Send(1, UpstreamTag(2), {120, 90, false, false});
    host.LeaveOverdue(2, kOwn);
    BOOST_TEST(host.TryAll(3, kOwn) == 0);
    host.Wait(kLateAnswerTime);
    host.Answer(kOwn);
    host.LeaveOverdue(4, kOwn);
    BOOST_TEST(host.TryAll(5, kOwn) == 4);
  }
}

// An upstream that starts again under its id begins without evidence.
BOOST_AUTO_TEST_CASE(ForgetsTheEvidenceWhenTheUpstreamStartsAgain) {
  auto host = MakeHost();
  host.LeaveOverdue(1, kOwn);
  host.LeaveOverdue(2, kOwn);
  MakeDark(host);
  auto record = MakeRecord(kOwn);
  record.born_ms = 2;
  OnRecord(host.steering, 0, record, host.now);
  BOOST_TEST(host.TryAll(3, kOwn) == 0);
}

}  // namespace acaciahold::steering
