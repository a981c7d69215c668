// Helpers that elections, replication and event handling share: access to the
// log and the members, and stepping down.

#include "replica_state.h"

#include <algorithm>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "acaciahold/Consensus/group.h"
#include "acaciahold/Support/check.h"

namespace acaciahold::consensus {

const LogEntry* EntryAt(const Replica& replica, Index index) {
  if (index <= replica.snapshot.index || index > LastIndex(replica)) {
    return nullptr;
  }
  return &replica.entries[index - replica.snapshot.index - 1];
}

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

size_t MajorityOf(size_t voters) {
  return voters / 2 + 1;
}

size_t Majority(const Replica& replica) {
  return MajorityOf(CountVoters(replica));
}

bool CanChangeMembers(const Replica& replica) {
  return replica.members_index <= replica.commit &&
         TermAt(replica, replica.commit) == replica.hard_state.term;
}

void ResetElectionDeadline(Replica& replica, Instant now) {
  bool no_leader_seen = replica.last_contact_at == Instant();
  Duration min_timeout =
      no_leader_seen ? kStartElectionTimeoutMin : kElectionTimeoutMin;
  Duration max_timeout =
      no_leader_seen ? kStartElectionTimeoutMax : kElectionTimeoutMax;
  uint32_t doublings = no_leader_seen ? std::min(replica.failed_pre_votes,
                                                 kMaxStartTimeoutDoublings)
                                      : 0;
  std::uniform_int_distribution<Duration::rep> distribution(
      min_timeout.count(), max_timeout.count() << doublings);
  replica.election_deadline = now + Duration(distribution(replica.random));
}

void SaveHardState(const Replica& replica, Output& output) {
  output.persist.hard_state = replica.hard_state;
}

void UpdateMembersFromLog(Replica& replica) {
  replica.members = replica.snapshot.members;
  replica.members_index = replica.snapshot.index;
  replica.min_voters = replica.snapshot.min_voters;
  for (auto it = replica.entries.rbegin(); it != replica.entries.rend(); ++it) {
    if (it->kind != EntryKind::kMembers) {
      continue;
    }
    auto members = MembersFromJson(boost::json::parse(it->payload));
    AssertInvariant(members.has_value(),
                    "a member list in the log can be decoded");
    replica.members = *members;
    replica.members_index = it->index;
    replica.min_voters = it->min_voters;
    return;
  }
}

Message MakeMessage(const Replica& replica, MessageKind kind, ReplicaId to) {
  Message message;
  message.kind = kind;
  message.from = replica.id;
  message.to = to;
  message.instance = replica.instance;
  message.term = replica.hard_state.term;
  return message;
}

void BecomeFollower(Replica& replica, Term term, Instant now, Output& output) {
  if (term > replica.hard_state.term) {
    replica.hard_state.term = term;
    replica.hard_state.voted_for = 0;
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
  LogEntry entry{LastIndex(replica) + 1, replica.hard_state.term, kind,
                 std::move(payload)};
  if (kind == EntryKind::kMembers) {
    entry.min_voters = replica.min_voters;
  }
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

void AppendMembers(Replica& replica, Output& output) {
  replica.min_voters = MinVoters(replica);
  AppendEntry(replica, EntryKind::kMembers,
              boost::json::serialize(ToJson(replica.members)), output);
  replica.members_index = LastIndex(replica);
}

}  // namespace acaciahold::consensus
