// Access to the state of a replica, for elections, replication and its events.

#ifndef ACACIAHOLD_LIB_CONSENSUS_REPLICA_STATE_H_
#define ACACIAHOLD_LIB_CONSENSUS_REPLICA_STATE_H_

#include <optional>
#include <string>

#include "acaciahold/Consensus/replica.h"

namespace acaciahold::consensus {

// The entry at the index; null where the log does not hold it any more, or yet.
const LogEntry* EntryAt(const Replica& replica, Index index);

// The term of the entry at the index; nothing where it is not known.
std::optional<Term> TermAt(const Replica& replica, Index index);

// The term of the last entry, or of the snapshot where there is none.
Term LastTerm(const Replica& replica);

size_t CountVoters(const Replica& replica);

// More than half of the voters.
size_t Majority(const Replica& replica);

// Draws a new deadline, a shorter one until a leader was heard of.
void ResetElectionDeadline(Replica& replica, Instant now);

// Asks for the hard state to be made durable.
void SaveHardState(const Replica& replica, Output& output);

// The newest member list at or below the end of the log.
void FindMembers(Replica& replica);

// A message of this replica in its term, with no more than its head set.
Message MakeMessage(const Replica& replica, MessageKind kind, ReplicaId to);

// Stops to lead or to stand for election, in `term` where that is newer.
void BecomeFollower(Replica& replica, Term term, Instant now, Output& output);

// Appends a leader's entry in its term.
void AppendEntry(Replica& replica,
                 EntryKind kind,
                 std::string payload,
                 Output& output);

// Hands what is committed and not applied yet to the shell.
void CollectCommitted(Replica& replica, Output& output);

// Appends the present list of members.
void AppendMembers(Replica& replica, Output& output);

}  // namespace acaciahold::consensus

#endif  // ACACIAHOLD_LIB_CONSENSUS_REPLICA_STATE_H_
