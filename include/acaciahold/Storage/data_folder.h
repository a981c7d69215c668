// The durable state of a control host, in one folder that one process may use
// at a time.
//
// Files: `lock`, which is locked while the folder is open; `identity`, written
// once; `hard-state` and `snapshot`, each replaced atomically; `log`, to which
// records are appended; `commit`, a hint that may be outdated or torn; `notes`,
// optional data of the code that uses the folder, whose loss is harmless. Every
// file except `lock` begins with a format version, and every record holds its
// length and a checksum. A record is durable only once it is synced. Opening
// the folder truncates a torn record at the end of the log, and fails if there
// is damage anywhere else in `identity`, `hard-state`, `snapshot` or `log`.

#ifndef ACACIAHOLD_STORAGE_DATA_FOLDER_H_
#define ACACIAHOLD_STORAGE_DATA_FOLDER_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "acaciahold/Consensus/replica.h"
#include "acaciahold/Storage/file_system.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::storage {

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
                                 std::vector<consensus::Member> members,
                                 const FileSystem& files = PosixFileSystem());

  // Opens and locks the folder and reads its content into `state`, which is
  // durable then, but for the commit hint and the notes. Fails with
  // SystemError if the folder was not initialized, another process uses it, or
  // a system call fails; with CorruptionError if it is damaged; and with
  // FieldError if `hard-state` or `snapshot` does not have the expected form.
  static Result<DataFolder> Open(const std::string& path,
                                 StoredState& state,
                                 const FileSystem& files = PosixFileSystem());

  // Writes and syncs everything but the commit hint, which is only written.
  // Fails with SystemError; after that the folder must not be written again.
  Result<void> Write(const consensus::Persist& persist);

  // Syncs the last commit hint that was written. Fails with SystemError.
  Result<void> SyncCommitHint();

  // Replaces and syncs the content of `notes`. Fails with SystemError; the
  // folder may still be used after that.
  Result<void> WriteNotes(std::string_view notes);

 private:
  DataFolder(std::string path, const FileSystem& files)
      : path_(std::move(path)), files_(&files) {}

  Result<void> OpenLog(StoredState& state);
  Result<void> WriteLog(const consensus::Persist& persist);
  Result<void> AppendRecord(const std::string& payload);
  Result<void> RewriteLog();
  Result<void> WriteCommitHint(consensus::Index index);

  std::string path_;
  const FileSystem* files_;  // Outlives the folder.
  FileDescriptor lock_;
  FileDescriptor log_;
  FileDescriptor commit_;
  // The entries after the snapshot. Invariant: unless is_log_outdated_, they
  // equal the entries in the log file, with truncations applied.
  std::vector<consensus::LogEntry> entries_;
  // Whether the log file holds entries that a snapshot has replaced. Nothing is
  // appended to it until it is rewritten.
  bool is_log_outdated_ = false;
};

}  // namespace acaciahold::storage

#endif  // ACACIAHOLD_STORAGE_DATA_FOLDER_H_
