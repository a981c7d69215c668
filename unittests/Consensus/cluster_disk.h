// The disks of a simulated cluster.

#ifndef ACACIAHOLD_UNITTESTS_CONSENSUS_CLUSTER_DISK_H_
#define ACACIAHOLD_UNITTESTS_CONSENSUS_CLUSTER_DISK_H_

#include <functional>
#include <vector>

#include "acaciahold/Consensus/replica.h"

namespace acaciahold::consensus {

// The disk of one replica, which keeps what the replica stores.
struct ClusterDisk {
  // Returns the stored state. Called at each start of the replica's process.
  std::function<StartState()> open;
  // Stores a change. Returns false if the process ended before all was stored.
  std::function<bool(const Persist&)> write;
  // The process has ended.
  std::function<void()> end_process;
  // No more faults from now on.
  std::function<void()> stop_faults;
};

// Makes the empty disk of a new replica with these initial members.
using MakeClusterDisk =
    std::function<ClusterDisk(ReplicaId id,
                              uint64_t instance,
                              uint64_t seed,
                              const std::vector<Member>& members)>;

// Makes a disk in memory whose writes are whole and synced; only the commit
// hint may be lost.
ClusterDisk MakeMemoryDisk(ReplicaId id,
                           uint64_t instance,
                           uint64_t seed,
                           const std::vector<Member>& members);

}  // namespace acaciahold::consensus

#endif  // ACACIAHOLD_UNITTESTS_CONSENSUS_CLUSTER_DISK_H_
