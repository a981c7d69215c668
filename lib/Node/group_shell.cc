// Carrying out what the replica's core asks for.

#include "acaciahold/Node/group_shell.h"

#include <algorithm>
#include <filesystem>
#include <random>
#include <utility>

#include "acaciahold/Observe/event_log.h"

namespace acaciahold::node {
namespace {

namespace asio = boost::asio;
using consensus::Role;
using observe::LogEvent;
using observe::Weight;

constexpr std::chrono::milliseconds kTickInterval{50};

uint64_t RandomNumber() {
  std::random_device device;
  return (uint64_t{device()} << 32U) | device();
}

consensus::ReplicaId RandomReplicaId() {
  return static_cast<consensus::ReplicaId>(RandomNumber() | 1U);
}

bool HasReplica(const std::string& folder) {
  std::error_code ec;  // A folder that can't be read holds nothing for us.
  return std::filesystem::exists(folder + "/identity", ec);
}

// Writes a new identity: a founder's follows from its endpoint, so that the
// others know it; any other is drawn, and never one that voted before.
Result<void> PrepareFolder(const GroupSettings& settings) {
  std::error_code ec;
  std::filesystem::create_directories(settings.data_folder, ec);
  if (ec) {
    return leaf::new_error(
        SystemError{"create " + settings.data_folder, ec.message()});
  }
  const auto& founders = settings.founders;
  bool is_founder = std::find(founders.begin(), founders.end(),
                              settings.endpoint) != founders.end();
  if (is_founder) {
    return storage::DataFolder::Initialize(
        settings.data_folder, settings.endpoint.address, RandomNumber(),
        consensus::InitialMembers(founders));
  }
  return storage::DataFolder::Initialize(settings.data_folder,
                                         RandomReplicaId(), RandomNumber(), {});
}

// Runs a write that the host can do without.
void LogIfFailed(std::string_view event,
                 const std::function<Result<void>()>& write) {
  leaf::try_handle_all(
      write,
      [&](const SystemError& e) {
        LogEvent(Weight::kNotable, event, {{"reason", Describe(e)}});
      },
      [&] {
        LogEvent(Weight::kNotable, event, {{"reason", "unknown"}});
      });
}

}  // namespace

GroupShell::GroupShell(asio::io_context& io,
                       GroupSettings settings,
                       Handlers handlers)
    : io_(io),
      settings_(std::move(settings)),
      handlers_(std::move(handlers)),
      timer_(io) {}

Result<std::unique_ptr<GroupShell>> GroupShell::Open(asio::io_context& io,
                                                     GroupSettings settings,
                                                     Handlers handlers) {
  std::unique_ptr<GroupShell> shell(
      new GroupShell(io, std::move(settings), std::move(handlers)));
  if (!HasReplica(shell->settings_.data_folder)) {
    BOOST_LEAF_CHECK(PrepareFolder(shell->settings_));
  }
  BOOST_LEAF_CHECK(shell->OpenFolder());
  return shell;
}

Result<void> GroupShell::OpenFolder() {
  folder_.reset();  // Holds the lock that a new one takes.
  storage::StoredState stored;
  BOOST_LEAF_ASSIGN(folder_,
                    storage::DataFolder::Open(settings_.data_folder, stored));
  handlers_.restore(stored.snapshot.data);
  LogEvent(Weight::kNotable, "replica_opened",
           {{"replica", stored.replica_id},
            {"term", stored.hard_state.term},
            {"snapshot_index", stored.snapshot.index},
            {"entries", stored.entries.size()},
            {"torn_bytes", stored.torn_bytes}});
  consensus::StartState start;
  start.id = stored.replica_id;
  start.instance = stored.instance;
  start.seed = RandomNumber();
  start.hard_state = std::move(stored.hard_state);
  start.snapshot = std::move(stored.snapshot);
  start.entries = std::move(stored.entries);
  start.commit_hint = stored.commit_hint;
  replica_ = consensus::StartReplica(std::move(start), ReadClock());
  handlers_.load_notes(stored.notes);
  for (const auto& entry : consensus::OnStart(replica_).committed) {
    Apply(entry);
  }
  return {};
}

void GroupShell::Start() {
  Tick();
}

void GroupShell::Tick() {
  Instant now = ReadClock();
  if (has_failed_) {
    TryRestart();
  } else if (now >= consensus::NextDeadline(replica_)) {
    Process(consensus::OnTick(replica_, now));
    if (auto members = consensus::NextMembers(replica_, joiners_, now)) {
      Process(
          consensus::ProposeMembers(replica_, std::move(*members), now).output);
    }
    AnswerReaders();
  }
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      Tick();
    }
  });
}

void GroupShell::OnMessage(const consensus::Message& message) {
  if (has_failed_) {
    return;
  }
  Process(consensus::OnMessage(replica_, message, ReadClock()));
  AnswerReaders();
}

void GroupShell::OnJoinRequest(const consensus::JoinRequest& request) {
  consensus::OnJoinRequest(joiners_, request, ReadClock());
}

void GroupShell::Process(consensus::Output output) {
  bool was_leader = is_leader();
  bool has_news = !output.persist.IsEmpty() || output.persist.commit_hint;
  if (has_news && !Store(output.persist)) {
    StopReplica();
    return;
  }
  for (const auto& message : output.messages) {
    handlers_.send(message);
  }
  if (output.restore) {
    handlers_.restore(output.restore->data);
  }
  for (const auto& entry : output.committed) {
    Apply(entry);
  }
  CompactIfDue();
  if (was_leader && !is_leader()) {
    FailWaiters();
  }
  NoteMembers();
}

