// Reads and validates the settings of a host that discovers its group through
// seeds.

#include "acaciahold/Node/node_settings.h"

#include <array>
#include <charconv>

#include "acaciahold/Yaml/field_reader.h"

namespace acaciahold::node {
namespace {

using yaml::FieldErrorList;
using yaml::FieldReader;
using yaml::UnsignedRange;

constexpr double kMaxLinkMbps = 1e6;
constexpr UnsignedRange kPortRange{1, 65'535};
constexpr UnsignedRange kIntervalMsRange{10, 600'000};
constexpr UnsignedRange kDiskLossesRange{0, kMaxToleratedDiskLosses};
constexpr UnsignedRange kLinesRange{0, 10'000};

void ReadSeeds(FieldReader& reader, NodeSettings& settings) {
  for (const auto& text : reader.ReadStringList("seeds")) {
    auto seed = ParseEndpoint(text);
    if (seed) {
      settings.seeds.push_back(*seed);
    } else {
      reader.AddError("seeds", "a list of IP:PORT, not '" + text + "'");
    }
  }
  if (reader.Has("seeds") && settings.seeds.empty()) {
    reader.AddError("seeds", "at least one IP:PORT");
  }
}

// Reads a bandwidth in Mbit/s. 0 or a missing field means unlimited.
double ReadBandwidth(FieldReader& reader, std::string_view key) {
  auto text = reader.ReadStringOr(key, "0");
  double bandwidth = 0;
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), bandwidth);
  bool is_valid = ec == std::errc() && end == text.data() + text.size() &&
                  bandwidth >= 0 && bandwidth <= kMaxLinkMbps;
  if (!is_valid) {
    reader.AddError(key, "a bandwidth from 0 to 1000000 Mbit/s");
  }
  return is_valid ? bandwidth : 0;
}

void ReadRole(FieldReader& reader, NodeSettings& settings) {
  auto role = reader.ReadString("role").value_or("");
  if (role == "entry") {
    settings.role = NodeRole::kEntry;
    settings.packets = reader.ReadEndpoint("packets").value_or(Endpoint());
    settings.ready = reader.ReadEndpoint("ready").value_or(Endpoint());
    settings.link_mbps = ReadBandwidth(reader, "link_mbps");
  } else if (role == "control") {
    settings.role = NodeRole::kControl;
    settings.admin = reader.ReadEndpoint("admin").value_or(Endpoint());
    settings.data_folder = reader.ReadString("data_folder").value_or("");
    auto founds = reader.ReadStringOr("founds_group", "false");
    settings.founds_group = founds == "true";
    if (founds != "true" && founds != "false") {
      reader.AddError("founds_group", "true or false");
    }
    if (reader.Has("tolerated_disk_losses")) {
      settings.tolerated_disk_losses = static_cast<uint32_t>(
          reader.ReadUnsigned("tolerated_disk_losses", kDiskLossesRange)
              .value_or(0));
    }
  } else {
    reader.AddError("role", "entry or control");
  }
}

// Reads the maximum number of log lines of each kind per second; 0 logs none.
void ReadLogLimits(FieldReader& reader, observe::LogRateLimits& limits) {
  auto read = [&](std::string_view key, uint32_t default_value) {
    return reader.Has(key)
               ? static_cast<uint32_t>(
                     reader.ReadUnsigned(key, kLinesRange).value_or(0))
               : default_value;
  };
  limits.routine_lines = read("log_routine_lines", limits.routine_lines);
  limits.notable_lines = read("log_notable_lines", limits.notable_lines);
}

Duration ReadMillis(FieldReader& reader, std::string_view key) {
  return std::chrono::milliseconds(
      reader.ReadUnsigned(key, kIntervalMsRange).value_or(0));
}

}  // namespace

bool IsNodeSettings(const std::string& path) {
  auto document = yaml::LoadFile(path);
  return document && document->IsMap() && (*document)["node"].IsDefined();
}

Result<NodeSettingsFile> ReadNodeSettings(const std::string& path) {
  BOOST_LEAF_AUTO(document, yaml::LoadFile(path));
  FieldErrorList errors{path, {}};
  FieldReader root(document, "", errors);
  constexpr std::array<std::string_view, 1> kRootKeys{"node"};
  root.CheckKeys(kRootKeys);
  NodeSettingsFile file;
  if (auto reader = root.ReadMapping("node")) {
    constexpr std::array<std::string_view, 18> kKeys{"name",
                                                     "failure_domain",
                                                     "role",
                                                     "address",
                                                     "seeds",
                                                     "link_port",
                                                     "packets",
                                                     "ready",
                                                     "admin",
                                                     "data_folder",
                                                     "founds_group",
                                                     "tolerated_disk_losses",
                                                     "announcement_interval_ms",
                                                     "grace_ms",
                                                     "link_mbps",
                                                     "log_routine_lines",
                                                     "log_notable_lines",
                                                     "bind_address"};
    reader->CheckKeys(kKeys);
    auto& settings = file.settings;
    settings.name = reader->ReadString("name").value_or("");
    settings.failure_domain = reader->ReadString("failure_domain").value_or("");
    settings.address = reader->ReadAddress("address").value_or(0);
    settings.bind_address =
        reader->Has("bind_address")
            ? reader->ReadAddress("bind_address").value_or(0)
            : settings.address;
    settings.link_port = static_cast<uint16_t>(
        reader->ReadUnsigned("link_port", kPortRange).value_or(0));
    settings.announcement_interval =
        ReadMillis(*reader, "announcement_interval_ms");
    settings.grace = ReadMillis(*reader, "grace_ms");
    ReadLogLimits(*reader, settings.log_limits);
    ReadSeeds(*reader, settings);
    ReadRole(*reader, settings);
  }
  file.errors = std::move(errors.errors);
  return file;
}

std::vector<Endpoint> SeedLinks(const NodeSettings& settings) {
  std::vector<Endpoint> links;
  for (const auto& seed : settings.seeds) {
    links.push_back({seed.address, settings.link_port});
  }
  return links;
}

}  // namespace acaciahold::node
