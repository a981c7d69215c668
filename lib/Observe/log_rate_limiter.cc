// Counts log lines and bytes in windows of one second.

#include "acaciahold/Observe/log_rate_limiter.h"

#include <utility>

namespace acaciahold::observe {
namespace {

EventLineCounts& CountsOf(LogRateLimiter& limiter, std::string_view event) {
  auto it = limiter.counts_by_event.find(event);
  if (it == limiter.counts_by_event.end()) {
    it = limiter.counts_by_event.emplace(std::string(event), EventLineCounts())
             .first;
  }
  return it->second;
}

}  // namespace

bool AllowLine(LogRateLimiter& limiter,
               EventPriority priority,
               std::string_view event,
               Instant now) {
  if (now >= limiter.window_end) {
    limiter.window_end = now + std::chrono::seconds(1);
    limiter.bytes = 0;
    for (auto& [name, counts] : limiter.counts_by_event) {
      counts.written = 0;
    }
  }
  auto& counts = CountsOf(limiter, event);
  bool is_routine = priority == EventPriority::kRoutine;
  uint32_t max_lines =
      is_routine ? limiter.limits.routine_lines : limiter.limits.notable_lines;
  size_t max_bytes =
      is_routine ? limiter.limits.bytes / 2 : limiter.limits.bytes;
  bool is_allowed = counts.written < max_lines && limiter.bytes < max_bytes;
  counts.dropped += is_allowed ? 0 : 1;
  return is_allowed;
}

void OnLineWritten(LogRateLimiter& limiter,
                   std::string_view event,
                   size_t bytes) {
  ++CountsOf(limiter, event).written;
  limiter.bytes += bytes;
}

void OnLineDropped(LogRateLimiter& limiter, std::string_view event) {
  ++CountsOf(limiter, event).dropped;
}

std::vector<DroppedLines> TakeDroppedLines(LogRateLimiter& limiter,
                                           Instant now) {
  std::vector<DroppedLines> dropped;
  if (now < limiter.window_end) {
    return dropped;
  }
  for (auto& [name, counts] : limiter.counts_by_event) {
    if (counts.dropped > 0) {
      dropped.push_back({name, std::exchange(counts.dropped, 0)});
    }
  }
  return dropped;
}

}  // namespace acaciahold::observe
