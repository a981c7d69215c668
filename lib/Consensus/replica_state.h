// Helpers on the state of a replica that elections, replication and event
// handling share.

#ifndef ACACIAHOLD_LIB_CONSENSUS_REPLICA_STATE_H_
#define ACACIAHOLD_LIB_CONSENSUS_REPLICA_STATE_H_

#include <optional>
#include <string>

#include "acaciahold/Consensus/replica.h"

namespace acaciahold::consensus {

// Returns the entry at the index, or null if it was compacted or does not exist
// yet.
const LogEntry* EntryAt(const Replica& replica, Index index);

// Returns the term of the entry at the index, or nullopt if the entry was
// compacted or does not exist yet. The term at the snapshot's index is known.
std::optional<Term> TermAt(const Replica& replica, Index index);

// Returns the term of the last entry, or of the snapshot if the log is empty.
Term LastTerm(const Replica& replica);

// Returns the smallest number that is more than half of `voters`.
size_t MajorityOf(size_t voters);

// Returns the smallest number of voters that is more than half of them.
size_t Majority(const Replica& replica);

// Returns whether the leader may change the members: one change at a time, and
// only once it has committed an entry in its own term, since an earlier
// leader's change may otherwise still take effect.
bool CanChangeMembers(const Replica& replica);

// Sets a new random election deadline, with the start timeouts until the first
// message from a leader.
void ResetElectionDeadline(Replica& replica, Instant now);

// Adds the hard state to the changes that `output` makes durable.
void SaveHardState(const Replica& replica, Output& output);

// Sets the members from the newest member list in the log or the snapshot.
void UpdateMembersFromLog(Replica& replica);

// Returns a message from this replica in its current term, with only kind,
// sender, receiver, instance and term set.
Message MakeMessage(const Replica& replica, MessageKind kind, ReplicaId to);

// Stops leading or standing for election. Adopts `term` if it is newer.
void BecomeFollower(Replica& replica, Term term, Instant now, Output& output);

// Appends an entry to the leader's log in its current term.
void AppendEntry(Replica& replica,
                 EntryKind kind,
                 std::string payload,
                 Output& output);

// Moves the entries that are committed but not applied to `output.committed`.
void CollectCommitted(Replica& replica, Output& output);

// Appends an entry with the current member list.
void AppendMembers(Replica& replica, Output& output);

}  // namespace acaciahold::consensus

#endif  // ACACIAHOLD_LIB_CONSENSUS_REPLICA_STATE_H_
