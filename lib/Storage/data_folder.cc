// Files of a control host's data folder.

#include "acaciahold/Storage/data_folder.h"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <filesystem>

#include <boost/json.hpp>
#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include "acaciahold/Storage/record.h"

namespace acaciahold::storage {
namespace {

namespace json = boost::json;
using consensus::LogEntry;

constexpr mode_t kFileMode = 0600;

SystemError LastError(const std::string& operation) {
  return {operation, std::strerror(errno)};
}

Result<FileDescriptor> OpenFile(const std::string& path, int flags) {
  FileDescriptor fd(::open(path.c_str(), flags | O_CLOEXEC, kFileMode));
  if (fd.get() < 0) {
    return leaf::new_error(LastError("open " + path));
  }
  return fd;
}

Result<void> WriteAll(int fd, std::string_view bytes, const std::string& path) {
  while (!bytes.empty()) {
    auto n = ::write(fd, bytes.data(), bytes.size());
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0) {
      return leaf::new_error(LastError("write " + path));
    }
    bytes.remove_prefix(n);
  }
  return {};
}

Result<void> Sync(int fd, const std::string& path) {
  if (::fsync(fd) != 0) {
    return leaf::new_error(LastError("sync " + path));
  }
  return {};
}

Result<void> SyncFolder(const std::string& path) {
  BOOST_LEAF_AUTO(fd, OpenFile(path, O_RDONLY | O_DIRECTORY));
  return Sync(fd.get(), path);
}

// Replaces the file as a whole: a crash leaves the old or the new content.
Result<void> ReplaceFile(const std::string& folder,
                         const std::string& name,
                         std::string_view records) {
  std::string path = folder + "/" + name;
  std::string next = path + ".next";
  {
    BOOST_LEAF_AUTO(fd, OpenFile(next, O_WRONLY | O_CREAT | O_TRUNC));
    BOOST_LEAF_CHECK(WriteAll(fd.get(), kFileHeader, next));
    BOOST_LEAF_CHECK(WriteAll(fd.get(), records, next));
    BOOST_LEAF_CHECK(Sync(fd.get(), next));
  }
  if (::rename(next.c_str(), path.c_str()) != 0) {
    return leaf::new_error(LastError("rename " + next));
  }
  return SyncFolder(folder);
}

Result<std::string> ReadFile(const std::string& path) {
  BOOST_LEAF_AUTO(fd, OpenFile(path, O_RDONLY));
  std::string bytes;
  char buf[1 << 16];
  while (true) {
    auto n = ::read(fd.get(), buf, sizeof(buf));
    if (n < 0 && errno == EINTR) {
      continue;
    }
    if (n < 0) {
      return leaf::new_error(LastError("read " + path));
    }
    if (n == 0) {
      break;
    }
    bytes.append(buf, n);
  }
  return bytes;
}

Result<void> CheckHeader(const std::string& bytes, const std::string& path) {
  if (bytes.compare(0, kFileHeader.size(), kFileHeader) == 0) {
    return {};
  }
  return leaf::new_error(
      CorruptionError{path, 0, "the file has no known format version",
                      "use the version that wrote it, or replace this host "
                      "with a new replica"});
}

constexpr const char* kReplaceRemedy =
    "move the folder away and join this host as a new replica with a new id";

// Reads a file that holds one record.
Result<json::value> ReadWhole(const std::string& folder,
                              const std::string& name) {
  std::string path = folder + "/" + name;
  BOOST_LEAF_AUTO(bytes, ReadFile(path));
  BOOST_LEAF_CHECK(CheckHeader(bytes, path));
  std::string_view content = bytes;
  auto scan = ScanRecords(content.substr(kFileHeader.size()));
  json::error_code ec;
  json::value value;
  if (scan.end == ScanEnd::kClean && scan.payloads.size() == 1) {
    value = json::parse(scan.payloads[0], ec);
  }
  if (value.is_null() || ec) {
    return leaf::new_error(CorruptionError{
        path, kFileHeader.size(), "the record is damaged", kReplaceRemedy});
  }
  return value;
}

std::string Encode(const json::value& value) {
  return EncodeRecord(json::serialize(value));
}

// A log record: entries that follow what stands from `truncate_from` on.
json::value LogRecord(const consensus::Persist& persist) {
  json::array entries;
  for (const auto& entry : persist.append) {
    entries.push_back(ToJson(entry));
  }
  return {{"truncate_from", persist.truncate_from.value_or(0)},
          {"entries", std::move(entries)}};
}

void Truncate(std::vector<LogEntry>& entries, consensus::Index from) {
  while (!entries.empty() && entries.back().index >= from) {
    entries.pop_back();
  }
}

void DropUpTo(std::vector<LogEntry>& entries, consensus::Index index) {
  std::erase_if(entries, [&](const auto& e) { return e.index <= index; });
}

Result<void> ReplayRecord(std::string_view payload,
                          std::vector<LogEntry>& entries) {
  auto bad = [] {
    return leaf::new_error(
        FieldError{.field = "log record", .expected = "contiguous entries"});
  };
  json::error_code ec;
  auto value = json::parse(payload, ec);
  if (ec || !value.is_object() || !value.as_object().contains("entries") ||
      !value.at("entries").is_array()) {
    return bad();
  }
  auto from = value.at("truncate_from").to_number<uint64_t>(ec);
  if (ec) {
    return bad();
  }
  if (from > 0) {
    Truncate(entries, from);
  }
  for (const auto& it : value.at("entries").as_array()) {
    BOOST_LEAF_AUTO(entry, consensus::EntryFromJson(it));
    if (!entries.empty() && entry.index != entries.back().index + 1) {
      return bad();
    }
    entries.push_back(std::move(entry));
  }
  return {};
}

Result<void> ReadLog(const std::string& path,
                     std::vector<LogEntry>& entries,
                     uint64_t& torn_bytes) {
  BOOST_LEAF_AUTO(bytes, ReadFile(path));
  BOOST_LEAF_CHECK(CheckHeader(bytes, path));
  std::string_view content = bytes;
  auto scan = ScanRecords(content.substr(kFileHeader.size()));
  uint64_t good_end = kFileHeader.size() + scan.good_bytes;
  if (scan.end == ScanEnd::kDamaged) {
    return leaf::new_error(CorruptionError{
        path, good_end, "a damaged record stands before good ones",
        kReplaceRemedy});
  }
  for (auto payload : scan.payloads) {
    if (!ReplayRecord(payload, entries)) {
      return leaf::new_error(CorruptionError{
          path, good_end, "a record does not follow the one before it",
          kReplaceRemedy});
    }
  }
  torn_bytes = bytes.size() - good_end;
  if (torn_bytes > 0 && ::truncate(path.c_str(), good_end) != 0) {
    return leaf::new_error(LastError("truncate " + path));
  }
  return {};
}

// The hint, or 0 where there is none to be trusted.
consensus::Index ReadCommitHint(const std::string& path) {
  auto bytes = ReadFile(path);
  if (!bytes) {
    return 0;
  }
  std::string_view content = *bytes;
  auto scan =
      ScanRecords(content.substr(std::min(content.size(), kFileHeader.size())));
  consensus::Index index = 0;
  if (!scan.payloads.empty()) {
    auto text = scan.payloads.front();
    std::from_chars(text.data(), text.data() + text.size(), index);
  }
  return index;
}

// The notes, or nothing where they are missing or damaged.
std::string ReadNotes(const std::string& path) {
  auto bytes = ReadFile(path);
  if (!bytes || bytes->size() < kFileHeader.size()) {
    return "";
  }
  std::string_view content = *bytes;
  auto scan = ScanRecords(content.substr(kFileHeader.size()));
  if (scan.payloads.size() != 1) {
    return "";
  }
  return std::string{scan.payloads[0]};
}

}  // namespace

