// A leader whose followers are played by the test.

#ifndef ACACIAHOLD_UNITTESTS_CONSENSUS_TEST_LEADER_H_
#define ACACIAHOLD_UNITTESTS_CONSENSUS_TEST_LEADER_H_

#include "acaciahold/Consensus/replica.h"

namespace acaciahold::consensus {

inline const Instant kStart = FromUnixMillis(1'000'000);

Endpoint EndpointOf(ReplicaId id);

// Returns a leader with id 1 of a group with `voters` voters, elected at
// kStart.
Replica MakeLeader(ReplicaId voters);

// The same at the first election of a new group. All its voters have the
// tolerance in their settings.
Replica MakeFoundingLeader(ReplicaId voters, uint32_t tolerated_disk_losses);

// Delivers a reply of member `from` that has stored the leader's whole log.
Output ReplyToAppend(Replica& replica,
                     ReplicaId from,
                     uint64_t read_round,
                     Instant now);

}  // namespace acaciahold::consensus

#endif  // ACACIAHOLD_UNITTESTS_CONSENSUS_TEST_LEADER_H_
