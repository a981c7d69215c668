// Event handlers of a replica: start, ticks, messages, proposals and reads.

#include "acaciahold/Consensus/replica.h"

#include <algorithm>

#include <boost/json/parse.hpp>

#include "acaciahold/Consensus/group.h"
#include "acaciahold/Support/check.h"
#include "elections.h"
#include "replica_state.h"
#include "replication.h"

namespace acaciahold::consensus {
namespace {

// Returns whether the sender's instance is the one in the member list. Accepts
// senders that are not members, or whose instance is not recorded yet.
bool CheckInstance(Replica& replica, const Message& message) {
  for (const auto& member : replica.members) {
    bool is_mismatch = member.id == message.from && member.instance != 0 &&
                       member.instance != message.instance;
    if (is_mismatch) {
      ++replica.rejected_instances;
      return false;
    }
  }
  return true;
}

bool IsFromLeader(const Message& message) {
  return message.kind == MessageKind::kAppend ||
         message.kind == MessageKind::kSnapshot;
}

// Returns whether the message's term is only proposed by a pre-vote: the
// replica that started it has not entered the term, so the receiver must not
// adopt it.
bool IsPreVote(const Message& message) {
  return message.kind == MessageKind::kPreVote ||
         (message.kind == MessageKind::kPreVoteReply && message.granted);
}

// Returns the number of members that were added, removed or changed.
size_t CountDifferences(const std::vector<Member>& a,
                        const std::vector<Member>& b) {
  auto missing = [](const auto& from, const auto& in) {
    return std::count_if(from.begin(), from.end(), [&](const Member& m) {
      return std::find(in.begin(), in.end(), m) == in.end();
    });
  };
  return std::max(missing(a, b), missing(b, a));
}

}  // namespace

Replica StartReplica(StartState start, Instant now) {
  Replica replica;
  replica.id = start.id;
  replica.instance = start.instance;
  replica.tolerated_disk_losses = start.tolerated_disk_losses;
  replica.random.seed(start.seed);
  replica.hard_state = std::move(start.hard_state);
  replica.snapshot = std::move(start.snapshot);
  replica.entries.assign(start.entries.begin(), start.entries.end());
  replica.commit = std::max(replica.snapshot.index,
                            std::min(start.commit_hint, LastIndex(replica)));
  replica.applied = replica.snapshot.index;
  UpdateMembersFromLog(replica);
  ResetElectionDeadline(replica, now);
  return replica;
}

Output OnStart(Replica& replica) {
  Output output;
  CollectCommitted(replica, output);
  return output;
}

Output OnTick(Replica& replica, Instant now) {
  Output output;
  if (replica.role == Role::kLeader) {
    replica.last_contact_at = LastQuorumContact(replica, now);
    if (now >= replica.last_contact_at + kElectionTimeoutMax) {
      BecomeFollower(replica, replica.hard_state.term, now, output);
      return output;
    }
    PromoteLearners(replica, now, output);
    if (now >= replica.heartbeat_deadline) {
      BroadcastAppend(replica, now, output);
    }
    return output;
  }
  if (now < replica.election_deadline) {
    return output;
  }
  if (!IsVoter(replica, replica.id)) {
    replica.leader = 0;
    ResetElectionDeadline(replica, now);
    return output;
  }
  StartPreVote(replica, now, output);
  return output;
}

Output OnMessage(Replica& replica, const Message& message, Instant now) {
  Output output;
  if (message.to != replica.id || !CheckInstance(replica, message)) {
    return output;
  }
  if (message.term > replica.hard_state.term && !IsPreVote(message)) {
    BecomeFollower(replica, message.term, now, output);
  }
  if (message.term < replica.hard_state.term &&
      message.kind != MessageKind::kPreVote) {
    if (IsFromLeader(message) || message.kind == MessageKind::kVote) {
      // The reply tells the sender that its term is outdated.
      output.messages.push_back(MakeMessage(replica,
                                            IsFromLeader(message)
                                                ? MessageKind::kAppendReply
                                                : MessageKind::kVoteReply,
                                            message.from));
    }
    return output;
  }
  switch (message.kind) {
    case MessageKind::kPreVote:
      OnPreVote(replica, message, now, output);
      break;
    case MessageKind::kVote:
      OnVote(replica, message, now, output);
      break;
    case MessageKind::kPreVoteReply:
    case MessageKind::kVoteReply:
      OnVoteReply(replica, message, now, output);
      break;
    case MessageKind::kAppend:
      OnAppend(replica, message, now, output);
      break;
    case MessageKind::kAppendReply:
      OnAppendReply(replica, message, now, output);
      break;
    case MessageKind::kSnapshot:
      OnSnapshot(replica, message, now, output);
      break;
    case MessageKind::kTimeoutNow:
      OnTimeoutNow(replica, message, now, output);
      break;
  }
  return output;
}

ProposeResult Propose(Replica& replica, std::string command, Instant now) {
  ProposeResult result;
  if (replica.role != Role::kLeader) {
    return result;
  }
  AppendEntry(replica, EntryKind::kCommand, std::move(command), result.output);
  result.status = ProposeStatus::kAccepted;
  result.index = LastIndex(replica);
  result.term = replica.hard_state.term;
  AdvanceCommit(replica, result.output);
  BroadcastAppend(replica, now, result.output);
  return result;
}

ProposeResult ProposeMembers(Replica& replica,
                             std::vector<Member> members,
                             Instant now) {
  ProposeResult result;
  if (replica.role != Role::kLeader) {
    return result;
  }
  if (!CanChangeMembers(replica) ||
      CountDifferences(replica.members, members) > 1) {
    result.status = ProposeStatus::kBusy;
    return result;
  }
  // Of the list before the change: that of an earlier version has no number.
  replica.min_voters = MinVoters(replica);
  replica.members = std::move(members);
  AppendMembers(replica, result.output);
  SyncProgressWithMembers(replica, now);
  result.status = ProposeStatus::kAccepted;
  result.index = LastIndex(replica);
  result.term = replica.hard_state.term;
  AdvanceCommit(replica, result.output);
  BroadcastAppend(replica, now, result.output);
  return result;
}

ReadTicket StartRead(Replica& replica, Instant now) {
  ReadTicket ticket;
  // The commit index is sure to cover everything that earlier leaders committed
  // only once an entry of this term is committed.
  bool has_committed_in_term =
      replica.role == Role::kLeader &&
      TermAt(replica, replica.commit) == replica.hard_state.term;
  if (!has_committed_in_term) {
    return ticket;
  }
  ++replica.read_round;
  BroadcastAppend(replica, now, ticket.output);
  ticket.term = replica.hard_state.term;
  ticket.read_round = replica.read_round;
  ticket.index = replica.commit;
  return ticket;
}

ReadStatus CheckRead(const Replica& replica, Term term, uint64_t read_round) {
  if (replica.role != Role::kLeader || replica.hard_state.term != term) {
    return ReadStatus::kFailed;
  }
  auto n = std::count_if(
      replica.members.begin(), replica.members.end(), [&](const Member& m) {
        auto it = replica.progress.find(m.id);
        bool has_replied =
            it != replica.progress.end() && it->second.read_round >= read_round;
        return m.is_voter && (m.id == replica.id || has_replied);
      });
  return n >= static_cast<std::ptrdiff_t>(Majority(replica))
             ? ReadStatus::kConfirmed
             : ReadStatus::kWaiting;
}

LogSize AppliedLogSize(const Replica& replica) {
  LogSize size;
  size.entries = replica.applied - replica.snapshot.index;
  for (size_t i = 0; i < size.entries; ++i) {
    size.bytes += replica.entries[i].payload.size();
  }
  return size;
}

Output Compact(Replica& replica, std::string data) {
  Output output;
  if (replica.applied <= replica.snapshot.index) {
    return output;
  }
  Snapshot next;
  next.index = replica.applied;
  next.term = *TermAt(replica, replica.applied);
  next.data = std::move(data);
  next.members = replica.snapshot.members;
  next.min_voters = replica.snapshot.min_voters;
  while (!replica.entries.empty() &&
         replica.entries.front().index <= next.index) {
    const auto& entry = replica.entries.front();
    if (entry.kind == EntryKind::kMembers) {
      auto members = MembersFromJson(boost::json::parse(entry.payload));
      AssertInvariant(members.has_value(),
                      "a member list in the log can be decoded");
      next.members = *members;
      next.min_voters = entry.min_voters;
    }
    replica.entries.pop_front();
  }
  replica.snapshot = std::move(next);
  output.persist.snapshot = replica.snapshot;
  return output;
}

Index LastIndex(const Replica& replica) {
  return replica.snapshot.index + replica.entries.size();
}

bool IsVoter(const Replica& replica, ReplicaId id) {
  return std::any_of(replica.members.begin(), replica.members.end(),
                     [&](const Member& m) { return m.id == id && m.is_voter; });
}

}  // namespace acaciahold::consensus
