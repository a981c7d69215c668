// Settings of an entry or control host that discovers its group through seeds.
// Read from YAML and validated as a whole before the host starts.

#ifndef ACACIAHOLD_NODE_NODE_SETTINGS_H_
#define ACACIAHOLD_NODE_NODE_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "acaciahold/Observe/log_rate_limiter.h"
#include "acaciahold/Support/address.h"
#include "acaciahold/Support/error.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::node {

enum class NodeRole { kEntry, kControl };

// Groups have fewer members than that; a larger number is a mistake.
inline constexpr uint32_t kMaxToleratedDiskLosses = 1'000;

// Invariants after ReadNodeSettings without errors: `seeds` is not empty, and
// the endpoints of the role are set.
struct NodeSettings {
  std::string name;
  std::string failure_domain;
  NodeRole role = NodeRole::kEntry;
  // IPv4 address at which other hosts reach this one for links.
  uint32_t address = 0;
  // Address on which it listens for links. Differs from `address` behind
  // address translation.
  uint32_t bind_address = 0;
  uint16_t link_port = 0;  // TCP; equal on all control hosts.
  // Admin endpoints of some control hosts.
  std::vector<Endpoint> seeds;
  Duration announcement_interval{};
  // Time within which the process exits after SIGTERM.
  Duration grace{};
  observe::LogRateLimits log_limits;

  // Fields of entry hosts only.
  Endpoint packets;  // UDP; receives callers' packets.
  // HTTP; answers whether the fabric may route packets to this host.
  Endpoint ready;
  // Bandwidth of the host's own link in Mbit/s; 0: unlimited.
  double link_mbps = 0;

  // Fields of control hosts only.
  Endpoint admin;  // HTTP; for operators and upstreams.
  std::string data_folder;
  // Whether to found the group at the first start of a deployment.
  bool founds_group = false;
  // How many control hosts may lose their disk at the same time; nullopt: as
  // many as their number bears. The same on all control hosts.
  std::optional<uint32_t> tolerated_disk_losses;

  Endpoint link() const { return {address, link_port}; }
  Endpoint bound_link() const { return {bind_address, link_port}; }
};

// The settings and all errors found. The settings are valid only if there are
// none.
struct NodeSettingsFile {
  NodeSettings settings;
  std::vector<FieldError> errors;
};

// Whether the YAML file has a field `node`, which marks settings of this kind.
bool IsNodeSettings(const std::string& path);

// Fails with SystemError or FieldError if the file can't be read as a YAML
// document.
Result<NodeSettingsFile> ReadNodeSettings(const std::string& path);

// Link endpoints of the hosts in `seeds`.
std::vector<Endpoint> SeedLinks(const NodeSettings& settings);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_NODE_SETTINGS_H_
