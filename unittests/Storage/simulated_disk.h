// A disk in memory. It fails or stops at any operation, and loses unsynced
// changes in a power loss, each one by itself.

#ifndef ACACIAHOLD_UNITTESTS_STORAGE_SIMULATED_DISK_H_
#define ACACIAHOLD_UNITTESTS_STORAGE_SIMULATED_DISK_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "acaciahold/Storage/file_system.h"

namespace acaciahold::storage {

// Returns a number below `n`. Decides what stays after a power loss.
using Choose = std::function<uint32_t(uint32_t n)>;

// Chooses in every possible way, one way after the other.
class ExhaustiveChoices {
 public:
  Choose MakeChoose();
  // Moves on to the next way. Returns whether there is one.
  bool Next();

 private:
  struct Choice {
    uint32_t value = 0;
    uint32_t count = 0;
  };
  std::vector<Choice> choices_;
  size_t position_ = 0;
};

// What happens to the operation number `at`, counted from 0 since SetFault, and
// to those after it. Only operations that change the disk count.
struct DiskFault {
  enum class Kind {
    kStop,       // The process is killed before the operation.
    kFullDisk,   // This and all further writes fail.
    kTornWrite,  // Half of a write is done, then the process is killed.
  };
  Kind kind = Kind::kStop;
  uint64_t at = 0;
};

class SimulatedDisk {
 public:
  SimulatedDisk();
  SimulatedDisk(const SimulatedDisk&) = delete;
  SimulatedDisk& operator=(const SimulatedDisk&) = delete;

  const FileSystem& files() const { return files_; }
  void SetFault(std::optional<DiskFault> fault);
  // Returns whether the fault's operation has been reached.
  bool is_fault_reached() const;
  // Ends the process: open files are closed, locks are released, written data
  // stays.
  void EndProcess();
  // Loses unsynced changes as `choose` says. Call EndProcess first.
  void LosePower(const Choose& choose);

 private:
  // A change of a file's content: a write, or a truncation if `bytes` is empty.
  struct Change {
    size_t offset = 0;
    std::string bytes;
  };
  struct File {
    std::string content;
    std::string synced;  // Content that survives a power loss.
    std::vector<Change> unsynced;
  };
  // A change of a name that the folder's sync has not covered. The rename of a
  // file is one change of two names.
  struct NameChange {
    std::string path;          // The name that is set or removed.
    std::optional<int> file;   // Nothing if the name is removed.
    std::string renamed_from;  // The name that a rename removes, or empty.
  };
  struct OpenFile {
    int file = 0;  // -1: a folder.
    size_t position = 0;
    bool is_append = false;
    bool holds_lock = false;
  };

  int Open(const std::string& path, int flags);
  ssize_t Read(int fd, std::span<char> buf);
  ssize_t Write(int fd, std::string_view bytes);
  ssize_t WriteAt(File& file, size_t offset, std::string_view bytes);
  int Truncate(int fd, size_t size);
  int Sync(int fd);
  int Lock(int fd);
  int Rename(const std::string& from, const std::string& to);
  int Remove(const std::string& path);
  // Counts an operation that changes the disk. Returns whether it may be done;
  // sets errno if not.
  bool BeginOperation(bool is_write);
  static void Apply(std::string& content, const Change& change);
  static void ApplyName(std::map<std::string, int>& names,
                        const NameChange& change);

  FileSystem files_;
  std::vector<File> contents_;
  std::map<std::string, int> names_;
  std::map<std::string, int> synced_names_;
  std::vector<NameChange> unsynced_names_;
  std::map<int, OpenFile> open_files_;
  int next_fd_ = 3;
  std::optional<DiskFault> fault_;
  uint64_t operations_ = 0;  // Since SetFault.
  bool is_stopped_ = false;
};

}  // namespace acaciahold::storage

#endif  // ACACIAHOLD_UNITTESTS_STORAGE_SIMULATED_DISK_H_
