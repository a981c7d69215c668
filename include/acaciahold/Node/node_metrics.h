// Metrics of entry and control hosts, collected on request.

#ifndef ACACIAHOLD_NODE_NODE_METRICS_H_
#define ACACIAHOLD_NODE_NODE_METRICS_H_

#include <string>

#include "acaciahold/Node/control_node.h"
#include "acaciahold/Node/entry_node.h"
#include "acaciahold/Node/packet_port.h"

namespace acaciahold::node {

// Metrics in Prometheus text format.
std::string MetricsText(const EntryNode& entry, const PacketPort& port);
std::string MetricsText(const ControlNode& control);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_NODE_METRICS_H_
