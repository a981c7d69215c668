// Lists the steps of each set of faults.

#include "fault_sets.h"

namespace acaciahold::standins {

std::vector<StepKind> StepKindsOf(FaultSet fault_set) {
  using enum StepKind;
  if (fault_set == FaultSet::kLosses) {
    return {kLosePower, kTryChange, kTryChange, kTryChange, kLoseDisks};
  }
  std::vector<StepKind> kinds{kEntryHostFault,   kEntryHostFault,
                              kControlHostFault, kControlHostFault,
                              kUpstreamFault,    kChangeConfig};
  if (fault_set == FaultSet::kMembers) {
    kinds.insert(kinds.end(), {kReplaceControlHost, kReplaceControlHost,
                               kReplaceControlHost, kChangeStorm});
    return kinds;
  }
  if (fault_set != FaultSet::kHostFaults) {
    kinds.insert(kinds.end(), {kLinkFault, kFillDisk});
  }
  if (fault_set == FaultSet::kBridges) {
    kinds.insert(kinds.end(), {kBlockLinks, kBlockLinks});
  }
  if (fault_set == FaultSet::kUpstreams) {
    kinds.insert(kinds.end(), {kLoseUpstream, kLoseUpstream, kLoseUpstream});
  }
  return kinds;
}

}  // namespace acaciahold::standins
