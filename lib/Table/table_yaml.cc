// Reads and writes the YAML table file.

#include "acaciahold/Table/table_yaml.h"

#include <algorithm>
#include <array>
#include <unordered_map>

#include <yaml-cpp/yaml.h>

#include "acaciahold/Yaml/field_reader.h"

namespace acaciahold::table {
namespace {

using yaml::FieldErrorList;
using yaml::FieldReader;
using yaml::UnsignedRange;

constexpr UnsignedRange kLimitRange{1, 10'000'000};
constexpr UnsignedRange kWeightRange{1, 10'000};
constexpr UnsignedRange kIdleSecondsRange{1, 86'400};
constexpr UnsignedRange kPriorityRange{0, 9};
constexpr UnsignedRange kTermRangeMs{1, 86'400'000};  // Up to a day.
constexpr uint32_t kDefaultWeight = 100;

ServiceLimits ReadLimits(FieldReader& row) {
  ServiceLimits limits;
  auto reader = row.ReadMapping("limits");
  if (!reader) {
    return limits;
  }
  constexpr std::array<std::string_view, 3> kKeys{"slots", "connections",
                                                  "cold"};
  reader->CheckKeys(kKeys);
  limits.slots = reader->ReadUnsigned("slots", kLimitRange).value_or(1);
  limits.connections =
      reader->ReadUnsigned("connections", kLimitRange).value_or(1);
  limits.cold = reader->ReadUnsigned("cold", kLimitRange).value_or(1);
  return limits;
}

std::vector<DomainWeight> ReadDomains(FieldReader& row) {
  std::vector<DomainWeight> domains;
  for (auto& name : row.ReadStringList("failure_domains")) {
    domains.push_back({std::move(name), kDefaultWeight});
  }
  std::sort(domains.begin(), domains.end(), [](const auto& a, const auto& b) {
    return a.failure_domain < b.failure_domain;
  });
  if (!row.Has("weights")) {
    return domains;
  }
  auto weights = row.ReadMapping("weights");
  if (!weights) {
    return domains;
  }
  for (const auto& name : weights->Keys()) {
    auto weight = weights->ReadUnsigned(name, kWeightRange);
    auto it = std::find_if(domains.begin(), domains.end(), [&](const auto& d) {
      return d.failure_domain == name;
    });
    if (it == domains.end()) {
      weights->AddError(name,
                        "a failure domain that is listed in failure_domains");
    } else if (weight) {
      it->weight = *weight;
    }
  }
  return domains;
}

RowTerms ReadTerms(FieldReader& row) {
  RowTerms terms;
  if (!row.Has("terms")) {
    return terms;
  }
  auto reader = row.ReadMapping("terms");
  if (!reader) {
    return terms;
  }
  constexpr std::array<std::string_view, 3> kKeys{"repetition", "timeout_ms",
                                                  "latency_objective_ms"};
  reader->CheckKeys(kKeys);
  if (reader->Has("repetition")) {
    auto name = reader->ReadString("repetition");
    terms.repetition = RepetitionFromName(name.value_or(""));
    if (name && terms.repetition == Repetition::kUnknown) {
      reader->AddError("repetition", "idempotent or at_most_once");
    }
  }
  terms.timeout_ms = reader->ReadUnsignedOr("timeout_ms", kTermRangeMs, 0);
  terms.latency_objective_ms =
      reader->ReadUnsignedOr("latency_objective_ms", kTermRangeMs, 0);
  if (AreContradictory(terms)) {
    reader->AddError("latency_objective_ms",
                     "at most timeout_ms, " + std::to_string(terms.timeout_ms));
  }
  return terms;
}

ServiceRow ReadRow(FieldReader& reader) {
  constexpr std::array<std::string_view, 9> kKeys{
      "name",    "kind",         "address",  "limits", "failure_domains",
      "weights", "idle_seconds", "priority", "terms"};
  reader.CheckKeys(kKeys);
  ServiceRow row;
  row.name = reader.ReadString("name").value_or("");
  auto kind = reader.ReadString("kind").value_or("");
  if (kind == "request") {
    row.kind = ServiceKind::kRequest;
  } else if (kind != "flow" && !kind.empty()) {
    reader.AddError("kind", "flow or request");
  }
  row.address = reader.ReadEndpoint("address").value_or(Endpoint());
  row.limits = ReadLimits(reader);
  row.failure_domains = ReadDomains(reader);
  row.idle_seconds = reader.ReadUnsignedOr("idle_seconds", kIdleSecondsRange,
                                           row.idle_seconds);
  row.priority =
      reader.ReadUnsignedOr("priority", kPriorityRange, row.priority);
  row.terms = ReadTerms(reader);
  return row;
}

// Adds the errors of rows whose fields could all be read: those of each row and
// those of the rows together.
void AddRowErrors(TableFile& file) {
  std::unordered_map<std::string_view, int> lines;
  for (size_t i = 0; i < file.rows.size(); ++i) {
    lines[file.rows[i].name] = file.lines[i];
  }
  for (auto& error : Validate(file.rows)) {
    error.file = file.name;
    std::string_view field = error.field;
    auto it = lines.find(field.substr(0, field.find('.')));
    error.line = it == lines.end() ? 0 : it->second;
    file.errors.push_back(std::move(error));
  }
}

Result<TableFile> ReadDocument(const YAML::Node& document,
                               const std::string& name) {
  FieldErrorList errors{name, {}};
  FieldReader reader(document, "", errors);
  constexpr std::array<std::string_view, 1> kKeys{"services"};
  reader.CheckKeys(kKeys);
  TableFile file;
  file.name = name;
  for (auto& row : reader.ReadMappingList("services")) {
    size_t earlier_errors = errors.errors.size();
    auto service = ReadRow(row);
    if (errors.errors.size() == earlier_errors) {
      file.rows.push_back(std::move(service));
      file.lines.push_back(row.Line());
    }
  }
  file.errors = std::move(errors.errors);
  AddRowErrors(file);
  if (!file.errors.empty()) {
    file.rows.clear();
    file.lines.clear();
  }
  return file;
}

void WriteTerms(YAML::Emitter& out, const RowTerms& terms) {
  if (terms == RowTerms()) {
    return;
  }
  out << YAML::Key << "terms" << YAML::Value << YAML::Flow << YAML::BeginMap;
  if (terms.repetition != Repetition::kUnknown) {
    out << YAML::Key << "repetition" << YAML::Value
        << std::string(RepetitionName(terms.repetition));
  }
  if (terms.timeout_ms > 0) {
    out << YAML::Key << "timeout_ms" << YAML::Value << terms.timeout_ms;
  }
  if (terms.latency_objective_ms > 0) {
    out << YAML::Key << "latency_objective_ms" << YAML::Value
        << terms.latency_objective_ms;
  }
  out << YAML::EndMap;
}

}  // namespace

Result<TableFile> ReadTableFile(const std::string& path) {
  BOOST_LEAF_AUTO(document, yaml::LoadFile(path));
  return ReadDocument(document, path);
}

Result<TableFile> ReadTableText(std::string_view text,
                                const std::string& name) {
  BOOST_LEAF_AUTO(document, yaml::LoadText(text, name));
  return ReadDocument(document, name);
}

std::string WriteTableText(std::span<const VersionedRow> rows) {
  YAML::Emitter out;
  out << YAML::BeginMap << YAML::Key << "services" << YAML::Value
      << YAML::BeginSeq;
  for (const auto& [row, revision] : rows) {
    out << YAML::BeginMap;
    out << YAML::Key << "name" << YAML::Value << row.name;
    out << YAML::Key << "kind" << YAML::Value
        << std::string(KindName(row.kind));
    out << YAML::Key << "address" << YAML::Value << FormatEndpoint(row.address);
    out << YAML::Key << "limits" << YAML::Value << YAML::Flow << YAML::BeginMap;
    out << YAML::Key << "slots" << YAML::Value << row.limits.slots;
    out << YAML::Key << "connections" << YAML::Value << row.limits.connections;
    out << YAML::Key << "cold" << YAML::Value << row.limits.cold;
    out << YAML::EndMap;
    out << YAML::Key << "failure_domains" << YAML::Value << YAML::Flow
        << YAML::BeginSeq;
    for (const auto& it : row.failure_domains) {
      out << it.failure_domain;
    }
    out << YAML::EndSeq;
    out << YAML::Key << "weights" << YAML::Value << YAML::Flow
        << YAML::BeginMap;
    for (const auto& it : row.failure_domains) {
      out << YAML::Key << it.failure_domain << YAML::Value << it.weight;
    }
    out << YAML::EndMap;
    out << YAML::Key << "idle_seconds" << YAML::Value << row.idle_seconds;
    out << YAML::Key << "priority" << YAML::Value << row.priority;
    WriteTerms(out, row.terms);
    out << YAML::EndMap;
  }
  out << YAML::EndSeq << YAML::EndMap;
  return std::string(out.c_str()) + "\n";
}

}  // namespace acaciahold::table
