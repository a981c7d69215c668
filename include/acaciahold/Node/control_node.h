// A control host. It is a member of the replication group that agrees on the
// catalog, holds the directory of upstreams, and sends both to its entry hosts.
//
// The directory is soft state. Each control host receives announcements from
// upstreams and forwards changes, batched over kUpdateBatchDelay, to the other
// control hosts and to its entry hosts. Upstreams that announced themselves
// without a change are reported to the other control hosts once per
// kRefreshInterval.

#ifndef ACACIAHOLD_NODE_CONTROL_NODE_H_
#define ACACIAHOLD_NODE_CONTROL_NODE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "acaciahold/Catalog/catalog.h"
#include "acaciahold/Directory/directory.h"
#include "acaciahold/Link/link.h"
#include "acaciahold/Load/load_exchange.h"
#include "acaciahold/Load/load_summary.h"
#include "acaciahold/Node/entry_host_counter.h"
#include "acaciahold/Node/messages.h"
#include "acaciahold/Node/node_settings.h"
#include "acaciahold/Node/replica_driver.h"

namespace acaciahold::node {

// How often other control hosts are sent the upstreams that announced
// themselves again; well below the interval of announcements. Also the
// interval of ControlNode's other periodic work.
inline constexpr std::chrono::milliseconds kRefreshInterval{400};
// Changes of upstreams that arrive within this time are sent in one message.
inline constexpr std::chrono::milliseconds kUpdateBatchDelay{20};
// An upstream is redirected to a control host in its own failure domain at its
// first kInitialRedirects announcements, and at every kRedirectInterval-th
// announcement after them. An upstream that can't reach that host thus does not
// lose two announcements in a row.
inline constexpr uint64_t kInitialRedirects = 2;
inline constexpr uint64_t kRedirectInterval = 8;
// How often a host that knows no leader requests to join the group.
inline constexpr Duration kJoinRequestInterval = std::chrono::milliseconds(500);

// Counters for metrics, of messages to each host.
struct LoadMessagesSent {
  uint64_t sums = 0;
  uint64_t digests = 0;
};

class ControlNode {
 public:
  // Opens the data folder and listens for links. Fails with SystemError or
  // CorruptionError.
  static Result<std::unique_ptr<ControlNode>> Open(
      boost::asio::io_context& io,
      const NodeSettings& settings);

  void Start();

  // Looks for other control hosts at these link endpoints instead of those that
  // another control host reported. Call when the seeds have changed. The seeds
  // in the settings stay in use.
  void SetSeeds(std::vector<Endpoint> links);

  // Leaves the group before the host stops, and then calls `done` once: after
  // half of `grace` at the latest. Does nothing if the host is leaving already.
  void LeaveGroup(Duration grace, std::function<void()> done);

  // Processes a message of an upstream: an announcement, or its departure. A
  // resulting change is sent to all connected entry hosts within
  // kUpdateBatchDelay.
  void OnAnnouncement(const directory::Record& record);
  void OnDeparture(directory::UpstreamId id, int64_t born_ms);

  // The link endpoint of a control host in the upstream's own failure domain to
  // which the upstream should send its announcements from now on; nothing if it
  // should keep using this host.
  std::optional<Endpoint> FindRedirectTarget(
      const directory::Record& record) const;

  // See ReplicaDriver::Propose and ReplicaDriver::ConfirmRead.
  void Submit(const catalog::Command& command, std::function<void(bool)> done);
  void ConfirmRead(std::function<void(bool)> done);

  bool is_leader() const { return driver_->is_leader(); }
  // The link endpoint of the leader, if it is known and is another host.
  std::optional<Endpoint> OtherLeader() const;
  const catalog::State& state() const { return state_; }
  const consensus::Replica& replica() const { return driver_->replica(); }
  size_t unresponsive_voters() const { return driver_->unresponsive_voters(); }
  const directory::Directory& directory() const { return directory_; }
  // Number of open links that control hosts, or entry hosts, have opened to
  // this host.
  size_t CountPeers(bool is_control) const;
  const load::LoadExchange& load() const { return load_; }
  const LoadMessagesSent& load_sent() const { return load_sent_; }

 private:
  // A link that another host opened to this one.
  struct Peer {
    std::shared_ptr<link::Session> session;
    Hello hello;
    // Whether it is an entry host that has been sent the current state, and
    // therefore receives changes.
    bool is_synced = false;
  };

  ControlNode(boost::asio::io_context& io, NodeSettings settings);

