// Carries out the output of the consensus core.

#include "acaciahold/Node/replica_driver.h"

#include <algorithm>
#include <filesystem>
#include <random>
#include <utility>

#include "acaciahold/Observe/event_log.h"

namespace acaciahold::node {
namespace {

namespace asio = boost::asio;
using consensus::Role;
using observe::EventPriority;
using observe::LogEvent;

constexpr std::chrono::milliseconds kTickInterval{50};

uint64_t DrawRandomNumber() {
  std::random_device device;
  return (uint64_t{device()} << 32U) | device();
}

consensus::ReplicaId DrawReplicaId() {
  return static_cast<consensus::ReplicaId>(DrawRandomNumber() | 1U);
}

bool HasReplica(const std::string& folder) {
  std::error_code ec;  // A folder that can't be read is treated as empty.
  return std::filesystem::exists(folder + "/identity", ec);
}

// Writes a new identity. A founder's replica ID is its address, so that the
// other founders know it. Any other ID is random, since an ID that has voted
// before must not be used again.
Result<void> InitializeFolder(const ReplicaSettings& settings) {
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
        settings.data_folder, settings.endpoint.address, DrawRandomNumber(),
        consensus::InitialMembers(founders));
  }
  return storage::DataFolder::Initialize(settings.data_folder, DrawReplicaId(),
                                         DrawRandomNumber(), {});
}

// Runs a write that the host can do without. Logs `event` if it fails.
void LogIfFailed(std::string_view event,
                 const std::function<Result<void>()>& write) {
  leaf::try_handle_all(
      write,
      [&](const SystemError& e) {
        LogEvent(EventPriority::kNotable, event, {{"reason", Describe(e)}});
      },
      [&] {
        LogEvent(EventPriority::kNotable, event, {{"reason", "unknown"}});
      });
}

}  // namespace

ReplicaDriver::ReplicaDriver(asio::io_context& io,
                             ReplicaSettings settings,
                             Handlers handlers)
    : io_(io),
      settings_(std::move(settings)),
      handlers_(std::move(handlers)),
      timer_(io) {}

Result<std::unique_ptr<ReplicaDriver>> ReplicaDriver::Open(
    asio::io_context& io,
    ReplicaSettings settings,
    Handlers handlers) {
  std::unique_ptr<ReplicaDriver> driver(
      new ReplicaDriver(io, std::move(settings), std::move(handlers)));
  if (!HasReplica(driver->settings_.data_folder)) {
    BOOST_LEAF_CHECK(InitializeFolder(driver->settings_));
  }
  BOOST_LEAF_CHECK(driver->OpenFolder());
  return driver;
}

