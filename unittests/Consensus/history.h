// What happened in a cluster, and the rules that must have held.

#ifndef ACACIAHOLD_UNITTESTS_CONSENSUS_HISTORY_H_
#define ACACIAHOLD_UNITTESTS_CONSENSUS_HISTORY_H_

#include <string>
#include <vector>

#include "acaciahold/Consensus/message.h"

namespace acaciahold::consensus {

enum class EventKind {
  kBecameLeader,  // The replica leads; `index` holds the term.
  kApplied,       // The replica applied the command at the index.
  kAcknowledged,  // The proposer was told that the command is committed.
  kReset,         // The replica's state machine was loaded from a snapshot.
};

struct Event {
  EventKind kind = EventKind::kApplied;
  ReplicaId replica = 0;
  uint64_t incarnation = 0;  // Counts the starts of the replica's process.
  Index index = 0;
  std::string command;
};

using EventLog = std::vector<Event>;

// Returns a description of the first violated invariant, or an empty string.
std::string CheckHistory(const EventLog& history);

}  // namespace acaciahold::consensus

#endif  // ACACIAHOLD_UNITTESTS_CONSENSUS_HISTORY_H_
