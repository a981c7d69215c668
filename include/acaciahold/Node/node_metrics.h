// Metrics of entry and control hosts, gathered when they are asked for.

#ifndef ACACIAHOLD_NODE_NODE_METRICS_H_
#define ACACIAHOLD_NODE_NODE_METRICS_H_

#include <string>

#include "acaciahold/Node/control_node.h"
#include "acaciahold/Node/entry_node.h"
#include "acaciahold/Node/packet_port.h"

namespace acaciahold::node {

// Each in Prometheus's text format.
std::string MetricsText(const EntryNode& entry, const PacketPort& port);
std::string MetricsText(const ControlNode& control);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_NODE_METRICS_H_
