// Applies edits to the service table and validates its rows.

#include "acaciahold/Table/service_table.h"

#include <algorithm>

#include <boost/json/serialize.hpp>

#include "acaciahold/Support/check.h"
#include "acaciahold/Support/hash.h"
#include "acaciahold/Table/table_json.h"

namespace acaciahold::table {
namespace {

constexpr size_t kMaxNameBytes = 63;
constexpr size_t kMaxServices = 20'000;

bool IsName(std::string_view text) {
  if (text.empty() || text.size() > kMaxNameBytes) {
    return false;
  }
  return std::all_of(text.begin(), text.end(), [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-';
  });
}

// Hashes the edit without `proposed_at`, which differs if the operator's
// command resends the edit.
uint64_t ContentHash(const Edit& edit) {
  Edit content = edit;
  content.proposed_at = Instant();
  return HashText(boost::json::serialize(ToJson(content)));
}

std::vector<VersionedRow>::iterator LowerBound(ServiceTable& table,
                                               std::string_view name) {
  return std::lower_bound(table.rows.begin(), table.rows.end(), name,
                          [](const VersionedRow& row, std::string_view key) {
                            return row.service.name < key;
                          });
}

void ApplyChange(ServiceTable& table, const RowChange& change) {
  auto it = LowerBound(table, change.name);
  bool exists = it != table.rows.end() && it->service.name == change.name;
  if (!change.new_row) {
    if (exists) {
      table.rows.erase(it);
    }
    return;
  }
  VersionedRow row{*change.new_row, table.revision};
  if (exists) {
    *it = std::move(row);
  } else {
    table.rows.insert(it, std::move(row));
  }
}

std::vector<VersionedRow> FindConflicts(const ServiceTable& table,
                                        const Edit& edit) {
  std::vector<VersionedRow> conflicting_rows;
  for (const auto& change : edit.changes) {
    const auto* row = FindRow(table, change.name);
    uint64_t revision = row ? row->revision : 0;
    if (revision == change.base_revision) {
      continue;
    }
    VersionedRow missing;
    missing.service.name = change.name;
    conflicting_rows.push_back(row ? *row : missing);
  }
  return conflicting_rows;
}

// The texts of errors are stored with the outcome of an edit, so that replicas
// of different versions must produce the same ones.
void CheckRow(const ServiceRow& row, std::vector<FieldError>& errors) {
  auto add_error = [&](std::string field, std::string value,
                       std::string expected) {
    errors.push_back({.field = row.name + "." + field,
                      .value = std::move(value),
                      .expected = std::move(expected)});
  };
  if (!IsName(row.name)) {
    add_error("name", row.name, "1 to 63 of a-z, 0-9 and -");
  }
  if (row.limits.cold > row.limits.connections) {
    add_error("limits.cold", std::to_string(row.limits.cold),
              "at most the limit of connections");
  }
  for (size_t i = 1; i < row.failure_domains.size(); ++i) {
    const auto& name = row.failure_domains[i].failure_domain;
    if (name <= row.failure_domains[i - 1].failure_domain) {
      add_error("failure_domains", name, "each failure domain once, sorted");
    }
  }
}

// Checks the number of rows and the uniqueness of names and addresses.
void CheckRowSet(std::span<const ServiceRow> rows,
                 std::vector<FieldError>& errors) {
  if (rows.size() > kMaxServices) {
    errors.push_back({.field = "services",
                      .value = std::to_string(rows.size()),
                      .expected = "at most " + std::to_string(kMaxServices)});
  }
  std::unordered_map<std::string_view, size_t> names;
  std::unordered_map<uint64_t, std::string_view> addresses;
  for (const auto& row : rows) {
    if (++names[row.name] == 2) {
      errors.push_back({.field = row.name + ".name",
                        .value = row.name,
                        .expected = "a name that no other service has"});
    }
    if (row.kind != ServiceKind::kFlow) {
      continue;
    }
    auto [it, inserted] =
        addresses.emplace(PackEndpoint(row.address), row.name);
    if (!inserted) {
      errors.push_back({.field = row.name + ".address",
                        .value = FormatEndpoint(row.address),
                        .expected = "an address that service " +
                                    std::string(it->second) +
                                    " does not have"});
    }
  }
}

// Applies the edit to the table if it is valid and has no conflict.
EditOutcome DecideEdit(TableState& state, const Edit& edit) {
  EditOutcome outcome;
  outcome.revision = state.table.revision;
  outcome.conflicting_rows = FindConflicts(state.table, edit);
  if (!outcome.conflicting_rows.empty()) {
    outcome.verdict = EditVerdict::kConflict;
    return outcome;
  }
  ServiceTable next = state.table;
  ++next.revision;
  for (const auto& change : edit.changes) {
    ApplyChange(next, change);
  }
  std::vector<ServiceRow> rows;
  for (const auto& row : next.rows) {
    rows.push_back(row.service);
  }
  outcome.errors = Validate(rows);
  if (edit.changes.empty()) {
    outcome.errors.push_back(
        {.field = "changes", .value = "(empty)", .expected = "a change"});
  }
  if (!outcome.errors.empty()) {
    outcome.verdict = EditVerdict::kInvalid;
    return outcome;
  }
  outcome.revision = next.revision;
  state.table = std::move(next);
  state.history.push_back({outcome.revision, edit});
  if (state.history.size() > kMaxHistoryEntries) {
    state.history.pop_front();
  }
  return outcome;
}

}  // namespace

EditOutcome ApplyEdit(TableState& state, const Edit& edit) {
  uint64_t content_hash = ContentHash(edit);
  if (const auto* recorded = FindOutcome(state, edit.id)) {
    if (recorded->content_hash == content_hash) {
      return recorded->outcome;
    }
    EditOutcome outcome;
    outcome.verdict = EditVerdict::kReusedId;
    outcome.revision = state.table.revision;
    return outcome;
  }
  auto outcome = DecideEdit(state, edit);
  state.outcomes_by_edit_id[edit.id] = {content_hash, outcome};
  state.outcome_order.push_back(edit.id);
  if (state.outcome_order.size() > kMaxRecordedOutcomes) {
    state.outcomes_by_edit_id.erase(state.outcome_order.front());
    state.outcome_order.pop_front();
  }
  return outcome;
}

const TableState::RecordedOutcome* FindOutcome(const TableState& state,
                                               std::string_view edit_id) {
  auto it = state.outcomes_by_edit_id.find(std::string(edit_id));
  return it == state.outcomes_by_edit_id.end() ? nullptr : &it->second;
}

const VersionedRow* FindRow(const ServiceTable& table, std::string_view name) {
  auto it = LowerBound(const_cast<ServiceTable&>(table), name);
  if (it == table.rows.end() || it->service.name != name) {
    return nullptr;
  }
  return &*it;
}

std::vector<FieldError> Validate(std::span<const ServiceRow> rows) {
  std::vector<FieldError> errors;
  for (const auto& row : rows) {
    CheckRow(row, errors);
  }
  CheckRowSet(rows, errors);
  return errors;
}

std::vector<FieldError> FindTermErrors(const Edit& edit) {
  std::vector<FieldError> errors;
  for (const auto& change : edit.changes) {
    if (!change.new_row || !AreContradictory(change.new_row->terms)) {
      continue;
    }
    const auto& terms = change.new_row->terms;
    errors.push_back({.field = change.name + ".terms.latency_objective_ms",
                      .value = std::to_string(terms.latency_objective_ms),
                      .expected = "at most timeout_ms, " +
                                  std::to_string(terms.timeout_ms)});
  }
  return errors;
}

std::vector<RowChange> Diff(const ServiceTable& table,
                            std::span<const ServiceRow> desired) {
  std::vector<RowChange> changes;
  std::unordered_map<std::string_view, const ServiceRow*> by_name;
  for (const auto& row : desired) {
    by_name[row.name] = &row;
  }
  for (const auto& row : table.rows) {
    if (!by_name.contains(row.service.name)) {
      changes.push_back({row.service.name, row.revision, std::nullopt});
    }
  }
  for (const auto& row : desired) {
    const auto* existing = FindRow(table, row.name);
    if (existing && existing->service == row) {
      continue;
    }
    changes.push_back({row.name, existing ? existing->revision : 0, row});
  }
  return changes;
}

std::string_view VerdictName(EditVerdict verdict) {
  switch (verdict) {
    case EditVerdict::kAccepted:
      return "accepted";
    case EditVerdict::kConflict:
      return "conflict";
    case EditVerdict::kReusedId:
      return "reused-id";
    case EditVerdict::kInvalid:
      return "invalid";
  }
  AssertInvariant(false, "edit verdict out of range");
  return "";
}

}  // namespace acaciahold::table
