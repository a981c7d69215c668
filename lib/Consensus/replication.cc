// Log replication: the leader's appends and snapshots, how followers store
// them, and commits.

#include "replication.h"

#include <algorithm>
#include <functional>
#include <vector>

#include "acaciahold/Consensus/group.h"
#include "acaciahold/Support/check.h"
#include "replica_state.h"

namespace acaciahold::consensus {

namespace {

constexpr Duration kSnapshotResendInterval = std::chrono::seconds(2);

constexpr Duration kAppendResendInterval = std::chrono::milliseconds(300);

}  // namespace

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
  if (index > replica.commit &&
      TermAt(replica, index) == replica.hard_state.term) {
    replica.commit = index;
    CollectCommitted(replica, output);
  }
}

namespace {

void SendSnapshot(Replica& replica, ReplicaId to, Instant now, Output& output) {
  auto message = MakeMessage(replica, MessageKind::kSnapshot, to);
  message.snapshot = replica.snapshot;
  output.messages.push_back(std::move(message));
  replica.progress[to].resend_deadline = now + kSnapshotResendInterval;
}

// Sends a heartbeat to a member whose log can't be continued. It follows the
// beginning of the log, so that every member accepts it.
void SendHeartbeat(const Replica& replica, ReplicaId to, Output& output) {
  auto message = MakeMessage(replica, MessageKind::kAppend, to);
  message.commit = replica.commit;
  message.read_round = replica.read_round;
  output.messages.push_back(std::move(message));
}

void SendAppend(Replica& replica, ReplicaId to, Instant now, Output& output) {
  auto& progress = replica.progress[to];
  if (progress.next <= replica.snapshot.index) {
    if (now >= progress.resend_deadline) {
      SendSnapshot(replica, to, now, output);
    }
    SendHeartbeat(replica, to, output);
    return;
  }
  auto message = MakeMessage(replica, MessageKind::kAppend, to);
  message.index = progress.next - 1;
  message.log_term = *TermAt(replica, message.index);
  message.commit = replica.commit;
  message.read_round = replica.read_round;
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

}  // namespace

void BroadcastAppend(Replica& replica, Instant now, Output& output) {
  for (const auto& member : replica.members) {
    if (member.id != replica.id) {
      SendAppend(replica, member.id, now, output);
    }
  }
  replica.heartbeat_deadline = now + kHeartbeatInterval;
}

namespace {

void StartRound(const Replica& replica, Progress& progress, Instant now) {
  progress.round_end = LastIndex(replica);
  progress.round_deadline = now + kElectionTimeoutMin;
}

// Ends the round if the member has stored what was in the log at its beginning.
void UpdateRound(const Replica& replica, Progress& progress, Instant now) {
  if (progress.match < progress.round_end) {
    return;
  }
  progress.is_caught_up = now < progress.round_deadline;
  StartRound(replica, progress, now);
}

}  // namespace

void SyncProgressWithMembers(Replica& replica, Instant now) {
  std::erase_if(replica.progress, [&](const auto& it) {
    return std::none_of(replica.members.begin(), replica.members.end(),
                        [&](const Member& m) { return m.id == it.first; });
  });
  for (const auto& member : replica.members) {
    if (member.id != replica.id && !replica.progress.contains(member.id)) {
      auto& progress = replica.progress[member.id];
      progress.next = LastIndex(replica) + 1;
      progress.last_reply_at = now;
      progress.resend_deadline = now;
      StartRound(replica, progress, now);
    }
  }
}

namespace {

// Drops the log entries from index `from` on.
void TruncateLogFrom(Replica& replica, Index from, Output& output) {
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
    const auto* existing = EntryAt(replica, entry.index);
    if (existing && existing->term == entry.term) {
      continue;
    }
    if (existing) {
      TruncateLogFrom(replica, entry.index, output);
      members_changed = true;
    }
    if (entry.index != LastIndex(replica) + 1) {
      break;  // Gap in the log: the leader sends the missing entries.
    }
    replica.entries.push_back(entry);
    output.persist.append.push_back(entry);
    members_changed |= entry.kind == EntryKind::kMembers;
  }
  if (members_changed) {
    UpdateMembersFromLog(replica);
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
  replica.last_contact_at = now;
  replica.failed_pre_votes = 0;
  ResetElectionDeadline(replica, now);
}

}  // namespace

void OnAppend(Replica& replica,
              const Message& message,
              Instant now,
              Output& output) {
  FollowLeader(replica, message, now, output);
  auto reply = MakeMessage(replica, MessageKind::kAppendReply, message.from);
  reply.read_round = message.read_round;
  bool precedes_snapshot = message.index < replica.snapshot.index;
  auto term = TermAt(replica, message.index);
  if (!precedes_snapshot && term != message.log_term) {
    // Tells the leader to retry after the end of this log or before the
    // mismatch, and never before a committed entry.
    reply.index =
        std::min(LastIndex(replica), message.index > 0 ? message.index - 1 : 0);
    reply.index = std::max(reply.index, replica.commit);
    output.messages.push_back(std::move(reply));
    return;
  }
  StoreEntries(replica, message.entries, output);
  Index matched_index =
      message.entries.empty() ? message.index : message.entries.back().index;
  reply.granted = true;
  reply.index = std::min(std::max(matched_index, replica.snapshot.index),
                         LastIndex(replica));
  Index commit = std::min(message.commit, reply.index);
  if (commit > replica.commit) {
    replica.commit = commit;
    CollectCommitted(replica, output);
  }
  output.messages.push_back(std::move(reply));
}

Instant LastQuorumContact(const Replica& replica, Instant now) {
  std::vector<Instant> contact_times;
  for (const auto& member : replica.members) {
    if (!member.is_voter) {
      continue;
    }
    auto it = replica.progress.find(member.id);
    contact_times.push_back(
        it == replica.progress.end() ? now : it->second.last_reply_at);
  }
  std::sort(contact_times.begin(), contact_times.end(), std::greater<>());
  return contact_times.empty() ? now : contact_times[Majority(replica) - 1];
}

void PromoteLearners(Replica& replica, Instant now, Output& output) {
  if (!CanChangeMembers(replica) || !CanPromote(replica, now)) {
    return;
  }
  for (auto& member : replica.members) {
    auto it = replica.progress.find(member.id);
    bool is_ready = !member.is_voter && it != replica.progress.end() &&
                    it->second.is_caught_up && now < it->second.round_deadline;
    if (!is_ready) {
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
  progress.last_reply_at = now;
  progress.has_replied = true;
  progress.instance = message.instance;
  progress.read_round = std::max(progress.read_round, message.read_round);
  replica.last_contact_at = LastQuorumContact(replica, now);
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
  UpdateRound(replica, progress, now);
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

namespace {

// Replaces the log up to snapshot.index by the snapshot. Later entries are kept
// if the log has the snapshot's last entry, since the leader may have counted
// them as stored here when it committed them; otherwise the whole log is
// dropped.
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

}  // namespace

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
  UpdateMembersFromLog(replica);
  output.persist.snapshot = replica.snapshot;
  output.restore = replica.snapshot;
  reply.index = replica.snapshot.index;
  output.messages.push_back(std::move(reply));
}

}  // namespace acaciahold::consensus