FileDescriptor::FileDescriptor(FileDescriptor&& other) noexcept
    : fd_(std::exchange(other.fd_, -1)) {}

FileDescriptor& FileDescriptor::operator=(FileDescriptor&& other) noexcept {
  std::swap(fd_, other.fd_);
  return *this;
}

FileDescriptor::~FileDescriptor() {
  if (fd_ >= 0) {
    ::close(fd_);
  }
}

Result<void> DataFolder::Initialize(const std::string& path,
                                    consensus::ReplicaId replica_id,
                                    uint64_t instance,
                                    std::vector<consensus::Member> members) {
  if (std::filesystem::exists(path + "/identity")) {
    return leaf::new_error(
        SystemError{"initialize " + path, "the folder holds a replica"});
  }
  consensus::Snapshot snapshot;
  snapshot.members = std::move(members);
  BOOST_LEAF_CHECK(ReplaceFile(path, "snapshot", Encode(ToJson(snapshot))));
  BOOST_LEAF_CHECK(
      ReplaceFile(path, "hard-state", Encode(ToJson(consensus::HardState()))));
  BOOST_LEAF_CHECK(ReplaceFile(path, "log", ""));
  // Of an earlier replica whose folder was emptied in part.
  BOOST_LEAF_CHECK(ReplaceFile(path, "commit", ""));
  std::error_code ec;
  std::filesystem::remove(path + "/notes", ec);
  json::value identity{{"replica_id", replica_id}, {"instance", instance}};
  return ReplaceFile(path, "identity", Encode(identity));
}

