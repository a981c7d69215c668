// How a host that is told to stop leaves its group first, as free functions
// without I/O.
//
// A leader hands over its leadership. Then the host asks the new leader to be
// removed, so that the majority is one of those that stay. The leader refuses
// if the group can't do without the host, which then ends as a member: a host
// that restarts soon must not shrink a small group.

#ifndef ACACIAHOLD_CONSENSUS_LEAVE_H_
#define ACACIAHOLD_CONSENSUS_LEAVE_H_

#include <string_view>

#include "acaciahold/Consensus/group.h"

namespace acaciahold::consensus {

// How long a host tries to leave. Longer than an election with a request after
// it, and no longer than half of the time that a host is given to stop.
inline constexpr Duration kMaxLeaveTime = std::chrono::seconds(3);
// How often the host repeats its request.
inline constexpr Duration kLeaveRequestInterval =
    std::chrono::milliseconds(100);

// The leader's answer to a request to leave.
enum class LeaveAnswer {
  kPending,  // Not decided yet, or this replica is not the leader.
  kLeft,     // The host is no longer a member.
  kStays,    // The group can't do without it.
};

// Returns what the leader answers to a member that asks to be removed, as far
// as its removal has been committed by now.
LeaveAnswer AnswerLeaveRequest(const Replica& replica,
                               ReplicaId id,
                               Instant now);

// The state of a host that leaves.
struct Leave {
  Instant deadline;          // The host ends at this time in any case.
  Instant request_deadline;  // When the next request is sent.
  LeaveAnswer answer = LeaveAnswer::kPending;  // The last one of the leader.
};

enum class LeaveStep {
  kWait,         // For another leader, for an answer, or for a leader at all.
  kSendRequest,  // To the leader.
  kEnd,          // The host ends.
};

// Starts to leave. `grace` is the time that the host is given to stop.
Leave StartLeave(Duration grace, Instant now);

// Returns what the leaving host does next. Call every few tens of milliseconds.
LeaveStep NextLeaveStep(Leave& leave, const Replica& replica, Instant now);

// Returns the answer as it is logged.
std::string_view AnswerName(LeaveAnswer answer);

// Tells the voter that most likely wins an election to start one at once. Does
// nothing if this replica does not lead or has not committed its whole log, or
// if no responsive voter has it. Call again until another replica leads.
Output HandOverLeadership(const Replica& replica, Instant now);

}  // namespace acaciahold::consensus

#endif  // ACACIAHOLD_CONSENSUS_LEAVE_H_
