// The shell of one replica in a group that forms and heals by itself: storage,
// timers, proposals and confirmed reads. Messages travel by the owner's links.
//
// A disk that refuses to write stops the replica, not the process: it leaves
// the lead, answers nothing, and starts again from what is stored once the disk
// takes writes.

#ifndef ACACIAHOLD_NODE_GROUP_SHELL_H_
#define ACACIAHOLD_NODE_GROUP_SHELL_H_

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
#include "acaciahold/Consensus/replica.h"
#include "acaciahold/Storage/data_folder.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::node {

// Above either, the log is replaced by a snapshot. A start reads the log before
// anything else, and callers may wait for it.
inline constexpr size_t kMaxLogEntries = 64;
inline constexpr size_t kMaxLogBytes = 256U << 10U;
// A stopped replica tries its disk again after so long.
inline constexpr std::chrono::milliseconds kDiskRetryInterval{500};

// How a member is set up.
struct GroupSettings {
  std::string data_folder;
  Endpoint endpoint;  // Of this member's links.
  // Where a new group is founded: the links of its first members. Empty for a
  // host that joins.
  std::vector<Endpoint> founders;
};

class GroupShell {
 public:
  struct Handlers {
    std::function<void(const consensus::Message& message)> send;
    std::function<void(const consensus::LogEntry& entry)> apply;
    std::function<void(std::string_view data)> restore;
    std::function<std::string()> snapshot;
    // What StoreNotes kept; empty where nothing did.
    std::function<void(std::string_view notes)> load_notes;
    std::function<void()> on_members;  // The list or the leader has changed.
  };

  // Opens the data folder, or prepares an empty one. Fails with SystemError or
  // CorruptionError.
  static Result<std::unique_ptr<GroupShell>> Open(boost::asio::io_context& io,
                                                  GroupSettings settings,
                                                  Handlers handlers);

  void Start();
  void OnMessage(const consensus::Message& message);
  void OnJoinRequest(const consensus::JoinRequest& request);

  // Calls `done` once: with true when the command is applied, with false where
  // that is not known.
  void Propose(std::string command, std::function<void(bool)> done);

  // Calls `done` once: with true when this replica has applied all that was
  // committed before the call, with false where that is not known.
  void ConfirmRead(std::function<void(bool)> done);

  // Keeps soft state that makes the next start faster.
  void StoreNotes(std::string_view notes);
  // Keeps how far the log is committed, for the same end. To be called now and
  // then; does nothing where nothing was committed since.
  void StoreCommitHint();

  bool is_leader() const {
    return !has_failed_ && replica_.role == consensus::Role::kLeader;
  }
  // The leader's member entry, where one is known.
  std::optional<consensus::Member> Leader() const;
  const std::vector<consensus::Member>& members() const {
    return replica_.members;
  }
  const consensus::Replica& replica() const { return replica_; }
  bool is_member() const;
  consensus::JoinRequest MakeJoinRequest() const;

 private:
  struct Waiter {
    consensus::Term term = 0;
    std::function<void(bool)> done;
  };
  struct Reader {
    consensus::Term term = 0;
    uint64_t read_round = 0;
    std::function<void(bool)> done;
  };

  GroupShell(boost::asio::io_context& io,
             GroupSettings settings,
             Handlers handlers);

  Result<void> OpenFolder();
  void Tick();
  void Process(consensus::Output output);
  bool Store(const consensus::Persist& persist);
  void StopReplica();
  void TryRestart();
  void Apply(const consensus::LogEntry& entry);
  void AnswerReaders();
  void FailWaiters();
  void CompactIfDue();
  void NoteMembers();

  boost::asio::io_context& io_;
  GroupSettings settings_;
  Handlers handlers_;
  boost::asio::steady_timer timer_;
  std::optional<storage::DataFolder> folder_;  // None while the disk fails.
  consensus::Replica replica_;
  consensus::PendingJoins joiners_;
  bool has_failed_ = false;
  Instant retry_deadline_;
  consensus::Index synced_hint_ = 0;
  std::map<consensus::Index, Waiter> waiters_;
  std::list<Reader> readers_;
  // As on_members last told.
  std::vector<consensus::Member> told_members_;
  consensus::ReplicaId told_leader_ = 0;
};

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_GROUP_SHELL_H_
