// Writes an event history for the history checker, one JSON object per line.
// All writers use the same format.

#ifndef ACACIAHOLD_OBSERVE_HISTORY_H_
#define ACACIAHOLD_OBSERVE_HISTORY_H_

#include <fstream>
#include <memory>
#include <mutex>
#include <string>

#include <boost/json/object.hpp>

#include "acaciahold/Support/error.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::observe {

// Writes a history file. Thread-safe.
class HistoryWriter {
 public:
  // Opens the file for appending. Fails with SystemError.
  static Result<std::unique_ptr<HistoryWriter>> Open(const std::string& path);

  // Appends `event` with the added fields `at_ns` (nanoseconds since the Unix
  // epoch) and `kind`, and flushes the file.
  void Write(Instant at, std::string_view kind, boost::json::object event);

 private:
  explicit HistoryWriter(std::ofstream out) : out_(std::move(out)) {}

  std::mutex mutex_;
  std::ofstream out_;  // Guarded by mutex_.
};

}  // namespace acaciahold::observe

#endif  // ACACIAHOLD_OBSERVE_HISTORY_H_
