// The service table as an aggregate: rows, the edits that change them and the
// one true answer to each edit. Every replica applies the same committed edits
// in the same order and reaches the same state.

#ifndef ACACIAHOLD_TABLE_SERVICE_TABLE_H_
#define ACACIAHOLD_TABLE_SERVICE_TABLE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "acaciahold/Support/error.h"
#include "acaciahold/Support/time.h"
#include "acaciahold/Table/service_row.h"

namespace acaciahold::table {

// A row together with the table revision that last changed it.
struct VersionedRow {
  ServiceRow service;
  uint64_t revision = 0;

  bool operator==(const VersionedRow&) const = default;
};

// Invariants: rows are sorted by name, each name once; no row's revision is
// above the table's.
struct ServiceTable {
  uint64_t revision = 0;
  std::vector<VersionedRow> rows;

  bool operator==(const ServiceTable&) const = default;
};

// One row's change. `base_revision` is the revision of the row that the
// operator saw, 0 for a row that did not exist.
struct RowChange {
  std::string name;
  uint64_t base_revision = 0;
  std::optional<ServiceRow> put;  // Nothing removes the row.

  bool operator==(const RowChange&) const = default;
};

// An operator's edit: all of its changes are made, or none.
struct Edit {
  std::string id;  // Chosen by the operator's command, unique for each edit.
  std::string author;
  Instant made_at;  // Stamped by the leader that proposed it.
  std::vector<RowChange> changes;
};

enum class EditVerdict {
  kAccepted,
  kConflict,  // A row is no longer at the edit's base revision.
  kReusedId,  // The id belongs to an edit with other content.
  kInvalid,   // Rows that break the table's rules.
};

struct EditOutcome {
  EditVerdict verdict = EditVerdict::kAccepted;
  uint64_t revision = 0;  // The table's revision after an accepted edit.
  std::vector<VersionedRow> current;  // For a conflict: the rows as they are.
  std::vector<FieldError> faults;     // For an invalid edit: all of them.
};

// One accepted edit, as history shows it.
struct HistoryEntry {
  uint64_t revision = 0;
  Edit edit;
};

// What a replica knows after applying a prefix of the log.
struct TableState {
  ServiceTable table;
  // Invariants: in order of revision; at most kMaxHistoryEntries.
  std::deque<HistoryEntry> history;
  struct AnsweredEdit {
    uint64_t content_hash = 0;
    EditOutcome outcome;
  };
  std::unordered_map<std::string, AnsweredEdit> answered;
  // Ids in the order of their answers; the oldest are forgotten first.
  std::deque<std::string> answered_order;
};

inline constexpr size_t kMaxHistoryEntries = 10'000;
inline constexpr size_t kMaxAnsweredEdits = 10'000;

// Applies a committed edit. The same id with the same content gets the first
// answer again and changes nothing.
EditOutcome ApplyEdit(TableState& state, const Edit& edit);

// The answer already given to this edit id, if it is still known.
const TableState::AnsweredEdit* FindAnswer(const TableState& state,
                                           std::string_view edit_id);

const VersionedRow* FindRow(const ServiceTable& table, std::string_view name);

// All rules that the rows break, alone or together.
std::vector<FieldError> Validate(std::span<const ServiceRow> rows);

// The changes that turn `table` into exactly `wanted`.
std::vector<RowChange> Diff(const ServiceTable& table,
                            std::span<const ServiceRow> wanted);

std::string_view VerdictName(EditVerdict verdict);

}  // namespace acaciahold::table

#endif  // ACACIAHOLD_TABLE_SERVICE_TABLE_H_
