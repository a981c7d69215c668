// An entry host. It subscribes to control hosts, called its feeds, and steers
// flows by the catalog and the upstream records that they send.

#ifndef ACACIAHOLD_NODE_ENTRY_NODE_H_
#define ACACIAHOLD_NODE_ENTRY_NODE_H_

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "acaciahold/Link/link.h"
#include "acaciahold/Node/feed_choice.h"
#include "acaciahold/Node/feed_sync.h"
#include "acaciahold/Node/load_reporter.h"
#include "acaciahold/Node/messages.h"
#include "acaciahold/Node/node_settings.h"
#include "acaciahold/Steering/tag_steering.h"

namespace acaciahold::node {

// How long a feed's state is used after its connection was lost. A control host
// restarts and is connected again well within this time.
inline constexpr Duration kFeedTimeout = std::chrono::seconds(3);
// Interval at which timeouts, such as those of new flows, are checked; a
// fraction of steering::kOpenTimeout.
inline constexpr std::chrono::milliseconds kEntryTickInterval{100};
// A feed counts as current only if data arrived from it within this time;
// several times link::kKeepAliveInterval.
inline constexpr std::chrono::milliseconds kCurrentFeedTimeout{1'000};
// A feed counts as reachable in the checks of whole failure domains if data
// arrived from it within this time, one and a half keep-alive intervals. Short,
// since a host that falsely considers itself cut off loses nothing: the fabric
// probes twice before it routes packets to other hosts.
inline constexpr std::chrono::milliseconds kReachabilityTimeout{450};
// An entry host that is cut off reports itself as not ready if more than this
// fraction of its requests goes to services without a reachable upstream, so
// that the fabric routes its callers to other failure domains.
inline constexpr double kMaxRemoteFraction = 0.2;
inline constexpr Duration kCleanupInterval = std::chrono::seconds(5);
// How often failures of upstreams are reported to the feeds, if there were any.
inline constexpr Duration kFailureReportInterval =
    std::chrono::milliseconds(200);

class EntryNode {
 public:
  EntryNode(boost::asio::io_context& io, NodeSettings settings);

  // `on_sync_complete` is called each time a feed has sent its complete state.
  void Start(std::function<void()> on_sync_complete);

  // `handler` resets a flow. Called from a timer, and only while a feed is
  // heard.
  void SetStrandedHandler(
      std::function<void(const steering::StrandedFlow&)> handler) {
    on_stranded_ = std::move(handler);
  }

  // Replaces the endpoints at which to look for control hosts. Call when the
  // seeds have changed.
  void SetSeeds(std::vector<Endpoint> links);

  // Whether the fabric may route packets to this host: from when it has the
  // service table and the upstreams of a control host until shutdown begins,
  // except while it is cut off from too many services; see kMaxRemoteFraction.
  bool is_ready() const;
  // Makes is_ready return false from now on, for a shutdown.
  void Leave() { is_shutting_down_ = true; }

  // Whether any control host is connected, so that the catalog receives
  // changes.
  bool has_feed() const;
  // Whether something arrived from a feed within kCurrentFeedTimeout.
  bool hears_feed() const;
  // Whether any connected control host is in contact with a majority of the
  // group, so that the catalog is the newest.
  bool is_current() const;

  steering::TagSteering& steering() { return steering_; }
  const steering::TagSteering& steering() const { return steering_; }
  const LoadReporter& load_reporter() const { return load_reporter_; }

 private:
  struct Feed {
    Endpoint to;
    std::shared_ptr<link::Connector> connector;  // Null: the slot is free.
    std::vector<ControlHost> hosts;  // Control hosts that this feed reported.
    std::string failure_domain;      // Of the control host; empty if unknown.
    bool is_connected = false;
    // Whether a Hello was sent, which requests the complete state.
    bool is_sync_requested = false;
    bool is_current = false;   // From the feed's last FeedStatus.
    uint32_t entry_hosts = 0;  // Number of entry hosts that this feed reported.
    // Whether they understand flow tags, as this feed reported.
    FlowTagSupport flow_tag_support = FlowTagSupport::kUnknown;
    // Newest revision in this feed's view changes that could not be applied; 0:
    // none.
    uint64_t missed_revision = 0;
    // Listeners with terms in this feed's view of the held revision, if the
    // held view lacks some of these terms; else 0.
    uint32_t missed_terms = 0;
    // Whether it has sent a load digest on this connection, so that it
    // understands load reports.
    bool understands_reports = false;
    // When the state of a disconnected feed is removed.
    Instant removal_deadline;
  };
  // Each feed is one bit in steering::FeedMask.
  static constexpr uint32_t kMaxFeeds = 32;

  void Connect(Endpoint to);
  void OnOpen(uint32_t feed);
  void StartSync(uint32_t feed, Instant now);
  void StartSyncs(Instant now);
  void OnClose(uint32_t feed);
  void OnMessageBytes(uint32_t feed, std::string_view bytes);
  void OnMessage(uint32_t feed, const Message& message);
  void OnRecords(uint32_t feed, const UpstreamRecords& message);
  void OnViewChange(uint32_t feed, const catalog::ViewChange& change);
  void RequestMissingViews();
  void OnSuspects(const SuspectedUpstreams& message);
  void SendFailureReport(Instant now);
  void OnLoadDigest(uint32_t feed, const LoadDigest& digest);
  void ReportLoad(Instant now);
  void LogLoad(Instant now);
  void UpdateFeeds();
  void StopFeed(uint32_t feed);
  void Tick();
  void RemoveLostFeeds(Instant now);
  bool IsCurrent(const Feed& feed) const;
  bool IsAwaitingSync(const Feed& feed) const;
  std::vector<FeedReachability> FeedReachabilities() const;
  void UpdateReachability(Instant now);
  void ResetStrandedFlows(Instant now);
  void UpdateFeedPlan(Instant now);
  void UpdateEntryHostCount();
  void UpdateFlowTagSupport();
  std::set<ControlHost> KnownHosts() const;

  boost::asio::io_context& io_;
  NodeSettings settings_;
  std::vector<Endpoint> seeds_;  // Link endpoints.
  uint64_t feed_choice_seed_ = 0;
  // Feeds to use while all of them are current.
  std::set<Endpoint> chosen_feeds_;
  FeedPlan feed_plan_;
  steering::TagSteering steering_;
  std::array<Feed, kMaxFeeds> feeds_;
  boost::asio::steady_timer timer_;
  std::function<void()> on_sync_complete_;
  std::function<void(const steering::StrandedFlow&)> on_stranded_;
  Instant cleanup_deadline_;
  FeedSync sync_;
  Instant failure_report_deadline_;
  LoadReporter load_reporter_;
  bool is_shutting_down_ = false;
  // Whether the host reports itself as not ready because it is cut off; see
  // kMaxRemoteFraction.
  bool is_withdrawn_ = false;
};

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_ENTRY_NODE_H_
