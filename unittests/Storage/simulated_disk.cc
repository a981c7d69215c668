// Simulates a disk with its faults.

#include "simulated_disk.h"

#include <algorithm>
#include <cerrno>

#include <fcntl.h>

namespace acaciahold::storage {

Choose ExhaustiveChoices::MakeChoose() {
  position_ = 0;
  return [this](uint32_t n) {
    if (position_ == choices_.size()) {
      choices_.push_back({0, n});
    }
    return choices_[position_++].value;
  };
}

bool ExhaustiveChoices::Next() {
  while (!choices_.empty()) {
    if (++choices_.back().value < choices_.back().count) {
      return true;
    }
    choices_.pop_back();
  }
  return false;
}

SimulatedDisk::SimulatedDisk() {
  files_.open = [this](const std::string& path, int flags) {
    return Open(path, flags);
  };
  files_.close = [this](int fd) { open_files_.erase(fd); };
  files_.read = [this](int fd, std::span<char> buf) { return Read(fd, buf); };
  files_.write = [this](int fd, std::string_view bytes) {
    return Write(fd, bytes);
  };
  files_.pwrite = [this](int fd, std::string_view bytes, off_t offset) {
    return WriteAt(contents_[open_files_.at(fd).file],
                   static_cast<size_t>(offset), bytes);
  };
  files_.truncate = [this](int fd, off_t size) {
    return Truncate(fd, static_cast<size_t>(size));
  };
  files_.sync = [this](int fd) { return Sync(fd); };
  files_.lock = [this](int fd) { return Lock(fd); };
  files_.rename = [this](const std::string& from, const std::string& to) {
    return Rename(from, to);
  };
  files_.remove = [this](const std::string& path) { return Remove(path); };
  files_.exists = [this](const std::string& path) {
    return names_.contains(path);
  };
}

void SimulatedDisk::SetFault(std::optional<DiskFault> fault) {
  fault_ = fault;
  operations_ = 0;
  is_stopped_ = false;
}

bool SimulatedDisk::is_fault_reached() const {
  return fault_ && operations_ > fault_->at;
}

void SimulatedDisk::EndProcess() {
  open_files_.clear();
}

bool SimulatedDisk::BeginOperation(bool is_write) {
  if (is_stopped_) {
    errno = EIO;
    return false;
  }
  ++operations_;
  if (!is_fault_reached()) {
    return true;
  }
  if (fault_->kind == DiskFault::Kind::kFullDisk) {
    errno = ENOSPC;
    return !is_write;
  }
  is_stopped_ = true;
  errno = EIO;
  return false;
}

int SimulatedDisk::Open(const std::string& path, int flags) {
  if ((flags & O_DIRECTORY) != 0) {
    open_files_[next_fd_] = {-1, 0, false, false};
    return next_fd_++;
  }
  auto it = names_.find(path);
  if (it == names_.end() && (flags & O_CREAT) == 0) {
    errno = ENOENT;
    return -1;
  }
  if (it == names_.end()) {
    if (!BeginOperation(true)) {
      return -1;
    }
    contents_.emplace_back();
    int file = static_cast<int>(contents_.size()) - 1;
    it = names_.emplace(path, file).first;
    unsynced_names_.push_back({path, file, ""});
  }
  int fd = next_fd_++;
  open_files_[fd] = {it->second, 0, (flags & O_APPEND) != 0, false};
  bool is_emptied =
      (flags & O_TRUNC) != 0 && !contents_[it->second].content.empty();
  if (is_emptied && Truncate(fd, 0) != 0) {
    open_files_.erase(fd);
    return -1;
  }
  return fd;
}

ssize_t SimulatedDisk::Read(int fd, std::span<char> buf) {
  auto& open = open_files_.at(fd);
  const auto& content = contents_[open.file].content;
  size_t n = std::min(buf.size(),
                      content.size() - std::min(content.size(), open.position));
  std::copy_n(content.begin() + static_cast<std::ptrdiff_t>(open.position), n,
              buf.begin());
  open.position += n;
  return static_cast<ssize_t>(n);
}

ssize_t SimulatedDisk::Write(int fd, std::string_view bytes) {
  auto& open = open_files_.at(fd);
  auto& file = contents_[open.file];
  size_t offset = open.is_append ? file.content.size() : open.position;
  auto n = WriteAt(file, offset, bytes);
  if (n > 0) {
    open.position = offset + static_cast<size_t>(n);
  }
  return n;
}

ssize_t SimulatedDisk::WriteAt(File& file,
                               size_t offset,
                               std::string_view bytes) {
  bool may_write = BeginOperation(true);
  bool is_torn = !may_write && fault_ &&
                 fault_->kind == DiskFault::Kind::kTornWrite &&
                 operations_ == fault_->at + 1;
  if (is_torn) {
    bytes = bytes.substr(0, bytes.size() / 2);
  } else if (!may_write) {
    return -1;
  }
  if (!bytes.empty()) {
    file.unsynced.push_back({offset, std::string(bytes)});
    Apply(file.content, file.unsynced.back());
  }
  return is_torn ? -1 : static_cast<ssize_t>(bytes.size());
}

int SimulatedDisk::Truncate(int fd, size_t size) {
  if (!BeginOperation(true)) {
    return -1;
  }
  auto& file = contents_[open_files_.at(fd).file];
  file.unsynced.push_back({size, ""});
  Apply(file.content, file.unsynced.back());
  return 0;
}

int SimulatedDisk::Sync(int fd) {
  if (!BeginOperation(false)) {
    return -1;
  }
  int number = open_files_.at(fd).file;
  if (number < 0) {
    synced_names_ = names_;
    unsynced_names_.clear();
    return 0;
  }
  auto& file = contents_[number];
  file.synced = file.content;
  file.unsynced.clear();
  // The sync of a new file makes its name durable too.
  for (auto it = unsynced_names_.begin(); it != unsynced_names_.end();) {
    bool is_creation = it->file == number && it->renamed_from.empty();
    if (is_creation) {
      ApplyName(synced_names_, *it);
      it = unsynced_names_.erase(it);
    } else {
      ++it;
    }
  }
  return 0;
}

int SimulatedDisk::Lock(int fd) {
  int number = open_files_.at(fd).file;
  bool is_held =
      std::any_of(open_files_.begin(), open_files_.end(), [&](const auto& it) {
        return it.second.file == number && it.second.holds_lock;
      });
  if (is_held) {
    errno = EWOULDBLOCK;
    return -1;
  }
  open_files_.at(fd).holds_lock = true;
  return 0;
}

int SimulatedDisk::Rename(const std::string& from, const std::string& to) {
  if (!BeginOperation(true)) {
    return -1;
  }
  unsynced_names_.push_back({to, names_.at(from), from});
  ApplyName(names_, unsynced_names_.back());
  return 0;
}

int SimulatedDisk::Remove(const std::string& path) {
  if (!names_.contains(path)) {
    errno = ENOENT;
    return -1;
  }
  if (!BeginOperation(false)) {
    return -1;
  }
  unsynced_names_.push_back({path, std::nullopt, ""});
  ApplyName(names_, unsynced_names_.back());
  return 0;
}

void SimulatedDisk::Apply(std::string& content, const Change& change) {
  if (change.bytes.empty()) {
    content.resize(change.offset);
    return;
  }
  content.resize(std::max(content.size(), change.offset + change.bytes.size()));
  content.replace(change.offset, change.bytes.size(), change.bytes);
}

void SimulatedDisk::ApplyName(std::map<std::string, int>& names,
                              const NameChange& change) {
  if (!change.renamed_from.empty()) {
    names.erase(change.renamed_from);
  }
  if (change.file) {
    names[change.path] = *change.file;
  } else {
    names.erase(change.path);
  }
}

void SimulatedDisk::LosePower(const Choose& choose) {
  constexpr uint32_t kLost = 0;
  constexpr uint32_t kTorn = 2;
  for (const auto& change : unsynced_names_) {
    if (choose(2) != kLost) {
      ApplyName(synced_names_, change);
    }
  }
  unsynced_names_.clear();
  names_ = synced_names_;
  for (const auto& [path, number] : names_) {
    auto& file = contents_[number];
    for (auto change : file.unsynced) {
      uint32_t choice = choose(3);
      if (choice == kTorn) {
        change.bytes.resize(change.bytes.size() / 2);
      }
      bool is_kept =
          choice != kLost && (choice != kTorn || !change.bytes.empty());
      if (is_kept) {
        Apply(file.synced, change);
      }
    }
    file.unsynced.clear();
    file.content = file.synced;
  }
}

}  // namespace acaciahold::storage
