// The disk in memory.

#include "cluster_disk.h"

#include <memory>
#include <random>

namespace acaciahold::consensus {

ClusterDisk MakeMemoryDisk(ReplicaId id,
                           uint64_t instance,
                           uint64_t seed,
                           const std::vector<Member>& members) {
  auto stored = std::make_shared<StartState>();
  stored->id = id;
  stored->instance = instance;
  stored->snapshot.members = members;
  auto random = std::make_shared<std::mt19937_64>(seed);
  ClusterDisk disk;
  disk.open = [stored] { return *stored; };
  disk.write = [stored, random](const Persist& persist) {
    // The hint is not synced, so the disk may keep an older one.
    if (persist.commit_hint && (*random)() % 2 == 0) {
      stored->commit_hint = *persist.commit_hint;
    }
    if (persist.hard_state) {
      stored->hard_state = *persist.hard_state;
    }
    if (persist.snapshot) {
      stored->snapshot = *persist.snapshot;
      std::erase_if(stored->entries, [&](const LogEntry& e) {
        return e.index <= stored->snapshot.index;
      });
    }
    if (persist.truncate_from) {
      std::erase_if(stored->entries, [&](const LogEntry& e) {
        return e.index >= *persist.truncate_from;
      });
    }
    stored->entries.insert(stored->entries.end(), persist.append.begin(),
                           persist.append.end());
    return true;
  };
  disk.end_process = [] {};
  disk.stop_faults = [] {};
  return disk;
}

}  // namespace acaciahold::consensus
