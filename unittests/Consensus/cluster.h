// Simulates replicas in one process, with a network that loses, delays,
// duplicates and reorders messages, and disks that lose unsynced writes in a
// crash. A run depends only on its seed and options, and records a history for
// CheckHistory.

#ifndef ACACIAHOLD_UNITTESTS_CONSENSUS_CLUSTER_H_
#define ACACIAHOLD_UNITTESTS_CONSENSUS_CLUSTER_H_

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "acaciahold/Consensus/leave.h"
#include "acaciahold/Consensus/replica.h"
#include "cluster_disk.h"
#include "history.h"

namespace acaciahold::consensus {

struct ClusterOptions {
  int replicas = 3;
  bool crashes = false;
  bool lost_disks = false;
  // Members are added and removed at random.
  bool member_changes = false;
  // Hosts join and leave, and the leader decides on the members as it does in a
  // control host. With lost_disks, hosts also come back with an empty disk, or
  // are replaced by empty ones at another address.
  bool group_decisions = false;
  // With lost_disks and group_decisions, how many hosts may be without their
  // disk at the same time, until the replica on the new disk has a vote.
  size_t max_lost_disks = 1;
  // Whether the replicas are told max_lost_disks.
  bool is_tolerance_known = false;
  // Several hosts at once lose power for seconds, whatever else has been lost.
  bool power_losses = false;
  // Steps without faults in which the group must converge; 9.5 ms on average.
  int convergence_steps = 600;
  MakeClusterDisk make_disk = MakeMemoryDisk;
};

class Cluster {
 public:
  Cluster(uint64_t seed, const ClusterOptions& options);

  // Runs `steps` random steps with faults, then steps without faults in which
  // the replicas must converge.
  void Run(int steps);

  const EventLog& history() const { return history_; }
  // Returns whether there is a leader that has applied all that was
  // acknowledged, and a majority of its voters has applied as much of the log
  // as it has.
  bool HasConverged() const;
  uint64_t acknowledged_count() const { return acknowledged_count_; }

 private:
  struct Node {
    ReplicaId id = 0;
    Endpoint endpoint;      // Kept by a host that lost its disk.
    uint64_t instance = 0;  // Of the data on the disk.
    ClusterDisk disk;
    std::optional<Replica> replica;
    uint64_t incarnation = 0;
    std::vector<std::string> applied;  // Commands, in order.
    Index applied_index = 0;
    Instant restart_at;
    MemberRequests requests;
    std::optional<Leave> leave;  // Set while the host leaves the group.
    bool is_gone = false;        // The host has left for good.
    bool has_lost_disk = false;  // The replica is gone, and never comes back.
    ReplicaId successor = 0;     // On the new disk.
    // Whether the successor, or its own, has a vote in place of this one.
    bool is_replaced = false;
  };

  bool RandomlyTrue(double p);
  Node MakeNode(ReplicaId id, const std::vector<Member>& members);
  void Step();
  void RunGroupDecisions();
  void ContinueLeave(Node& node);
  void UpdateLostDisks();
  const Node& LastSuccessor(const Node& node) const;
  std::set<Endpoint> HostsWithLostDisks() const;
  bool MayLoseDisk(const Node& node) const;
  void ReplaceDisk(size_t position);
  void LosePower();
  Node* FindLeader();
  void Deliver(size_t position);
  void ProcessOutput(Node& node, Output output);
  void CrashNode(Node& node);
  void StartNode(Node& node);
  void LoseDisk(Node& node);
  void ProposeCommand();
  void ChangeMembers();
  void Partition();
  Node* FindNode(ReplicaId id);
  const Node* FindNode(ReplicaId id) const;
  bool IsPartitioned(ReplicaId a, ReplicaId b) const;

  std::mt19937_64 random_;
  ClusterOptions options_;
  Instant now_ = FromUnixMillis(1'000'000);
  std::vector<Node> nodes_;
  std::vector<Message> network_;
  // Replicas on one side of the network partition; empty if there is none.
  std::set<ReplicaId> partition_ids_;
  bool faults_stopped_ = false;
  bool is_formed_ = false;  // Whether a leader has been elected.
  uint64_t next_command_ = 1;
  uint64_t next_instance_ = 1;
  uint64_t acknowledged_count_ = 0;
  Index acknowledged_index_ = 0;  // Of the last acknowledged command.
  // Accepted proposals that the proposing leader has not applied yet, by
  // leader, index and term.
  std::map<std::tuple<ReplicaId, Index, Term>, std::string> pending_commands_;
  EventLog history_;
};

}  // namespace acaciahold::consensus

#endif  // ACACIAHOLD_UNITTESTS_CONSENSUS_CLUSTER_H_
