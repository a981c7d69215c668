// Drives the consensus core of one replica of the replication group: storage,
// timers, proposals and confirmed reads. The owner transports the messages.
//
// A failed disk write stops the replica, not the process. The replica gives up
// leadership, ignores messages, and restarts from the stored state once the
// disk accepts writes again.

#ifndef ACACIAHOLD_NODE_REPLICA_DRIVER_H_
#define ACACIAHOLD_NODE_REPLICA_DRIVER_H_

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "acaciahold/Consensus/group.h"
#include "acaciahold/Consensus/leave.h"
#include "acaciahold/Consensus/replica.h"
#include "acaciahold/Storage/data_folder.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::node {

// If either is exceeded, the log is replaced by a snapshot. Small, since a
// start reads the log before anything else and callers may be waiting for it.
inline constexpr size_t kMaxLogEntries = 64;
inline constexpr size_t kMaxLogBytes = 256U << 10U;
// How often a stopped replica tries to restart from its disk.
inline constexpr std::chrono::milliseconds kDiskRetryInterval{500};

// Settings of one replica.
struct ReplicaSettings {
  std::string data_folder;
  Endpoint endpoint;  // Link endpoint of this host.
  // Link endpoints of the initial members if this host helps to found a new
  // group; empty if it joins an existing one.
  std::vector<Endpoint> founders;
  // See consensus::StartState.
  std::optional<uint32_t> tolerated_disk_losses;
};

class ReplicaDriver {
 public:
  struct Handlers {
    std::function<void(const consensus::Message& message)> send;
    std::function<void(const consensus::LogEntry& entry)> apply;
    std::function<void(std::string_view data)> restore;
    std::function<std::string()> snapshot;
    // Receives what StoreNotes stored; empty if nothing is stored.
    std::function<void(std::string_view notes)> load_notes;
    // The members or the leader changed.
    std::function<void()> on_member_change;
  };

  // Opens the data folder, or initializes it if it holds no replica. Fails with
  // SystemError or CorruptionError.
  static Result<std::unique_ptr<ReplicaDriver>> Open(
      boost::asio::io_context& io,
      ReplicaSettings settings,
      Handlers handlers);

  void Start();
  void OnMessage(const consensus::Message& message);
  void OnJoinRequest(const consensus::JoinRequest& request);
  // Handles the request of a member that is about to stop.
  consensus::LeaveAnswer OnLeaveRequest(consensus::ReplicaId id);

  // From now on this host, which is about to stop, hands over its leadership
  // and accepts no proposals.
  void StartHandOver() { is_leaving_ = true; }

  // Proposes a command. Calls `done` once: with true when the command is
  // applied, with false if the outcome is unknown or the command was not
  // accepted.
  void Propose(std::string command, std::function<void(bool)> done);

  // Calls `done` once: with true when this replica has applied all that was
  // committed before the call, with false if that could not be confirmed.
  void ConfirmRead(std::function<void(bool)> done);

  // Stores soft state that lets the next start complete sooner.
  void StoreNotes(std::string_view notes);
  // Syncs to disk how far the log is committed, for the same purpose as
  // StoreNotes. Call periodically; does nothing if nothing was committed since
  // the last call.
  void StoreCommitHint();

  bool is_leader() const {
    return !has_failed_ && replica_.role == consensus::Role::kLeader;
  }
  // The leader's member entry, if it is known.
  std::optional<consensus::Member> Leader() const;
  const std::vector<consensus::Member>& members() const {
    return replica_.members;
  }
  const consensus::Replica& replica() const { return replica_; }
  size_t unresponsive_voters() const { return unresponsive_voters_; }
  bool is_member() const;
  consensus::JoinRequest MakeJoinRequest() const;

 private:
  struct PendingProposal {
    consensus::Term term = 0;
    std::function<void(bool)> done;
  };
  struct PendingRead {
    consensus::Term term = 0;
    uint64_t read_round = 0;
    std::function<void(bool)> done;
  };

  ReplicaDriver(boost::asio::io_context& io,
                ReplicaSettings settings,
                Handlers handlers);

  Result<void> OpenFolder();
  void Tick();
  void ReportUnresponsiveVoters(Instant now);
  void ProposeMemberChange(Instant now);
  void ProcessOutput(consensus::Output output);
  bool Store(const consensus::Persist& persist);
  void StopReplica();
  void TryRestart();
  void Apply(const consensus::LogEntry& entry);
  void CompleteReads();
  void FailPendingRequests();
  void CompactIfDue();
  void NotifyMemberChange();

  boost::asio::io_context& io_;
  ReplicaSettings settings_;
  Handlers handlers_;
  boost::asio::steady_timer timer_;
  // Held weakly by the timer's handler, which may be queued already when the
  // driver is destroyed.
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
  // May be empty while has_failed_ is set.
  std::optional<storage::DataFolder> folder_;
  consensus::Replica replica_;
  consensus::MemberRequests member_requests_;
  bool has_failed_ = false;
  bool is_leaving_ = false;
  // Whether this replica led after the last output. The core changes its role
  // before the output is processed.
  bool was_leader_ = false;
  Instant restart_deadline_;
  consensus::Index synced_commit_hint_ = 0;
  std::map<consensus::Index, PendingProposal> pending_proposals_;
  std::list<PendingRead> pending_reads_;
  // Values at the last call of on_member_change.
  std::vector<consensus::Member> notified_members_;
  consensus::ReplicaId notified_leader_ = 0;
  size_t unresponsive_voters_ = 0;  // As last logged; 0 unless leader.
};

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_REPLICA_DRIVER_H_
