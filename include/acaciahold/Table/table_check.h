// Checks a table before it is sent: entries that are valid, but can never serve
// or contradict each other, and what an apply to the table in force would do.
// Decides without I/O.

#ifndef ACACIAHOLD_TABLE_TABLE_CHECK_H_
#define ACACIAHOLD_TABLE_TABLE_CHECK_H_

#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "acaciahold/Table/service_table.h"
#include "acaciahold/Table/table_yaml.h"

namespace acaciahold::table {

// Hosts refuse a table with errors and accept one with warnings.
struct CheckReport {
  std::vector<FieldError> errors;
  std::vector<FieldError> warnings;
};

// Returns the errors of the file, and the warnings if it has no errors.
CheckReport CheckFile(const TableFile& file);

// Returns a warning for each failure domain of a row that has no entry host:
// its upstreams have no host to announce themselves to. None if
// `domains_with_hosts` is empty, since then the hosts are not known.
std::vector<FieldError> FindDomainsWithoutHosts(
    const TableFile& file,
    const std::set<std::string>& domains_with_hosts);

// Returns the revision in the first line that `table get` writes, or nothing if
// the text does not begin with it.
std::optional<uint64_t> RevisionOfText(std::string_view text);

// Returns a warning for each change of a row that was changed after `revision`,
// on which the file is based: the apply would undo that later change.
std::vector<FieldError> FindUndoneChanges(const TableFile& file,
                                          std::span<const RowChange> changes,
                                          uint64_t revision);

// Returns the outcome of an edit with these changes, applied to a copy of the
// table.
EditOutcome TryChanges(const ServiceTable& table,
                       std::vector<RowChange> changes);

}  // namespace acaciahold::table

#endif  // ACACIAHOLD_TABLE_TABLE_CHECK_H_
