// Reads and writes the files of a control host's data folder.

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

SystemError MakeSystemError(const std::string& operation) {
  return {operation, std::strerror(errno)};
}

Result<FileDescriptor> OpenFile(const std::string& path, int flags) {
  FileDescriptor fd(::open(path.c_str(), flags | O_CLOEXEC, kFileMode));
  if (fd.get() < 0) {
    return leaf::new_error(MakeSystemError("open " + path));
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
      return leaf::new_error(MakeSystemError("write " + path));
    }
    bytes.remove_prefix(n);
  }
  return {};
}

Result<void> Sync(int fd, const std::string& path) {
  if (::fsync(fd) != 0) {
    return leaf::new_error(MakeSystemError("sync " + path));
  }
  return {};
}

Result<void> SyncFolder(const std::string& path) {
  BOOST_LEAF_AUTO(fd, OpenFile(path, O_RDONLY | O_DIRECTORY));
  return Sync(fd.get(), path);
}

// Replaces the file atomically: after a crash it has the old or the new
// content.
Result<void> ReplaceFile(const std::string& folder,
                         const std::string& name,
                         std::string_view records) {
  std::string path = folder + "/" + name;
  std::string temp_path = path + ".next";
  {
    BOOST_LEAF_AUTO(fd, OpenFile(temp_path, O_WRONLY | O_CREAT | O_TRUNC));
    BOOST_LEAF_CHECK(WriteAll(fd.get(), kFileHeader, temp_path));
    BOOST_LEAF_CHECK(WriteAll(fd.get(), records, temp_path));
    BOOST_LEAF_CHECK(Sync(fd.get(), temp_path));
  }
  if (::rename(temp_path.c_str(), path.c_str()) != 0) {
    return leaf::new_error(MakeSystemError("rename " + temp_path));
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
      return leaf::new_error(MakeSystemError("read " + path));
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
      CorruptionError{path, 0, "the file has an unknown format version",
                      "use the acaciahold version that wrote it, or replace "
                      "this host with a new replica"});
}

constexpr const char* kRejoinRemedy =
    "move the folder away and join this host as a new replica with a new id";

// Reads a file that holds exactly one record.
Result<json::value> ReadSingleRecord(const std::string& folder,
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
        path, kFileHeader.size(),
        "the file does not hold exactly one valid record", kRejoinRemedy});
  }
  return value;
}

std::string Encode(const json::value& value) {
  return EncodeRecord(json::serialize(value));
}

// Returns the log record of a change: first the log is truncated from
// `truncate_from` on (0: not truncated), then `entries` are appended.
json::value MakeLogRecord(const consensus::Persist& persist) {
  json::array entries;
  for (const auto& entry : persist.append) {
    entries.push_back(ToJson(entry));
  }
  return {{"truncate_from", persist.truncate_from.value_or(0)},
          {"entries", std::move(entries)}};
}

void TruncateFrom(std::vector<LogEntry>& entries, consensus::Index from) {
  while (!entries.empty() && entries.back().index >= from) {
    entries.pop_back();
  }
}

void EraseUpTo(std::vector<LogEntry>& entries, consensus::Index index) {
  std::erase_if(entries, [&](const auto& e) { return e.index <= index; });
}

