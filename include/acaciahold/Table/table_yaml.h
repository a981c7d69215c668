// The service table as operators keep it in version control: a YAML file.

#ifndef ACACIAHOLD_TABLE_TABLE_YAML_H_
#define ACACIAHOLD_TABLE_TABLE_YAML_H_

#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "acaciahold/Table/service_table.h"

namespace acaciahold::table {

// Rows of a table file, or every fault found in it; one of the two is empty.
struct TableFile {
  std::vector<ServiceRow> rows;
  std::vector<FieldError> faults;
};

// Reads the rows and validates them. Fails with SystemError or FieldError
// where there is no YAML document to read.
Result<TableFile> ReadTableFile(const std::string& path);
Result<TableFile> ReadTableText(std::string_view text, const std::string& name);

// The rows as a YAML document that ReadTableText accepts.
std::string WriteTableText(std::span<const VersionedRow> rows);

}  // namespace acaciahold::table

#endif  // ACACIAHOLD_TABLE_TABLE_YAML_H_
