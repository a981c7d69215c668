// Log replication from the leader to the other members, and commits.

#ifndef ACACIAHOLD_LIB_CONSENSUS_REPLICATION_H_
#define ACACIAHOLD_LIB_CONSENSUS_REPLICATION_H_

#include "acaciahold/Consensus/replica.h"

namespace acaciahold::consensus {

// Advances the commit index to the highest entry that a majority of voters has
// stored, if that entry is of this leader's term.
void AdvanceCommit(Replica& replica, Output& output);

// Sends every other member the entries or snapshot that it lacks, or a
// heartbeat.
void BroadcastAppend(Replica& replica, Instant now, Output& output);

// Adds new members to `progress` and drops removed ones.
void SyncProgressWithMembers(Replica& replica, Instant now);

// Stores the leader's entries and replies.
void OnAppend(Replica& replica,
              const Message& message,
              Instant now,
              Output& output);

// Returns the latest time by which a majority of voters, counting this replica,
// had replied.
Instant LastQuorumContact(const Replica& replica, Instant now);

// Makes one learner a voter that is less than kElectionTimeoutMin behind: its
// last round of catching up ended in time, and the next one is not late yet.
// New entries may come all the while. Does nothing unless CanPromote.
void PromoteLearners(Replica& replica, Instant now, Output& output);

// Records how much of the log a member has stored, then commits, promotes
// learners and sends further entries accordingly.
void OnAppendReply(Replica& replica,
                   const Message& message,
                   Instant now,
                   Output& output);

// Installs the leader's snapshot if it is ahead of the commit index, and
// replies.
void OnSnapshot(Replica& replica,
                const Message& message,
                Instant now,
                Output& output);

}  // namespace acaciahold::consensus

#endif  // ACACIAHOLD_LIB_CONSENSUS_REPLICATION_H_
