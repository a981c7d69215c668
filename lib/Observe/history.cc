// Appends events to the history file.

#include "acaciahold/Observe/history.h"

#include <boost/json/serialize.hpp>

namespace acaciahold::observe {

Result<std::unique_ptr<HistoryWriter>> HistoryWriter::Open(
    const std::string& path) {
  std::ofstream out(path, std::ios::app);
  if (!out) {
    return leaf::new_error(SystemError{"open " + path, "not writable"});
  }
  return std::unique_ptr<HistoryWriter>(new HistoryWriter(std::move(out)));
}

void HistoryWriter::Write(Instant at,
                          std::string_view kind,
                          boost::json::object event) {
  event["at_ns"] = at.time_since_epoch().count();
  event["kind"] = kind;
  std::string line = boost::json::serialize(event) + "\n";
  std::lock_guard lock(mutex_);
  out_ << line;
  out_.flush();
}

}  // namespace acaciahold::observe
