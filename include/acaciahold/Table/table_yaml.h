// The YAML format of the service table, which operators keep in version
// control.

#ifndef ACACIAHOLD_TABLE_TABLE_YAML_H_
#define ACACIAHOLD_TABLE_TABLE_YAML_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "acaciahold/Table/service_table.h"

namespace acaciahold::table {

// The rows of a table file, or every error found in it. At least one of the two
// is empty.
struct TableFile {
  std::vector<ServiceRow> rows;
  std::vector<int> lines;  // One for each row: where it begins, one-based.
  std::vector<FieldError> errors;
  std::string name;  // Of the file.
};

// Reads and validates the rows. `name` stands for the file in errors. Fails
// with SystemError if the file can't be read, and with FieldError if the input
// is not a YAML document.
Result<TableFile> ReadTableFile(const std::string& path);
Result<TableFile> ReadTableText(std::string_view text, const std::string& name);

// Returns the rows as a YAML document that ReadTableText accepts.
std::string WriteTableText(std::span<const VersionedRow> rows);

}  // namespace acaciahold::table

#endif  // ACACIAHOLD_TABLE_TABLE_YAML_H_
