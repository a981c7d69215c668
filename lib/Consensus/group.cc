// Membership decisions of a leader.

#include "acaciahold/Consensus/group.h"

#include <algorithm>

#include "replica_state.h"

namespace acaciahold::consensus {
namespace {

// Returns how many voters bear the loss of this many disks.
size_t VotersToBear(size_t disk_losses) {
  return 2 * disk_losses + 1;
}

Instant LastReplyAt(const Replica& replica, const Member& member, Instant now) {
  if (member.id == replica.id) {
    return now;
  }
  auto it = replica.progress.find(member.id);
  return it == replica.progress.end() ? now : it->second.last_reply_at;
}

bool IsResponsive(const Replica& replica, const Member& member, Instant now) {
  return now < LastReplyAt(replica, member, now) + kElectionTimeoutMax;
}

// Returns whether the voter has replied to this leader lately. A voter that has
// not replied since the election may have been lost before it.
bool HasRepliedLately(const Replica& replica,
                      const Member& voter,
                      Instant now) {
  if (voter.id == replica.id) {
    return true;
  }
  auto it = replica.progress.find(voter.id);
  return it != replica.progress.end() && it->second.has_replied &&
         now < it->second.last_reply_at + kElectionTimeoutMin;
}

// Returns the number of voters that have replied to this leader lately.
size_t CountRecentVoters(const Replica& replica, Instant now) {
  return std::count_if(replica.members.begin(), replica.members.end(),
                       [&](const Member& m) {
                         return m.is_voter && HasRepliedLately(replica, m, now);
                       });
}

// Returns whether a majority of the voters without `removed` has replied
// lately, so that the removal will be committed. One that is not committed
// would leave a log that is ahead of the others and a majority that is lost.
bool CanRemove(const Replica& replica, const Member& removed, Instant now) {
  if (!removed.is_voter) {
    return true;
  }
  size_t voters = CountVoters(replica) - 1;
  size_t recent = CountRecentVoters(replica, now) -
                  (HasRepliedLately(replica, removed, now) ? 1 : 0);
  return voters > 0 && recent >= MajorityOf(voters);
}

MemberChange RemovalOf(const Replica& replica,
                       const Member& removed,
                       MemberChangeReason reason) {
  MemberChange change{reason, removed.id, replica.members};
  std::erase_if(change.members,
                [&](const Member& m) { return m.id == removed.id; });
  return change;
}

// Returns whether another replica has joined at the member's endpoint after it.
bool HasSuccessor(const Replica& replica, const Member& member) {
  // Members are in the order in which they joined.
  auto it = std::find(replica.members.begin(), replica.members.end(), member);
  return std::any_of(it, replica.members.end(), [&](const Member& m) {
    return m.endpoint == member.endpoint && m.id != member.id;
  });
}

// Returns whether the member's endpoint is now used by a replica with another
// id, which requests to join or has joined after it.
bool IsSuperseded(const Replica& replica,
                  const MemberRequests& member_requests,
                  const Member& member) {
  if (member.id == replica.id) {
    return false;
  }
  bool has_request = std::any_of(
      member_requests.joins.begin(), member_requests.joins.end(),
      [&](const auto& it) {
        const auto& request = it.second.request;
        return request.endpoint == member.endpoint && request.id != member.id;
      });
  return has_request || HasSuccessor(replica, member);
}

// Returns how long the member may stay without a reply before it counts as
// lost.
Duration LossTimeout(const Replica& replica, const Member& member) {
  if (!member.is_voter) {
    return kLearnerTimeout;
  }
  if (CountVoters(replica) > MinVoters(replica)) {
    return kSpareVoterTimeout;
  }
  auto it = replica.progress.find(member.id);
  bool has_replied = it == replica.progress.end() || it->second.has_replied;
  return has_replied ? kReplaceTimeout : kNeverRepliedReplaceTimeout;
}

bool IsLost(const Replica& replica, const Member& member, Instant now) {
  return now >=
         LastReplyAt(replica, member, now) + LossTimeout(replica, member);
}

// Returns whether the voter has replied to this leader within
// kElectionTimeoutMax. A voter that has not replied since the election may have
// been lost before it.
bool IsSettled(const Replica& replica, const Member& voter, Instant now) {
  auto it = replica.progress.find(voter.id);
  return voter.id == replica.id ||
         (it != replica.progress.end() && it->second.has_replied &&
          IsResponsive(replica, voter, now));
}

// Returns whether the member should be removed for this reason.
bool IsToBeRemoved(const Replica& replica,
                   const MemberRequests& member_requests,
                   const Member& member,
                   MemberChangeReason reason,
                   Instant now) {
  if (member.id == replica.id) {
    return false;
  }
  switch (reason) {
    case MemberChangeReason::kSuperseded:
      return IsSuperseded(replica, member_requests, member);
    case MemberChangeReason::kUnresponsive:
      return CanSpare(replica, member) && IsLost(replica, member, now);
    case MemberChangeReason::kLeaving:
      return CanSpare(replica, member) &&
             member_requests.leave_deadlines.contains(member.id);
    case MemberChangeReason::kJoining:
      return false;
  }
  return false;
}

// Returns whether another host may join. Members that are about to be replaced
// don't count, so that they can be.
bool HasRoom(const Replica& replica,
             const MemberRequests& member_requests,
             Instant now) {
  size_t lasting = std::count_if(
      replica.members.begin(), replica.members.end(), [&](const Member& m) {
        return !IsSuperseded(replica, member_requests, m) &&
               !IsLost(replica, m, now);
      });
  return lasting < kMaxMembers;
}

const JoinRequest* FindNewRequest(const Replica& replica,
                                  const MemberRequests& member_requests) {
  for (const auto& [id, join] : member_requests.joins) {
    bool is_member =
        std::any_of(replica.members.begin(), replica.members.end(),
                    [&, id = id](const Member& m) { return m.id == id; });
    if (!is_member) {
      return &join.request;
    }
  }
  return nullptr;
}

}  // namespace

void OnJoinRequest(MemberRequests& member_requests,
                   const JoinRequest& request,
                   Instant now) {
  // A newer data folder at the same endpoint replaces the older one.
  std::erase_if(member_requests.joins, [&](const auto& it) {
    return it.second.request.endpoint == request.endpoint;
  });
  member_requests.joins[request.id] = {request, now + kJoinTimeout};
  member_requests.leave_deadlines.erase(request.id);
}

void OnLeaveRequest(MemberRequests& member_requests,
                    ReplicaId id,
                    Instant now) {
  member_requests.leave_deadlines[id] = now + kLeaveTimeout;
  member_requests.joins.erase(id);
}

size_t MinVoters(const Replica& replica) {
  size_t voters = CountVoters(replica);
  size_t borne_losses = voters > 0 ? (voters - 1) / 2 : 0;
  size_t min_voters = std::max(replica.min_voters, VotersToBear(borne_losses));
  if (replica.tolerated_disk_losses) {
    size_t needed = VotersToBear(*replica.tolerated_disk_losses);
    // A list of an earlier version doesn't tell what the group bore before.
    bool is_history_known = replica.min_voters > 0;
    min_voters = is_history_known ? std::min(min_voters, needed) : needed;
  }
  return std::clamp(min_voters, kMinVoters, kMaxMembers);
}

bool CanSpare(const Replica& replica, const Member& member) {
  return !member.is_voter || CountVoters(replica) > MinVoters(replica);
}

bool HasResponsiveLearner(const Replica& replica, Instant now) {
  return std::any_of(replica.members.begin(), replica.members.end(),
                     [&](const Member& m) {
                       return !m.is_voter && IsResponsive(replica, m, now);
                     });
}

bool CanPromote(const Replica& replica, Instant now) {
  bool all_settled = true;
  bool others_lost = true;  // Whether those that aren't settled are lost.
  for (const auto& member : replica.members) {
    if (member.is_voter && member.id != replica.id &&
        HasSuccessor(replica, member)) {
      return false;  // It has lost its disk, and is removed first.
    }
    if (!member.is_voter || IsSettled(replica, member, now)) {
      continue;
    }
    all_settled = false;
    others_lost &= IsLost(replica, member, now);
  }
  if (all_settled) {
    return true;
  }
  size_t voters = CountVoters(replica);
  if (voters > MinVoters(replica)) {
    return false;  // A silent voter is removed first.
  }
  // The learner replies. With an even number of voters, its vote doesn't raise
  // the majority.
  bool can_commit =
      CountRecentVoters(replica, now) + 1 >= MajorityOf(voters + 1);
  return can_commit && (others_lost || voters % 2 == 0);
}

std::optional<MemberChange> NextMemberChange(const Replica& replica,
                                             MemberRequests& member_requests,
                                             Instant now) {
  std::erase_if(member_requests.joins,
                [&](const auto& it) { return now >= it.second.deadline; });
  std::erase_if(member_requests.leave_deadlines,
                [&](const auto& it) { return now >= it.second; });
  if (replica.role != Role::kLeader) {
    return std::nullopt;
  }
  for (auto reason :
       {MemberChangeReason::kSuperseded, MemberChangeReason::kUnresponsive,
        MemberChangeReason::kLeaving}) {
    for (const auto& member : replica.members) {
      if (IsToBeRemoved(replica, member_requests, member, reason, now) &&
          CanRemove(replica, member, now)) {
        return RemovalOf(replica, member, reason);
      }
    }
  }
  const auto* request = FindNewRequest(replica, member_requests);
  if (!request || !HasRoom(replica, member_requests, now)) {
    return std::nullopt;
  }
  MemberChange change{MemberChangeReason::kJoining, request->id,
                      replica.members};
  change.members.push_back(
      {request->id, request->endpoint, false, request->instance});
  return change;
}

std::string_view ReasonName(MemberChangeReason reason) {
  switch (reason) {
    case MemberChangeReason::kSuperseded:
      return "superseded";
    case MemberChangeReason::kLeaving:
      return "leaving";
    case MemberChangeReason::kUnresponsive:
      return "unresponsive";
    case MemberChangeReason::kJoining:
      return "joining";
  }
  return "unknown";
}

size_t CountUnresponsiveVoters(const Replica& replica, Instant now) {
  if (replica.role != Role::kLeader) {
    return 0;
  }
  return std::count_if(replica.members.begin(), replica.members.end(),
                       [&](const Member& m) {
                         return m.is_voter && !IsResponsive(replica, m, now);
                       });
}

std::vector<Member> InitialMembers(std::span<const Endpoint> endpoints) {
  std::vector<Member> members;
  for (const auto& endpoint : endpoints) {
    members.push_back({endpoint.address, endpoint, true, 0});
  }
  return members;
}

}  // namespace acaciahold::consensus
