// Types that replicas of the log exchange and store.

#ifndef ACACIAHOLD_CONSENSUS_MESSAGE_H_
#define ACACIAHOLD_CONSENSUS_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "acaciahold/Support/address.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::consensus {

using ReplicaId = uint32_t;  // Above 0.
using Term = uint64_t;
using Index = uint64_t;  // The first entry has index 1.

// A member of the group. A learner receives the log and has no vote. The
// instance names the member's data folder: a replica that comes back with
// another folder under its old id has lost its votes, and is not listened to.
struct Member {
  ReplicaId id = 0;
  Endpoint admin;
  bool is_voter = true;
  uint64_t instance = 0;  // 0 until a leader has written it down.

  bool operator==(const Member&) const = default;
};

enum class EntryKind {
  kNoOp,     // Opens a leader's term.
  kCommand,  // For the state machine.
  kMembers,  // The payload is the new list of members.
};

struct LogEntry {
  Index index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::kNoOp;
  std::string payload;

  bool operator==(const LogEntry&) const = default;
};

// The state machine and the members after applying the log up to `index`.
struct Snapshot {
  Index index = 0;
  Term term = 0;
  std::vector<Member> members;
  std::string data;

  bool operator==(const Snapshot&) const = default;
};

// What a replica must not forget between restarts, besides the log.
struct HardState {
  Term term = 0;
  ReplicaId voted_for = 0;  // 0 for nobody in this term.

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
};

struct Message {
  MessageKind kind = MessageKind::kAppend;
  ReplicaId from = 0;
  ReplicaId to = 0;
  uint64_t instance = 0;  // Of the sender's data folder.
  Term term = 0;
  // kVote, kPreVote: the sender's last entry. kAppend: the entry before
  // `entries`. kAppendReply: the highest matching index, or where to retry.
  Index index = 0;
  Term log_term = 0;
  Index commit = 0;               // kAppend: the leader's commit index.
  uint64_t round = 0;             // kAppend, and sent back by kAppendReply.
  bool granted = false;           // kVoteReply, kPreVoteReply, kAppendReply.
  std::vector<LogEntry> entries;  // kAppend.
  Snapshot snapshot;              // kSnapshot.
};

boost::json::value ToJson(const Message& message);
boost::json::value ToJson(const LogEntry& entry);
boost::json::value ToJson(const HardState& state);
boost::json::value ToJson(const Snapshot& snapshot);
boost::json::value ToJson(const std::vector<Member>& members);

// Each fails with FieldError where the value has another form.
Result<Message> MessageFromJson(const boost::json::value& value);
Result<LogEntry> EntryFromJson(const boost::json::value& value);
Result<HardState> HardStateFromJson(const boost::json::value& value);
Result<Snapshot> SnapshotFromJson(const boost::json::value& value);
Result<std::vector<Member>> MembersFromJson(const boost::json::value& value);

}  // namespace acaciahold::consensus

#endif  // ACACIAHOLD_CONSENSUS_MESSAGE_H_
