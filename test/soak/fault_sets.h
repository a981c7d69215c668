// The sets of faults that a run of the soak test chooses from.

#ifndef ACACIAHOLD_TEST_SOAK_FAULT_SETS_H_
#define ACACIAHOLD_TEST_SOAK_FAULT_SETS_H_

#include <vector>

namespace acaciahold::standins {

// The set of faults that a run chooses from. kAll adds link and disk faults to
// kHostFaults; kBridges adds blocked links between two control hosts to kAll.
// kMembers adds replaced control hosts and storms of changes to kHostFaults.
// kUpstreams adds upstreams that crash and don't come back to kAll. kLosses has
// only changes and control hosts of a larger group that lose power, several at
// once, or their disks.
// New faults were added as new sets so that seeds that had failed before still
// give the same run.
enum class FaultSet {
  kHostFaults,
  kAll,
  kBridges,
  kMembers,
  kUpstreams,
  kLosses
};

// The kinds of steps that RunStep chooses from.
enum class StepKind {
  kEntryHostFault,
  kControlHostFault,
  kUpstreamFault,
  kChangeConfig,
  kLinkFault,
  kFillDisk,
  kBlockLinks,
  kReplaceControlHost,
  kChangeStorm,
  kLoseUpstream,
  kLosePower,
  kLoseDisks,
  kTryChange,
};

// Returns the steps of a set. A kind that is listed twice comes twice as often.
std::vector<StepKind> StepKindsOf(FaultSet fault_set);

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_SOAK_FAULT_SETS_H_
