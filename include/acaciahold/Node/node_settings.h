// Settings of a host that finds its group from seeds: an entry host that steers
// flows by tag, or a control host. Read from YAML and checked as a whole before
// anything starts.

#ifndef ACACIAHOLD_NODE_NODE_SETTINGS_H_
#define ACACIAHOLD_NODE_NODE_SETTINGS_H_

#include <string>
#include <vector>

#include "acaciahold/Observe/log_rate_limiter.h"
#include "acaciahold/Support/address.h"
#include "acaciahold/Support/error.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::node {

enum class NodeRole { kEntry, kControl };

// Invariants after ReadNodeSettings: `seeds` is not empty; the endpoints of the
// role are set.
struct NodeSettings {
  std::string name;
  std::string failure_domain;
  NodeRole role = NodeRole::kEntry;
  uint32_t address = 0;  // Of this host, as others reach it for links.
  // Where it listens for them: another one behind address translation.
  uint32_t bind_address = 0;
  uint16_t link_port = 0;  // TCP, the same on all control hosts.
  // Operators' endpoints of some control hosts.
  std::vector<Endpoint> seeds;
  // How often upstreams announce themselves.
  Duration announcement_interval{};
  // After SIGTERM the process ends within this.
  Duration grace{};
  observe::LogRateLimits log_limits;

  // Entry hosts.
  Endpoint packets;      // UDP: callers' packets.
  Endpoint ready;        // HTTP: whether the fabric may use this host.
  double link_mbps = 0;  // Speed of the host's own link; 0: not limited.

  // Control hosts.
  Endpoint admin;  // HTTP: operators and upstreams.
  std::string data_folder;
  bool founds_group = false;  // At the first start of a deployment.

  Endpoint link() const { return {address, link_port}; }
  Endpoint bound_link() const { return {bind_address, link_port}; }
};

// Settings, or every fault found.
struct NodeSettingsFile {
  NodeSettings settings;
  std::vector<FieldError> errors;
};

// Whether the file is of this kind, which has a field `node`.
bool IsNodeSettings(const std::string& path);

// Fails with SystemError or FieldError where there is no YAML document.
Result<NodeSettingsFile> ReadNodeSettings(const std::string& path);

// The links of the seeds' hosts.
std::vector<Endpoint> SeedLinks(const NodeSettings& settings);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_NODE_SETTINGS_H_
