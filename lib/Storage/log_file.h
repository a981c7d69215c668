// The content of the file `log` of a data folder: records that truncate the log
// and append entries to it.

#ifndef ACACIAHOLD_LIB_STORAGE_LOG_FILE_H_
#define ACACIAHOLD_LIB_STORAGE_LOG_FILE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "acaciahold/Consensus/replica.h"
#include "acaciahold/Storage/file_system.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::storage {

// What an operator does with a damaged folder.
inline constexpr const char* kRejoinRemedy =
    "move the folder away and join this host as a new replica with a new id";

// The entries that a log file holds, with truncations applied.
struct LogContent {
  std::vector<consensus::LogEntry> entries;
  uint64_t valid_bytes = 0;  // Size of the file without a torn record.
  uint64_t torn_bytes = 0;
  // Whether the file holds more entries than `entries`.
  bool has_dropped_entries = false;
};

// Removes the entries from index `from` on.
void TruncateFrom(std::vector<consensus::LogEntry>& entries,
                  consensus::Index from);

// Removes the entries up to and including `index`.
void EraseUpTo(std::vector<consensus::LogEntry>& entries,
               consensus::Index index);

// Returns the payload of the record of a change: first the log is truncated
// from `truncate_from` on, then `append` is appended.
std::string MakeLogPayload(const consensus::Persist& persist);

// Returns the entries of the log that follow the snapshot. Fails with
// CorruptionError, or with SystemError if the file can't be read.
Result<LogContent> ReadLog(const FileSystem& files,
                           const std::string& path,
                           const consensus::Snapshot& snapshot);

// Fails with CorruptionError unless the file's content begins with kFileHeader.
Result<void> CheckHeader(const std::string& bytes, const std::string& path);

}  // namespace acaciahold::storage

#endif  // ACACIAHOLD_LIB_STORAGE_LOG_FILE_H_
