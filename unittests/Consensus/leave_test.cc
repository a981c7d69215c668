// Tests how a host leaves its group before it stops.

#include "acaciahold/Consensus/leave.h"

#include <algorithm>
#include <optional>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "test_leader.h"

namespace acaciahold::consensus {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kGrace{6};

// Delivers replies of all other voters with the whole log.
void ReplyOfAll(Replica& leader, Instant now) {
  for (const auto& member : leader.members) {
    if (member.id != leader.id) {
      ReplyToAppend(leader, member.id, 0, now);
    }
  }
}

Replica MakeFollower() {
  StartState start;
  start.id = 2;
  start.instance = 102;
  start.hard_state.term = 1;
  start.snapshot.members = {{1, EndpointOf(1), true, 101},
                            {2, EndpointOf(2), true, 102},
                            {3, EndpointOf(3), true, 103}};
  auto replica = StartReplica(std::move(start), kStart);
  Message heartbeat;
  heartbeat.kind = MessageKind::kAppend;
  heartbeat.from = 1;
  heartbeat.to = 2;
  heartbeat.instance = 101;
  heartbeat.term = 1;
  OnMessage(replica, heartbeat, kStart);
  return replica;
}

}  // namespace

// Guards against a host that is still counted after it has stopped: the loss of
// one more then takes the majority of four.
BOOST_AUTO_TEST_CASE(LeavingVoterIsRemovedAtOnceIfGroupCanSpareIt) {
  auto leader = MakeLeader(4);
  ReplyOfAll(leader, kStart);
  MemberRequests requests;
  OnLeaveRequest(requests, 3, kStart);
  auto change = NextMemberChange(leader, requests, kStart);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(change->member == 3U);
  BOOST_TEST(ReasonName(change->reason) == "leaving");
  BOOST_CHECK(AnswerLeaveRequest(leader, 3, kStart) == LeaveAnswer::kPending);
  ProposeMembers(leader, change->members, kStart);
  // Not before the removal is committed.
  BOOST_CHECK(AnswerLeaveRequest(leader, 3, kStart) == LeaveAnswer::kPending);
  ReplyOfAll(leader, kStart);
  BOOST_CHECK(AnswerLeaveRequest(leader, 3, kStart) == LeaveAnswer::kLeft);
}

// Guards against stops in turn that shrink the group.
BOOST_AUTO_TEST_CASE(LeavingVoterStaysIfGroupNeedsIt) {
  auto leader = MakeLeader(3);
  ReplyOfAll(leader, kStart);
  MemberRequests requests;
  OnLeaveRequest(requests, 3, kStart);
  BOOST_TEST(!NextMemberChange(leader, requests, kStart).has_value());
  BOOST_CHECK(AnswerLeaveRequest(leader, 3, kStart) == LeaveAnswer::kStays);
}

// Guards against stops in turn that shrink a group whose remaining voters then
// don't bear the disks that may be lost.
BOOST_AUTO_TEST_CASE(LeavingVotersLeaveEnoughForDisksThatMayBeLost) {
  struct Case {
    ReplicaId voters;
    std::optional<uint32_t> tolerated;
    size_t voters_left;
  };
  const std::vector<Case> cases{{8, 2, 5}, {8, std::nullopt, 7}, {6, 2, 5},
                                {6, 1, 3}, {5, std::nullopt, 5}, {4, 1, 3}};
  for (const auto& it : cases) {
    auto leader = MakeLeader(it.voters);
    leader.tolerated_disk_losses = it.tolerated;
    ReplyOfAll(leader, kStart);
    MemberRequests requests;
    for (ReplicaId id = 2; id <= it.voters; ++id) {
      OnLeaveRequest(requests, id, kStart);
      if (auto change = NextMemberChange(leader, requests, kStart)) {
        ProposeMembers(leader, change->members, kStart);
        ReplyOfAll(leader, kStart);
      }
    }
    BOOST_TEST(CountVoters(leader) == it.voters_left);
    BOOST_CHECK(AnswerLeaveRequest(leader, it.voters, kStart) ==
                LeaveAnswer::kStays);
  }
}

