// Membership decisions of the leader of a replica group, as free functions
// without I/O.
//
// The hosts that the settings name as initial members create the group. Every
// other host sends a join request; the leader adds it as a learner and promotes
// it to voter once it has the committed log. A host that lost its disk joins as
// a new member, which replaces the member that it was before.
//
// To bear the loss of f disks at any moment, a group needs 2f + 1 voters at any
// moment: whatever a majority has stored is then still on a disk of the others,
// and these are a majority. The leader therefore keeps MinVoters. A silent
// voter may come back with its disk, so it is removed only from more than that.

#ifndef ACACIAHOLD_CONSENSUS_GROUP_H_
#define ACACIAHOLD_CONSENSUS_GROUP_H_

#include <map>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "acaciahold/Consensus/replica.h"

namespace acaciahold::consensus {

// Maximum number of members that are not about to be replaced. Further control
// hosts wait until one is removed.
inline constexpr size_t kMaxMembers = 9;
// The least that MinVoters returns: with three voters, every committed entry is
// stored on at least two disks.
inline constexpr size_t kMinVoters = 3;
// A learner that has not replied for this long is removed. Longer than a
// restart takes. A removed member that comes back joins again within a second.
inline constexpr Duration kLearnerTimeout = std::chrono::seconds(3);
// The same for a voter while there are more than MinVoters. Short, because the
// silent voter still raises the majority: of four voters, the loss of one more
// would stop the group.
inline constexpr Duration kSpareVoterTimeout = kElectionTimeoutMin;
// When a voter of a smaller group counts as lost, so that a learner gets a vote
// in its place. Shorter than the time after which the next voter may be lost,
// since the learner must be a voter by then.
inline constexpr Duration kReplaceTimeout = kElectionTimeoutMax;
// Replaces kReplaceTimeout for a voter that has not replied to this leader
// since its election: such a voter was lost before the election. The time of
// the election plus this timeout is less than a learner takes to catch up.
inline constexpr Duration kNeverRepliedReplaceTimeout = kElectionTimeoutMin;
// A join request expires unless the host repeats it within this time.
inline constexpr Duration kJoinTimeout = std::chrono::seconds(3);
// The same for the request to leave. Short, since the host ends soon.
inline constexpr Duration kLeaveTimeout = std::chrono::seconds(1);

// A request of a host to become a member.
struct JoinRequest {
  ReplicaId id = 0;
  uint64_t instance = 0;
  Endpoint endpoint;
};

// Requests of hosts that have not expired, by replica id. A host either joins
// or leaves.
struct MemberRequests {
  struct Join {
    JoinRequest request;
    Instant deadline;  // The request expires at this time.
  };
  std::map<ReplicaId, Join> joins;
  std::map<ReplicaId, Instant> leave_deadlines;  // When the requests expire.
};

// Records the request. It replaces an earlier request from the same endpoint.
void OnJoinRequest(MemberRequests& member_requests,
                   const JoinRequest& request,
                   Instant now);

// Records that the member is about to end and asks to be removed.
void OnLeaveRequest(MemberRequests& member_requests, ReplicaId id, Instant now);

// Returns how many voters the leader keeps at least: 2f + 1, where f is
// `tolerated_disk_losses`, but no more than what the group ever bore, which
// goes with its log. Where the tolerance isn't known, f is the latter, and no
// removal lowers it. From kMinVoters to kMaxMembers. A superseded voter is
// removed all the same: its disk is one of the f, so that those that are left
// bear the rest until its successor has its vote.
size_t MinVoters(const Replica& replica);

// Returns whether the group can do without the member: it has no vote, or there
// are more than MinVoters.
bool CanSpare(const Replica& replica, const Member& member);

// Returns whether a responsive learner could replace a voter.
bool HasResponsiveLearner(const Replica& replica, Instant now);

// Returns whether a learner that has caught up may get its vote now. In general
// all voters must be responsive, since another voter may raise the majority.
// While the group has no more than MinVoters, a learner gets its vote before
// the silent voter that it replaces is removed. A voter that lost its disk is
// removed before its successor gets its vote.
bool CanPromote(const Replica& replica, Instant now);

// In the order in which members are removed: one that is gone for good goes
// before one that may come back, and both before one that is still there.
enum class MemberChangeReason {
  kSuperseded,    // Another replica uses the member's endpoint.
  kUnresponsive,  // The member has not replied for too long.
  kLeaving,       // The member asks to be removed.
  kJoining,       // A host that is not a member requests to join.
};

// A change that the leader should propose.
struct MemberChange {
  MemberChangeReason reason = MemberChangeReason::kJoining;
  ReplicaId member = 0;  // Which is added or removed.
  // The new list, which differs from the current one by this member.
  std::vector<Member> members;
};

// Returns the change that the leader should propose next. Returns nullopt if no
// change is due or this replica is not the leader. Drops expired requests. Call
// after each event, since a member may have become one to spare.
std::optional<MemberChange> NextMemberChange(const Replica& replica,
                                             MemberRequests& member_requests,
                                             Instant now);

// Returns the reason as it is logged.
std::string_view ReasonName(MemberChangeReason reason);

// Returns how many voters have not replied to this leader for
// kElectionTimeoutMax; 0 on any other replica.
size_t CountUnresponsiveVoters(const Replica& replica, Instant now);

// Returns the initial members of a new group, one voter for each endpoint. A
// member's id is the address of its endpoint, so that all hosts derive the same
// list.
std::vector<Member> InitialMembers(std::span<const Endpoint> endpoints);

}  // namespace acaciahold::consensus

#endif  // ACACIAHOLD_CONSENSUS_GROUP_H_
