// Reads and writes the files of a control host's data folder.

#include "acaciahold/Storage/data_folder.h"

#include <algorithm>
#include <charconv>

#include <boost/json.hpp>
#include <fcntl.h>

#include "acaciahold/Storage/record.h"
#include "log_file.h"

namespace acaciahold::storage {
namespace {

namespace json = boost::json;

// Reads a file that holds exactly one record.
Result<json::value> ReadSingleRecord(const FileSystem& files,
                                     const std::string& folder,
                                     const std::string& name) {
  std::string path = folder + "/" + name;
  BOOST_LEAF_AUTO(bytes, ReadFile(files, path));
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

// Replaces a file of the folder by one with these records.
Result<void> ReplaceRecords(const FileSystem& files,
                            const std::string& folder,
                            const std::string& name,
                            std::string_view records) {
  std::string content(kFileHeader);
  content += records;
  return ReplaceFile(files, folder, name, content);
}

// Returns the commit hint, or 0 if it is missing or damaged.
consensus::Index ReadCommitHint(const FileSystem& files,
                                const std::string& path) {
  auto bytes = ReadFile(files, path);
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
std::string ReadNotes(const FileSystem& files, const std::string& path) {
  auto bytes = ReadFile(files, path);
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

Result<void> DataFolder::Initialize(const std::string& path,
                                    consensus::ReplicaId replica_id,
                                    uint64_t instance,
                                    std::vector<consensus::Member> members,
                                    const FileSystem& files) {
  if (files.exists(path + "/identity")) {
    return leaf::new_error(SystemError{"initialize " + path,
                                       "the folder already holds a replica"});
  }
  consensus::Snapshot snapshot;
  snapshot.members = std::move(members);
  BOOST_LEAF_CHECK(
      ReplaceRecords(files, path, "snapshot", Encode(ToJson(snapshot))));
  BOOST_LEAF_CHECK(ReplaceRecords(files, path, "hard-state",
                                  Encode(ToJson(consensus::HardState()))));
  BOOST_LEAF_CHECK(ReplaceRecords(files, path, "log", ""));
  // `commit` and `notes` of an earlier replica may be left in a folder that was
  // only partly emptied.
  BOOST_LEAF_CHECK(ReplaceRecords(files, path, "commit", ""));
  files.remove(path + "/notes");
  json::value identity{{"replica_id", replica_id}, {"instance", instance}};
  return ReplaceRecords(files, path, "identity", Encode(identity));
}

Result<DataFolder> DataFolder::Open(const std::string& path,
                                    StoredState& state,
                                    const FileSystem& files) {
  if (!files.exists(path + "/identity")) {
    return leaf::new_error(SystemError{
        "open data folder " + path,
        "it holds no replica; run 'acaciahold init' for the first start of a "
        "deployment, or 'acaciahold init --join' for a new replica"});
  }
  DataFolder folder(path, files);
  BOOST_LEAF_ASSIGN(folder.lock_,
                    OpenFile(files, path + "/lock", O_RDWR | O_CREAT));
  if (files.lock(folder.lock_.get()) != 0) {
    return leaf::new_error(
        SystemError{"lock data folder " + path, "another process is using it"});
  }
  BOOST_LEAF_AUTO(identity, ReadSingleRecord(files, path, "identity"));
  state.replica_id = identity.at("replica_id").to_number<uint32_t>();
  state.instance = identity.at("instance").to_number<uint64_t>();
  BOOST_LEAF_AUTO(hard_state_json, ReadSingleRecord(files, path, "hard-state"));
  BOOST_LEAF_ASSIGN(state.hard_state,
                    consensus::HardStateFromJson(hard_state_json));
  BOOST_LEAF_AUTO(snapshot_json, ReadSingleRecord(files, path, "snapshot"));
  BOOST_LEAF_ASSIGN(state.snapshot, consensus::SnapshotFromJson(snapshot_json));
  BOOST_LEAF_CHECK(folder.OpenLog(state));
  state.commit_hint = ReadCommitHint(files, path + "/commit");
  state.notes = ReadNotes(files, path + "/notes");
  BOOST_LEAF_ASSIGN(folder.commit_,
                    OpenFile(files, path + "/commit", O_WRONLY | O_CREAT));
  return folder;
}

Result<void> DataFolder::OpenLog(StoredState& state) {
  std::string path = path_ + "/log";
  BOOST_LEAF_AUTO(content, ReadLog(*files_, path, state.snapshot));
  BOOST_LEAF_ASSIGN(log_, OpenFile(*files_, path, O_WRONLY | O_APPEND));
  bool is_torn = content.torn_bytes > 0;
  if (is_torn && files_->truncate(log_.get(), static_cast<off_t>(
                                                  content.valid_bytes)) != 0) {
    return leaf::new_error(MakeSystemError("truncate " + path));
  }
  // A process that was killed may have left changes that are not synced. They
  // count as stored from now on.
  BOOST_LEAF_CHECK(SyncFile(*files_, log_.get(), path));
  BOOST_LEAF_CHECK(SyncFolder(*files_, path_));
  state.torn_bytes = content.torn_bytes;
  is_log_outdated_ = content.has_dropped_entries;
  entries_ = std::move(content.entries);
  state.entries = entries_;
  return {};
}

Result<void> DataFolder::AppendRecord(const std::string& payload) {
  std::string path = path_ + "/log";
  BOOST_LEAF_CHECK(WriteAll(*files_, log_.get(), EncodeRecord(payload), path));
  return SyncFile(*files_, log_.get(), path);
}

Result<void> DataFolder::RewriteLog() {
  consensus::Persist all;
  all.append = entries_;
  std::string records =
      all.append.empty() ? "" : EncodeRecord(MakeLogPayload(all));
  BOOST_LEAF_CHECK(ReplaceRecords(*files_, path_, "log", records));
  BOOST_LEAF_ASSIGN(log_,
                    OpenFile(*files_, path_ + "/log", O_WRONLY | O_APPEND));
  is_log_outdated_ = false;
  return {};
}

Result<void> DataFolder::WriteCommitHint(consensus::Index index) {
  std::string record = EncodeRecord(std::to_string(index));
  if (files_->pwrite(commit_.get(), record, kFileHeader.size()) !=
      static_cast<ssize_t>(record.size())) {
    return leaf::new_error(MakeSystemError("write " + path_ + "/commit"));
  }
  return {};
}

Result<void> DataFolder::SyncCommitHint() {
  return SyncFile(*files_, commit_.get(), path_ + "/commit");
}

Result<void> DataFolder::WriteNotes(std::string_view notes) {
  return ReplaceRecords(*files_, path_, "notes", EncodeRecord(notes));
}

Result<void> DataFolder::Write(const consensus::Persist& persist) {
  if (persist.hard_state) {
    BOOST_LEAF_CHECK(ReplaceRecords(*files_, path_, "hard-state",
                                    Encode(ToJson(*persist.hard_state))));
  }
  if (persist.snapshot) {
    BOOST_LEAF_CHECK(ReplaceRecords(*files_, path_, "snapshot",
                                    Encode(ToJson(*persist.snapshot))));
    EraseUpTo(entries_, persist.snapshot->index);
    is_log_outdated_ = true;
  }
  if (persist.truncate_from) {
    TruncateFrom(entries_, *persist.truncate_from);
  }
  entries_.insert(entries_.end(), persist.append.begin(), persist.append.end());
  BOOST_LEAF_CHECK(WriteLog(persist));
  // Written last, since the hint refers to entries in the log.
  if (persist.commit_hint) {
    return WriteCommitHint(*persist.commit_hint);
  }
  return {};
}

Result<void> DataFolder::WriteLog(const consensus::Persist& persist) {
  bool has_changes =
      persist.snapshot || persist.truncate_from || !persist.append.empty();
  if (!has_changes) {
    return {};
  }
  if (is_log_outdated_) {
    return RewriteLog();
  }
  return AppendRecord(MakeLogPayload(persist));
}

}  // namespace acaciahold::storage
