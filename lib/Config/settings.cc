// Reads and validates the settings file.

#include "acaciahold/Config/settings.h"

#include <algorithm>
#include <array>
#include <filesystem>
#include <set>

#include "acaciahold/Yaml/field_reader.h"

namespace acaciahold::config {
namespace {

using yaml::FieldErrorList;
using yaml::FieldReader;
using yaml::UnsignedRange;

constexpr UnsignedRange kThreadCountRange{1, 64};
constexpr UnsignedRange kReplicaIdRange{1, 1'000'000};
constexpr UnsignedRange kMaxFlowsRange{1, 100'000'000};
constexpr UnsignedRange kMaxBodyBytesRange{1'024, 1ULL << 30U};
constexpr UnsignedRange kMaxOpenRequestsRange{1, 1'000'000};
constexpr size_t kMaxControlHosts = 9;

void ReadRoles(FieldReader& reader, Settings& settings) {
  for (const auto& role : reader.ReadStringList("roles")) {
    if (role == "entry") {
      settings.is_entry = true;
    } else if (role == "control") {
      settings.is_control = true;
    } else {
      reader.AddError("roles", "a list with the roles entry, control or both");
    }
  }
  if (reader.Has("roles") && !settings.is_entry && !settings.is_control) {
    reader.AddError("roles", "at least one of the roles entry and control");
  }
}

void ReadEntry(FieldReader& parent, EntrySettings& entry) {
  auto reader = parent.ReadMapping("entry");
  if (!reader) {
    return;
  }
  constexpr std::array<std::string_view, 6> kKeys{
      "packets",   "peer",           "requests",
      "max_flows", "max_body_bytes", "max_open_requests"};
  reader->CheckKeys(kKeys);
  entry.packets = reader->ReadEndpoint("packets").value_or(Endpoint());
  entry.peer = reader->ReadEndpoint("peer").value_or(Endpoint());
  entry.requests = reader->ReadEndpoint("requests").value_or(Endpoint());
  entry.max_flows =
      reader->ReadUnsignedOr("max_flows", kMaxFlowsRange, entry.max_flows);
  entry.max_body_bytes = reader->ReadUnsignedOr(
      "max_body_bytes", kMaxBodyBytesRange, entry.max_body_bytes);
  entry.max_open_requests = reader->ReadUnsignedOr(
      "max_open_requests", kMaxOpenRequestsRange, entry.max_open_requests);
}

void ReadControl(FieldReader& parent, ControlSettings& control) {
  auto reader = parent.ReadMapping("control");
  if (!reader) {
    return;
  }
  constexpr std::array<std::string_view, 2> kKeys{"replica_id", "data_folder"};
  reader->CheckKeys(kKeys);
  control.replica_id =
      reader->ReadUnsigned("replica_id", kReplicaIdRange).value_or(0);
  control.data_folder = reader->ReadString("data_folder").value_or("");
  std::error_code ec;
  if (!control.data_folder.empty() &&
      !std::filesystem::is_directory(control.data_folder, ec)) {
    reader->AddError("data_folder", "an existing folder");
  }
}

void ReadEntryHosts(FieldReader& parent, Settings& settings) {
  std::set<std::string> names{settings.name};
  for (auto& reader : parent.ReadMappingList("entry_hosts")) {
    constexpr std::array<std::string_view, 4> kKeys{"name", "failure_domain",
                                                    "peer", "admin"};
    reader.CheckKeys(kKeys);
    EntryPeer peer;
    peer.name = reader.ReadString("name").value_or("");
    peer.failure_domain = reader.ReadString("failure_domain").value_or("");
    peer.peer = reader.ReadEndpoint("peer").value_or(Endpoint());
    peer.admin = reader.ReadEndpoint("admin").value_or(Endpoint());
    bool is_self = settings.is_entry && peer.name == settings.name;
    if (!is_self && !names.insert(peer.name).second) {
      reader.AddError("name", "a name that no other entry host uses");
    }
    if (!is_self) {
      settings.entry_hosts.push_back(std::move(peer));
    }
  }
}

void ReadControlHosts(FieldReader& parent, Settings& settings) {
  std::set<uint32_t> ids;
  for (auto& reader : parent.ReadMappingList("control_hosts")) {
    constexpr std::array<std::string_view, 2> kKeys{"replica_id", "admin"};
    reader.CheckKeys(kKeys);
    ControlPeer peer;
    peer.replica_id =
        reader.ReadUnsigned("replica_id", kReplicaIdRange).value_or(0);
    peer.admin = reader.ReadEndpoint("admin").value_or(Endpoint());
    if (!ids.insert(peer.replica_id).second) {
      reader.AddError("replica_id", "an id that no other control host uses");
    }
    settings.control_hosts.push_back(peer);
  }
  if (settings.control_hosts.size() > kMaxControlHosts) {
    parent.AddError("control_hosts", "at most 9 control hosts");
  }
  if (settings.is_control && !ids.contains(settings.control.replica_id)) {
    parent.AddError("control_hosts",
                    "a list that includes this host's own "
                    "replica_id");
  }
}

}  // namespace

Result<SettingsFile> ReadSettings(const std::string& path) {
  BOOST_LEAF_AUTO(document, yaml::LoadFile(path));
  FieldErrorList errors{path, {}};
  FieldReader reader(document, "", errors);
  constexpr std::array<std::string_view, 11> kKeys{
      "name",    "failure_domain", "admin",       "roles",
      "entry",   "control",        "entry_hosts", "control_hosts",
      "threads", "trace_file",     "history_file"};
  reader.CheckKeys(kKeys);
  SettingsFile file;
  auto& settings = file.settings;
  settings.name = reader.ReadString("name").value_or("");
  settings.failure_domain = reader.ReadString("failure_domain").value_or("");
  settings.admin = reader.ReadEndpoint("admin").value_or(Endpoint());
  ReadRoles(reader, settings);
  if (settings.is_entry) {
    ReadEntry(reader, settings.entry);
  }
  if (settings.is_control) {
    ReadControl(reader, settings.control);
  }
  ReadEntryHosts(reader, settings);
  ReadControlHosts(reader, settings);
  settings.threads =
      reader.ReadUnsignedOr("threads", kThreadCountRange, settings.threads);
  settings.trace_file = reader.ReadStringOr("trace_file", "");
  settings.history_file = reader.ReadStringOr("history_file", "");
  file.errors = std::move(errors.errors);
  return file;
}

}  // namespace acaciahold::config
