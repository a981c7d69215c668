// Checks a table before it is sent.

#include "acaciahold/Table/table_check.h"

#include <algorithm>
#include <charconv>

namespace acaciahold::table {
namespace {

constexpr uint64_t kMsPerSecond = 1'000;

// Collects the warnings of one row.
struct RowWarnings {
  const ServiceRow& row;
  std::string file;
  int line = 0;
  std::vector<FieldError>& warnings;

  void Add(const std::string& field, std::string value, std::string expected) {
    warnings.push_back({.file = file,
                        .line = line,
                        .field = row.name + "." + field,
                        .value = std::move(value),
                        .expected = std::move(expected)});
  }
};

void CheckLimits(RowWarnings& to) {
  const auto& limits = to.row.limits;
  if (limits.slots > limits.connections) {
    to.Add("limits.slots", std::to_string(limits.slots),
           "at most the limit of connections, " +
               std::to_string(limits.connections));
  }
  // The cold limit of a request service counts slots, not connections.
  if (to.row.kind == ServiceKind::kRequest && limits.cold > limits.slots) {
    to.Add("limits.cold", std::to_string(limits.cold),
           "at most the limit of slots, " + std::to_string(limits.slots) +
               "; an upstream in its cold start gets all of them");
  }
}

// Only flows are closed when they are idle.
void CheckIdleTime(RowWarnings& to) {
  const auto& row = to.row;
  if (row.kind == ServiceKind::kFlow &&
      row.idle_seconds * kMsPerSecond < row.terms.timeout_ms) {
    to.Add("idle_seconds", std::to_string(row.idle_seconds),
           "at least terms.timeout_ms, " +
               std::to_string(row.terms.timeout_ms) +
               "; a flow is closed while its caller still waits");
  }
}

void CheckRow(RowWarnings& to) {
  if (to.row.failure_domains.empty()) {
    to.Add("failure_domains", "(empty)",
           "a failure domain in service; without one nothing is served");
  }
  CheckLimits(to);
  CheckIdleTime(to);
}

RowWarnings WarningsOf(const TableFile& file,
                       size_t i,
                       std::vector<FieldError>& warnings) {
  return {file.rows[i], file.name, file.lines[i], warnings};
}

}  // namespace

CheckReport CheckFile(const TableFile& file) {
  CheckReport report;
  report.errors = file.errors;
  if (!file.errors.empty()) {
    return report;
  }
  if (file.rows.empty()) {
    report.warnings.push_back(
        {.file = file.name,
         .field = "services",
         .value = "(empty)",
         .expected = "a service; this table removes all of them"});
  }
  for (size_t i = 0; i < file.rows.size(); ++i) {
    auto to = WarningsOf(file, i, report.warnings);
    CheckRow(to);
  }
  return report;
}

std::vector<FieldError> FindDomainsWithoutHosts(
    const TableFile& file,
    const std::set<std::string>& domains_with_hosts) {
  std::vector<FieldError> warnings;
  if (domains_with_hosts.empty()) {
    return warnings;
  }
  for (size_t i = 0; i < file.rows.size(); ++i) {
    auto to = WarningsOf(file, i, warnings);
    for (const auto& it : file.rows[i].failure_domains) {
      if (!domains_with_hosts.contains(it.failure_domain)) {
        to.Add("failure_domains", it.failure_domain,
               "a failure domain with an entry host");
      }
    }
  }
  return warnings;
}

std::optional<uint64_t> RevisionOfText(std::string_view text) {
  constexpr std::string_view kPrefix = "# revision ";
  if (!text.starts_with(kPrefix)) {
    return std::nullopt;
  }
  text.remove_prefix(kPrefix.size());
  text = text.substr(0, text.find_first_of("\r\n"));
  uint64_t revision = 0;
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), revision);
  if (ec != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return revision;
}

std::vector<FieldError> FindUndoneChanges(const TableFile& file,
                                          std::span<const RowChange> changes,
                                          uint64_t revision) {
  std::vector<FieldError> warnings;
  for (const auto& change : changes) {
    if (change.base_revision <= revision) {
      continue;
    }
    auto row =
        std::find_if(file.rows.begin(), file.rows.end(),
                     [&](const auto& it) { return it.name == change.name; });
    bool is_listed = row != file.rows.end();
    warnings.push_back(
        {.file = file.name,
         .line = is_listed ? file.lines[row - file.rows.begin()] : 0,
         .field = change.name,
         .value = "revision " + std::to_string(change.base_revision),
         .expected = "at most revision " + std::to_string(revision) +
                     ", on which the file is based; an apply would undo the "
                     "later change"});
  }
  return warnings;
}

EditOutcome TryChanges(const ServiceTable& table,
                       std::vector<RowChange> changes) {
  TableState state;
  state.table = table;
  Edit edit;
  edit.changes = std::move(changes);
  return ApplyEdit(state, edit);
}

}  // namespace acaciahold::table
