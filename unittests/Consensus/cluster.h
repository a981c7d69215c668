// Replicas in one process, with a network that loses, delays, repeats and
// reorders messages and disks that forget what was not synced. A run is wholly
// given by its seed, and leaves a history for the checker.

#ifndef ACACIAHOLD_UNITTESTS_CONSENSUS_CLUSTER_H_
#define ACACIAHOLD_UNITTESTS_CONSENSUS_CLUSTER_H_

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "acaciahold/Consensus/replica.h"

namespace acaciahold::consensus {

enum class EventKind {
  kBecameLeader,  // index: the term.
  kApplied,       // A replica applied the command at the index.
  kAccepted,      // An operator was told that the command is at the index.
  kReset,         // The replica's state machine starts over from a snapshot.
};

struct Event {
  EventKind kind = EventKind::kApplied;
  ReplicaId replica = 0;
  uint64_t life = 0;  // Of the replica's process.
  Index index = 0;
  std::string command;
};

using EventLog = std::vector<Event>;

// The first broken promise, or empty.
std::string CheckHistory(const EventLog& history);

struct ClusterOptions {
  int replicas = 3;
  bool crashes = false;
  bool lost_disks = false;
  bool member_changes = false;
};

class Cluster {
 public:
  Cluster(uint64_t seed, const ClusterOptions& options);

  // Runs so many random steps, then heals everything and lets it settle.
  void Run(int steps);

  const EventLog& history() const { return history_; }
  // Whether all running members have the same log applied at the end.
  bool IsSettled() const;
  uint64_t accepted() const { return accepted_; }

 private:
  struct Disk {
    uint64_t instance = 0;
    Index commit_hint = 0;
    HardState hard;
    Snapshot snapshot;
    std::vector<LogEntry> entries;
  };
  struct Node {
    ReplicaId id = 0;
    Disk disk;
    std::optional<Replica> replica;
    uint64_t life = 0;
    std::vector<std::string> applied;  // Commands, by order.
    Index applied_index = 0;
    Instant restart_at;
  };

  bool Chance(double p);
  void Step();
  void Deliver(size_t position);
  void Carry(Node& node, Output output);
  void Crash(Node& node);
  void Start(Node& node);
  void LoseDisk(Node& node);
  void Offer();
  void ChangeMembers();
  void Partition();
  Node* Find(ReplicaId id);
  bool IsCut(ReplicaId a, ReplicaId b) const;

  std::mt19937_64 random_;
  ClusterOptions options_;
  Instant now_ = FromUnixMillis(1'000'000);
  std::vector<Node> nodes_;
  std::vector<Message> network_;
  std::set<ReplicaId> cut_off_;
  bool is_calm_ = false;
  uint64_t next_command_ = 1;
  uint64_t next_instance_ = 1;
  uint64_t accepted_ = 0;
  // Commands whose operator still waits: by leader, index and term.
  std::map<std::tuple<ReplicaId, Index, Term>, std::string> waiting_;
  EventLog history_;
};

}  // namespace acaciahold::consensus

#endif  // ACACIAHOLD_UNITTESTS_CONSENSUS_CLUSTER_H_