Result<void> ReplayRecord(std::string_view payload,
                          std::vector<LogEntry>& entries) {
  auto malformed = [] {
    return leaf::new_error(FieldError{
        .field = "log record", .wanted = "entries with consecutive indexes"});
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
    TruncateFrom(entries, from);
  }
  for (const auto& entry_json : value.at("entries").as_array()) {
    BOOST_LEAF_AUTO(entry, consensus::EntryFromJson(entry_json));
    if (!entries.empty() && entry.index != entries.back().index + 1) {
      return malformed();
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
  uint64_t valid_end = kFileHeader.size() + scan.valid_bytes;
  if (scan.end == ScanEnd::kDamaged) {
    return leaf::new_error(
        CorruptionError{path, valid_end, "a damaged record precedes valid ones",
                        kRejoinRemedy});
  }
  for (auto payload : scan.payloads) {
    if (!ReplayRecord(payload, entries)) {
      return leaf::new_error(CorruptionError{
          path, valid_end,
          "a record is malformed or does not continue the one before it",
          kRejoinRemedy});
    }
  }
  torn_bytes = bytes.size() - valid_end;
  if (torn_bytes > 0 && ::truncate(path.c_str(), valid_end) != 0) {
    return leaf::new_error(MakeSystemError("truncate " + path));
  }
  return {};
}

// Returns the commit hint, or 0 if it is missing or damaged.
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

// Returns the notes, or an empty string if they are missing or damaged.
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
    return leaf::new_error(SystemError{"initialize " + path,
                                       "the folder already holds a replica"});
  }
  consensus::Snapshot snapshot;
  snapshot.members = std::move(members);
  BOOST_LEAF_CHECK(ReplaceFile(path, "snapshot", Encode(ToJson(snapshot))));
  BOOST_LEAF_CHECK(
      ReplaceFile(path, "hard-state", Encode(ToJson(consensus::HardState()))));
  BOOST_LEAF_CHECK(ReplaceFile(path, "log", ""));
  // `commit` and `notes` of an earlier replica may be left in a folder that was
  // only partly emptied.
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
  BOOST_LEAF_AUTO(identity, ReadSingleRecord(path, "identity"));
  state.replica_id = identity.at("replica_id").to_number<uint32_t>();
  state.instance = identity.at("instance").to_number<uint64_t>();
  BOOST_LEAF_AUTO(hard_state_json, ReadSingleRecord(path, "hard-state"));
  BOOST_LEAF_ASSIGN(state.hard_state,
                    consensus::HardStateFromJson(hard_state_json));
  BOOST_LEAF_AUTO(snapshot_json, ReadSingleRecord(path, "snapshot"));
  BOOST_LEAF_ASSIGN(state.snapshot, consensus::SnapshotFromJson(snapshot_json));
  BOOST_LEAF_CHECK(ReadLog(path + "/log", state.entries, state.torn_bytes));
  // After a crash between replacing the snapshot and replacing the log, the log
  // still has entries that the snapshot covers.
  EraseUpTo(state.entries, state.snapshot.index);
  if (!state.entries.empty() &&
      state.entries.front().index != state.snapshot.index + 1) {
    return leaf::new_error(CorruptionError{
        path + "/log", kFileHeader.size(),
        "the first log entry does not follow the snapshot", kRejoinRemedy});
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
  std::string records = all.append.empty() ? "" : Encode(MakeLogRecord(all));
  BOOST_LEAF_CHECK(ReplaceFile(path_, "log", records));
  BOOST_LEAF_ASSIGN(log_, OpenFile(path_ + "/log", O_WRONLY | O_APPEND));
  return {};
}

Result<void> DataFolder::WriteCommitHint(consensus::Index index) {
  std::string record = EncodeRecord(std::to_string(index));
  if (::pwrite(commit_.get(), record.data(), record.size(),
               kFileHeader.size()) != static_cast<ssize_t>(record.size())) {
    return leaf::new_error(MakeSystemError("write " + path_ + "/commit"));
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
    EraseUpTo(entries_, persist.snapshot->index);
  }
  if (persist.truncate_from) {
    TruncateFrom(entries_, *persist.truncate_from);
  }
  entries_.insert(entries_.end(), persist.append.begin(), persist.append.end());
  if (persist.snapshot) {
    BOOST_LEAF_CHECK(RewriteLog());
  } else if (!persist.append.empty() || persist.truncate_from) {
    BOOST_LEAF_CHECK(AppendRecord(json::serialize(MakeLogRecord(persist))));
  }
  // Written last, since the hint refers to entries in the log.
  if (persist.commit_hint) {
    return WriteCommitHint(*persist.commit_hint);
  }
  return {};
}

}  // namespace acaciahold::storage