Result<void> ReplicaDriver::OpenFolder() {
  folder_.reset();  // Releases the lock, which the new one takes.
  storage::StoredState stored;
  BOOST_LEAF_ASSIGN(folder_,
                    storage::DataFolder::Open(settings_.data_folder, stored));
  handlers_.restore(stored.snapshot.data);
  LogEvent(EventPriority::kNotable, "replica_opened",
           {{"replica", stored.replica_id},
            {"term", stored.hard_state.term},
            {"snapshot_index", stored.snapshot.index},
            {"entries", stored.entries.size()},
            {"torn_bytes", stored.torn_bytes}});
  consensus::StartState start;
  start.id = stored.replica_id;
  start.instance = stored.instance;
  start.seed = DrawRandomNumber();
  start.tolerated_disk_losses = settings_.tolerated_disk_losses;
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

void ReplicaDriver::Start() {
  Tick();
}

void ReplicaDriver::Tick() {
  Instant now = ReadClock();
  if (has_failed_) {
    TryRestart();
  } else {
    ProcessOutput(consensus::OnTick(replica_, now));
    ReportUnresponsiveVoters(now);
    ProposeMemberChange(now);
    if (is_leaving_) {
      ProcessOutput(consensus::HandOverLeadership(replica_, now));
    }
    CompleteReads();
  }
  timer_.expires_after(kTickInterval);
  std::weak_ptr<bool> lifetime = lifetime_;
  timer_.async_wait([this, lifetime](boost::system::error_code ec) {
    if (!ec && !lifetime.expired()) {
      Tick();
    }
  });
}

void ReplicaDriver::ReportUnresponsiveVoters(Instant now) {
  size_t unresponsive = consensus::CountUnresponsiveVoters(replica_, now);
  if (unresponsive == unresponsive_voters_) {
    return;
  }
  unresponsive_voters_ = unresponsive;
  LogEvent(EventPriority::kNotable, "unresponsive_voters_changed",
           {{"unresponsive", unresponsive},
            {"members", replica_.members.size()},
            {"voters", consensus::CountVoters(replica_)},
            {"min_voters", consensus::MinVoters(replica_)}});
}

void ReplicaDriver::ProposeMemberChange(Instant now) {
  auto change = consensus::NextMemberChange(replica_, member_requests_, now);
  if (!change) {
    return;
  }
  auto result =
      consensus::ProposeMembers(replica_, std::move(change->members), now);
  if (result.status == consensus::ProposeStatus::kAccepted) {
    LogEvent(EventPriority::kNotable, "member_change_proposed",
             {{"reason", consensus::ReasonName(change->reason)},
              {"member", change->member},
              {"index", result.index},
              {"voters", consensus::CountVoters(replica_)},
              {"min_voters", consensus::MinVoters(replica_)},
              {"unresponsive_voters", unresponsive_voters_}});
  }
  ProcessOutput(std::move(result.output));
}

void ReplicaDriver::OnMessage(const consensus::Message& message) {
  if (has_failed_) {
    return;
  }
  Instant now = ReadClock();
  ProcessOutput(consensus::OnMessage(replica_, message, now));
  ProposeMemberChange(now);
  CompleteReads();
}

void ReplicaDriver::OnJoinRequest(const consensus::JoinRequest& request) {
  consensus::OnJoinRequest(member_requests_, request, ReadClock());
}

consensus::LeaveAnswer ReplicaDriver::OnLeaveRequest(consensus::ReplicaId id) {
  Instant now = ReadClock();
  consensus::OnLeaveRequest(member_requests_, id, now);
  return consensus::AnswerLeaveRequest(replica_, id, now);
}

void ReplicaDriver::ProcessOutput(consensus::Output output) {
  bool needs_write = !output.persist.IsEmpty() || output.persist.commit_hint;
  if (needs_write && !Store(output.persist)) {
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
  if (std::exchange(was_leader_, is_leader()) && !was_leader_) {
    FailPendingRequests();
  }
  NotifyMemberChange();
}

bool ReplicaDriver::Store(const consensus::Persist& persist) {
  return leaf::try_handle_all(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(folder_->Write(persist));
        return true;
      },
      [](const SystemError& e) {
        LogEvent(EventPriority::kNotable, "disk_lost",
                 {{"reason", Describe(e)}});
        return false;
      },
      [] {
        LogEvent(EventPriority::kNotable, "disk_lost", {{"reason", "unknown"}});
        return false;
      });
}

void ReplicaDriver::StopReplica() {
  has_failed_ = true;
  folder_.reset();
  replica_.role = Role::kFollower;
  replica_.leader = 0;
  restart_deadline_ = ReadClock() + Duration(kDiskRetryInterval);
  was_leader_ = false;
  FailPendingRequests();
  NotifyMemberChange();
}

void ReplicaDriver::TryRestart() {
  if (ReadClock() < restart_deadline_) {
    return;
  }
  restart_deadline_ = ReadClock() + Duration(kDiskRetryInterval);
  leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_CHECK(OpenFolder());
        // Writes the unchanged hard state, to check that the disk accepts
        // writes.
        consensus::Persist probe;
        probe.hard_state = replica_.hard_state;
        BOOST_LEAF_CHECK(folder_->Write(probe));
        has_failed_ = false;
        LogEvent(EventPriority::kNotable, "disk_regained", {});
        return {};
      },
      [](const SystemError& e) {
        LogEvent(EventPriority::kRoutine, "disk_still_lost",
                 {{"reason", Describe(e)}});
      },
      [](const CorruptionError& e) {
        LogEvent(EventPriority::kNotable, "disk_damaged",
                 {{"reason", Describe(e)}});
      },
      [] { LogEvent(EventPriority::kRoutine, "disk_still_lost", {}); });
}