Result<DataFolder> DataFolder::Open(const std::string& path,
                                    StoredState& state) {
  if (!std::filesystem::exists(path + "/identity")) {
    return leaf::new_error(SystemError{
        "open data folder " + path,
        "it holds no replica; run 'acaciahold init' for the first start of a "
        "deployment, or 'acaciahold init --join' for a new replica"});
  }
  DataFolder folder;
  folder.path_ = path;
  BOOST_LEAF_ASSIGN(folder.lock_, OpenFile(path + "/lock", O_RDWR | O_CREAT));
  if (::flock(folder.lock_.get(), LOCK_EX | LOCK_NB) != 0) {
    return leaf::new_error(
        SystemError{"lock data folder " + path, "another process is using it"});
  }
  BOOST_LEAF_AUTO(identity, ReadWhole(path, "identity"));
  state.replica_id = identity.at("replica_id").to_number<uint32_t>();
  state.instance = identity.at("instance").to_number<uint64_t>();
  BOOST_LEAF_AUTO(hard, ReadWhole(path, "hard-state"));
  BOOST_LEAF_ASSIGN(state.hard, consensus::HardStateFromJson(hard));
  BOOST_LEAF_AUTO(snapshot, ReadWhole(path, "snapshot"));
  BOOST_LEAF_ASSIGN(state.snapshot, consensus::SnapshotFromJson(snapshot));
  BOOST_LEAF_CHECK(ReadLog(path + "/log", state.entries, state.torn_bytes));
  // A crash between replacing the snapshot and the log leaves older entries.
  DropUpTo(state.entries, state.snapshot.index);
  if (!state.entries.empty() &&
      state.entries.front().index != state.snapshot.index + 1) {
    return leaf::new_error(CorruptionError{
        path + "/log", kFileHeader.size(),
        "the log does not follow the snapshot", kReplaceRemedy});
  }
  folder.entries_ = state.entries;
  state.commit_hint = ReadCommitHint(path + "/commit");
  state.notes = ReadNotes(path + "/notes");
  BOOST_LEAF_ASSIGN(folder.commit_,
                    OpenFile(path + "/commit", O_WRONLY | O_CREAT));
  BOOST_LEAF_ASSIGN(folder.log_, OpenFile(path + "/log", O_WRONLY | O_APPEND));
  return folder;
}

Result<void> DataFolder::AppendRecord(const std::string& payload) {
  std::string path = path_ + "/log";
  BOOST_LEAF_CHECK(WriteAll(log_.get(), EncodeRecord(payload), path));
  return Sync(log_.get(), path);
}

Result<void> DataFolder::RewriteLog() {
  consensus::Persist all;
  all.append = entries_;
  std::string records = all.append.empty() ? "" : Encode(LogRecord(all));
  BOOST_LEAF_CHECK(ReplaceFile(path_, "log", records));
  BOOST_LEAF_ASSIGN(log_, OpenFile(path_ + "/log", O_WRONLY | O_APPEND));
  return {};
}

Result<void> DataFolder::WriteCommitHint(consensus::Index index) {
  std::string record = EncodeRecord(std::to_string(index));
  if (::pwrite(commit_.get(), record.data(), record.size(),
               kFileHeader.size()) != static_cast<ssize_t>(record.size())) {
    return leaf::new_error(LastError("write " + path_ + "/commit"));
  }
  return {};
}

Result<void> DataFolder::SyncCommitHint() {
  return Sync(commit_.get(), path_ + "/commit");
}

Result<void> DataFolder::WriteNotes(std::string_view notes) {
  return ReplaceFile(path_, "notes", EncodeRecord(notes));
}

Result<void> DataFolder::Write(const consensus::Persist& persist) {
  if (persist.hard_state) {
    BOOST_LEAF_CHECK(
        ReplaceFile(path_, "hard-state", Encode(ToJson(*persist.hard_state))));
  }
  if (persist.snapshot) {
    BOOST_LEAF_CHECK(
        ReplaceFile(path_, "snapshot", Encode(ToJson(*persist.snapshot))));
    DropUpTo(entries_, persist.snapshot->index);
  }
  if (persist.truncate_from) {
    Truncate(entries_, *persist.truncate_from);
  }
  entries_.insert(entries_.end(), persist.append.begin(), persist.append.end());
  if (persist.snapshot) {
    BOOST_LEAF_CHECK(RewriteLog());
  } else if (!persist.append.empty() || persist.truncate_from) {
    BOOST_LEAF_CHECK(AppendRecord(json::serialize(LogRecord(persist))));
  }
  // Last, since it speaks of entries in the log.
  if (persist.commit_hint) {
    return WriteCommitHint(*persist.commit_hint);
  }
  return {};
}

}  // namespace acaciahold::storage
