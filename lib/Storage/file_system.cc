// File operations of the operating system, and the sequences of them that a
// data folder is written with.

#include "acaciahold/Storage/file_system.h"

#include <cerrno>
#include <cstdio>
#include <cstring>

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

namespace acaciahold::storage {
namespace {

constexpr mode_t kFileMode = 0600;
constexpr size_t kReadBytes = 1U << 16U;

FileSystem MakePosixFileSystem() {
  FileSystem files;
  files.open = [](const std::string& path, int flags) {
    return ::open(path.c_str(), flags | O_CLOEXEC, kFileMode);
  };
  files.close = [](int fd) { ::close(fd); };
  files.read = [](int fd, std::span<char> buf) {
    return ::read(fd, buf.data(), buf.size());
  };
  files.write = [](int fd, std::string_view bytes) {
    return ::write(fd, bytes.data(), bytes.size());
  };
  files.pwrite = [](int fd, std::string_view bytes, off_t offset) {
    return ::pwrite(fd, bytes.data(), bytes.size(), offset);
  };
  files.truncate = [](int fd, off_t size) { return ::ftruncate(fd, size); };
  files.sync = [](int fd) { return ::fsync(fd); };
  files.lock = [](int fd) { return ::flock(fd, LOCK_EX | LOCK_NB); };
  files.rename = [](const std::string& from, const std::string& to) {
    return std::rename(from.c_str(), to.c_str());
  };
  files.remove = [](const std::string& path) { return ::unlink(path.c_str()); };
  files.exists = [](const std::string& path) {
    return ::access(path.c_str(), F_OK) == 0;
  };
  return files;
}

}  // namespace

const FileSystem& PosixFileSystem() {
  static const FileSystem kFiles = MakePosixFileSystem();
  return kFiles;
}

SystemError MakeSystemError(const std::string& operation) {
  return {operation, std::strerror(errno)};
}

Result<FileDescriptor> OpenFile(const FileSystem& files,
                                const std::string& path,
                                int flags) {
  int fd = files.open(path, flags);
  if (fd < 0) {
    return leaf::new_error(MakeSystemError("open " + path));
  }
  return FileDescriptor(files, fd);
}

Result<std::string> ReadFile(const FileSystem& files, const std::string& path) {
  BOOST_LEAF_AUTO(fd, OpenFile(files, path, O_RDONLY));
  std::string bytes;
  std::string buf(kReadBytes, '\0');
  while (true) {
    auto n = files.read(fd.get(), buf);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0) {
      return leaf::new_error(MakeSystemError("read " + path));
    }
    if (n == 0) {
      return bytes;
    }
    bytes.append(buf, 0, n);
  }
}

Result<void> WriteAll(const FileSystem& files,
                      int fd,
                      std::string_view bytes,
                      const std::string& path) {
  while (!bytes.empty()) {
    auto n = files.write(fd, bytes);
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0) {
      return leaf::new_error(MakeSystemError("write " + path));
    }
    bytes.remove_prefix(n);
  }
  return {};
}

Result<void> SyncFile(const FileSystem& files,
                      int fd,
                      const std::string& path) {
  if (files.sync(fd) != 0) {
    return leaf::new_error(MakeSystemError("sync " + path));
  }
  return {};
}

Result<void> SyncFolder(const FileSystem& files, const std::string& path) {
  BOOST_LEAF_AUTO(fd, OpenFile(files, path, O_RDONLY | O_DIRECTORY));
  return SyncFile(files, fd.get(), path);
}

Result<void> ReplaceFile(const FileSystem& files,
                         const std::string& folder,
                         const std::string& name,
                         std::string_view content) {
  std::string path = folder + "/" + name;
  std::string temp_path = path + ".next";
  {
    BOOST_LEAF_AUTO(fd,
                    OpenFile(files, temp_path, O_WRONLY | O_CREAT | O_TRUNC));
    BOOST_LEAF_CHECK(WriteAll(files, fd.get(), content, temp_path));
    BOOST_LEAF_CHECK(SyncFile(files, fd.get(), temp_path));
  }
  if (files.rename(temp_path, path) != 0) {
    return leaf::new_error(MakeSystemError("rename " + temp_path));
  }
  return SyncFolder(files, folder);
}

}  // namespace acaciahold::storage
