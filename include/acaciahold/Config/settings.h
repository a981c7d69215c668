// The settings of one host, read from its YAML file and checked as a whole
// before anything starts.

#ifndef ACACIAHOLD_CONFIG_SETTINGS_H_
#define ACACIAHOLD_CONFIG_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "acaciahold/Support/address.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::config {

// Where an entry host listens and what it may hold.
struct EntrySettings {
  Endpoint packets;   // UDP: inner packets from the fabric.
  Endpoint peer;      // UDP: passed packets and heartbeats of other hosts.
  Endpoint requests;  // HTTP: callers' requests.
  uint64_t max_flows = 1'000'000;
  uint64_t max_body_bytes = 8ULL << 20U;
  uint64_t max_open_requests = 4'096;
};

// A control host's part in the replicated log.
struct ControlSettings {
  uint32_t replica_id = 0;  // Above 0, unique among control hosts.
  std::string data_folder;
};

// Another entry host, as the settings name it.
struct EntryPeer {
  std::string name;
  std::string failure_domain;
  Endpoint peer;   // UDP, as EntrySettings::peer of that host.
  Endpoint admin;  // HTTP, as Settings::admin of that host.
};

// Another control host.
struct ControlPeer {
  uint32_t replica_id = 0;
  Endpoint admin;
};

// Invariants after ReadSettings: at least one role; names are unique; peers do
// not include the host itself.
struct Settings {
  std::string name;
  std::string failure_domain;
  // HTTP: operators, upstreams' announcements, metrics, other hosts.
  Endpoint admin;
  bool is_entry = false;
  bool is_control = false;
  EntrySettings entry;      // Meaningful where is_entry.
  ControlSettings control;  // Meaningful where is_control.
  std::vector<EntryPeer> entry_hosts;
  std::vector<ControlPeer> control_hosts;
  uint32_t threads = 2;
  // JSON lines of spans; empty for none.
  std::string trace_file;
  // JSON lines of events for the history checker; empty for none.
  std::string history_file;
};

// Settings, or every fault found.
struct SettingsFile {
  Settings settings;
  std::vector<FieldError> faults;
};

// Fails with SystemError or FieldError where there is no YAML document.
Result<SettingsFile> ReadSettings(const std::string& path);

}  // namespace acaciahold::config

#endif  // ACACIAHOLD_CONFIG_SETTINGS_H_
