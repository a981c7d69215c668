// Settings of an entry host under test.

#ifndef ACACIAHOLD_UNITTESTS_NODE_ENTRY_SETTINGS_H_
#define ACACIAHOLD_UNITTESTS_NODE_ENTRY_SETTINGS_H_

#include "acaciahold/Node/entry_node.h"

namespace acaciahold::node {

// Returns the settings of an entry host whose only seed is the control host
// with this link.
inline NodeSettings EntrySettings(Endpoint control_link) {
  NodeSettings settings;
  settings.name = "entry-1";
  settings.failure_domain = "north";
  settings.link_port = control_link.port;
  settings.seeds = {{control_link.address, 8'000}};
  return settings;
}

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_UNITTESTS_NODE_ENTRY_SETTINGS_H_
