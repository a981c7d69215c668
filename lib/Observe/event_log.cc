// Budgets and writing of event lines.

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
  LineBudget budget;
  std::string unwritten;  // The rest of a line that was written in part.
};

EventLog& Log() {
  static EventLog log;
  return log;
}

// Writes what the pipe takes; returns false where it takes nothing.
bool WriteSome(EventLog& log) {
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

// Returns false where the line could not be written.
bool WriteLine(EventLog& log,
               std::string_view event,
               boost::json::object fields) {
  if (!WriteSome(log)) {
    OnNotWritten(log.budget, event);
    return false;
  }
  boost::json::object line{{"at_ms", ToUnixMillis(ReadClock())},
                           {"host", log.host},
                           {"event", event}};
  line.insert(fields.begin(), fields.end());
  log.unwritten = boost::json::serialize(line) + "\n";
  OnWritten(log.budget, event, log.unwritten.size());
  WriteSome(log);
  return true;
}

void TellLeftOut(EventLog& log, Instant now) {
  for (const auto& it : TakeLeftOut(log.budget, now)) {
    bool is_told = WriteLine(log, "lines_left_out",
                             {{"of", it.event}, {"lines", it.lines}});
    if (!is_told) {
      log.budget.kinds[it.event].left_out += it.lines;
    }
  }
}

}  // namespace

void OpenEventLog(std::string_view host, const LineLimits& limits) {
  auto& log = Log();
  std::lock_guard lock(log.mutex);
  log.host = host;
  log.budget.limits = limits;
  int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

bool MayLog(Weight weight, std::string_view event) {
  auto& log = Log();
  std::lock_guard lock(log.mutex);
  Instant now = ReadClock();
  TellLeftOut(log, now);
  return MayWrite(log.budget, weight, event, now);
}

void WriteEvent(std::string_view event, boost::json::object fields) {
  auto& log = Log();
  std::lock_guard lock(log.mutex);
  WriteLine(log, event, std::move(fields));
}

void LogEvent(Weight weight,
              std::string_view event,
              boost::json::object fields) {
  if (MayLog(weight, event)) {
    WriteEvent(event, std::move(fields));
  }
}

void FlushEventLog() {
  auto& log = Log();
  std::lock_guard lock(log.mutex);
  TellLeftOut(log, ReadClock());
}

}  // namespace acaciahold::observe