// A learner gets its vote before the voter that it replaces may leave. Guards
// against a removal from three that needs the votes of both others, and against
// hosts that leave one after the other until a single disk is left.
BOOST_AUTO_TEST_CASE(LearnerIsPromotedBeforeVoterLeaves) {
  auto leader = MakeLeader(3);
  ReplyOfAll(leader, kStart);
  auto members = leader.members;
  members.push_back({9, EndpointOf(9), false, 109});
  ProposeMembers(leader, members, kStart);
  ReplyToAppend(leader, 2, 0, kStart);
  MemberRequests requests;
  OnLeaveRequest(requests, 3, kStart);
  OnLeaveRequest(requests, 2, kStart);
  BOOST_TEST(!NextMemberChange(leader, requests, kStart).has_value());
  BOOST_CHECK(AnswerLeaveRequest(leader, 3, kStart) == LeaveAnswer::kPending);
  ReplyOfAll(leader, kStart);
  BOOST_TEST(IsVoter(leader, 9));
  ReplyOfAll(leader, kStart);
  auto change = NextMemberChange(leader, requests, kStart);
  BOOST_REQUIRE(change.has_value());
  ProposeMembers(leader, change->members, kStart);
  ReplyOfAll(leader, kStart);
  // The other one stays.
  BOOST_TEST(!NextMemberChange(leader, requests, kStart).has_value());
  ReplicaId other = change->member == 3 ? 2 : 3;
  BOOST_CHECK(AnswerLeaveRequest(leader, other, kStart) == LeaveAnswer::kStays);
}

// A host must not leave a group whose remaining voters are no majority.
BOOST_AUTO_TEST_CASE(LeavingVoterIsKeptWhileOthersAreLost) {
  auto leader = MakeLeader(4);
  Instant later = kStart + kElectionTimeoutMax;
  ReplyToAppend(leader, 3, 0, later);  // 2 and 4 are silent.
  MemberRequests requests;
  OnLeaveRequest(requests, 3, later);
  auto change = NextMemberChange(leader, requests, later);
  BOOST_TEST((!change || change->member != 3U));
  BOOST_CHECK(AnswerLeaveRequest(leader, 3, later) == LeaveAnswer::kPending);
}

// A voter lost its disk, its host has joined again as a learner, and a new
// leader, which has not heard of the lost one yet, is asked by the third to let
// it leave. Guards against a removal that needs the lost voter's vote: it was
// never committed, and nobody could be elected any more.
BOOST_AUTO_TEST_CASE(LeavingVoterIsKeptWhileAnotherNeverReplied) {
  auto leader = MakeLeader(3);
  ReplyToAppend(leader, 3, 0, kStart);
  auto members = leader.members;
  members.push_back({9, EndpointOf(9), false, 109});
  ProposeMembers(leader, members, kStart);
  ReplyToAppend(leader, 3, 0, kStart);
  MemberRequests requests;
  OnLeaveRequest(requests, 3, kStart);
  BOOST_TEST(!NextMemberChange(leader, requests, kStart).has_value());
  BOOST_CHECK(AnswerLeaveRequest(leader, 3, kStart) == LeaveAnswer::kPending);
  // The learner gets its vote, and then the lost one goes first.
  Instant later = kStart + kNeverRepliedReplaceTimeout;
  for (ReplicaId id : {3, 9, 9}) {
    ReplyToAppend(leader, id, 0, later);
  }
  BOOST_TEST(IsVoter(leader, 9));
  BOOST_CHECK(AnswerLeaveRequest(leader, 3, later) == LeaveAnswer::kPending);
  for (ReplicaId id : {3, 9}) {
    ReplyToAppend(leader, id, 0, later);
  }
  OnLeaveRequest(requests, 3, later);
  auto change = NextMemberChange(leader, requests, later);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(change->member == 2U);
}

BOOST_AUTO_TEST_CASE(LeaveRequestExpiresAndIsReplacedByJoin) {
  auto leader = MakeLeader(4);
  ReplyOfAll(leader, kStart);
  MemberRequests requests;
  OnLeaveRequest(requests, 3, kStart);
  OnLeaveRequest(requests, 3, kStart);  // A repeated request changes nothing.
  OnJoinRequest(requests, {3, 103, EndpointOf(3)}, kStart);
  BOOST_TEST(!NextMemberChange(leader, requests, kStart).has_value());
  OnLeaveRequest(requests, 3, kStart);
  Instant later = kStart + kLeaveTimeout;
  ReplyOfAll(leader, later);
  BOOST_TEST(!NextMemberChange(leader, requests, later).has_value());
}

