// Event log lines on changes of the load.

#ifndef ACACIAHOLD_LIB_NODE_LOAD_EVENTS_H_
#define ACACIAHOLD_LIB_NODE_LOAD_EVENTS_H_

#include "acaciahold/Load/load_summary.h"

namespace acaciahold::node {

// Logs each service that became short or stopped being so, and each upstream
// that became slow or dark or stopped being so. `digest_age` is that of the
// digest behind `after`.
void LogLoadChanges(const load::LoadSummary& before,
                    const load::LoadSummary& after,
                    Duration digest_age);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_LIB_NODE_LOAD_EVENTS_H_
