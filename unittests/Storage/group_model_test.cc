// Runs whole groups of replicas on data folders whose processes are killed and
// whose disks fill up or lose power at single file operations, while hosts join
// and leave.

#include <memory>
#include <random>
#include <stdexcept>

#include <boost/test/unit_test.hpp>

#include "../Consensus/cluster.h"
#include "../check_property.h"
#include "acaciahold/Storage/data_folder.h"
#include "simulated_disk.h"

namespace acaciahold::storage {
namespace {

using consensus::Cluster;
using consensus::ClusterDisk;
using consensus::ClusterOptions;

constexpr const char* kPath = "folder";
// The next fault of a disk comes within this many operations.
constexpr uint64_t kOperationsBetweenFaults = 200;

// A data folder on a disk of its own.
struct FaultyFolder {
  explicit FaultyFolder(uint64_t seed) : random(seed) {}

  void PlanFault() {
    constexpr DiskFault::Kind kKinds[] = {DiskFault::Kind::kStop,
                                          DiskFault::Kind::kFullDisk,
                                          DiskFault::Kind::kTornWrite};
    if (has_faults) {
      disk.SetFault(DiskFault{kKinds[random() % std::size(kKinds)],
                              random() % kOperationsBetweenFaults});
    } else {
      disk.SetFault(std::nullopt);
    }
  }

  consensus::StartState Open() {
    disk.SetFault(std::nullopt);
    StoredState stored;
    auto opened = DataFolder::Open(kPath, stored, disk.files());
    if (!opened) {
      throw std::runtime_error("the data folder can't be opened");
    }
    folder = std::move(*opened);
    PlanFault();
    consensus::StartState start;
    start.id = stored.replica_id;
    start.instance = stored.instance;
    start.hard_state = stored.hard_state;
    start.snapshot = stored.snapshot;
    start.entries = stored.entries;
    start.commit_hint = stored.commit_hint;
    return start;
  }

  bool Write(const consensus::Persist& persist) {
    return leaf::try_handle_all(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(folder->Write(persist));
          return true;
        },
        [] { return false; });
  }

  // The process has ended, sometimes since the host lost power.
  void EndProcess() {
    folder.reset();
    disk.EndProcess();
    if (has_faults && random() % 2 == 0) {
      disk.LosePower(
          [this](uint32_t n) { return static_cast<uint32_t>(random() % n); });
    }
  }

  SimulatedDisk disk;
  std::optional<DataFolder> folder;
  std::mt19937_64 random;
  bool has_faults = true;
};

ClusterDisk MakeFaultyDisk(consensus::ReplicaId id,
                           uint64_t instance,
                           uint64_t seed,
                           const std::vector<consensus::Member>& members) {
  auto folder = std::make_shared<FaultyFolder>(seed);
  if (!DataFolder::Initialize(kPath, id, instance, members,
                              folder->disk.files())) {
    throw std::runtime_error("the data folder can't be initialized");
  }
  ClusterDisk disk;
  disk.open = [folder] { return folder->Open(); };
  disk.write = [folder](const consensus::Persist& persist) {
    return folder->Write(persist);
  };
  disk.end_process = [folder] { folder->EndProcess(); };
  disk.stop_faults = [folder] {
    folder->has_faults = false;
    folder->PlanFault();
  };
  return disk;
}

void CheckGroups(uint64_t seed,
                 int groups,
                 const ClusterOptions& options,
                 int steps = 1'500) {
  uint64_t acknowledged_count = 0;
  CheckProperty(seed, groups, [&](uint64_t case_seed) {
    Cluster cluster(case_seed, options);
    cluster.Run(steps);
    RC_ASSERT(CheckHistory(cluster.history()) == "");
    RC_ASSERT(cluster.HasConverged());
    acknowledged_count += cluster.acknowledged_count();
  });
  BOOST_TEST(acknowledged_count > static_cast<uint64_t>(groups));
  BOOST_TEST_MESSAGE(groups << " groups, " << acknowledged_count
                            << " acknowledged commands");
}

}  // namespace

// Guards against what a replica holds in memory, has on disk and has
// acknowledged being different statements.
BOOST_AUTO_TEST_CASE(GroupKeepsWhatItAcknowledgedOnFaultyDisks) {
  CheckGroups(31, 500,
              {.replicas = 3, .crashes = true, .make_disk = MakeFaultyDisk});
}

// The same while hosts join, leave, and are removed and join again.
BOOST_AUTO_TEST_CASE(ChangingGroupKeepsWhatItAcknowledgedOnFaultyDisks) {
  CheckGroups(32, 500,
              {.replicas = 3,
               .crashes = true,
               .group_decisions = true,
               .make_disk = MakeFaultyDisk});
}

// The same while hosts also come back with empty disks, one after the other.
BOOST_AUTO_TEST_CASE(GroupWithLostDisksKeepsWhatItAcknowledged) {
  CheckGroups(33, 500,
              {.replicas = 3,
               .crashes = true,
               .lost_disks = true,
               .group_decisions = true,
               .make_disk = MakeFaultyDisk});
}

namespace {

// Losses of power overlap, and as many disks are lost at the same time as
// given; if `is_known`, the settings say so.
void CheckOverlappingLosses(uint64_t seed,
                            int replicas,
                            size_t lost_disks,
                            bool is_known) {
  constexpr int kGroups = 150;
  constexpr int kSteps = 3'000;
  constexpr int kRecoverySteps = 1'200;  // 11.4 s.
  BOOST_TEST_CONTEXT(replicas << " hosts that bear " << lost_disks
                              << " lost disks, known: " << is_known) {
    CheckGroups(seed, kGroups,
                {.replicas = replicas,
                 .crashes = true,
                 .lost_disks = true,
                 .group_decisions = true,
                 .max_lost_disks = lost_disks,
                 .is_tolerance_known = is_known,
                 .power_losses = true,
                 .convergence_steps = kRecoverySteps,
                 .make_disk = MakeFaultyDisk},
                kSteps);
  }
}

}  // namespace

// Guards against voters that are removed while they are without power until the
// lost disks take the majority of those that are left.
BOOST_AUTO_TEST_CASE(GroupOutlivesOverlappingLosses) {
  for (int replicas = 3; replicas <= 9; ++replicas) {
    auto borne = static_cast<size_t>(replicas - 1) / 2;
    CheckOverlappingLosses(34, replicas, borne, false);
    CheckOverlappingLosses(34, replicas, borne, true);
  }
  CheckOverlappingLosses(34, 5, 1, true);
  CheckOverlappingLosses(34, 8, 2, true);
}

// Guards against a silent voter that is removed before its successor has its
// vote, while the disk of another one is lost.
BOOST_AUTO_TEST_CASE(GroupOutlivesLossesWhileVotersAreReplaced) {
  CheckOverlappingLosses(43, 3, 1, true);
  CheckOverlappingLosses(41, 7, 3, true);
}

}  // namespace acaciahold::storage
