// Metric families of the load that is known across hosts.

#ifndef ACACIAHOLD_LIB_NODE_LOAD_METRICS_H_
#define ACACIAHOLD_LIB_NODE_LOAD_METRICS_H_

#include "acaciahold/Node/control_node.h"
#include "acaciahold/Node/entry_node.h"
#include "acaciahold/Observe/metric_text.h"

namespace acaciahold::node {

// `now` is the time of the scrape.
void AddLoad(observe::MetricFamilies& families,
             const EntryNode& entry,
             Instant now);
void AddLoad(observe::MetricFamilies& families,
             const ControlNode& control,
             Instant now);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_LIB_NODE_LOAD_METRICS_H_
