// The durable state of a control host: one folder, used by one process.
//
// Files: `lock`; `identity`, written once; `hard-state` and `snapshot`, each
// replaced as a whole; `log`, appended to; `commit`, a hint that may be old
// or torn; `notes`, which the owner may do without. Every file begins with a
// format version, and every record carries its length and a checksum. A record
// is safe only once it is synced; a torn record at the end of the log is cut
// off on opening, and damage anywhere else is refused.

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

// Closes the descriptor when it goes.
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
  int fd_;  // -1 for none.
};

// What a folder held when it was opened.
struct StoredState {
  consensus::ReplicaId replica_id = 0;
  uint64_t instance = 0;
  consensus::HardState hard;
  consensus::Snapshot snapshot;
  std::vector<consensus::LogEntry> entries;
  consensus::Index commit_hint = 0;
  std::string notes;        // Empty where there are none, or they are damaged.
  uint64_t torn_bytes = 0;  // Cut from the end of the log.
};

class DataFolder {
 public:
  // Prepares an empty folder for a new replica. `members` are the first
  // members of a new deployment; a replica that joins a running one has none.
  // Fails with SystemError, also where the folder holds a replica already.
  static Result<void> Initialize(const std::string& path,
                                 consensus::ReplicaId replica_id,
                                 uint64_t instance,
                                 std::vector<consensus::Member> members);

  // Opens and locks the folder and reads it. Fails with SystemError where the
  // folder was not initialized or another process has it, and with
  // CorruptionError where it is damaged.
  static Result<DataFolder> Open(const std::string& path, StoredState& state);

  // Writes and syncs. After a failure the folder must not be written again.
  // Fails with SystemError.
  Result<void> Write(const consensus::Persist& persist);

  // Makes the last commit hint durable. Fails with SystemError.
  Result<void> SyncCommitHint();

  // Replaces the owner's notes, and syncs them. Fails with SystemError; the
  // folder may be used on.
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
  // Invariant: the entries in the log file, after truncations.
  std::vector<consensus::LogEntry> entries_;
};

}  // namespace acaciahold::storage

#endif  // ACACIAHOLD_STORAGE_DATA_FOLDER_H_
