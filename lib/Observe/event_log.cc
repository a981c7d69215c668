// Rate-limited, non-blocking writing of event log lines.

#include "acaciahold/Observe/event_log.h"

#include <cerrno>
#include <mutex>
#include <utility>

#include <boost/json/serialize.hpp>
#include <fcntl.h>
#include <unistd.h>

namespace acaciahold::observe {
namespace {

struct EventLog {
  std::mutex mutex;
  std::string host;
  LogRateLimiter limiter;
  std::string unwritten;  // Remainder of a partially written line.
};

EventLog& GlobalEventLog() {
  static EventLog log;
  return log;
}

// Writes `unwritten` as far as standard output accepts it without blocking.
// Returns false if some of it remains.
bool WritePending(EventLog& log) {
  while (!log.unwritten.empty()) {
    auto n = ::write(STDOUT_FILENO, log.unwritten.data(), log.unwritten.size());
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n <= 0) {
      return false;
    }
    log.unwritten.erase(0, static_cast<size_t>(n));
  }
  return true;
}

// Returns false and counts the line as dropped if the previous line is still
// partially unwritten.
bool WriteLine(EventLog& log,
               std::string_view event,
               boost::json::object fields) {
  if (!WritePending(log)) {
    OnLineDropped(log.limiter, event);
    return false;
  }
  boost::json::object line{{"at_ms", ToUnixMillis(ReadClock())},
                           {"host", log.host},
                           {"event", event}};
  line.insert(fields.begin(), fields.end());
  log.unwritten = boost::json::serialize(line) + "\n";
  OnLineWritten(log.limiter, event, log.unwritten.size());
  WritePending(log);
  return true;
}

// Writes one line with the drop count of each event. A count whose line is
// dropped too is kept for the next report.
void WriteDropReports(EventLog& log, Instant now) {
  for (const auto& it : TakeDroppedLines(log.limiter, now)) {
    bool is_reported = WriteLine(log, "lines_left_out",
                                 {{"of", it.event}, {"lines", it.lines}});
    if (!is_reported) {
      log.limiter.counts_by_event[it.event].dropped += it.lines;
    }
  }
}

}  // namespace

void OpenEventLog(std::string_view host, const LogRateLimits& limits) {
  auto& log = GlobalEventLog();
  std::lock_guard lock(log.mutex);
  log.host = host;
  log.limiter.limits = limits;
  int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

bool AllowEvent(EventPriority priority, std::string_view event) {
  auto& log = GlobalEventLog();
  std::lock_guard lock(log.mutex);
  Instant now = ReadClock();
  WriteDropReports(log, now);
  return AllowLine(log.limiter, priority, event, now);
}

void WriteEvent(std::string_view event, boost::json::object fields) {
  auto& log = GlobalEventLog();
  std::lock_guard lock(log.mutex);
  WriteLine(log, event, std::move(fields));
}

void LogEvent(EventPriority priority,
              std::string_view event,
              boost::json::object fields) {
  if (AllowEvent(priority, event)) {
    WriteEvent(event, std::move(fields));
  }
}

void ReportDroppedLines() {
  auto& log = GlobalEventLog();
  std::lock_guard lock(log.mutex);
  WriteDropReports(log, ReadClock());
}

}  // namespace acaciahold::observe
