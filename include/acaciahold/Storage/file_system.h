// The file operations that a data folder uses, with the results of the system
// calls of the same names: -1 and errno in case of failure. Tests replace them
// by a simulated disk, which fails or stops at any operation.

#ifndef ACACIAHOLD_STORAGE_FILE_SYSTEM_H_
#define ACACIAHOLD_STORAGE_FILE_SYSTEM_H_

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <utility>

#include <sys/types.h>

#include "acaciahold/Support/error.h"

namespace acaciahold::storage {

struct FileSystem {
  std::function<int(const std::string& path, int flags)> open;
  std::function<void(int fd)> close;
  std::function<ssize_t(int fd, std::span<char> buf)> read;
  std::function<ssize_t(int fd, std::string_view bytes)> write;
  std::function<ssize_t(int fd, std::string_view bytes, off_t offset)> pwrite;
  std::function<int(int fd, off_t size)> truncate;
  // Makes the content of a file, or the names in a folder, durable.
  std::function<int(int fd)> sync;
  // Locks the file for this process; fails at once if another one holds it.
  std::function<int(int fd)> lock;
  std::function<int(const std::string& from, const std::string& to)> rename;
  std::function<int(const std::string& path)> remove;
  std::function<bool(const std::string& path)> exists;
};

// The operating system's file operations.
const FileSystem& PosixFileSystem();

// Owns a file descriptor and closes it on destruction.
class FileDescriptor {
 public:
  FileDescriptor() = default;
  FileDescriptor(const FileSystem& files, int fd) : files_(&files), fd_(fd) {}
  FileDescriptor(FileDescriptor&& other) noexcept
      : files_(other.files_), fd_(std::exchange(other.fd_, -1)) {}
  FileDescriptor& operator=(FileDescriptor&& other) noexcept {
    std::swap(files_, other.files_);
    std::swap(fd_, other.fd_);
    return *this;
  }
  FileDescriptor(const FileDescriptor&) = delete;
  FileDescriptor& operator=(const FileDescriptor&) = delete;
  ~FileDescriptor() {
    if (fd_ >= 0) {
      files_->close(fd_);
    }
  }

  int get() const { return fd_; }

 private:
  const FileSystem* files_ = nullptr;  // Outlives the descriptor.
  int fd_ = -1;                        // -1 if none is owned.
};

// Returns the error of an operation that has just failed and set errno.
SystemError MakeSystemError(const std::string& operation);

// The functions below fail with SystemError.

Result<FileDescriptor> OpenFile(const FileSystem& files,
                                const std::string& path,
                                int flags);
Result<std::string> ReadFile(const FileSystem& files, const std::string& path);
Result<void> WriteAll(const FileSystem& files,
                      int fd,
                      std::string_view bytes,
                      const std::string& path);
Result<void> SyncFile(const FileSystem& files, int fd, const std::string& path);

// Makes the names in the folder durable.
Result<void> SyncFolder(const FileSystem& files, const std::string& path);

// Replaces the file atomically and durably: after a crash it has the old or the
// new content.
Result<void> ReplaceFile(const FileSystem& files,
                         const std::string& folder,
                         const std::string& name,
                         std::string_view content);

}  // namespace acaciahold::storage

#endif  // ACACIAHOLD_STORAGE_FILE_SYSTEM_H_