  ReplicaDriver::Handlers MakeDriverHandlers();
  void OnSession(std::shared_ptr<link::Session> session);
  void OnPeerMessage(uint64_t peer, std::string_view bytes);
  void OnHello(uint64_t peer, const Hello& hello);
  void OnControlMessage(const Message& message);
  void OnJoin(const JoinMessage& message);
  void OnLeaveMessage(const LeaveMessage& message);
  void OnLeaveAnswer(const LeaveAnswerMessage& message);
  void ContinueLeave();
  void OnRecords(const UpstreamRecords& message);
  void OnRefreshes(const RefreshNotices& message);
  void OnFailureReport(const Peer& peer, const FailureReport& message);
  void OnSuspects(const SuspectedUpstreams& message);

  void Connect(Endpoint to);
  void OnLinkOpen(Endpoint to);
  void UpdateLinks();
  ControlHosts KnownHosts() const;
  bool IsCurrent(Instant now) const;
  void SendFeedStatus(Instant now);
  void UpdateEntryHostCount(Instant now);
  std::vector<std::string> ConnectedEntryHosts() const;
  std::vector<EntryHosts> MakeEntryHostReports(
      std::span<const std::string> names) const;
  void NoteConnectedFlowTagReaders(Instant now);

  void SendToGroup(const consensus::Message& message);
  void SendToControlHosts(const Message& message);
  void SendToEntryHosts(const Message& message);
  void QueueSync(uint64_t peer);
  void SyncNext();
  void SyncEntryHost(Peer& peer);
  void SendDirectory(const Peer& peer);
  void SendFullView(const Peer& peer);
  void PublishRecord(directory::UpstreamId id);
  void QueueUpdate(directory::UpstreamId id);
  void SendQueuedUpdates();
  UpstreamRecords CurrentRecords(
      const std::set<directory::UpstreamId>& ids) const;

  void Apply(const consensus::LogEntry& entry);
  void Restore(std::string_view data);
  void ScheduleViewChange();
  void SendViewChange();
  void Tick();
  void CheckSilence(Instant now);
  void RequestJoin(Instant now);

  void TickLoad();
  void ExchangeLoad(Instant now);
  bool UnderstandsLoad(Endpoint link) const;
  void SendFirstDigest(const Peer& peer);
  void OnLoadReport(const Peer& peer, const LoadReport& report);
  void OnLoadSums(const Peer& peer, const LoadSums& sums);

  void MarkComplete();
  UpstreamRecords MakeDirectoryRecords(Instant now) const;
  void LoadNotes(std::string_view notes);

  boost::asio::io_context& io_;
  NodeSettings settings_;
  std::unique_ptr<ReplicaDriver> driver_;
  std::shared_ptr<link::Listener> listener_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer update_timer_;
  boost::asio::steady_timer leave_timer_;
  boost::asio::steady_timer load_timer_;
  catalog::State state_;
  catalog::View sent_view_;  // Last view sent to entry hosts.
  directory::Directory directory_;
  // Upstreams with changes that have not been sent to entry hosts, or to the
  // other control hosts, yet. Invariant: update_timer_ runs if either is not
  // empty.
  std::set<directory::UpstreamId> entry_host_updates_;
  std::set<directory::UpstreamId> control_host_updates_;
  directory::FailureDetector failure_detector_;
  RefreshNotices pending_refreshes_;  // To be sent to other control hosts.
  uint64_t next_peer_ = 1;
  std::map<uint64_t, Peer> peers_;
  // Ids of the entry hosts in peers_ that wait for the current state. They are
  // synchronized one per event-loop turn, so that other events do not wait for
  // all of them.
  std::deque<uint64_t> sync_queue_;
  std::map<Endpoint, std::shared_ptr<link::Connector>> links_;
  // Link endpoints of replicas that sent a message, used to answer replicas
  // that are not members.
  std::map<consensus::ReplicaId, Endpoint> replica_links_;
  // Seeds, or the hosts last reported by another control host.
  ControlHosts reported_hosts_;
  // Failure domains of this host and of control hosts that opened a link to it,
  // by link endpoint.
  std::map<Endpoint, std::string> failure_domains_;
  EntryHostCounter entry_host_counter_;
  load::LoadExchange load_;
  // What the entry hosts hold; unset: they are to be sent a whole digest.
  std::optional<load::LoadDigest> sent_digest_;
  load::LoadSummary logged_load_;  // What the event log says of the load.
  LoadMessagesSent load_sent_;
  bool sent_is_current_ = false;  // Last FeedStatus sent to entry hosts.
  // Whether the directory contains what other hosts knew when this one started.
  bool is_complete_ = false;
  // Whether SendViewChange has been posted.
  bool is_view_change_scheduled_ = false;
  // Whether the directory has changed since it was last stored with
  // ReplicaDriver::StoreNotes.
  bool has_unstored_changes_ = false;
  Instant complete_deadline_;
  Instant join_deadline_;
  // Set while the host leaves the group.
  std::optional<consensus::Leave> leave_;
  std::function<void()> on_left_;
};

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_CONTROL_NODE_H_
