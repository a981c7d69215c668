// Rate limiting of event log lines, without I/O.
//
// During a fault every packet may cause a loggable decision while the CPU time
// is needed for the packets themselves. Under the limits, lines about rejected
// work or changed state take precedence over routine ones. Dropped lines are
// counted, so that the log can report how many are missing.

#ifndef ACACIAHOLD_OBSERVE_LOG_RATE_LIMITER_H_
#define ACACIAHOLD_OBSERVE_LOG_RATE_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "acaciahold/Support/time.h"

namespace acaciahold::observe {

// Decides which lines are dropped first when the limits are reached.
enum class EventPriority {
  kRoutine,  // One of many similar decisions.
  kNotable,  // Work was rejected, or the process changed its state.
};

// Limits per second.
struct LogRateLimits {
  uint32_t routine_lines = 64;  // Per event name, for routine lines.
  uint32_t notable_lines = 50;  // Per event name, for notable lines.
  // For all events together. Routine lines may use only the first half, so that
  // the rest remains for notable ones.
  size_t bytes = 48U << 10U;
};

struct EventLineCounts {
  uint32_t written = 0;  // In the current window.
  uint64_t dropped = 0;  // Since the last report.
};

struct LogRateLimiter {
  LogRateLimits limits;
  Instant window_end;  // Windows last one second.
  size_t bytes = 0;    // Written in the current window.
  std::map<std::string, EventLineCounts, std::less<>> counts_by_event;
};

// Returns whether a line for this event may be written. If not, counts it as
// dropped.
bool AllowLine(LogRateLimiter& limiter,
               EventPriority priority,
               std::string_view event,
               Instant now);

// Records that a line of `bytes` bytes was written.
void OnLineWritten(LogRateLimiter& limiter,
                   std::string_view event,
                   size_t bytes);

// Records that a line could not be written.
void OnLineDropped(LogRateLimiter& limiter, std::string_view event);

struct DroppedLines {
  std::string event;
  uint64_t lines = 0;
};

// Returns the drop counts by event name and resets them. Returns nothing until
// the current window has ended.
std::vector<DroppedLines> TakeDroppedLines(LogRateLimiter& limiter,
                                           Instant now);

}  // namespace acaciahold::observe

#endif  // ACACIAHOLD_OBSERVE_LOG_RATE_LIMITER_H_
