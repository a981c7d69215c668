// One replica of the replicated log, in the manner of Raft, as a state machine
// without I/O. Every function takes the replica, one event and the current
// time, and returns an Output: the actions that the I/O layer must perform.
//
// The I/O layer performs an Output in this order: make `persist` durable, send
// `messages`, load `restore` into the state machine, apply `committed`. It must
// not skip any of them, and must not pass in the next event before `persist` is
// durable. A crash before that loses the whole Output, which is safe.

#ifndef ACACIAHOLD_CONSENSUS_REPLICA_H_
#define ACACIAHOLD_CONSENSUS_REPLICA_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <vector>

#include "acaciahold/Consensus/message.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::consensus {

inline constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(200);
inline constexpr Duration kElectionTimeoutMin = std::chrono::milliseconds(1000);
inline constexpr Duration kElectionTimeoutMax = std::chrono::milliseconds(2000);
// Election timeouts of a replica that has not heard from a leader since it
// started. They are short because all replicas may have started together, and
// pre-votes do not disturb a group that has a leader. The maximum doubles with
// each pre-vote that nobody wins, since otherwise the attempts of slow hosts
// would collide forever. Each start begins with the shortest maximum again.
inline constexpr Duration kStartElectionTimeoutMin =
    std::chrono::milliseconds(80);
inline constexpr Duration kStartElectionTimeoutMax =
    std::chrono::milliseconds(250);
inline constexpr uint32_t kMaxStartTimeoutDoublings = 4;  // Up to 4 s.
inline constexpr size_t kMaxEntriesPerAppend = 64;
// No further entry is added to an append once its payloads reach this size.
inline constexpr size_t kMaxBytesPerAppend = 1U << 20U;

enum class Role { kFollower, kPreCandidate, kCandidate, kLeader };

// Replication state of another member, as tracked by the leader.
struct Progress {
  Index next = 1;            // Index of the next entry to send.
  Index match = 0;           // Highest index known to be stored on the member.
  Instant last_reply_at;     // Before the first reply: when tracking began.
  bool has_replied = false;  // To this leader, in its current term.
  Instant resend_deadline;   // No entries or snapshots are sent before it.
  uint64_t instance = 0;     // Identifies the data folder of the last reply.
  uint64_t read_round = 0;   // The highest read round that it replied to.
  // Catching up goes in rounds: a round ends when the member has stored all
  // that was in the log when the round began.
  Index round_end = 0;
  Instant round_deadline;     // A round that ends later than this is too slow.
  bool is_caught_up = false;  // Whether the last round ended in time.
};

// Changes to durable state. They are written in this order: hard state,
// snapshot, log, commit hint.
struct Persist {
  std::optional<HardState> hard_state;
  // Entries up to and including snapshot->index are dropped from the log.
  std::optional<Snapshot> snapshot;
  // Drops entries from this index on, before `append` is added.
  std::optional<Index> truncate_from;
  std::vector<LogEntry> append;
  // Entries up to this index are committed. Lets the next start apply them at
  // once; need not be durable.
  std::optional<Index> commit_hint;

  // Whether there is nothing that must become durable.
  bool IsEmpty() const {
    return !hard_state && !snapshot && !truncate_from && append.empty();
  }
};

struct Output {
  Persist persist;
  std::vector<Message> messages;
  // Replaces the state of the state machine before `committed` is applied.
  std::optional<Snapshot> restore;
  std::vector<LogEntry> committed;
};

