// Types that replicas of the log exchange and store, with their JSON encoding.

#ifndef ACACIAHOLD_CONSENSUS_MESSAGE_H_
#define ACACIAHOLD_CONSENSUS_MESSAGE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "acaciahold/Support/address.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::consensus {

using ReplicaId = uint32_t;  // Greater than 0.
using Term = uint64_t;
using Index = uint64_t;  // The first entry has index 1.

// A member of the group. A learner receives the log and has no vote. The
// instance identifies the member's data folder: a replica that comes back under
// its old id with another folder no longer knows how it voted, so the others
// ignore its messages.
struct Member {
  ReplicaId id = 0;
  Endpoint endpoint;  // Where other hosts reach the member.
  bool is_voter = true;
  uint64_t instance = 0;  // 0 until a leader has recorded it in the log.

  bool operator==(const Member&) const = default;
};

enum class EntryKind {
  kNoOp,     // The first entry of a leader's term.
  kCommand,  // The payload is a command for the state machine.
  kMembers,  // The payload is the new list of members.
};

struct LogEntry {
  Index index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kNoOp;
  std::string payload;
  // kMembers: how many voters the leader kept at least when it appended the
  // list (see MinVoters). 0 if it was of an earlier version.
  size_t min_voters = 0;

  bool operator==(const LogEntry&) const = default;
};

// The state machine and the members after applying the log up to `index`.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  std::vector<Member> members;
  std::string data;
  size_t min_voters = 0;  // Of the entry that holds `members`.

  bool operator==(const Snapshot&) const = default;
};

// State that must survive a restart, besides the log and the snapshot.
struct HardState {
  Term term = 0;
  ReplicaId voted_for = 0;  // 0 if it has not voted in this term.

  bool operator==(const HardState&) const = default;
};

enum class MessageKind {
  kPreVote,
  kPreVoteReply,
  kVote,
  kVoteReply,
  kAppend,
  kAppendReply,
  kSnapshot,
  // From a leader that is about to stop: the receiver starts an election
  // without a pre-vote. Hosts of earlier versions ignore it.
  kTimeoutNow,
};

struct Message {
  MessageKind kind = MessageKind::kAppend;
  ReplicaId from = 0;
  ReplicaId to = 0;
  uint64_t instance = 0;  // Identifies the sender's data folder.
  Term term = 0;
  // kVote, kPreVote: index of the sender's last entry. kAppend: index of the
  // entry before `entries`. kAppendReply: the highest index at which the logs
  // match if granted, else the index after which the leader should retry.
  Index index = 0;
  Term log_term = 0;              // Term of the entry at `index`.
  Index commit = 0;               // kAppend: the leader's commit index.
  uint64_t read_round = 0;        // kAppend: read round; echoed in the reply.
  bool granted = false;           // Replies: vote given, or append accepted.
  std::vector<LogEntry> entries;  // kAppend.
  Snapshot snapshot;              // kSnapshot.
};

boost::json::value ToJson(const Message& message);
boost::json::value ToJson(const LogEntry& entry);
boost::json::value ToJson(const HardState& state);
boost::json::value ToJson(const Snapshot& snapshot);
boost::json::value ToJson(const std::vector<Member>& members);

// Each fails with FieldError if the value does not have the expected form.
Result<Message> MessageFromJson(const boost::json::value& value);
Result<LogEntry> EntryFromJson(const boost::json::value& value);
Result<HardState> HardStateFromJson(const boost::json::value& value);
Result<Snapshot> SnapshotFromJson(const boost::json::value& value);
Result<std::vector<Member>> MembersFromJson(const boost::json::value& value);

}  // namespace acaciahold::consensus

#endif  // ACACIAHOLD_CONSENSUS_MESSAGE_H_
