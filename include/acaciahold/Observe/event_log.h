// Structured log lines on standard output: one JSON object a line, for each
// decision and each change of what the process believes.
//
// The volume is bounded, and writing never blocks: a line that does not fit is
// left out and counted, and a line `lines_left_out` tells the count by kind.

#ifndef ACACIAHOLD_OBSERVE_EVENT_LOG_H_
#define ACACIAHOLD_OBSERVE_EVENT_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

#include "acaciahold/Observe/line_budget.h"

namespace acaciahold::observe {

// Names this process in every line, and keeps standard output from blocking.
void OpenEventLog(std::string_view host, const LineLimits& limits);

// Writes one line with the event's name, the instant and the fields.
void LogEvent(Weight weight,
              std::string_view event,
              boost::json::object fields);

// Tells of lines that were left out, where no further event does. To be called
// now and then.
void FlushEventLog();

}  // namespace acaciahold::observe

#endif  // ACACIAHOLD_OBSERVE_EVENT_LOG_H_