bool GroupShell::Store(const consensus::Persist& persist) {
  return leaf::try_handle_all(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(folder_->Write(persist));
        return true;
      },
      [](const SystemError& e) {
        LogEvent(Weight::kNotable, "disk_lost", {{"reason", Describe(e)}});
        return false;
      },
      [] {
        LogEvent(Weight::kNotable, "disk_lost", {{"reason", "unknown"}});
        return false;
      });
}

void GroupShell::StopReplica() {
  has_failed_ = true;
  folder_.reset();
  replica_.role = Role::kFollower;
  replica_.leader = 0;
  retry_deadline_ = ReadClock() + Duration(kDiskRetryInterval);
  FailWaiters();
  NoteMembers();
}

void GroupShell::TryRestart() {
  if (ReadClock() < retry_deadline_) {
    return;
  }
  retry_deadline_ = ReadClock() + Duration(kDiskRetryInterval);
  leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_CHECK(OpenFolder());
        // Takes the hard state as it is: shows that the disk takes writes.
        consensus::Persist probe;
        probe.hard_state = replica_.hard_state;
        BOOST_LEAF_CHECK(folder_->Write(probe));
        has_failed_ = false;
        LogEvent(Weight::kNotable, "disk_regained", {});
        return {};
      },
      [](const SystemError& e) {
        LogEvent(Weight::kRoutine, "disk_still_lost",
                 {{"reason", Describe(e)}});
      },
      [](const CorruptionError& e) {
        LogEvent(Weight::kNotable, "disk_damaged", {{"reason", Describe(e)}});
      },
      [] { LogEvent(Weight::kRoutine, "disk_still_lost", {}); });
}

void GroupShell::StoreNotes(std::string_view notes) {
  if (!has_failed_) {
    LogIfFailed("notes_not_stored", [&] { return folder_->WriteNotes(notes); });
  }
}

void GroupShell::StoreCommitHint() {
  if (!has_failed_ && synced_hint_ < replica_.commit) {
    synced_hint_ = replica_.commit;
    LogIfFailed("commit_hint_not_stored",
                [&] { return folder_->SyncCommitHint(); });
  }
}

void GroupShell::Apply(const consensus::LogEntry& entry) {
  if (entry.kind == consensus::EntryKind::kCommand) {
    handlers_.apply(entry);
  }
  auto it = waiters_.find(entry.index);
  if (it == waiters_.end()) {
    return;
  }
  auto waiter = std::move(it->second);
  waiters_.erase(it);
  waiter.done(waiter.term == entry.term);
}

void GroupShell::CompactIfDue() {
  auto size = consensus::AppliedLogSize(replica_);
  if (size.entries < kMaxLogEntries && size.bytes < kMaxLogBytes) {
    return;
  }
  auto output = consensus::Compact(replica_, handlers_.snapshot());
  if (!Store(output.persist)) {
    StopReplica();
  }
}

void GroupShell::Propose(std::string command, std::function<void(bool)> done) {
  if (has_failed_) {
    done(false);
    return;
  }
  auto result = consensus::Propose(replica_, std::move(command), ReadClock());
  if (result.status != consensus::ProposeStatus::kAccepted) {
    done(false);
    return;
  }
  waiters_[result.index] = {result.term, std::move(done)};
  Process(std::move(result.output));
}

void GroupShell::ConfirmRead(std::function<void(bool)> done) {
  if (has_failed_) {
    done(false);
    return;
  }
  auto ticket = consensus::StartRead(replica_, ReadClock());
  if (ticket.term == 0) {
    done(false);
    return;
  }
  readers_.push_back({ticket.term, ticket.read_round, std::move(done)});
  Process(std::move(ticket.output));
  AnswerReaders();
}

void GroupShell::AnswerReaders() {
  std::vector<std::pair<std::function<void(bool)>, bool>> answers;
  for (auto it = readers_.begin(); it != readers_.end();) {
    auto status = consensus::CheckRead(replica_, it->term, it->read_round);
    if (status == consensus::ReadStatus::kWaiting) {
      ++it;
      continue;
    }
    answers.emplace_back(std::move(it->done),
                         status == consensus::ReadStatus::kConfirmed);
    it = readers_.erase(it);
  }
  for (auto& [done, is_confirmed] : answers) {
    done(is_confirmed);
  }
}

void GroupShell::FailWaiters() {
  auto waiters = std::exchange(waiters_, {});
  for (auto& [index, waiter] : waiters) {
    waiter.done(false);
  }
  auto readers = std::exchange(readers_, {});
  for (auto& reader : readers) {
    reader.done(false);
  }
}

void GroupShell::NoteMembers() {
  if (told_members_ == replica_.members && told_leader_ == replica_.leader) {
    return;
  }
  told_members_ = replica_.members;
  told_leader_ = replica_.leader;
  LogEvent(Weight::kNotable, "group_changed",
           {{"leader", replica_.leader},
            {"term", replica_.hard_state.term},
            {"members", ToJson(replica_.members)}});
  handlers_.on_members();
}

std::optional<consensus::Member> GroupShell::Leader() const {
  for (const auto& member : replica_.members) {
    if (member.id == replica_.leader && replica_.leader != 0) {
      return member;
    }
  }
  return std::nullopt;
}

bool GroupShell::is_member() const {
  return std::any_of(replica_.members.begin(), replica_.members.end(),
                     [&](const auto& m) { return m.id == replica_.id; });
}

consensus::JoinRequest GroupShell::MakeJoinRequest() const {
  return {replica_.id, replica_.instance, settings_.endpoint};
}

}  // namespace acaciahold::node