// Invariants: `entries` are contiguous from snapshot.index + 1; applied <=
// commit <= last index; terms in the log never decrease; a leader's `progress`
// holds every other member.
struct Replica {
  ReplicaId id = 0;
  uint64_t instance = 0;
  // See StartState.
  std::optional<uint32_t> tolerated_disk_losses;
  std::mt19937_64 random;
  HardState hard_state;
  Snapshot snapshot;
  std::deque<LogEntry> entries;
  Index commit = 0;
  Index applied = 0;
  Role role = Role::kFollower;
  ReplicaId leader = 0;  // 0 if not known.
  Instant election_deadline;
  // Pre-votes started since a leader was last known.
  uint32_t failed_pre_votes = 0;
  Instant heartbeat_deadline;
  // On a follower, when it last received a message from a leader; on the
  // leader, the latest time by which a majority of voters had replied.
  // Instant() until a leader is known for the first time since the start.
  Instant last_contact_at;
  std::map<ReplicaId, uint64_t> votes;  // Instance of each granting voter.
  std::map<ReplicaId, Progress> progress;
  // The newest member list in the log, committed or not.
  std::vector<Member> members;
  Index members_index = 0;  // Index of the entry that holds `members`.
  size_t min_voters = 0;    // Of that entry.
  // Messages ignored because the sender's instance was not the expected one.
  uint64_t rejected_instances = 0;
  uint64_t read_round = 0;  // Read round, incremented by each StartRead.
};

// State read from disk. `snapshot` holds the initial members if the data folder
// is new.
struct StartState {
  ReplicaId id = 0;
  uint64_t instance = 0;
  uint64_t seed = 0;
  // How many members may lose their disk at the same time, as the settings
  // say; nullopt: as many as the voters ever bore. See MinVoters.
  std::optional<uint32_t> tolerated_disk_losses;
  HardState hard_state;
  Snapshot snapshot;
  std::vector<LogEntry> entries;
  Index commit_hint = 0;  // At most the index of the last committed entry.
};

enum class ProposeStatus { kAccepted, kNotLeader, kBusy };

struct ProposeResult {
  ProposeStatus status = ProposeStatus::kNotLeader;
  Index index = 0;  // Index of the new entry, if accepted.
  Term term = 0;    // Term of the new entry, if accepted.
  Output output;
};

Replica StartReplica(StartState start, Instant now);

// Must be called once after StartReplica. Applies the entries up to the commit
// hint.
Output OnStart(Replica& replica);

// Must be called every few tens of milliseconds, whatever else happens: does
// what is due. Neither messages nor proposals nor reads may postpone the call.
Output OnTick(Replica& replica, Instant now);
Output OnMessage(Replica& replica, const Message& message, Instant now);
ProposeResult Propose(Replica& replica, std::string command, Instant now);

// Adds, removes or promotes one member. Returns kBusy if an earlier change is
// not committed yet, if this leader has not committed an entry in its own term
// yet, or if `members` differs from the current list by more than one member.
ProposeResult ProposeMembers(Replica& replica,
                             std::vector<Member> members,
                             Instant now);

// A linearizable read: it must see every entry that was committed when it
// started.
struct ReadTicket {
  Term term = 0;  // 0 if this replica can't confirm reads now.
  uint64_t read_round = 0;
  Index index = 0;  // Must be applied before the read is served.
  Output output;
};

enum class ReadStatus { kWaiting, kConfirmed, kFailed };

// Sends a heartbeat with a new read round. CheckRead returns kConfirmed once a
// majority of voters has replied to it, which proves that this replica was
// still the leader when the read started, and kFailed once it is no longer the
// leader in `term`.
ReadTicket StartRead(Replica& replica, Instant now);
ReadStatus CheckRead(const Replica& replica, Term term, uint64_t read_round);

struct LogSize {
  size_t entries = 0;
  size_t bytes = 0;  // Sum of the payload sizes.
};

// Returns the size of the part of the log that Compact would drop.
LogSize AppliedLogSize(const Replica& replica);

// Replaces the applied part of the log by a snapshot. `data` is the state of
// the state machine after the last applied entry.
Output Compact(Replica& replica, std::string data);

Index LastIndex(const Replica& replica);
size_t CountVoters(const Replica& replica);
bool IsVoter(const Replica& replica, ReplicaId id);

}  // namespace acaciahold::consensus

#endif  // ACACIAHOLD_CONSENSUS_REPLICA_H_
