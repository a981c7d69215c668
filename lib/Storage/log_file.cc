// Reads the file `log` and drops what a snapshot has replaced.

#include "log_file.h"

#include <algorithm>

#include <boost/json.hpp>

#include "acaciahold/Storage/record.h"

namespace acaciahold::storage {

namespace json = boost::json;
using consensus::LogEntry;

void TruncateFrom(std::vector<LogEntry>& entries, consensus::Index from) {
  while (!entries.empty() && entries.back().index >= from) {
    entries.pop_back();
  }
}

void EraseUpTo(std::vector<LogEntry>& entries, consensus::Index index) {
  std::erase_if(entries, [&](const auto& e) { return e.index <= index; });
}

std::string MakeLogPayload(const consensus::Persist& persist) {
  json::array entries;
  for (const auto& entry : persist.append) {
    entries.push_back(ToJson(entry));
  }
  return json::serialize(
      json::object{{"truncate_from", persist.truncate_from.value_or(0)},
                   {"entries", std::move(entries)}});
}

Result<void> CheckHeader(const std::string& bytes, const std::string& path) {
  if (bytes.compare(0, kFileHeader.size(), kFileHeader) == 0) {
    return {};
  }
  return leaf::new_error(
      CorruptionError{path, 0, "the file has an unknown format version",
                      "use the acaciahold version that wrote it, or replace "
                      "this host with a new replica"});
}

namespace {

// Adds an entry. The one before it may be missing only if the snapshot covers
// it: earlier versions could append to a log that a snapshot had replaced.
Result<void> AddEntry(LogContent& log,
                      LogEntry entry,
                      consensus::Index snapshot_index) {
  auto& entries = log.entries;
  if (!entries.empty() && entry.index != entries.back().index + 1) {
    bool follows_snapshot = entry.index == snapshot_index + 1 &&
                            entries.back().index <= snapshot_index;
    if (!follows_snapshot) {
      return leaf::new_error(
          FieldError{.field = "log record",
                     .expected = "entries with consecutive indexes"});
    }
    entries.clear();
    log.has_dropped_entries = true;
  }
  entries.push_back(std::move(entry));
  return {};
}

Result<void> ReplayRecord(std::string_view payload,
                          consensus::Index snapshot_index,
                          LogContent& log) {
  auto malformed = [] {
    return leaf::new_error(FieldError{.field = "log record",
                                      .expected = "truncate_from and entries"});
  };
  json::error_code ec;
  auto value = json::parse(payload, ec);
  if (ec || !value.is_object() || !value.as_object().contains("entries") ||
      !value.at("entries").is_array()) {
    return malformed();
  }
  auto from = value.at("truncate_from").to_number<uint64_t>(ec);
  if (ec) {
    return malformed();
  }
  if (from > 0) {
    TruncateFrom(log.entries, from);
  }
  for (const auto& entry_json : value.at("entries").as_array()) {
    BOOST_LEAF_AUTO(entry, consensus::EntryFromJson(entry_json));
    BOOST_LEAF_CHECK(AddEntry(log, std::move(entry), snapshot_index));
  }
  return {};
}

// Drops the entries that the snapshot replaced. A log that was not rewritten
// after the snapshot still has them: the process ended, or the write failed,
// between the two. If the log has another entry in the place of the snapshot's
// last one, the entries after it belong to another history.
void DropReplacedEntries(LogContent& log, const consensus::Snapshot& snapshot) {
  auto& entries = log.entries;
  size_t n = entries.size();
  bool has_other_history =
      std::any_of(entries.begin(), entries.end(), [&](const LogEntry& e) {
        return e.index == snapshot.index && e.term != snapshot.term;
      });
  if (has_other_history) {
    entries.clear();
  }
  EraseUpTo(entries, snapshot.index);
  log.has_dropped_entries |= entries.size() < n;
}

}  // namespace

Result<LogContent> ReadLog(const FileSystem& files,
                           const std::string& path,
                           const consensus::Snapshot& snapshot) {
  BOOST_LEAF_AUTO(bytes, ReadFile(files, path));
  BOOST_LEAF_CHECK(CheckHeader(bytes, path));
  std::string_view content = bytes;
  auto scan = ScanRecords(content.substr(kFileHeader.size()));
  LogContent log;
  log.valid_bytes = kFileHeader.size() + scan.valid_bytes;
  log.torn_bytes = bytes.size() - log.valid_bytes;
  if (scan.end == ScanEnd::kDamaged) {
    return leaf::new_error(
        CorruptionError{path, log.valid_bytes,
                        "a damaged record precedes valid ones", kRejoinRemedy});
  }
  for (auto payload : scan.payloads) {
    if (!ReplayRecord(payload, snapshot.index, log)) {
      return leaf::new_error(CorruptionError{
          path, log.valid_bytes,
          "a record is malformed or does not continue the one before it",
          kRejoinRemedy});
    }
  }
  DropReplacedEntries(log, snapshot);
  if (!log.entries.empty() && log.entries.front().index != snapshot.index + 1) {
    return leaf::new_error(CorruptionError{
        path, kFileHeader.size(),
        "the first log entry does not follow the snapshot", kRejoinRemedy});
  }
  return log;
}

}  // namespace acaciahold::storage
