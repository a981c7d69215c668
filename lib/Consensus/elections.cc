// Leader election: pre-votes and votes.

#include "elections.h"

#include "acaciahold/Consensus/group.h"
#include "replica_state.h"
#include "replication.h"

namespace acaciahold::consensus {

namespace {

// Returns the number of votes that win an election. The first election of a
// deployment needs the votes of all members: its winner records all instances
// in the first log entry, so that every replica with an entry in its log knows
// them.
size_t VotesNeeded(const Replica& replica) {
  return LastIndex(replica) == 0 ? CountVoters(replica) : Majority(replica);
}

// Appends the first entry of the leader's term. The first entry of the log
// holds the member list with all instances.
void AppendFirstEntryOfTerm(Replica& replica, Output& output) {
  if (LastIndex(replica) > 0) {
    AppendEntry(replica, EntryKind::kNoOp, "", output);
    return;
  }
  for (auto& member : replica.members) {
    member.instance = replica.votes.at(member.id);
  }
  // A new group bore nothing before.
  replica.min_voters = kMinVoters;
  AppendMembers(replica, output);
}

void BecomeLeader(Replica& replica, Instant now, Output& output) {
  replica.role = Role::kLeader;
  replica.leader = replica.id;
  replica.last_contact_at = now;
  replica.failed_pre_votes = 0;
  replica.progress.clear();
  SyncProgressWithMembers(replica, now);
  AppendFirstEntryOfTerm(replica, output);
  AdvanceCommit(replica, output);
  BroadcastAppend(replica, now, output);
}

void SendVoteRequests(Replica& replica,
                      MessageKind kind,
                      Term term,
                      Output& output) {
  replica.votes = {{replica.id, replica.instance}};
  for (const auto& member : replica.members) {
    if (!member.is_voter || member.id == replica.id) {
      continue;
    }
    auto message = MakeMessage(replica, kind, member.id);
    message.term = term;
    message.index = LastIndex(replica);
    message.log_term = LastTerm(replica);
    output.messages.push_back(std::move(message));
  }
}

void StartElection(Replica& replica, Instant now, Output& output) {
  replica.role = Role::kCandidate;
  replica.leader = 0;
  ++replica.hard_state.term;
  replica.hard_state.voted_for = replica.id;
  SaveHardState(replica, output);
  ResetElectionDeadline(replica, now);
  SendVoteRequests(replica, MessageKind::kVote, replica.hard_state.term,
                   output);
  if (replica.votes.size() >= VotesNeeded(replica)) {
    BecomeLeader(replica, now, output);
  }
}

}  // namespace

void StartPreVote(Replica& replica, Instant now, Output& output) {
  replica.role = Role::kPreCandidate;
  ++replica.failed_pre_votes;
  replica.leader = 0;
  ResetElectionDeadline(replica, now);
  SendVoteRequests(replica, MessageKind::kPreVote, replica.hard_state.term + 1,
                   output);
  if (replica.votes.size() >= VotesNeeded(replica)) {
    StartElection(replica, now, output);
  }
}

void OnTimeoutNow(Replica& replica,
                  const Message& message,
                  Instant now,
                  Output& output) {
  bool is_from_leader = replica.role == Role::kFollower &&
                        replica.leader == message.from &&
                        IsVoter(replica, replica.id);
  if (is_from_leader) {
    StartElection(replica, now, output);
  }
}

namespace {

// Returns whether the sender's log is at least as up to date as this replica's.
bool IsLogUpToDate(const Replica& replica, const Message& message) {
  if (message.log_term != LastTerm(replica)) {
    return message.log_term > LastTerm(replica);
  }
  return message.index >= LastIndex(replica);
}

}  // namespace

void OnPreVote(Replica& replica,
               const Message& message,
               Instant now,
               Output& output) {
  bool has_live_leader = replica.leader != 0 && replica.role != Role::kLeader &&
                         now < replica.last_contact_at + kElectionTimeoutMin;
  auto reply = MakeMessage(replica, MessageKind::kPreVoteReply, message.from);
  reply.granted = replica.role != Role::kLeader && !has_live_leader &&
                  message.term > replica.hard_state.term &&
                  IsLogUpToDate(replica, message);
  reply.term = reply.granted ? message.term : replica.hard_state.term;
  output.messages.push_back(std::move(reply));
}

void OnVote(Replica& replica,
            const Message& message,
            Instant now,
            Output& output) {
  auto reply = MakeMessage(replica, MessageKind::kVoteReply, message.from);
  bool can_vote_for_sender = replica.hard_state.voted_for == 0 ||
                             replica.hard_state.voted_for == message.from;
  reply.granted = message.term == replica.hard_state.term &&
                  can_vote_for_sender && IsLogUpToDate(replica, message);
  if (reply.granted) {
    replica.hard_state.voted_for = message.from;
    SaveHardState(replica, output);
    ResetElectionDeadline(replica, now);
  }
  output.messages.push_back(std::move(reply));
}

void OnVoteReply(Replica& replica,
                 const Message& message,
                 Instant now,
                 Output& output) {
  bool is_pre_vote = message.kind == MessageKind::kPreVoteReply;
  Role expected_role = is_pre_vote ? Role::kPreCandidate : Role::kCandidate;
  Term term =
      is_pre_vote ? replica.hard_state.term + 1 : replica.hard_state.term;
  if (replica.role != expected_role || !message.granted ||
      message.term != term || !IsVoter(replica, message.from)) {
    return;
  }
  replica.votes[message.from] = message.instance;
  if (replica.votes.size() < VotesNeeded(replica)) {
    return;
  }
  if (is_pre_vote) {
    StartElection(replica, now, output);
  } else {
    BecomeLeader(replica, now, output);
  }
}

}  // namespace acaciahold::consensus
