// Structured log lines on standard output: one JSON object a line, for each
// decision and each change of what the process believes.
//
// The volume is bounded, and writing never blocks: a line that does not fit is
// left out and counted, and a line `lines_left_out` tells the count by kind.

#ifndef ACACIAHOLD_OBSERVE_EVENT_LOG_H_
#define ACACIAHOLD_OBSERVE_EVENT_LOG_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

#include "acaciahold/Observe/line_budget.h"

namespace acaciahold::observe {

// Names this process in every line, and keeps standard output from blocking.
void OpenEventLog(std::string_view host, const LineLimits& limits);

// Whether a line of this kind may be written now; counts it as left out where
// not.
bool MayLog(Weight weight, std::string_view event);

// Writes one line with the event's name, the instant and the fields, after
// MayLog.
void WriteEvent(std::string_view event, boost::json::object fields);

// Both together.
void LogEvent(Weight weight,
              std::string_view event,
              boost::json::object fields);

// The same for where a line may be left out for each packet: `make_fields` is
// called only for a line that is written.
template <std::invocable F>
void LogEvent(Weight weight, std::string_view event, F make_fields) {
  if (MayLog(weight, event)) {
    WriteEvent(event, make_fields());
  }
}

// Tells of lines that were left out, where no further event does. To be called
// now and then.
void FlushEventLog();

}  // namespace acaciahold::observe

#endif  // ACACIAHOLD_OBSERVE_EVENT_LOG_H_
