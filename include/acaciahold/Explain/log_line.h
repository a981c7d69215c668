// Parses the event lines that hosts write to their logs.

#ifndef ACACIAHOLD_EXPLAIN_LOG_LINE_H_
#define ACACIAHOLD_EXPLAIN_LOG_LINE_H_

#include <cstdint>
#include <istream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>

namespace acaciahold::explain {

// One event logged by a host.
struct LogLine {
  int64_t at_ms = 0;  // Unix time in milliseconds, from the host's clock.
  std::string host;
  std::string event;
  // All fields of the line, including the three above.
  boost::json::object fields;
};

// Parses one line. Skips any prefix that a log collector added before the first
// opening brace. Returns nullopt if the line is not an event: no JSON object,
// no `at_ms`, or no `event`.
std::optional<LogLine> ParseLogLine(std::string_view text);

struct LogFile {
  std::vector<LogLine> lines;
  uint64_t malformed_lines = 0;  // Number of lines that are not events.
};

LogFile ReadLogFile(std::istream& in);

// Returns the string field `key`, or "" if it is missing or not a string.
std::string StringField(const LogLine& line, std::string_view key);

// Returns the integer field `key`, or 0 if it is missing or not an integer.
int64_t IntegerField(const LogLine& line, std::string_view key);

}  // namespace acaciahold::explain

#endif  // ACACIAHOLD_EXPLAIN_LOG_LINE_H_
