// Elections, replication and commitment of the replicated log.

#include "acaciahold/Consensus/replica.h"

#include <algorithm>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "acaciahold/Support/check.h"

namespace acaciahold::consensus {
namespace {

constexpr Duration kSnapshotResendInterval = std::chrono::seconds(2);
constexpr Duration kAppendResendInterval = std::chrono::milliseconds(300);

const LogEntry* EntryAt(const Replica& replica, Index index) {
  if (index <= replica.snapshot.index || index > LastIndex(replica)) {
    return nullptr;
  }
  return &replica.entries[index - replica.snapshot.index - 1];
}

// The term of the entry at the index; nothing where it is not known.
std::optional<Term> TermAt(const Replica& replica, Index index) {
  if (index == replica.snapshot.index) {
    return replica.snapshot.term;
  }
  const auto* entry = EntryAt(replica, index);
  if (!entry) {
    return std::nullopt;
  }
  return entry->term;
}

Term LastTerm(const Replica& replica) {
  return *TermAt(replica, LastIndex(replica));
}

size_t CountVoters(const Replica& replica) {
  return std::count_if(replica.members.begin(), replica.members.end(),
                       [](const Member& m) { return m.is_voter; });
}

size_t Majority(const Replica& replica) {
  return CountVoters(replica) / 2 + 1;
}

// Votes that win an election. The first one of a deployment takes every
// member's: its winner writes down all instances, so that any replica with an
// entry in its log knows them.
size_t VotesToWin(const Replica& replica) {
  return LastIndex(replica) == 0 ? CountVoters(replica) : Majority(replica);
}

void ResetElectionDeadline(Replica& replica, Instant now) {
  bool is_starting = replica.current_as_of == Instant();
  std::uniform_int_distribution<Duration::rep> spread(
      (is_starting ? kStartElectionTimeoutMin : kElectionTimeoutMin).count(),
      (is_starting ? kStartElectionTimeoutMax : kElectionTimeoutMax).count());
  replica.election_deadline = now + Duration(spread(replica.random));
}

void SaveHardState(const Replica& replica, Output& output) {
  output.persist.hard_state = replica.hard;
}

// The newest member list at or below the end of the log.
void FindMembers(Replica& replica) {
  replica.members = replica.snapshot.members;
  replica.members_index = replica.snapshot.index;
  for (auto it = replica.entries.rbegin(); it != replica.entries.rend(); ++it) {
    if (it->kind != EntryKind::kMembers) {
      continue;
    }
    auto members = MembersFromJson(boost::json::parse(it->payload));
    AssertInvariant(members.has_value(),
                    "a member list in the log is readable");
    replica.members = *members;
    replica.members_index = it->index;
    return;
  }
}

Message MakeMessage(const Replica& replica, MessageKind kind, ReplicaId to) {
  Message message;
  message.kind = kind;
  message.from = replica.id;
  message.to = to;
  message.instance = replica.instance;
  message.term = replica.hard.term;
  return message;
}

void BecomeFollower(Replica& replica, Term term, Instant now, Output& output) {
  if (term > replica.hard.term) {
    replica.hard.term = term;
    replica.hard.voted_for = 0;
    SaveHardState(replica, output);
  }
  if (replica.role != Role::kFollower) {
    ResetElectionDeadline(replica, now);
  }
  replica.role = Role::kFollower;
  replica.leader = 0;
  replica.votes.clear();
  replica.progress.clear();
}

void AppendEntry(Replica& replica,
                 EntryKind kind,
                 std::string payload,
                 Output& output) {
  LogEntry entry{LastIndex(replica) + 1, replica.hard.term, kind,
                 std::move(payload)};
  replica.entries.push_back(entry);
  output.persist.append.push_back(std::move(entry));
}

void CollectCommitted(Replica& replica, Output& output) {
  if (replica.applied < replica.commit) {
    output.persist.commit_hint = replica.commit;
  }
  while (replica.applied < replica.commit) {
    const auto* entry = EntryAt(replica, ++replica.applied);
    AssertInvariant(entry, "a committed entry is in the log");
    output.committed.push_back(*entry);
  }
}

// Commits what a majority has stored, if it ends in this leader's term.
void AdvanceCommit(Replica& replica, Output& output) {
  std::vector<Index> matches;
  for (const auto& member : replica.members) {
    if (!member.is_voter) {
      continue;
    }
    matches.push_back(member.id == replica.id
                          ? LastIndex(replica)
                          : replica.progress[member.id].match);
  }
  if (matches.empty()) {
    return;
  }
  std::sort(matches.begin(), matches.end(), std::greater<>());
  Index index = matches[Majority(replica) - 1];
  if (index > replica.commit && TermAt(replica, index) == replica.hard.term) {
    replica.commit = index;
    CollectCommitted(replica, output);
  }
}

void SendSnapshot(Replica& replica, ReplicaId to, Instant now, Output& output) {
  auto message = MakeMessage(replica, MessageKind::kSnapshot, to);
  message.snapshot = replica.snapshot;
  output.messages.push_back(std::move(message));
  replica.progress[to].resend_deadline = now + kSnapshotResendInterval;
}

void SendAppend(Replica& replica, ReplicaId to, Instant now, Output& output) {
  auto& progress = replica.progress[to];
  if (progress.next <= replica.snapshot.index) {
    if (now >= progress.resend_deadline) {
      SendSnapshot(replica, to, now, output);
    }
    return;
  }
  auto message = MakeMessage(replica, MessageKind::kAppend, to);
  message.index = progress.next - 1;
  message.log_term = *TermAt(replica, message.index);
  message.commit = replica.commit;
  message.round = replica.round;
  if (now >= progress.resend_deadline) {
    Index end = std::min<Index>(LastIndex(replica),
                                progress.next + kMaxEntriesPerAppend - 1);
    size_t n = 0;
    for (Index i = progress.next; i <= end && n < kMaxBytesPerAppend; ++i) {
      message.entries.push_back(*EntryAt(replica, i));
      n += message.entries.back().payload.size();
    }
  }
  if (!message.entries.empty()) {
    progress.resend_deadline = now + kAppendResendInterval;
  }
  output.messages.push_back(std::move(message));
}

void BroadcastAppend(Replica& replica, Instant now, Output& output) {
  for (const auto& member : replica.members) {
    if (member.id != replica.id) {
      SendAppend(replica, member.id, now, output);
    }
  }
  replica.heartbeat_deadline = now + kHeartbeatInterval;
}

// Brings `progress` in line with the newest members.
void TrackMembers(Replica& replica, Instant now) {
  std::erase_if(replica.progress, [&](const auto& it) {
    return std::none_of(replica.members.begin(), replica.members.end(),
                        [&](const Member& m) { return m.id == it.first; });
  });
  for (const auto& member : replica.members) {
    if (member.id != replica.id && !replica.progress.contains(member.id)) {
      replica.progress[member.id] = {LastIndex(replica) + 1, 0, now, now};
    }
  }
}

void AppendMembers(Replica& replica, Output& output) {
  AppendEntry(replica, EntryKind::kMembers,
              boost::json::serialize(ToJson(replica.members)), output);
  replica.members_index = LastIndex(replica);
}

// Opens the leader's term. The first entry of all names the instances.
void OpenTerm(Replica& replica, Output& output) {
  if (LastIndex(replica) > 0) {
    AppendEntry(replica, EntryKind::kNoOp, "", output);
    return;
  }
  for (auto& member : replica.members) {
    member.instance = replica.votes.at(member.id);
  }
  AppendMembers(replica, output);
}

void BecomeLeader(Replica& replica, Instant now, Output& output) {
  replica.role = Role::kLeader;
  replica.leader = replica.id;
  replica.current_as_of = now;
  replica.progress.clear();
  TrackMembers(replica, now);
  OpenTerm(replica, output);
  AdvanceCommit(replica, output);
  BroadcastAppend(replica, now, output);
}

void AskForVotes(Replica& replica,
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
  ++replica.hard.term;
  replica.hard.voted_for = replica.id;
  SaveHardState(replica, output);
  ResetElectionDeadline(replica, now);
  AskForVotes(replica, MessageKind::kVote, replica.hard.term, output);
  if (replica.votes.size() >= VotesToWin(replica)) {
    BecomeLeader(replica, now, output);
  }
}

// Asks first whether an election could be won, so that a replica that was cut
// off does not disturb the others with a higher term.
void StartPreVote(Replica& replica, Instant now, Output& output) {
  replica.role = Role::kPreCandidate;
  replica.leader = 0;
  ResetElectionDeadline(replica, now);
  AskForVotes(replica, MessageKind::kPreVote, replica.hard.term + 1, output);
  if (replica.votes.size() >= VotesToWin(replica)) {
    StartElection(replica, now, output);
  }
}

bool IsLogCurrent(const Replica& replica, const Message& message) {
  if (message.log_term != LastTerm(replica)) {
    return message.log_term > LastTerm(replica);
  }
  return message.index >= LastIndex(replica);
}

void OnPreVote(Replica& replica,
               const Message& message,
               Instant now,
               Output& output) {
  bool leader_is_heard = replica.leader != 0 && replica.role != Role::kLeader &&
                         now < replica.current_as_of + kElectionTimeoutMin;
  auto reply = MakeMessage(replica, MessageKind::kPreVoteReply, message.from);
  reply.granted = replica.role != Role::kLeader && !leader_is_heard &&
                  message.term > replica.hard.term &&
                  IsLogCurrent(replica, message);
  reply.term = reply.granted ? message.term : replica.hard.term;
  output.messages.push_back(std::move(reply));
}

void OnVote(Replica& replica,
            const Message& message,
            Instant now,
            Output& output) {
  auto reply = MakeMessage(replica, MessageKind::kVoteReply, message.from);
  bool is_free =
      replica.hard.voted_for == 0 || replica.hard.voted_for == message.from;
  reply.granted = message.term == replica.hard.term && is_free &&
                  IsLogCurrent(replica, message);
  if (reply.granted) {
    replica.hard.voted_for = message.from;
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
  Role wanted = is_pre_vote ? Role::kPreCandidate : Role::kCandidate;
  Term term = is_pre_vote ? replica.hard.term + 1 : replica.hard.term;
  if (replica.role != wanted || !message.granted || message.term != term ||
      !IsVoter(replica, message.from)) {
    return;
  }
  replica.votes[message.from] = message.instance;
  if (replica.votes.size() < VotesToWin(replica)) {
    return;
  }
  if (is_pre_vote) {
    StartElection(replica, now, output);
  } else {
    BecomeLeader(replica, now, output);
  }
}

// Drops the log from the index on.
void Truncate(Replica& replica, Index from, Output& output) {
  AssertInvariant(from > replica.commit, "a committed entry is never dropped");
  while (LastIndex(replica) >= from) {
    replica.entries.pop_back();
  }
  output.persist.truncate_from = from;
}

void StoreEntries(Replica& replica,
                  const std::vector<LogEntry>& entries,
                  Output& output) {
  bool members_changed = false;
  for (const auto& entry : entries) {
    if (entry.index <= replica.snapshot.index) {
      continue;
    }
    const auto* known = EntryAt(replica, entry.index);
    if (known && known->term == entry.term) {
      continue;
    }
    if (known) {
      Truncate(replica, entry.index, output);
      members_changed = true;
    }
    if (entry.index != LastIndex(replica) + 1) {
      break;  // A gap: the leader sends what is missing.
    }
    replica.entries.push_back(entry);
    output.persist.append.push_back(entry);
    members_changed |= entry.kind == EntryKind::kMembers;
  }
  if (members_changed) {
    FindMembers(replica);
  }
}

void FollowLeader(Replica& replica,
                  const Message& message,
                  Instant now,
                  Output& output) {
  if (replica.role != Role::kFollower) {
    BecomeFollower(replica, message.term, now, output);
  }
  replica.leader = message.from;
  replica.current_as_of = now;
  ResetElectionDeadline(replica, now);
}

void OnAppend(Replica& replica,
              const Message& message,
              Instant now,
              Output& output) {
  FollowLeader(replica, message, now, output);
  auto reply = MakeMessage(replica, MessageKind::kAppendReply, message.from);
  reply.round = message.round;
  bool is_below = message.index < replica.snapshot.index;
  auto term = TermAt(replica, message.index);
  if (!is_below && term != message.log_term) {
    // The leader retries from the end of this log or before the mismatch.
    reply.index =
        std::min(LastIndex(replica), message.index > 0 ? message.index - 1 : 0);
    reply.index = std::max(reply.index, replica.commit);
    output.messages.push_back(std::move(reply));
    return;
  }
  StoreEntries(replica, message.entries, output);
  Index matched =
      message.entries.empty() ? message.index : message.entries.back().index;
  reply.granted = true;
  reply.index =
      std::min(std::max(matched, replica.snapshot.index), LastIndex(replica));
  Index commit = std::min(message.commit, reply.index);
  if (commit > replica.commit) {
    replica.commit = commit;
    CollectCommitted(replica, output);
  }
  output.messages.push_back(std::move(reply));
}

// The instant up to which a majority of voters has been heard.
Instant QuorumHeardAt(const Replica& replica, Instant now) {
  std::vector<Instant> heard;
  for (const auto& member : replica.members) {
    if (!member.is_voter) {
      continue;
    }
    auto it = replica.progress.find(member.id);
    heard.push_back(it == replica.progress.end() ? now : it->second.heard_at);
  }
  std::sort(heard.begin(), heard.end(), std::greater<>());
  return heard.empty() ? now : heard[Majority(replica) - 1];
}

// Whether every voter was heard of late.
bool AllVotersHeard(const Replica& replica, Instant now) {
  return std::all_of(replica.members.begin(), replica.members.end(),
                     [&](const Member& m) {
                       auto it = replica.progress.find(m.id);
                       return !m.is_voter || it == replica.progress.end() ||
                              now < it->second.heard_at + kElectionTimeoutMax;
                     });
}

// A learner that has the whole committed log becomes a voter. Beside a silent
// voter it would only raise the majority; it takes that one's place instead.
void PromoteLearners(Replica& replica, Instant now, Output& output) {
  if (replica.members_index > replica.commit || !AllVotersHeard(replica, now)) {
    return;
  }
  for (auto& member : replica.members) {
    auto it = replica.progress.find(member.id);
    if (member.is_voter || it == replica.progress.end() ||
        it->second.match < replica.commit) {
      continue;
    }
    member.is_voter = true;
    member.instance = it->second.instance;
    AppendMembers(replica, output);
    BroadcastAppend(replica, now, output);
    return;
  }
}

void OnAppendReply(Replica& replica,
                   const Message& message,
                   Instant now,
                   Output& output) {
  auto it = replica.progress.find(message.from);
  if (replica.role != Role::kLeader || it == replica.progress.end()) {
    return;
  }
  auto& progress = it->second;
  progress.heard_at = now;
  progress.instance = message.instance;
  progress.round = std::max(progress.round, message.round);
  replica.current_as_of = QuorumHeardAt(replica, now);
  if (!message.granted) {
    progress.next = std::max(progress.match + 1,
                             std::min(progress.next - 1, message.index + 1));
    progress.resend_deadline = now;
    SendAppend(replica, message.from, now, output);
    return;
  }
  if (message.index > progress.match) {
    progress.match = message.index;
    progress.resend_deadline = now;
  }
  progress.next = std::max(progress.next, progress.match + 1);
  Index commit_before = replica.commit;
  AdvanceCommit(replica, output);
  PromoteLearners(replica, now, output);
  if (replica.commit > commit_before) {
    BroadcastAppend(replica, now, output);
  } else if (progress.next <= LastIndex(replica) &&
             now >= progress.resend_deadline) {
    SendAppend(replica, message.from, now, output);
  }
}

// Puts the snapshot before the log. Entries that follow it are kept where the
// log leads up to it: others may count on them being stored here.
void InstallSnapshot(Replica& replica,
                     const Snapshot& snapshot,
                     Output& output) {
  if (TermAt(replica, snapshot.index) == snapshot.term) {
    while (!replica.entries.empty() &&
           replica.entries.front().index <= snapshot.index) {
      replica.entries.pop_front();
    }
  } else {
    replica.entries.clear();
    output.persist.truncate_from = snapshot.index + 1;
  }
  replica.snapshot = snapshot;
}

void OnSnapshot(Replica& replica,
                const Message& message,
                Instant now,
                Output& output) {
  FollowLeader(replica, message, now, output);
  auto reply = MakeMessage(replica, MessageKind::kAppendReply, message.from);
  reply.granted = true;
  if (message.snapshot.index <= replica.commit) {
    reply.index = replica.commit;
    output.messages.push_back(std::move(reply));
    return;
  }
  InstallSnapshot(replica, message.snapshot, output);
  replica.commit = replica.snapshot.index;
  replica.applied = replica.snapshot.index;
  FindMembers(replica);
  output.persist.snapshot = replica.snapshot;
  output.restore = replica.snapshot;
  reply.index = replica.snapshot.index;
  output.messages.push_back(std::move(reply));
}

// Whether the sender still has the data folder that the members' list names.
bool CheckInstance(Replica& replica, const Message& message) {
  for (const auto& member : replica.members) {
    bool is_other = member.id == message.from && member.instance != 0 &&
                    member.instance != message.instance;
    if (is_other) {
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

bool IsPreVote(const Message& message) {
  return message.kind == MessageKind::kPreVote ||
         (message.kind == MessageKind::kPreVoteReply && message.granted);
}

// How many members gain or lose a vote, or appear or disappear.
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
  replica.random.seed(start.seed);
  replica.hard = std::move(start.hard);
  replica.snapshot = std::move(start.snapshot);
  replica.entries.assign(start.entries.begin(), start.entries.end());
  replica.commit = std::max(replica.snapshot.index,
                            std::min(start.commit_hint, LastIndex(replica)));
  replica.applied = replica.snapshot.index;
  FindMembers(replica);
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
    replica.current_as_of = QuorumHeardAt(replica, now);
    if (now >= replica.current_as_of + kElectionTimeoutMax) {
      BecomeFollower(replica, replica.hard.term, now, output);
      return output;
    }
    if (now >= replica.heartbeat_deadline) {
      PromoteLearners(replica, now, output);
      BroadcastAppend(replica, now, output);
    }
    return output;
  }
  if (now < replica.election_deadline) {
    return output;
  }
  if (!IsVoter(replica, replica.id)) {
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
  if (message.term > replica.hard.term && !IsPreVote(message)) {
    BecomeFollower(replica, message.term, now, output);
  }
  if (message.term < replica.hard.term &&
      message.kind != MessageKind::kPreVote) {
    if (IsFromLeader(message) || message.kind == MessageKind::kVote) {
      // Tells an outdated sender the current term.
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
  result.term = replica.hard.term;
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
  // A leader changes members only after it has committed in its own term.
  bool is_settled = replica.members_index <= replica.commit &&
                    TermAt(replica, replica.commit) == replica.hard.term;
  if (!is_settled || CountDifferences(replica.members, members) > 1) {
    result.status = ProposeStatus::kBusy;
    return result;
  }
  replica.members = std::move(members);
  AppendMembers(replica, result.output);
  TrackMembers(replica, now);
  result.status = ProposeStatus::kAccepted;
  result.index = LastIndex(replica);
  result.term = replica.hard.term;
  AdvanceCommit(replica, result.output);
  BroadcastAppend(replica, now, result.output);
  return result;
}

ReadTicket StartRead(Replica& replica, Instant now) {
  ReadTicket ticket;
  // What earlier leaders committed is known only with an entry of this term.
  bool is_settled = replica.role == Role::kLeader &&
                    TermAt(replica, replica.commit) == replica.hard.term;
  if (!is_settled) {
    return ticket;
  }
  ++replica.round;
  BroadcastAppend(replica, now, ticket.output);
  ticket.term = replica.hard.term;
  ticket.round = replica.round;
  ticket.index = replica.commit;
  return ticket;
}

ReadStatus CheckRead(const Replica& replica, Term term, uint64_t round) {
  if (replica.role != Role::kLeader || replica.hard.term != term) {
    return ReadStatus::kFailed;
  }
  auto n = std::count_if(
      replica.members.begin(), replica.members.end(), [&](const Member& m) {
        auto it = replica.progress.find(m.id);
        bool has_answered =
            it != replica.progress.end() && it->second.round >= round;
        return m.is_voter && (m.id == replica.id || has_answered);
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
  while (!replica.entries.empty() &&
         replica.entries.front().index <= next.index) {
    const auto& entry = replica.entries.front();
    if (entry.kind == EntryKind::kMembers) {
      auto members = MembersFromJson(boost::json::parse(entry.payload));
      AssertInvariant(members.has_value(),
                      "a member list in the log is readable");
      next.members = *members;
    }
    replica.entries.pop_front();
  }
  replica.snapshot = std::move(next);
  output.persist.snapshot = replica.snapshot;
  return output;
}

Instant NextDeadline(const Replica& replica) {
  return replica.role == Role::kLeader ? replica.heartbeat_deadline
                                       : replica.election_deadline;
}

Index LastIndex(const Replica& replica) {
  return replica.snapshot.index + replica.entries.size();
}

bool IsVoter(const Replica& replica, ReplicaId id) {
  return std::any_of(replica.members.begin(), replica.members.end(),
                     [&](const Member& m) { return m.id == id && m.is_voter; });
}

}  // namespace acaciahold::consensus
