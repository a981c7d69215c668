// JSON encoding of the table's types, for messages between hosts and operator
// commands and for the replicated log. Decoding checks every field.

#ifndef ACACIAHOLD_TABLE_TABLE_JSON_H_
#define ACACIAHOLD_TABLE_TABLE_JSON_H_

#include <string>
#include <string_view>

#include <boost/json/value.hpp>

#include "acaciahold/Table/service_table.h"

namespace acaciahold::table {

boost::json::value ToJson(const ServiceTable& table);
boost::json::value ToJson(const Edit& edit);
boost::json::value ToJson(const EditOutcome& outcome);
boost::json::value ToJson(const HistoryEntry& entry);
boost::json::value ToJson(const TableState& state);

// Each fails with FieldError if a field is missing or has the wrong type.
Result<ServiceTable> TableFromJson(const boost::json::value& value);
Result<Edit> EditFromJson(const boost::json::value& value);
Result<EditOutcome> OutcomeFromJson(const boost::json::value& value);
Result<HistoryEntry> HistoryFromJson(const boost::json::value& value);
Result<TableState> StateFromJson(const boost::json::value& value);

}  // namespace acaciahold::table

#endif  // ACACIAHOLD_TABLE_TABLE_JSON_H_
