// The history that hosts and stand-ins write for the checker: one JSON object
// a line, in one format for all writers.

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

// Safe to use from several threads.
class History {
 public:
  // Appends to the file. Fails with SystemError.
  static Result<std::unique_ptr<History>> Open(const std::string& path);

  // Writes `event` with its instant and kind.
  void Write(Instant at, std::string_view kind, boost::json::object event);

 private:
  explicit History(std::ofstream out) : out_(std::move(out)) {}

  std::mutex mutex_;
  std::ofstream out_;  // Guarded by mutex_.
};

}  // namespace acaciahold::observe

#endif  // ACACIAHOLD_OBSERVE_HISTORY_H_
