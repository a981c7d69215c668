// Elections: who leads, and in which term.

#ifndef ACACIAHOLD_LIB_CONSENSUS_ELECTIONS_H_
#define ACACIAHOLD_LIB_CONSENSUS_ELECTIONS_H_

#include "acaciahold/Consensus/replica.h"

namespace acaciahold::consensus {

// Asks first whether an election could be won, so that a replica that was cut
// off does not disturb the others with a higher term.
void StartPreVote(Replica& replica, Instant now, Output& output);

// Answers whether the sender could win, without a promise.
void OnPreVote(Replica& replica,
               const Message& message,
               Instant now,
               Output& output);

// Grants the vote of the term, once.
void OnVote(Replica& replica,
            const Message& message,
            Instant now,
            Output& output);

// Counts a vote, and leads where that makes enough.
void OnVoteReply(Replica& replica,
                 const Message& message,
                 Instant now,
                 Output& output);

}  // namespace acaciahold::consensus

#endif  // ACACIAHOLD_LIB_CONSENSUS_ELECTIONS_H_
