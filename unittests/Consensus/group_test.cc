// Tests of membership decisions, reads, snapshots and starts of a replica.

#include "acaciahold/Consensus/group.h"

#include <algorithm>
#include <optional>
#include <vector>

#include <boost/json/value.hpp>
#include <boost/test/unit_test.hpp>

#include "test_leader.h"

namespace acaciahold::consensus {
namespace {

using std::chrono::milliseconds;

}  // namespace

BOOST_AUTO_TEST_CASE(JoiningHostBecomesLearner) {
  auto leader = MakeLeader(3);
  BOOST_REQUIRE(leader.role == Role::kLeader);
  MemberRequests member_requests;
  BOOST_TEST(!NextMemberChange(leader, member_requests, kStart).has_value());
  OnJoinRequest(member_requests, {9, 909, EndpointOf(9)}, kStart);
  auto change = NextMemberChange(leader, member_requests, kStart);
  BOOST_REQUIRE(change.has_value());
  BOOST_REQUIRE(change->members.size() == 4U);
  BOOST_TEST(change->members.back().id == 9U);
  BOOST_TEST(!change->members.back().is_voter);
  BOOST_TEST(change->members.back().instance == 909U);
  BOOST_TEST(change->member == 9U);
  BOOST_TEST(ReasonName(change->reason) == "joining");
}

BOOST_AUTO_TEST_CASE(JoinRequestExpires) {
  auto leader = MakeLeader(3);
  MemberRequests member_requests;
  OnJoinRequest(member_requests, {9, 909, EndpointOf(9)}, kStart);
  BOOST_TEST(!NextMemberChange(leader, member_requests, kStart + kJoinTimeout)
                  .has_value());
}

BOOST_AUTO_TEST_CASE(NewReplicaSupersedesMemberAtSameEndpoint) {
  auto leader = MakeLeader(3);
  MemberRequests member_requests;
  OnJoinRequest(member_requests, {9, 909, EndpointOf(3)}, kStart);
  ReplyToAppend(leader, 2, 0, kStart);
  auto change = NextMemberChange(leader, member_requests, kStart);
  BOOST_REQUIRE(change.has_value());
  BOOST_REQUIRE(change->members.size() == 2U);
  BOOST_TEST(change->members.back().id == 2U);
  BOOST_TEST(change->member == 3U);
  BOOST_TEST(ReasonName(change->reason) == "superseded");
}

// Guards against a new leader that waits for the silence of a member whose host
// has joined again with an empty disk: the host asks to join only until it is a
// learner, and that was under an earlier leader.
BOOST_AUTO_TEST_CASE(LearnerSupersedesVoterAtSameEndpoint) {
  auto leader = MakeLeader(3);
  ReplyToAppend(leader, 2, 0, kStart);
  auto members = leader.members;
  members.push_back({9, EndpointOf(3), false, 109});
  ProposeMembers(leader, members, kStart);
  ReplyToAppend(leader, 2, 0, kStart);
  MemberRequests requests;
  auto change = NextMemberChange(leader, requests, kStart);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(change->member == 3U);
  BOOST_TEST(ReasonName(change->reason) == "superseded");
}

BOOST_AUTO_TEST_CASE(NoRemovalWithoutResponsiveMajority) {
  auto leader = MakeLeader(3);
  MemberRequests member_requests;
  // Member 2 has not replied for long, and member 3 comes back without its
  // disk.
  auto later = kStart + kElectionTimeoutMax * 2;
  OnJoinRequest(member_requests, {9, 909, EndpointOf(3)}, later);
  auto change = NextMemberChange(leader, member_requests, later);
  // Adding a learner does not change the majority.
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(change->members.size() == 4U);
  BOOST_TEST(!change->members.back().is_voter);
}

BOOST_AUTO_TEST_CASE(UnresponsiveVoterIsRemovedOnlyAboveMinVoters) {
  auto leader = MakeLeader(4);
  MemberRequests member_requests;
  auto later = kStart + kLearnerTimeout;
  ReplyToAppend(leader, 2, 0, later);
  ReplyToAppend(leader, 3, 0, later);
  auto change = NextMemberChange(leader, member_requests, later);
  BOOST_REQUIRE(change.has_value());
  BOOST_REQUIRE(change->members.size() == 3U);
  BOOST_TEST(ReasonName(change->reason) == "unresponsive");
  BOOST_TEST(CountUnresponsiveVoters(leader, later) == 1U);
  auto three_voters = MakeLeader(3);
  ReplyToAppend(three_voters, 2, 0, later);
  BOOST_TEST(
      !NextMemberChange(three_voters, member_requests, later).has_value());
}

// Guards against removing a lost voter before the learner that replaces it has
// its vote: the lost one may come back with its disk, and until then the two
// others could not bear the loss of a disk.
BOOST_AUTO_TEST_CASE(LearnerReplacesUnresponsiveVoter) {
  auto leader = MakeLeader(3);
  for (ReplicaId id : {2, 3}) {
    ReplyToAppend(leader, id, 0, kStart);
  }
  auto members = leader.members;
  members.push_back({9, EndpointOf(9), false, 109});
  ProposeMembers(leader, members, kStart);
  Instant later = kStart + kReplaceTimeout;
  MemberRequests member_requests;
  for (ReplicaId id : {2, 9}) {  // 9 has caught up with its second reply.
    BOOST_TEST(!IsVoter(leader, 9));
    ReplyToAppend(leader, id, 0, later);
    BOOST_TEST(!NextMemberChange(leader, member_requests, later).has_value());
  }
  ReplyToAppend(leader, 9, 0, later);
  BOOST_TEST(IsVoter(leader, 9));
  BOOST_TEST(IsVoter(leader, 3));
  for (ReplicaId id : {2, 9}) {
    ReplyToAppend(leader, id, 0, later);
  }
  auto change = NextMemberChange(leader, member_requests, later);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(change->member == 3U);
  BOOST_TEST(ReasonName(change->reason) == "unresponsive");
  auto result = ProposeMembers(leader, change->members, later);
  BOOST_CHECK(result.status == ProposeStatus::kAccepted);
}

namespace {

// Runs the leader and its membership decisions until `end`, in steps of
// kHeartbeatInterval. Members `responding` reply in each step. From `joins_at`
// on, the host `joining` also requests to join and replies. The leader decides
// after each event, as ReplicaDriver does.
void RunLeader(Replica& leader,
               std::vector<ReplicaId> responding,
               ReplicaId joining,
               Instant joins_at,
               Instant end) {
  MemberRequests member_requests;
  auto decide = [&](Instant now) {
    if (auto change = NextMemberChange(leader, member_requests, now)) {
      ProposeMembers(leader, std::move(change->members), now);
    }
  };
  for (Instant now = kStart; now <= end; now += kHeartbeatInterval) {
    OnTick(leader, now);
    if (now >= joins_at) {
      OnJoinRequest(member_requests,
                    {joining, 100ULL + joining, EndpointOf(joining)}, now);
    }
    decide(now);
    for (auto id : responding) {
      ReplyToAppend(leader, id, 0, now);
      decide(now);
    }
    if (now >= joins_at) {
      ReplyToAppend(leader, joining, 0, now);
      decide(now);
    }
  }
}

size_t VoterCount(const Replica& replica) {
  return static_cast<size_t>(
      std::count_if(replica.members.begin(), replica.members.end(),
                    [](const Member& m) { return m.is_voter; }));
}

}  // namespace

// Voter 3 is lost before the election, and a host with a new data folder joins
// to replace it. The next host may be lost four seconds after the first loss,
// and the remaining two must then be a majority. The election takes up to two
// of these seconds. Guards against removing the lost voter or promoting the new
// one too late.
BOOST_AUTO_TEST_CASE(VoterLostBeforeElectionIsReplacedInTime) {
  for (int joins_ms : {0, 200, 600, 1'000, 1'800}) {
    auto leader = MakeLeader(3);
    RunLeader(leader, {2}, 9, kStart + milliseconds(joins_ms),
              kStart + milliseconds(2'000));
    BOOST_TEST(!IsVoter(leader, 3));
    BOOST_TEST(IsVoter(leader, 9));
    BOOST_TEST(VoterCount(leader) == 3U);
  }
}

// Like VoterLostBeforeElectionIsReplacedInTime, but voter 3 is lost after it
// has replied to the leader once, so the longer kReplaceTimeout applies.
BOOST_AUTO_TEST_CASE(VoterLostAfterElectionIsReplacedInTime) {
  for (int joins_ms : {200, 600, 1'000, 1'800}) {
    auto leader = MakeLeader(3);
    ReplyToAppend(leader, 3, 0, kStart);
    RunLeader(leader, {2}, 9, kStart + milliseconds(joins_ms),
              kStart + milliseconds(4'000));
    BOOST_TEST(!IsVoter(leader, 3));
    BOOST_TEST(IsVoter(leader, 9));
    BOOST_TEST(VoterCount(leader) == 3U);
  }
}

// Voter 4 of four is lost without notice, before or after the election. Guards
// against the loss of a second voter, 4 s after the first one and its election,
// that takes the majority of four.
BOOST_AUTO_TEST_CASE(SilentVoterOfFourIsRemovedBeforeNextLoss) {
  for (bool has_replied : {false, true}) {
    auto leader = MakeLeader(4);
    if (has_replied) {
      ReplyToAppend(leader, 4, 0, kStart);
    }
    Instant end = kStart + milliseconds(2'000) - kHeartbeatInterval;
    RunLeader(leader, {2, 3}, 9, Instant::max(), end);
    BOOST_TEST(!IsVoter(leader, 4));
    BOOST_TEST(VoterCount(leader) == 3U);
  }
}

// Two of four voters are lost at once, and the leader is not. It removes one,
// and two of three go on.
BOOST_AUTO_TEST_CASE(LeaderOfFourGoesOnAfterLossOfTwo) {
  auto leader = MakeLeader(4);
  for (ReplicaId id : {2, 3, 4}) {
    ReplyToAppend(leader, id, 0, kStart);
  }
  RunLeader(leader, {2}, 9, Instant::max(), kStart + milliseconds(6'000));
  BOOST_CHECK(leader.role == Role::kLeader);
  BOOST_TEST(VoterCount(leader) == 3U);
  BOOST_TEST(IsVoter(leader, 2));
  BOOST_TEST(leader.commit == LastIndex(leader));
}

// A leader that is alone must not record removals that it can't commit.
BOOST_AUTO_TEST_CASE(LeaderOfFourWithoutOthersRemovesNobody) {
  auto leader = MakeLeader(4);
  for (ReplicaId id : {2, 3, 4}) {
    ReplyToAppend(leader, id, 0, kStart);
  }
  RunLeader(leader, {}, 9, Instant::max(), kStart + milliseconds(6'000));
  BOOST_CHECK(leader.role != Role::kLeader);
  BOOST_TEST(VoterCount(leader) == 4U);
}

namespace {

// Returns a leader of a new group whose voters have all replied.
Replica MakeWholeGroup(ReplicaId voters, std::optional<uint32_t> tolerated) {
  auto leader = MakeLeader(voters);
  leader.tolerated_disk_losses = tolerated;
  for (ReplicaId id = 2; id <= voters; ++id) {
    ReplyToAppend(leader, id, 0, kStart);
  }
  return leader;
}

}  // namespace

// Whoever isn't named loses power. Guards against voters that are removed until
// two disks are a majority of those that are left.
BOOST_AUTO_TEST_CASE(SilentVotersAreKeptForDisksThatMayBeLost) {
  struct Case {
    ReplicaId voters;
    std::vector<ReplicaId> responding;
    std::optional<uint32_t> tolerated;
    size_t voters_left;
  };
  const std::vector<Case> cases{{8, {2, 3, 4, 5, 6}, 2, 6},
                                {8, {2, 3, 4, 5}, 2, 5},
                                {8, {2, 3, 4}, 2, 5},
                                {8, {2, 3}, 2, 8},  // No majority.
                                {8, {2, 3, 4, 5, 6}, std::nullopt, 7},
                                {6, {2, 3, 4}, 2, 5},
                                {6, {2, 3, 4}, std::nullopt, 5},
                                {6, {2, 3, 4}, 1, 4},
                                {4, {2, 3}, 1, 3},
                                {4, {2, 3}, std::nullopt, 3}};
  for (const auto& it : cases) {
    auto leader = MakeWholeGroup(it.voters, it.tolerated);
    RunLeader(leader, it.responding, 99, Instant::max(),
              kStart + milliseconds(6'000));
    BOOST_TEST(VoterCount(leader) == it.voters_left,
               it.voters << " voters: " << VoterCount(leader) << " left");
  }
}

// Two domains of eight hosts lose power one after the other. Four of seven
// voters go on, and keep three that are silent.
BOOST_AUTO_TEST_CASE(SecondDomainWithoutPowerLeavesVotersOfTheFirst) {
  auto leader = MakeWholeGroup(8, std::nullopt);
  RunLeader(leader, {2, 3, 4, 5, 6}, 99, Instant::max(),
            kStart + milliseconds(4'000));
  BOOST_TEST(VoterCount(leader) == 7U);
  MemberRequests requests;
  for (Instant now = kStart + milliseconds(4'200);
       now < kStart + milliseconds(9'000); now += kHeartbeatInterval) {
    OnTick(leader, now);
    for (ReplicaId id : {2, 3, 4}) {
      ReplyToAppend(leader, id, 0, now);
    }
    BOOST_TEST(!NextMemberChange(leader, requests, now).has_value());
  }
  BOOST_CHECK(leader.role == Role::kLeader);
}

// Guards against a number that only the leader of the moment knows: it goes
// with the log and the snapshot. That of an earlier version doesn't have it.
BOOST_AUTO_TEST_CASE(MinVotersOutlivesRestartsAndSnapshots) {
  auto leader = MakeWholeGroup(5, std::nullopt);
  BOOST_TEST(MinVoters(leader) == 5U);
  // Voter 5 lost its disk, and joins again.
  MemberRequests requests;
  OnJoinRequest(requests, {9, 909, EndpointOf(5)}, kStart);
  auto change = NextMemberChange(leader, requests, kStart);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(change->member == 5U);
  ProposeMembers(leader, change->members, kStart);
  for (ReplicaId id : {2, 3, 4}) {
    ReplyToAppend(leader, id, 0, kStart);
  }
  StartState start;
  start.id = 2;
  start.instance = 102;
  start.snapshot = leader.snapshot;
  start.entries.assign(leader.entries.begin(), leader.entries.end());
  BOOST_TEST(CountVoters(StartReplica(start, kStart)) == 4U);
  BOOST_TEST(MinVoters(StartReplica(start, kStart)) == 5U);
  Compact(leader, "table");
  start.snapshot = leader.snapshot;
  start.entries.clear();
  BOOST_TEST(CountVoters(StartReplica(start, kStart)) == 4U);
  BOOST_TEST(MinVoters(StartReplica(start, kStart)) == 5U);
  start.snapshot.min_voters = 0;  // Of an earlier version.
  BOOST_TEST(MinVoters(StartReplica(start, kStart)) == 3U);
  start.tolerated_disk_losses = 2;
  BOOST_TEST(MinVoters(StartReplica(start, kStart)) == 5U);
}

// Guards against a group that stops since it was made smaller by intent: of
// five hosts two were stopped for good, and then the settings say that one lost
// disk must be borne.
BOOST_AUTO_TEST_CASE(GroupMayBeMadeSmallerByItsSettings) {
  auto leader = MakeWholeGroup(5, std::nullopt);
  RunLeader(leader, {2, 3}, 99, Instant::max(), kStart + milliseconds(4'000));
  BOOST_TEST(VoterCount(leader) == 5U);
  leader = MakeWholeGroup(5, 1);
  leader.min_voters = 5;
  RunLeader(leader, {2, 3}, 99, Instant::max(), kStart + milliseconds(4'000));
  BOOST_TEST(VoterCount(leader) == 3U);
  BOOST_TEST(leader.min_voters == 3U);
}

// Guards against a small group that stops where it need not, since its settings
// ask for more than it ever bore: a lost fourth voter, or one that a planned
// replacement leaves behind, would take the majority's only spare.
BOOST_AUTO_TEST_CASE(GroupKeepsNoMoreThanItEverBore) {
  auto leader = MakeFoundingLeader(3, 2);
  BOOST_TEST(leader.min_voters == 3U);
  for (ReplicaId id : {2, 3}) {
    ReplyToAppend(leader, id, 0, kStart);
  }
  // A fourth host joins, and another one then leaves or is lost.
  RunLeader(leader, {2, 3}, 9, kStart, kStart + milliseconds(1'000));
  BOOST_TEST(VoterCount(leader) == 4U);
  auto leaves = leader;
  MemberRequests requests;
  Instant later = kStart + milliseconds(1'000);
  OnLeaveRequest(requests, 3, later);
  auto change = NextMemberChange(leaves, requests, later);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(change->member == 3U);
  RunLeader(leader, {2, 9}, 99, Instant::max(), kStart + milliseconds(4'000));
  BOOST_TEST(!IsVoter(leader, 3));
  BOOST_TEST(VoterCount(leader) == 3U);
}

BOOST_AUTO_TEST_CASE(MinVotersIsEncodedAndMayBeMissing) {
  LogEntry entry{7, 2, EntryKind::kMembers, "[]", 5};
  auto json = ToJson(entry);
  BOOST_CHECK(EntryFromJson(json).value() == entry);
  json.as_object().erase("min_voters");
  entry.min_voters = 0;
  BOOST_CHECK(EntryFromJson(json).value() == entry);
  Snapshot snapshot{7, 2, {{1, EndpointOf(1), true, 101}}, "table", 5};
  json = ToJson(snapshot);
  BOOST_CHECK(SnapshotFromJson(json).value() == snapshot);
  json.as_object().erase("min_voters");
  snapshot.min_voters = 0;
  BOOST_CHECK(SnapshotFromJson(json).value() == snapshot);
}

// Guards against a silent voter that is removed since another one, whose disk
// is lost, has made the number of voters even.
BOOST_AUTO_TEST_CASE(SilentVoterIsKeptWhileAnotherLostItsDisk) {
  for (std::optional<uint32_t> tolerated :
       {std::optional<uint32_t>(), std::optional<uint32_t>(2)}) {
    auto leader = MakeWholeGroup(5, tolerated);
    MemberRequests requests;
    OnJoinRequest(requests, {9, 909, EndpointOf(5)}, kStart);
    auto change = NextMemberChange(leader, requests, kStart);
    BOOST_REQUIRE(change.has_value());
    ProposeMembers(leader, change->members, kStart);
    RunLeader(leader, {2, 3}, 99, Instant::max(), kStart + milliseconds(4'000));
    BOOST_TEST(IsVoter(leader, 4));
    BOOST_TEST(VoterCount(leader) == 4U);
  }
}

// Guards against a group that promotes nobody any more, since a replica that
// was to replace the leader is a member: the leader came back with its old
// disk.
BOOST_AUTO_TEST_CASE(LeaderWithASuccessorPromotesLearners) {
  auto leader = MakeWholeGroup(3, 1);
  for (ReplicaId id : {9, 10}) {  // 9 is at the leader's endpoint.
    auto members = leader.members;
    members.push_back({id, EndpointOf(id == 9 ? 1 : id), false, 100ULL + id});
    ProposeMembers(leader, members, kStart);
    for (ReplicaId other : {2, 3}) {
      ReplyToAppend(leader, other, 0, kStart);
    }
  }
  for (ReplicaId id : {10, 10}) {
    ReplyToAppend(leader, id, 0, kStart);
  }
  BOOST_TEST(IsVoter(leader, 10));
}

// Guards against a successor that gets its vote beside the voter that lost its
// disk: if the host loses its disk once more, two of four voters are gone.
BOOST_AUTO_TEST_CASE(VoterWithoutDiskIsRemovedBeforeItsSuccessorVotes) {
  for (auto silence : {milliseconds(0), milliseconds(2'500)}) {
    auto leader = MakeWholeGroup(3, 1);
    auto members = leader.members;
    members.push_back({9, EndpointOf(3), false, 109});
    ProposeMembers(leader, members, kStart);
    Instant later = kStart + silence;
    for (ReplicaId id : {2, 9, 9, 2, 9}) {
      ReplyToAppend(leader, id, 0, later);
    }
    BOOST_TEST(!IsVoter(leader, 9));
    MemberRequests requests;
    auto change = NextMemberChange(leader, requests, later);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST(change->member == 3U);
    ProposeMembers(leader, change->members, later);
    for (ReplicaId id : {2, 9, 9}) {
      ReplyToAppend(leader, id, 0, later);
    }
    BOOST_TEST(IsVoter(leader, 9));
  }
}

// The successor of a lost disk gets its vote although another voter has not
// replied since the election: of four voters, one more doesn't raise the
// majority.
BOOST_AUTO_TEST_CASE(SuccessorOfLostDiskIsPromotedBesideASilentVoter) {
  auto leader = MakeLeader(5);
  leader.tolerated_disk_losses = 2;
  MemberRequests requests;
  for (int i = 0; i < 4; ++i) {
    for (ReplicaId id : {2, 3}) {
      ReplyToAppend(leader, id, 0, kStart);
    }
    if (i < 2) {  // Voter 5 is removed, and its successor added.
      OnJoinRequest(requests, {9, 109, EndpointOf(5)}, kStart);
      auto change = NextMemberChange(leader, requests, kStart);
      BOOST_REQUIRE(change.has_value());
      ProposeMembers(leader, change->members, kStart);
    } else {
      ReplyToAppend(leader, 9, 0, kStart);
    }
  }
  BOOST_TEST(!IsVoter(leader, 5));
  BOOST_TEST(IsVoter(leader, 9));
  BOOST_TEST(IsVoter(leader, 4));
}

// Of a voter whose disk is lost and one that is silent, the first one goes: the
// other may come back.
BOOST_AUTO_TEST_CASE(VoterWithoutDiskIsRemovedBeforeSilentOne) {
  auto leader = MakeWholeGroup(6, 2);
  Instant later = kStart + kElectionTimeoutMax;
  for (ReplicaId id : {3, 4, 5}) {
    ReplyToAppend(leader, id, 0, later);
  }
  MemberRequests requests;
  OnJoinRequest(requests, {9, 909, EndpointOf(6)}, later);
  auto change = NextMemberChange(leader, requests, later);
  BOOST_REQUIRE(change.has_value());
  BOOST_TEST(change->member == 6U);
  BOOST_TEST(ReasonName(change->reason) == "superseded");
}

// Guards against a full group that can't replace a lost member, since it keeps
// it until the successor has its vote.
BOOST_AUTO_TEST_CASE(FullGroupReplacesLostMember) {
  for (std::optional<uint32_t> tolerated :
       {std::optional<uint32_t>(), std::optional<uint32_t>(4),
        std::optional<uint32_t>(20)}) {
    auto leader = MakeWholeGroup(kMaxMembers, tolerated);
    std::vector<ReplicaId> responding{2, 3, 4, 5, 6, 7, 8};
    RunLeader(leader, responding, 10, kStart, kStart + milliseconds(4'000));
    BOOST_TEST(IsVoter(leader, 10));
    BOOST_TEST(!IsVoter(leader, 9));
    BOOST_TEST(VoterCount(leader) == kMaxMembers);
    MemberRequests requests;
    Instant end = kStart + milliseconds(4'000);
    OnJoinRequest(requests, {11, 911, EndpointOf(11)}, end);
    BOOST_TEST(!NextMemberChange(leader, requests, end).has_value());
  }
}

BOOST_AUTO_TEST_CASE(OnlyLeaderChangesMembers) {
  auto replica = MakeLeader(3);
  replica.role = Role::kFollower;
  MemberRequests member_requests;
  OnJoinRequest(member_requests, {9, 909, EndpointOf(9)}, kStart);
  BOOST_TEST(!NextMemberChange(replica, member_requests, kStart).has_value());
}

BOOST_AUTO_TEST_CASE(InitialMemberIdsFollowFromEndpoints) {
  std::vector<Endpoint> endpoints{{0x0a000001, 7'000}, {0x0a000002, 7'000}};
  auto members = InitialMembers(endpoints);
  BOOST_REQUIRE(members.size() == 2U);
  BOOST_TEST(members[1].id == 0x0a000002U);
  BOOST_TEST(members[1].is_voter);
}

// Guards against stale reads: a leader whose process was suspended may have
// been replaced, so it must not confirm a read before a majority has replied to
// it.
BOOST_AUTO_TEST_CASE(ReadNeedsMajorityRepliesToItsRound) {
  auto leader = MakeLeader(3);
  ReplyToAppend(leader, 2, 0, kStart);
  auto ticket = StartRead(leader, kStart);
  BOOST_REQUIRE(ticket.term > 0U);
  BOOST_TEST(ticket.output.messages.size() == 2U);
  BOOST_CHECK(CheckRead(leader, ticket.term, ticket.read_round) ==
              ReadStatus::kWaiting);
  ReplyToAppend(leader, 2, ticket.read_round - 1, kStart);
  BOOST_CHECK(CheckRead(leader, ticket.term, ticket.read_round) ==
              ReadStatus::kWaiting);
  ReplyToAppend(leader, 2, ticket.read_round, kStart);
  BOOST_CHECK(CheckRead(leader, ticket.term, ticket.read_round) ==
              ReadStatus::kConfirmed);
  Message newer_append;
  newer_append.kind = MessageKind::kAppend;
  newer_append.from = 3;
  newer_append.to = 1;
  newer_append.instance = 103;
  newer_append.term = ticket.term + 1;
  OnMessage(leader, newer_append, kStart);
  BOOST_CHECK(CheckRead(leader, ticket.term, ticket.read_round) ==
              ReadStatus::kFailed);
}

BOOST_AUTO_TEST_CASE(NoReadBeforeCommitInOwnTerm) {
  auto leader = MakeLeader(3);  // No reply to its first entry yet.
  BOOST_TEST(StartRead(leader, kStart).term == 0U);
}

// Guards against losing committed entries: the leader may have counted the
// entries after the snapshot as stored here when it committed them.
BOOST_AUTO_TEST_CASE(SnapshotKeepsMatchingLaterEntries) {
  StartState start;
  start.id = 1;
  start.hard_state.term = 3;
  start.snapshot.members = {{1, EndpointOf(1), true, 0},
                            {2, EndpointOf(2), true, 0}};
  for (Index i = 1; i <= 4; ++i) {
    start.entries.push_back({i, 3, EntryKind::kCommand, std::to_string(i)});
  }
  Message message;
  message.kind = MessageKind::kSnapshot;
  message.from = 2;
  message.to = 1;
  message.term = 3;
  message.snapshot.index = 2;
  message.snapshot.term = 3;
  message.snapshot.members = start.snapshot.members;
  auto replica = StartReplica(start, kStart);
  auto output = OnMessage(replica, message, kStart);
  BOOST_TEST(LastIndex(replica) == 4U);
  BOOST_TEST(!output.persist.truncate_from.has_value());
  // A log without the snapshot's last entry is dropped, on disk as well.
  message.snapshot.term = 2;
  replica = StartReplica(start, kStart);
  output = OnMessage(replica, message, kStart);
  BOOST_TEST(LastIndex(replica) == 2U);
  BOOST_REQUIRE(output.persist.truncate_from.has_value());
  BOOST_TEST(*output.persist.truncate_from == 3U);
}

BOOST_AUTO_TEST_CASE(StartAppliesEntriesUpToCommitHint) {
  StartState start;
  start.id = 1;
  start.snapshot.members = {{1, EndpointOf(1), true, 0},
                            {2, EndpointOf(2), true, 0}};
  start.entries = {{1, 1, EntryKind::kNoOp, ""},
                   {2, 1, EntryKind::kCommand, "a"},
                   {3, 1, EntryKind::kCommand, "b"}};
  start.commit_hint = 2;
  auto replica = StartReplica(start, kStart);
  auto output = OnStart(replica);
  BOOST_REQUIRE(output.committed.size() == 2U);
  BOOST_TEST(output.committed[1].payload == "a");
  start.commit_hint = 9;  // Beyond the end of the log.
  replica = StartReplica(start, kStart);
  BOOST_TEST(OnStart(replica).committed.size() == 3U);
}

}  // namespace acaciahold::consensus
