// Structured log lines on standard output: one JSON object a line, for each
// decision and each change of what the process believes.
//
// The volume is bounded for each kind of event, and writing never blocks: a
// line that does not fit is left out and counted, and the counts are logged.

#ifndef ACACIAHOLD_OBSERVE_EVENT_LOG_H_
#define ACACIAHOLD_OBSERVE_EVENT_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

namespace acaciahold::observe {

// What a line is worth when not all can be written.
enum class Weight {
  kRoutine,  // One of many decisions alike.
  kNotable,  // Turned work away, or changed what the process believes.
};

// Lines of one kind in a second.
inline constexpr uint32_t kRoutineLinesPerSecond = 4;
inline constexpr uint32_t kNotableLinesPerSecond = 50;

// Names this process in every line, and keeps standard output from blocking.
void OpenEventLog(std::string_view host);

// Writes one line with the event's name, the instant and the fields.
void LogEvent(Weight weight,
              std::string_view event,
              boost::json::object fields);

}  // namespace acaciahold::observe

#endif  // ACACIAHOLD_OBSERVE_EVENT_LOG_H_
