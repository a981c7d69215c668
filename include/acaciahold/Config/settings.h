// The settings of one host. The whole YAML file is read and validated before
// the host starts any component.

#ifndef ACACIAHOLD_CONFIG_SETTINGS_H_
#define ACACIAHOLD_CONFIG_SETTINGS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "acaciahold/Support/address.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::config {

// Listening endpoints and capacity limits of an entry host.
struct EntrySettings {
  Endpoint packets;   // UDP: encapsulated packets from the network fabric.
  Endpoint peer;      // UDP: forwarded packets and heartbeats of other hosts.
  Endpoint requests;  // HTTP: requests of callers.
  uint64_t max_flows = 1'000'000;
  uint64_t max_body_bytes = 8ULL << 20U;
  uint64_t max_open_requests = 4'096;
};

// A control host's identity and storage in the replicated log.
struct ControlSettings {
  uint32_t replica_id = 0;  // Nonzero, unique among control hosts.
  std::string data_folder;
};

// Another entry host, as listed under `entry_hosts`.
struct EntryPeer {
  std::string name;
  std::string failure_domain;
  Endpoint peer;   // UDP: EntrySettings::peer of that host.
  Endpoint admin;  // HTTP: Settings::admin of that host.
};

// A control host, as listed under `control_hosts`. The list includes this host
// itself where it is a control host.
struct ControlPeer {
  uint32_t replica_id = 0;
  Endpoint admin;
};

// Invariants after ReadSettings without errors: the host has at least one role;
// entry host names and replica ids are unique; `entry_hosts` does not include
// the host itself.
struct Settings {
  std::string name;
  std::string failure_domain;
  // HTTP: serves operators, announcements of upstreams, metrics and other
  // hosts.
  Endpoint admin;
  bool is_entry = false;
  bool is_control = false;
  EntrySettings entry;      // Valid only if is_entry.
  ControlSettings control;  // Valid only if is_control.
  std::vector<EntryPeer> entry_hosts;
  std::vector<ControlPeer> control_hosts;
  uint32_t threads = 2;
  // Trace spans are appended to this file as JSON lines; empty disables
  // tracing.
  std::string trace_file;
  // Events for the history checker are appended to this file as JSON lines;
  // empty disables them.
  std::string history_file;
};

// The settings, valid only if `errors` is empty, and every error found in the
// file.
struct SettingsFile {
  Settings settings;
  std::vector<FieldError> errors;
};

// Fails with SystemError if the file can't be read, and with FieldError if it
// is not a YAML document.
Result<SettingsFile> ReadSettings(const std::string& path);

}  // namespace acaciahold::config

#endif  // ACACIAHOLD_CONFIG_SETTINGS_H_
