// Budgets and writing of event lines.

#include "acaciahold/Observe/event_log.h"

#include <cerrno>
#include <chrono>
#include <functional>
#include <map>
#include <mutex>

#include <boost/json/serialize.hpp>
#include <fcntl.h>
#include <unistd.h>

namespace acaciahold::observe {
namespace {

using SteadyClock = std::chrono::steady_clock;

// Lines of one kind since its second began.
struct Budget {
  SteadyClock::time_point second_end;
  uint32_t written = 0;
  uint64_t left_out = 0;  // Not yet reported.
};

struct EventLog {
  std::mutex mutex;
  std::string host;
  std::map<std::string, Budget, std::less<>> budgets;
  std::string unwritten;  // The rest of a line that was written in part.
};

EventLog& Log() {
  static EventLog log;
  return log;
}

int64_t UnixMillis() {
  auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
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

}  // namespace

void OpenEventLog(std::string_view host) {
  auto& log = Log();
  std::lock_guard lock(log.mutex);
  log.host = host;
  int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) {
    ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
  }
}

void LogEvent(Weight weight,
              std::string_view event,
              boost::json::object fields) {
  auto& log = Log();
  std::lock_guard lock(log.mutex);
  auto it = log.budgets.find(event);
  if (it == log.budgets.end()) {
    it = log.budgets.emplace(std::string(event), Budget()).first;
  }
  auto& budget = it->second;
  auto now = SteadyClock::now();
  if (now >= budget.second_end) {
    budget.second_end = now + std::chrono::seconds(1);
    budget.written = 0;
  }
  uint32_t most = weight == Weight::kRoutine ? kRoutineLinesPerSecond
                                             : kNotableLinesPerSecond;
  if (budget.written >= most || !WriteSome(log)) {
    ++budget.left_out;
    return;
  }
  ++budget.written;
  boost::json::object line{
      {"at_ms", UnixMillis()}, {"host", log.host}, {"event", event}};
  line.insert(fields.begin(), fields.end());
  if (budget.left_out > 0) {
    line["left_out_before"] = budget.left_out;
    budget.left_out = 0;
  }
  log.unwritten = boost::json::serialize(line) + "\n";
  WriteSome(log);
}

}  // namespace acaciahold::observe
