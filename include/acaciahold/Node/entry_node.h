// An entry host: follows the feeds of all control hosts that it knows, and
// steers flows by what they tell.

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
#include "acaciahold/Node/messages.h"
#include "acaciahold/Node/node_settings.h"
#include "acaciahold/Steering/tag_steering.h"

namespace acaciahold::node {

// A feed that is lost for so long no longer counts: a control host restarts and
// is connected again well within.
inline constexpr Duration kFeedTimeout = std::chrono::seconds(3);
// How often openings are judged; a part of steering::kOpenTimeout.
inline constexpr std::chrono::milliseconds kEntryTick{100};
// Nothing heard for so long, a control host may be out of reach; some times
// link::kKeepAliveInterval.
inline constexpr std::chrono::milliseconds kQuietTime{1'000};
// The same for a whole failure domain: a keep-alive and a half have not come. A
// host that takes itself for cut off too early loses nothing by it: the fabric
// asks twice before it turns to others.
inline constexpr std::chrono::milliseconds kReachTimeout{450};
// A host that is cut off with more than this part of its requests to services
// without an upstream in reach leaves its callers to other failure domains.
inline constexpr double kMaxRemotePart = 0.2;
inline constexpr Duration kForgetInterval = std::chrono::seconds(5);
// Troubles with upstreams are told this often, where there were any.
inline constexpr Duration kTroubleInterval = std::chrono::milliseconds(200);

class EntryNode {
 public:
  EntryNode(boost::asio::io_context& io, NodeSettings settings);

  // `on_complete` is called when a feed has told all that it knows.
  void Start(std::function<void()> on_complete);

  // The seeds have changed.
  void OnSeeds(std::vector<Endpoint> links);

  // Ready once the table and the upstreams of a control host are known, and
  // until Leave.
  bool is_ready() const;
  void Leave() { is_leaving_ = true; }

  // Whether the catalog that is held is told by a control host just now.
  bool has_feed() const;
  // Whether it is told by one that hears from a majority, so that it is the
  // newest.
  bool is_current() const;

  steering::TagSteering& steering() { return steering_; }
  const steering::TagSteering& steering() const { return steering_; }

 private:
  struct Feed {
    Endpoint to;
    std::shared_ptr<link::Connector> connector;  // Null: the slot is free.
    std::vector<ControlHost> hosts;              // As this feed tells.
    std::string failure_domain;  // Of the control host; empty: not known.
    bool is_connected = false;
    bool is_greeted = false;   // Asked to tell all that it knows.
    bool is_current = false;   // As this feed tells of itself.
    uint32_t entry_hosts = 0;  // As this feed counts.
    // Of a change of the view that could not be applied; 0: none.
    uint64_t missed_revision = 0;
    Instant lost_deadline;  // Not connected: the feed counts until then.
  };
  // One bit each in steering::FeedMask.
  static constexpr uint32_t kMaxFeeds = 32;

  void Connect(Endpoint to);
  void OnOpen(uint32_t feed);
  void Greet(uint32_t feed, Instant now);
  void GreetFeeds(Instant now);
  void OnClose(uint32_t feed);
  void OnText(uint32_t feed, std::string_view text);
  void OnNews(uint32_t feed, const Message& message);
  void OnRecords(uint32_t feed, const UpstreamRecords& message);
  void OnViewChange(uint32_t feed, const catalog::ViewChange& change);
  void AskForViews();
  void OnSuspects(const SuspectedUpstreams& message);
  void TellTroubles(Instant now);
  void UpdateFeeds();
  void StopFeed(uint32_t feed);
  void Tick();
  void DropLostFeeds(Instant now);
  bool IsCurrent(const Feed& feed) const;
  bool IsToBeAsked(const Feed& feed) const;
  std::vector<FeedReachability> ReachOfFeeds() const;
  void CheckReach(Instant now);
  void CheckPlan(Instant now);
  void CountEntryHosts();
  std::set<ControlHost> KnownHosts() const;

  boost::asio::io_context& io_;
  NodeSettings settings_;
  std::vector<Endpoint> seeds_;  // Links.
  uint64_t feed_seed_ = 0;
  std::set<Endpoint> chosen_;  // To be followed where all are well.
  FeedPlan plan_;
  steering::TagSteering steering_;
  std::array<Feed, kMaxFeeds> feeds_;
  boost::asio::steady_timer timer_;
  std::function<void()> on_complete_;
  Instant forget_deadline_;
  FeedSync greetings_;
  Instant trouble_deadline_;
  bool is_leaving_ = false;
  bool is_out_of_reach_ = false;  // Cut off from what its callers need.
};

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_ENTRY_NODE_H_
