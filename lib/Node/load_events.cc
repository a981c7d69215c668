// Event log lines on changes of the load.

#include "load_events.h"

#include <chrono>

#include "acaciahold/Observe/event_log.h"

namespace acaciahold::node {
namespace {

using observe::EventPriority;
using observe::LogEvent;

int64_t Millis(Duration duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration)
      .count();
}

// Without a known standing demand and room are logged as 0.
void LogService(const std::string& service,
                const load::LoadSummary& summary,
                Duration age) {
  auto it = summary.services.find(service);
  bool is_known = it != summary.services.end();
  auto load = is_known ? it->second : load::DemandAndRoom();
  LogEvent(EventPriority::kNotable, "service_short_changed",
           {{"service", service},
            {"is_short", summary.short_services.contains(service)},
            {"is_known", is_known},
            {"demand_slots", load.demand},
            {"room_slots", load.room},
            {"digest_age_ms", Millis(age)}});
}

void LogSlow(directory::UpstreamId id, bool is_slow, double speed) {
  LogEvent(EventPriority::kNotable, "upstream_slow_changed",
           {{"upstream", id}, {"is_slow", is_slow}, {"speed", speed}});
}

void LogDark(directory::UpstreamId id, bool is_dark) {
  LogEvent(EventPriority::kNotable, "upstream_dark_changed",
           {{"upstream", id}, {"is_dark", is_dark}});
}

}  // namespace

void LogLoadChanges(const load::LoadSummary& before,
                    const load::LoadSummary& after,
                    Duration digest_age) {
  for (const auto& service : after.short_services) {
    if (!before.short_services.contains(service)) {
      LogService(service, after, digest_age);
    }
  }
  for (const auto& service : before.short_services) {
    if (!after.short_services.contains(service)) {
      LogService(service, after, digest_age);
    }
  }
  for (const auto& [id, speed] : after.slow) {
    if (!before.slow.contains(id)) {
      LogSlow(id, true, speed);
    }
  }
  for (const auto& [id, speed] : before.slow) {
    if (!after.slow.contains(id)) {
      LogSlow(id, false, speed);
    }
  }
  for (auto id : after.dark) {
    if (!before.dark.contains(id)) {
      LogDark(id, true);
    }
  }
  for (auto id : before.dark) {
    if (!after.dark.contains(id)) {
      LogDark(id, false);
    }
  }
}

}  // namespace acaciahold::node