void ReplicaDriver::StoreNotes(std::string_view notes) {
  if (!has_failed_) {
    LogIfFailed("notes_not_stored", [&] { return folder_->WriteNotes(notes); });
  }
}

void ReplicaDriver::StoreCommitHint() {
  if (!has_failed_ && synced_commit_hint_ < replica_.commit) {
    synced_commit_hint_ = replica_.commit;
    LogIfFailed("commit_hint_not_stored",
                [&] { return folder_->SyncCommitHint(); });
  }
}

void ReplicaDriver::Apply(const consensus::LogEntry& entry) {
  if (entry.kind == consensus::EntryKind::kCommand) {
    handlers_.apply(entry);
  }
  auto it = pending_proposals_.find(entry.index);
  if (it == pending_proposals_.end()) {
    return;
  }
  auto proposal = std::move(it->second);
  pending_proposals_.erase(it);
  proposal.done(proposal.term == entry.term);
}

void ReplicaDriver::CompactIfDue() {
  if (has_failed_) {  // A command that was just applied led to a failed write.
    return;
  }
  auto size = consensus::AppliedLogSize(replica_);
  if (size.entries < kMaxLogEntries && size.bytes < kMaxLogBytes) {
    return;
  }
  auto output = consensus::Compact(replica_, handlers_.snapshot());
  if (!Store(output.persist)) {
    StopReplica();
  }
}

void ReplicaDriver::Propose(std::string command,
                            std::function<void(bool)> done) {
  if (has_failed_ || is_leaving_) {
    done(false);
    return;
  }
  auto result = consensus::Propose(replica_, std::move(command), ReadClock());
  if (result.status != consensus::ProposeStatus::kAccepted) {
    done(false);
    return;
  }
  pending_proposals_[result.index] = {result.term, std::move(done)};
  ProcessOutput(std::move(result.output));
}

void ReplicaDriver::ConfirmRead(std::function<void(bool)> done) {
  if (has_failed_) {
    done(false);
    return;
  }
  auto ticket = consensus::StartRead(replica_, ReadClock());
  if (ticket.term == 0) {
    done(false);
    return;
  }
  pending_reads_.push_back({ticket.term, ticket.read_round, std::move(done)});
  ProcessOutput(std::move(ticket.output));
  CompleteReads();
}

void ReplicaDriver::CompleteReads() {
  std::vector<std::pair<std::function<void(bool)>, bool>> answers;
  for (auto it = pending_reads_.begin(); it != pending_reads_.end();) {
    auto status = consensus::CheckRead(replica_, it->term, it->read_round);
    if (status == consensus::ReadStatus::kWaiting) {
      ++it;
      continue;
    }
    answers.emplace_back(std::move(it->done),
                         status == consensus::ReadStatus::kConfirmed);
    it = pending_reads_.erase(it);
  }
  for (auto& [done, is_confirmed] : answers) {
    done(is_confirmed);
  }
}

void ReplicaDriver::FailPendingRequests() {
  auto proposals = std::exchange(pending_proposals_, {});
  for (auto& [index, proposal] : proposals) {
    proposal.done(false);
  }
  auto reads = std::exchange(pending_reads_, {});
  for (auto& read : reads) {
    read.done(false);
  }
}

void ReplicaDriver::NotifyMemberChange() {
  if (notified_members_ == replica_.members &&
      notified_leader_ == replica_.leader) {
    return;
  }
  notified_members_ = replica_.members;
  notified_leader_ = replica_.leader;
  LogEvent(EventPriority::kNotable, "group_changed",
           {{"leader", replica_.leader},
            {"term", replica_.hard_state.term},
            {"members", ToJson(replica_.members)}});
  handlers_.on_member_change();
}

std::optional<consensus::Member> ReplicaDriver::Leader() const {
  for (const auto& member : replica_.members) {
    if (member.id == replica_.leader && replica_.leader != 0) {
      return member;
    }
  }
  return std::nullopt;
}

bool ReplicaDriver::is_member() const {
  return std::any_of(replica_.members.begin(), replica_.members.end(),
                     [&](const auto& m) { return m.id == replica_.id; });
}

consensus::JoinRequest ReplicaDriver::MakeJoinRequest() const {
  return {replica_.id, replica_.instance, settings_.endpoint};
}

}  // namespace acaciahold::node
