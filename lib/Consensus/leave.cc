// Decisions of a host that leaves, and of its leader.

#include "acaciahold/Consensus/leave.h"

#include <algorithm>

#include "replica_state.h"

namespace acaciahold::consensus {
namespace {

const Member* FindMember(const Replica& replica, ReplicaId id) {
  auto it = std::find_if(replica.members.begin(), replica.members.end(),
                         [&](const Member& m) { return m.id == id; });
  return it == replica.members.end() ? nullptr : &*it;
}

bool HasOtherVoter(const Replica& replica) {
  return std::any_of(
      replica.members.begin(), replica.members.end(),
      [&](const Member& m) { return m.is_voter && m.id != replica.id; });
}

// Returns the voter with the whole log that replied last, or null.
const Member* FindSuccessor(const Replica& replica, Instant now) {
  const Member* successor = nullptr;
  Instant best = now - kElectionTimeoutMin;
  for (const auto& member : replica.members) {
    auto it = replica.progress.find(member.id);
    bool is_ready = member.is_voter && it != replica.progress.end() &&
                    it->second.has_replied &&
                    it->second.match == LastIndex(replica);
    if (is_ready && it->second.last_reply_at > best) {
      successor = &member;
      best = it->second.last_reply_at;
    }
  }
  return successor;
}

}  // namespace

LeaveAnswer AnswerLeaveRequest(const Replica& replica,
                               ReplicaId id,
                               Instant now) {
  bool is_settled = replica.members_index <= replica.commit;
  if (replica.role != Role::kLeader || !is_settled) {
    return LeaveAnswer::kPending;
  }
  const auto* member = FindMember(replica, id);
  if (!member) {
    return LeaveAnswer::kLeft;
  }
  // With a learner, it may leave once the learner has its vote.
  bool may_leave =
      CanSpare(replica, *member) || HasResponsiveLearner(replica, now);
  return may_leave ? LeaveAnswer::kPending : LeaveAnswer::kStays;
}

Leave StartLeave(Duration grace, Instant now) {
  Leave leave;
  leave.deadline = now + std::min(kMaxLeaveTime, grace / 2);
  leave.request_deadline = now;
  return leave;
}

LeaveStep NextLeaveStep(Leave& leave, const Replica& replica, Instant now) {
  bool is_decided = leave.answer != LeaveAnswer::kPending;
  bool has_group = FindMember(replica, replica.id) && HasOtherVoter(replica);
  if (now >= leave.deadline || is_decided || !has_group) {
    return LeaveStep::kEnd;
  }
  bool has_other_leader = replica.leader != 0 && replica.role != Role::kLeader;
  if (!has_other_leader || now < leave.request_deadline) {
    return LeaveStep::kWait;
  }
  leave.request_deadline = now + kLeaveRequestInterval;
  return LeaveStep::kSendRequest;
}

std::string_view AnswerName(LeaveAnswer answer) {
  switch (answer) {
    case LeaveAnswer::kPending:
      return "pending";
    case LeaveAnswer::kLeft:
      return "left";
    case LeaveAnswer::kStays:
      return "stays";
  }
  return "unknown";
}

Output HandOverLeadership(const Replica& replica, Instant now) {
  Output output;
  // Callers of pending changes are answered before the role is given up.
  bool has_pending_entries = replica.commit < LastIndex(replica);
  if (replica.role != Role::kLeader || has_pending_entries) {
    return output;
  }
  if (const auto* successor = FindSuccessor(replica, now)) {
    output.messages.push_back(
        MakeMessage(replica, MessageKind::kTimeoutNow, successor->id));
  }
  return output;
}

}  // namespace acaciahold::consensus
