// JSON encoding and checked decoding of the table's types.

#include "acaciahold/Table/table_json.h"

#include <boost/json.hpp>

#include "acaciahold/Json/decode.h"

namespace acaciahold::table {
namespace {

namespace json = boost::json;

using acaciahold::json::Decode;
using acaciahold::json::NumberAt;
using acaciahold::json::StringAt;

// Leaves out missing terms, so that a row without terms is stored as by earlier
// versions, which ignore these fields.
json::object TermsToJson(const RowTerms& terms) {
  json::object to;
  if (terms.repetition != Repetition::kUnknown) {
    to["repetition"] = RepetitionName(terms.repetition);
  }
  if (terms.timeout_ms > 0) {
    to["timeout_ms"] = terms.timeout_ms;
  }
  if (terms.latency_objective_ms > 0) {
    to["latency_objective_ms"] = terms.latency_objective_ms;
  }
  return to;
}

// A repetition that only a later version knows counts as unknown: a committed
// edit that is not applied would leave this replica at another revision.
RowTerms DecodeTerms(const json::object& from) {
  RowTerms terms;
  if (from.contains("repetition")) {
    terms.repetition = RepetitionFromName(StringAt(from, "repetition"));
  }
  if (from.contains("timeout_ms")) {
    terms.timeout_ms = NumberAt<uint32_t>(from, "timeout_ms");
  }
  if (from.contains("latency_objective_ms")) {
    terms.latency_objective_ms =
        NumberAt<uint32_t>(from, "latency_objective_ms");
  }
  return terms;
}

json::value RowToJson(const ServiceRow& row) {
  json::array domains;
  for (const auto& it : row.failure_domains) {
    domains.push_back(
        {{"failure_domain", it.failure_domain}, {"weight", it.weight}});
  }
  json::object to{{"name", row.name},
                  {"kind", KindName(row.kind)},
                  {"address", FormatEndpoint(row.address)},
                  {"slots", row.limits.slots},
                  {"connections", row.limits.connections},
                  {"cold", row.limits.cold},
                  {"failure_domains", std::move(domains)},
                  {"idle_seconds", row.idle_seconds},
                  {"priority", row.priority}};
  if (row.terms != RowTerms()) {
    to["terms"] = TermsToJson(row.terms);
  }
  return to;
}

ServiceRow DecodeRow(const json::value& value) {
  const auto& object = value.as_object();
  ServiceRow row;
  row.name = StringAt(object, "name");
  row.kind = StringAt(object, "kind") == "request" ? ServiceKind::kRequest
                                                   : ServiceKind::kFlow;
  auto address = ParseEndpoint(StringAt(object, "address"));
  // For a conflict, a missing row is encoded with address 0.0.0.0:0.
  // ParseEndpoint rejects it, so it is decoded as the default endpoint.
  row.address = address ? *address : Endpoint();
  row.limits.slots = NumberAt<uint32_t>(object, "slots");
  row.limits.connections = NumberAt<uint32_t>(object, "connections");
  row.limits.cold = NumberAt<uint32_t>(object, "cold");
  for (const auto& it : object.at("failure_domains").as_array()) {
    row.failure_domains.push_back(
        {StringAt(it.as_object(), "failure_domain"),
         NumberAt<uint32_t>(it.as_object(), "weight")});
  }
  row.idle_seconds = NumberAt<uint32_t>(object, "idle_seconds");
  row.priority = NumberAt<uint32_t>(object, "priority");
  if (const auto* terms = object.if_contains("terms")) {
    row.terms = DecodeTerms(terms->as_object());
  }
  return row;
}

json::value VersionedRowToJson(const VersionedRow& row) {
  return {{"service", RowToJson(row.service)}, {"revision", row.revision}};
}

VersionedRow DecodeVersionedRow(const json::value& value) {
  const auto& object = value.as_object();
  return {DecodeRow(object.at("service")),
          NumberAt<uint64_t>(object, "revision")};
}

json::array RowsToJson(const std::vector<VersionedRow>& rows) {
  json::array array;
  for (const auto& row : rows) {
    array.push_back(VersionedRowToJson(row));
  }
  return array;
}

std::vector<VersionedRow> DecodeRows(const json::value& value) {
  std::vector<VersionedRow> rows;
  for (const auto& it : value.as_array()) {
    rows.push_back(DecodeVersionedRow(it));
  }
  return rows;
}

ServiceTable DecodeTable(const json::value& value) {
  const auto& object = value.as_object();
  return {NumberAt<uint64_t>(object, "revision"),
          DecodeRows(object.at("rows"))};
}

RowChange DecodeChange(const json::value& value) {
  const auto& object = value.as_object();
  RowChange change;
  change.name = StringAt(object, "name");
  change.base_revision = NumberAt<uint64_t>(object, "base_revision");
  if (!object.at("put").is_null()) {
    change.new_row = DecodeRow(object.at("put"));
  }
  return change;
}

Edit DecodeEdit(const json::value& value) {
  const auto& object = value.as_object();
  Edit edit;
  edit.id = StringAt(object, "id");
  edit.author = StringAt(object, "author");
  edit.proposed_at = FromUnixMillis(NumberAt<int64_t>(object, "made_at_ms"));
  for (const auto& it : object.at("changes").as_array()) {
    edit.changes.push_back(DecodeChange(it));
  }
  return edit;
}

EditVerdict DecodeVerdict(std::string_view name) {
  for (auto verdict : {EditVerdict::kAccepted, EditVerdict::kConflict,
                       EditVerdict::kReusedId, EditVerdict::kInvalid}) {
    if (VerdictName(verdict) == name) {
      return verdict;
    }
  }
  throw std::invalid_argument("unknown edit verdict");
}

EditOutcome DecodeOutcome(const json::value& value) {
  const auto& object = value.as_object();
  EditOutcome outcome;
  outcome.verdict = DecodeVerdict(StringAt(object, "verdict"));
  outcome.revision = NumberAt<uint64_t>(object, "revision");
  outcome.conflicting_rows = DecodeRows(object.at("current"));
  for (const auto& it : object.at("faults").as_array()) {
    const auto& error = it.as_object();
    outcome.errors.push_back({.field = StringAt(error, "field"),
                              .value = StringAt(error, "value"),
                              .expected = StringAt(error, "wanted")});
  }
  return outcome;
}

HistoryEntry DecodeHistoryEntry(const json::value& value) {
  const auto& object = value.as_object();
  return {NumberAt<uint64_t>(object, "revision"),
          DecodeEdit(object.at("edit"))};
}

TableState DecodeState(const json::value& value) {
  const auto& object = value.as_object();
  TableState state;
  state.table = DecodeTable(object.at("table"));
  for (const auto& it : object.at("history").as_array()) {
    state.history.push_back(DecodeHistoryEntry(it));
  }
  for (const auto& it : object.at("answered").as_array()) {
    const auto& recorded = it.as_object();
    auto id = StringAt(recorded, "id");
    state.outcomes_by_edit_id[id] = {
        NumberAt<uint64_t>(recorded, "content_hash"),
        DecodeOutcome(recorded.at("outcome"))};
    state.outcome_order.push_back(id);
  }
  return state;
}

}  // namespace

json::value ToJson(const ServiceTable& table) {
  return {{"revision", table.revision}, {"rows", RowsToJson(table.rows)}};
}

json::value ToJson(const Edit& edit) {
  json::array changes;
  for (const auto& change : edit.changes) {
    changes.push_back(
        {{"name", change.name},
         {"base_revision", change.base_revision},
         {"put", change.new_row ? RowToJson(*change.new_row) : json::value()}});
  }
  return {{"id", edit.id},
          {"author", edit.author},
          {"made_at_ms", ToUnixMillis(edit.proposed_at)},
          {"changes", std::move(changes)}};
}

json::value ToJson(const EditOutcome& outcome) {
  json::array errors;
  for (const auto& error : outcome.errors) {
    errors.push_back({{"field", error.field},
                      {"value", error.value},
                      {"wanted", error.expected}});
  }
  return {{"verdict", VerdictName(outcome.verdict)},
          {"revision", outcome.revision},
          {"current", RowsToJson(outcome.conflicting_rows)},
          {"faults", std::move(errors)}};
}

json::value ToJson(const HistoryEntry& entry) {
  return {{"revision", entry.revision}, {"edit", ToJson(entry.edit)}};
}

json::value ToJson(const TableState& state) {
  json::array history;
  for (const auto& entry : state.history) {
    history.push_back(ToJson(entry));
  }
  json::array outcomes;
  for (const auto& id : state.outcome_order) {
    const auto& recorded = state.outcomes_by_edit_id.at(id);
    outcomes.push_back({{"id", id},
                        {"content_hash", recorded.content_hash},
                        {"outcome", ToJson(recorded.outcome)}});
  }
  return {{"table", ToJson(state.table)},
          {"history", std::move(history)},
          {"answered", std::move(outcomes)}};
}

Result<ServiceTable> TableFromJson(const json::value& value) {
  return Decode([&] { return DecodeTable(value); });
}

Result<Edit> EditFromJson(const json::value& value) {
  return Decode([&] { return DecodeEdit(value); });
}

Result<EditOutcome> OutcomeFromJson(const json::value& value) {
  return Decode([&] { return DecodeOutcome(value); });
}

Result<HistoryEntry> HistoryFromJson(const json::value& value) {
  return Decode([&] { return DecodeHistoryEntry(value); });
}

Result<TableState> StateFromJson(const json::value& value) {
  return Decode([&] { return DecodeState(value); });
}

}  // namespace acaciahold::table