// Guards against an election timeout without a leader at each planned stop.
BOOST_AUTO_TEST_CASE(LeaderHandsOverToVoterWithWholeLog) {
  auto leader = MakeLeader(3);
  BOOST_TEST(HandOverLeadership(leader, kStart).messages.empty());
  ReplyToAppend(leader, 2, 0, kStart);
  auto messages = HandOverLeadership(leader, kStart).messages;
  BOOST_REQUIRE(messages.size() == 1U);
  BOOST_TEST(messages[0].to == 2U);
  BOOST_CHECK(messages[0].kind == MessageKind::kTimeoutNow);
  // Whoever lacks an entry can't win.
  Propose(leader, "change", kStart);
  BOOST_TEST(HandOverLeadership(leader, kStart).messages.empty());
  ReplyToAppend(leader, 3, 0, kStart);
  messages = HandOverLeadership(leader, kStart).messages;
  BOOST_REQUIRE(messages.size() == 1U);
  BOOST_TEST(messages[0].to == 3U);
  // Nor is a silent voter chosen.
  BOOST_TEST(HandOverLeadership(leader, kStart + kElectionTimeoutMin)
                 .messages.empty());
}

// Guards against changes that are pending when their leader stops and that it
// could still have answered: of four voters, one with the whole log is not yet
// a majority with the leader.
BOOST_AUTO_TEST_CASE(LeaderCommitsPendingChangesBeforeItHandsOver) {
  auto leader = MakeLeader(4);
  ReplyOfAll(leader, kStart);
  Propose(leader, "change", kStart);
  ReplyToAppend(leader, 2, 0, kStart);
  BOOST_TEST(HandOverLeadership(leader, kStart).messages.empty());
  ReplyToAppend(leader, 3, 0, kStart);
  BOOST_TEST(HandOverLeadership(leader, kStart).messages.size() == 1U);
}

BOOST_AUTO_TEST_CASE(VoterStartsElectionWhenItsLeaderTellsIt) {
  auto follower = MakeFollower();
  Message message;
  message.kind = MessageKind::kTimeoutNow;
  message.from = 3;
  message.to = 2;
  message.instance = 103;
  message.term = 1;
  OnMessage(follower, message, kStart);
  BOOST_CHECK(follower.role == Role::kFollower);  // 3 does not lead.
  message.from = 1;
  message.instance = 101;
  auto output = OnMessage(follower, message, kStart);
  BOOST_CHECK(follower.role == Role::kCandidate);
  BOOST_TEST(follower.hard_state.term == 2U);
  BOOST_TEST(output.messages.size() == 2U);
  // A repeated message is of an earlier term.
  OnMessage(follower, message, kStart);
  BOOST_TEST(follower.hard_state.term == 2U);
}

BOOST_AUTO_TEST_CASE(LeavingFollowerAsksUntilAnswered) {
  auto follower = MakeFollower();
  auto leave = StartLeave(kGrace, kStart);
  BOOST_CHECK(NextLeaveStep(leave, follower, kStart) ==
              LeaveStep::kSendRequest);
  BOOST_CHECK(NextLeaveStep(leave, follower, kStart) == LeaveStep::kWait);
  Instant later = kStart + kLeaveRequestInterval;
  BOOST_CHECK(NextLeaveStep(leave, follower, later) == LeaveStep::kSendRequest);
  leave.answer = LeaveAnswer::kStays;
  BOOST_CHECK(NextLeaveStep(leave, follower, later) == LeaveStep::kEnd);
}

// Guards against a host that is cut off, or a leader whose followers lag, and
// that does not stop within the time that it is given.
BOOST_AUTO_TEST_CASE(LeaveEndsInTimeWithoutAnswer) {
  auto leader = MakeLeader(3);
  auto follower = MakeFollower();
  follower.leader = 0;
  for (const auto* replica : {&leader, &follower}) {
    auto leave = StartLeave(kGrace, kStart);
    BOOST_CHECK(NextLeaveStep(leave, *replica, kStart) == LeaveStep::kWait);
    BOOST_CHECK(NextLeaveStep(leave, *replica, kStart + kGrace / 2) ==
                LeaveStep::kEnd);
  }
}

BOOST_AUTO_TEST_CASE(HostWithoutGroupStopsAtOnce) {
  auto alone = MakeLeader(3);
  alone.members = {alone.members.front()};
  auto leave = StartLeave(kGrace, kStart);
  BOOST_CHECK(NextLeaveStep(leave, alone, kStart) == LeaveStep::kEnd);
  alone.members.clear();
  BOOST_CHECK(NextLeaveStep(leave, alone, kStart) == LeaveStep::kEnd);
}

}  // namespace acaciahold::consensus
