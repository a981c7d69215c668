// Structured event log on standard output, one JSON object per line. The
// process logs each of its decisions and each change of the state that it bases
// them on.
//
// The volume is rate-limited and writing never blocks. A line that exceeds the
// limit or that standard output does not accept is dropped and counted, and a
// `lines_left_out` event reports the number of dropped lines for each event
// name.

#ifndef ACACIAHOLD_OBSERVE_EVENT_LOG_H_
#define ACACIAHOLD_OBSERVE_EVENT_LOG_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

#include "acaciahold/Observe/log_rate_limiter.h"

namespace acaciahold::observe {

// Sets the host name that every line carries and the rate limits, and puts
// standard output into non-blocking mode.
void OpenEventLog(std::string_view host, const LogRateLimits& limits);

// Returns whether the rate limits allow a line for this event now. If not,
// counts the line as dropped.
bool AllowEvent(EventPriority priority, std::string_view event);

// Writes one line with the event's name, the current time and `fields`. The
// caller has called AllowEvent, which returned true.
void WriteEvent(std::string_view event, boost::json::object fields);

// Writes the line if AllowEvent allows it.
void LogEvent(EventPriority priority,
              std::string_view event,
              boost::json::object fields);

// Like the overload above, for events that occur as often as once per packet.
// `make_fields` is called only if the line is written.
template <std::invocable F>
void LogEvent(EventPriority priority, std::string_view event, F make_fields) {
  if (AllowEvent(priority, event)) {
    WriteEvent(event, make_fields());
  }
}

// Reports dropped lines. Logging an event does this too, so a periodic call is
// needed only to report drops that no further event follows.
void ReportDroppedLines();

}  // namespace acaciahold::observe

#endif  // ACACIAHOLD_OBSERVE_EVENT_LOG_H_
