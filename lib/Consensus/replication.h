// Copying the log from the leader to the others, and committing it.

#ifndef ACACIAHOLD_LIB_CONSENSUS_REPLICATION_H_
#define ACACIAHOLD_LIB_CONSENSUS_REPLICATION_H_

#include "acaciahold/Consensus/replica.h"

namespace acaciahold::consensus {

// Commits what a majority has stored, if it ends in this leader's term.
void AdvanceCommit(Replica& replica, Output& output);

// Sends every other member what it lacks, or a heartbeat.
void BroadcastAppend(Replica& replica, Instant now, Output& output);

// Brings `progress` in line with the newest members.
void TrackMembers(Replica& replica, Instant now);

// Stores a leader's entries and answers it.
void OnAppend(Replica& replica,
              const Message& message,
              Instant now,
              Output& output);

// The instant up to which a majority of voters has been heard.
Instant QuorumHeardAt(const Replica& replica, Instant now);

// A learner that has the whole committed log becomes a voter. Beside a silent
// voter it would only raise the majority; it takes that one's place instead.
void PromoteLearners(Replica& replica, Instant now, Output& output);

// Notes what a member has stored, and commits and sends what follows from it.
void OnAppendReply(Replica& replica,
                   const Message& message,
                   Instant now,
                   Output& output);

// Replaces the log by a leader's snapshot where that is ahead of it.
void OnSnapshot(Replica& replica,
                const Message& message,
                Instant now,
                Output& output);

}  // namespace acaciahold::consensus

#endif  // ACACIAHOLD_LIB_CONSENSUS_REPLICATION_H_
