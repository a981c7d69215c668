// The durable state of a control host, in one folder that one process may use
// at a time.
//
// Files: `lock`, which is locked while the folder is open; `identity`, written
// once; `hard-state` and `snapshot`, each replaced atomically; `log`, to which
// records are appended; `commit`, a hint that may be outdated or torn; `notes`,
// optional data of the folder's user, whose loss is harmless. Every file except
// `lock` begins with a format version, and every record holds its length and a
// checksum. A record is durable only once it is synced. Opening the folder
// truncates a torn record at the end of the log, and fails if there is damage
// anywhere else in `identity`, `hard-state`, `snapshot` or `log`.

#ifndef ACACIAHOLD_STORAGE_DATA_FOLDER_H_
#define ACACIAHOLD_STORAGE_DATA_FOLDER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "acaciahold/Consensus/replica.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::storage {

// Owns a file descriptor and closes it on destruction.
class FileDescriptor {
 public:
  explicit FileDescriptor(int fd = -1) : fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept;
  FileDescriptor& operator=(FileDescriptor&& other) noexcept;
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor();

  int get() const { return fd_; }

 private:
  int fd_;  // -1 if none is owned.
};

// Content of a data folder when it was opened.
struct StoredState {
  consensus::ReplicaId replica_id = 0;
  uint64_t instance = 0;
  consensus::HardState hard_state;
  consensus::Snapshot snapshot;
  std::vector<consensus::LogEntry> entries;
  consensus::Index commit_hint = 0;
  std::string notes;        // Empty if missing or damaged.
  uint64_t torn_bytes = 0;  // Truncated from the end of the log.
};

class DataFolder {
 public:
  // Prepares an empty folder for a new replica. `members` are the initial
  // members of a new deployment; it is empty for a replica that joins a running
  // one. Fails with SystemError, also if the folder already holds a replica.
  static Result<void> Initialize(const std::string& path,
                                 consensus::ReplicaId replica_id,
                                 uint64_t instance,
                                 std::vector<consensus::Member> members);

  // Opens and locks the folder and reads its content into `state`. Fails with
  // SystemError if the folder was not initialized or another process uses it,
  // and with CorruptionError if it is damaged.
  static Result<DataFolder> Open(const std::string& path, StoredState& state);

  // Writes and syncs everything but the commit hint, which is only written.
  // Fails with SystemError; after that the folder must not be written again.
  Result<void> Write(const consensus::Persist& persist);

  // Syncs the last commit hint that was written. Fails with SystemError.
  Result<void> SyncCommitHint();

  // Replaces and syncs the content of `notes`. Fails with SystemError; the
  // folder may still be used after that.
  Result<void> WriteNotes(std::string_view notes);

 private:
  DataFolder() = default;

  Result<void> AppendRecord(const std::string& payload);
  Result<void> RewriteLog();
  Result<void> WriteCommitHint(consensus::Index index);

  std::string path_;
  FileDescriptor lock_;
  FileDescriptor log_;
  FileDescriptor commit_;
  // Invariant: equals the entries in the log file, with truncations applied.
  std::vector<consensus::LogEntry> entries_;
};

}  // namespace acaciahold::storage

#endif  // ACACIAHOLD_STORAGE_DATA_FOLDER_H_
