// A control host: a member of the group that agrees on the catalog, a keeper of
// the directory of upstreams, and a feed of both to entry hosts.
//
// The directory is soft state. Each control host takes announcements, passes
// changes to the other control hosts and to its entry hosts, those of some
// milliseconds together, and tells the other control hosts in batches which
// upstreams it has heard again.

#ifndef ACACIAHOLD_NODE_CONTROL_NODE_H_
#define ACACIAHOLD_NODE_CONTROL_NODE_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "acaciahold/Catalog/catalog.h"
#include "acaciahold/Directory/directory.h"
#include "acaciahold/Link/link.h"
#include "acaciahold/Node/entry_host_counter.h"
#include "acaciahold/Node/group_shell.h"
#include "acaciahold/Node/messages.h"
#include "acaciahold/Node/node_settings.h"

namespace acaciahold::node {

// How often other control hosts are told who was heard again; well below the
// interval of announcements.
inline constexpr std::chrono::milliseconds kRefreshInterval{400};
// News of upstreams that come within it go out together.
inline constexpr std::chrono::milliseconds kGatherTime{20};
// An upstream is sent to a nearer control host at its first announcements, and
// at one in so many after them: where it can't reach that host, it loses no two
// announcements in a row.
inline constexpr uint64_t kFirstAnnouncements = 2;
inline constexpr uint64_t kMoveInterval = 8;
// A host without a leader asks to join this often.
inline constexpr Duration kJoinInterval = std::chrono::milliseconds(500);

class ControlNode {
 public:
  // Listens for links and opens the data folder. Fails with SystemError or
  // CorruptionError.
  static Result<std::unique_ptr<ControlNode>> Open(
      boost::asio::io_context& io,
      const NodeSettings& settings);

  void Start();

  // The seeds have changed.
  void OnSeeds(std::vector<Endpoint> links);

  // What upstreams say. The news is on its way to all connected entry hosts
  // within kGatherTime.
  void OnAnnouncement(const directory::Record& record);
  void OnLeave(directory::UpstreamId id, int64_t born_ms);

  // The links of a control host in the upstream's own failure domain, where it
  // should announce itself from now on; nothing where it may stay.
  std::optional<Endpoint> NearerHost(const directory::Record& record) const;

  // See GroupShell::Propose and ConfirmRead.
  void Submit(const catalog::Command& command, std::function<void(bool)> done);
  void ConfirmRead(std::function<void(bool)> done);

  bool is_leader() const { return group_->is_leader(); }
  // The links of the leader, where it is another host and is known.
  std::optional<Endpoint> OtherLeader() const;
  const catalog::State& state() const { return state_; }
  const consensus::Replica& replica() const { return group_->replica(); }
  const directory::Directory& directory() const { return directory_; }
  // Links that control hosts, or entry hosts, have open here.
  size_t CountPeers(bool is_control) const;

 private:
  // A link that another host opened.
  struct Peer {
    std::shared_ptr<link::Session> session;
    Hello hello;
    bool is_fed = false;  // An entry host that was told all that is known.
  };

  ControlNode(boost::asio::io_context& io, NodeSettings settings);

  GroupShell::Handlers MakeGroupHandlers();
  void OnSession(std::shared_ptr<link::Session> session);
  void OnPeerMessage(uint64_t peer, std::string_view text);
  void OnHello(uint64_t peer, const Hello& hello);
  void OnHostMessage(const Message& message);
  void OnJoin(const JoinMessage& message);
  void OnRecords(const UpstreamRecords& message);
  void OnRefreshes(const RefreshNotices& message);
  void OnFailureReport(const Peer& peer, const Troubles& message);
  void OnSuspects(const SuspectedUpstreams& message);

  void Connect(Endpoint to);
  void OnLinkOpen(Endpoint to);
  void UpdateLinks();
  Hosts KnownHosts() const;
  bool IsCurrent(Instant now) const;
  void TellStanding(Instant now);
  void TellEntryHosts(Instant now);
  EntryHosts FedEntryHosts() const;

  void SendToGroup(const consensus::Message& message);
  void SendToControlHosts(const Message& message);
  void SendToEntryHosts(const Message& message);
  void FeedLater(uint64_t peer);
  void FeedNext();
  void FeedEntryHost(Peer& peer);
  void SendDirectory(const Peer& peer);
  void SendWholeView(const Peer& peer);
  void SpreadRecord(directory::UpstreamId id);
  void GatherNews(directory::UpstreamId id);
  void SendNews();
  UpstreamRecords RecordsOf(const std::set<directory::UpstreamId>& ids) const;

  void Apply(const consensus::LogEntry& entry);
  void Restore(std::string_view data);
  void SpreadView();
  void SendViewChange();
  void Tick();
  void CheckSilence(Instant now);
  void AskToJoin(Instant now);
  void SetComplete();
  UpstreamRecords WholeDirectory(Instant now) const;
  void LoadNotes(std::string_view notes);

  boost::asio::io_context& io_;
  NodeSettings settings_;
  std::unique_ptr<GroupShell> group_;
  std::shared_ptr<link::Listener> listener_;
  boost::asio::steady_timer timer_;
  boost::asio::steady_timer news_timer_;
  catalog::State state_;
  catalog::View told_view_;  // As entry hosts were last told.
  directory::Directory directory_;
  // Upstreams with news that entry hosts, and other control hosts, were not yet
  // told. Invariant: news_timer_ runs where either has any.
  std::set<directory::UpstreamId> entry_news_;
  std::set<directory::UpstreamId> control_news_;
  directory::FailureDetector suspicions_;
  RefreshNotices refreshes_;  // Not yet sent.
  uint64_t next_peer_ = 1;
  std::map<uint64_t, Peer> peers_;
  // Entry hosts to be told all that is known, one after the other, so that what
  // else comes meanwhile does not wait for all of them.
  std::deque<uint64_t> unfed_;
  std::map<Endpoint, std::shared_ptr<link::Connector>> links_;
  // Where replicas are that sent a message, for answers to them.
  std::map<consensus::ReplicaId, Endpoint> seen_at_;
  Hosts heard_hosts_;  // From other control hosts.
  // Of control hosts that opened a link, and of this one.
  std::map<Endpoint, std::string> failure_domains_;
  EntryHostCounter census_;
  bool told_current_ = false;  // The standing that entry hosts were told.
  // Whether the directory has what other hosts knew when this one started.
  bool is_complete_ = false;
  bool is_view_due_ = false;        // Entry hosts are told of the view soon.
  bool has_unstored_news_ = false;  // The notes lie behind the directory.
  Instant complete_deadline_;
  Instant join_deadline_;
};

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_CONTROL_NODE_H_
