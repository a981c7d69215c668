// Leader election: pre-votes and votes.

#ifndef ACACIAHOLD_LIB_CONSENSUS_ELECTIONS_H_
#define ACACIAHOLD_LIB_CONSENSUS_ELECTIONS_H_

#include "acaciahold/Consensus/replica.h"

namespace acaciahold::consensus {

// Asks the voters whether this replica could win an election, before it
// increments its term. Otherwise a replica that was partitioned off would come
// back with a higher term and make a working leader step down.
void StartPreVote(Replica& replica, Instant now, Output& output);

// Starts an election at once, if the message is from this voter's leader.
void OnTimeoutNow(Replica& replica,
                  const Message& message,
                  Instant now,
                  Output& output);

// Replies whether this replica would vote for the sender. Changes no state.
void OnPreVote(Replica& replica,
               const Message& message,
               Instant now,
               Output& output);

// Grants at most one replica this replica's vote in the current term.
void OnVote(Replica& replica,
            const Message& message,
            Instant now,
            Output& output);

// Counts a granted vote or pre-vote. With enough of them, starts an election
// (pre-vote) or becomes leader (vote).
void OnVoteReply(Replica& replica,
                 const Message& message,
                 Instant now,
                 Output& output);

}  // namespace acaciahold::consensus

#endif  // ACACIAHOLD_LIB_CONSENSUS_ELECTIONS_H_
