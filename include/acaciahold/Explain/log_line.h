// Reading back the event lines of hosts.

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

// One event that a host logged.
struct LogLine {
  int64_t at_ms = 0;  // Unix milliseconds, by the host's clock.
  std::string host;
  std::string event;
  boost::json::object fields;  // All of the line's.
};

// Reads one line. What stands before the first brace, as collectors put it
// there, is passed over. Nothing where the line is not an event.
std::optional<LogLine> ReadLogLine(std::string_view text);

struct LogFile {
  std::vector<LogLine> lines;
  uint64_t unreadable = 0;  // Lines that are no events.
};

LogFile ReadLogFile(std::istream& in);

// A field as text: empty where it is missing or has another type.
std::string TextOf(const LogLine& line, std::string_view key);

// A field as a number; 0 where it is missing or has another type.
int64_t NumberOf(const LogLine& line, std::string_view key);

}  // namespace acaciahold::explain

#endif  // ACACIAHOLD_EXPLAIN_LOG_LINE_H_
