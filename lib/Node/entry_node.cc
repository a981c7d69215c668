// Feeds of an entry host.

#include "acaciahold/Node/entry_node.h"

#include <algorithm>
#include <set>
#include <utility>

#include "acaciahold/Observe/event_log.h"
#include "acaciahold/Support/hash.h"

namespace acaciahold::node {
namespace {

namespace asio = boost::asio;
using observe::LogEvent;
using observe::Weight;

uint64_t SeedOf(const NodeSettings& settings) {
  return CombineHashes(HashText(settings.name),
                       static_cast<uint64_t>(ToUnixMillis(ReadClock())));
}

}  // namespace

EntryNode::EntryNode(asio::io_context& io, NodeSettings settings)
    : io_(io),
      settings_(std::move(settings)),
      seeds_(SeedLinks(settings_)),
      feed_seed_(HashText(settings_.name)),
      steering_(steering::MakeTagSteering(settings_.failure_domain,
                                          SeedOf(settings_))),
      timer_(io) {}

void EntryNode::Start(std::function<void()> on_complete) {
  on_complete_ = std::move(on_complete);
  UpdateFeeds();
  Tick();
}

void EntryNode::OnSeeds(std::vector<Endpoint> links) {
  seeds_ = std::move(links);
  UpdateFeeds();
}

bool EntryNode::is_ready() const {
  return steering_.has_synced_feed && !is_leaving_ && !is_out_of_reach_ &&
         steering_.view.catalog.version > 0;
}

bool EntryNode::has_feed() const {
  return std::any_of(feeds_.begin(), feeds_.end(),
                     [](const Feed& feed) { return feed.is_connected; });
}

bool EntryNode::is_current() const {
  return std::any_of(feeds_.begin(), feeds_.end(),
                     [this](const Feed& feed) { return IsCurrent(feed); });
}

void EntryNode::Tick() {
  Instant now = ReadClock();
  observe::FlushEventLog();
  steering::OnTick(steering_, now);
  DropLostFeeds(now);
  GreetFeeds(now);
  AskForViews();
  TellTroubles(now);
  CheckPlan(now);
  CheckReach(now);
  if (now >= forget_deadline_) {
    forget_deadline_ = now + kForgetInterval;
    steering::RemoveOldUpstreams(steering_, now);
  }
  timer_.expires_after(kEntryTick);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      Tick();
    }
  });
}

bool EntryNode::IsCurrent(const Feed& feed) const {
  return feed.is_connected && feed.is_current &&
         feed.connector->IsHeard(kQuietTime);
}

// Whether the feed is in reach and only waits for its greeting.
bool EntryNode::IsToBeAsked(const Feed& feed) const {
  return feed.is_connected && !feed.is_greeted &&
         feed.connector->IsHeard(kQuietTime);
}

std::vector<FeedReachability> EntryNode::ReachOfFeeds() const {
  std::vector<FeedReachability> reach;
  for (const auto& feed : feeds_) {
    bool is_heard = feed.is_connected && feed.connector->IsHeard(kReachTimeout);
    reach.push_back({feed.failure_domain, is_heard});
  }
  return reach;
}

void EntryNode::CheckPlan(Instant now) {
  auto current =
      std::count_if(feeds_.begin(), feeds_.end(), [&](const Feed& feed) {
        return (IsCurrent(feed) || IsToBeAsked(feed)) &&
               chosen_.contains(feed.to);
      });
  if (UpdatePlan(plan_, chosen_.size(), static_cast<size_t>(current), now)) {
    LogEvent(Weight::kNotable, "feeds_changed",
             {{"follows_all", plan_.follows_all}, {"current", current}});
    UpdateFeeds();
  }
}

// The most that a connected feed counts. A host without a feed uses no part of
// what cold upstreams bear.
void EntryNode::CountEntryHosts() {
  uint32_t count = 0;
  for (const auto& feed : feeds_) {
    if (feed.is_connected) {
      count = std::max(count, feed.entry_hosts);
    }
  }
  steering_.entry_hosts = count;
}

void EntryNode::CheckReach(Instant now) {
  auto reach = ReachOfFeeds();
  steering_.domains_without_control =
      UnreachableDomains(reach, settings_.failure_domain);
  bool is_cut_off =
      steering_.has_synced_feed && IsCutOff(reach, settings_.failure_domain);
  if (is_cut_off != steering_.is_cut_off) {
    steering_.is_cut_off = is_cut_off;
    LogEvent(Weight::kNotable, "reach_changed", {{"is_cut_off", is_cut_off}});
  }
  double remote_part =
      is_cut_off ? steering::RemoteRequestFraction(steering_, now) : 0.0;
  bool is_out_of_reach =
      is_cut_off && (is_out_of_reach_ || remote_part > kMaxRemotePart);
  if (is_out_of_reach != is_out_of_reach_) {
    is_out_of_reach_ = is_out_of_reach;
    LogEvent(
        Weight::kNotable, "readiness_changed",
        {{"is_out_of_reach", is_out_of_reach}, {"remote_part", remote_part}});
  }
}

void EntryNode::DropLostFeeds(Instant now) {
  for (uint32_t i = 0; i < kMaxFeeds; ++i) {
    auto& feed = feeds_[i];
    bool is_due = feed.connector && !feed.is_connected &&
                  feed.lost_deadline != Instant() && now >= feed.lost_deadline;
    if (is_due) {
      feed.lost_deadline = Instant();
      feed.hosts.clear();
      steering::OnFeedLost(steering_, i, now);
      UpdateFeeds();
    }
  }
}

void EntryNode::Connect(Endpoint to) {
  for (uint32_t i = 0; i < kMaxFeeds; ++i) {
    if (feeds_[i].connector) {
      continue;
    }
    feeds_[i] = {};
    feeds_[i].to = to;
    feeds_[i].connector = link::Connector::Create(io_, to);
    feeds_[i].connector->Start(
        {[this, i] { OnOpen(i); },
         [this, i](std::string_view text) { OnText(i, text); },
         [this, i] { OnClose(i); }});
    return;
  }
  LogEvent(
      Weight::kNotable, "feed_refused",
      {{"link", FormatEndpoint(to)}, {"reason", "too many control hosts"}});
}

void EntryNode::OnOpen(uint32_t feed) {
  feeds_[feed].is_connected = true;
  LogEvent(Weight::kNotable, "feed_regained",
           {{"link", FormatEndpoint(feeds_[feed].to)}});
  GreetFeeds(ReadClock());
}

void EntryNode::Greet(uint32_t feed, Instant now) {
  feeds_[feed].is_greeted = true;
  OnSyncStarted(greetings_, feed, now);
  bool knows_all = steering_.has_synced_feed;
  feeds_[feed].connector->Send(
      Encode(Hello{settings_.name,
                   false,
                   {},
                   settings_.failure_domain,
                   steering_.view.revision,
                   knows_all ? directory::Digest(steering_.directory) : 0}));
  steering::OnFeedBegin(steering_, feed);
}

// Asks connected feeds to tell what they know, one after the other.
void EntryNode::GreetFeeds(Instant now) {
  for (uint32_t i = 0; i < kMaxFeeds && CanStartSync(greetings_, now); ++i) {
    if (feeds_[i].is_connected && !feeds_[i].is_greeted) {
      Greet(i, now);
    }
  }
}

void EntryNode::OnClose(uint32_t feed) {
  feeds_[feed].is_connected = false;
  feeds_[feed].is_greeted = false;
  feeds_[feed].is_current = false;
  OnSyncEnded(greetings_, feed);
  CountEntryHosts();
  feeds_[feed].lost_deadline = ReadClock() + kFeedTimeout;
  LogEvent(Weight::kNotable, "feed_lost",
           {{"link", FormatEndpoint(feeds_[feed].to)}});
}

void EntryNode::OnText(uint32_t feed, std::string_view text) {
  auto message = DecodeMessage(text);
  if (!message) {
    LogEvent(Weight::kNotable, "feed_message_refused",
             {{"link", FormatEndpoint(feeds_[feed].to)}});
    return;
  }
  OnFeedMessage(greetings_, feed, ReadClock());
  OnNews(feed, *message);
}

void EntryNode::OnNews(uint32_t feed, const Message& message) {
  if (const auto* records = std::get_if<UpstreamRecords>(&message)) {
    OnRecords(feed, *records);
  } else if (const auto* silences = std::get_if<SilentUpstreams>(&message)) {
    for (auto id : silences->ids) {
      if (steering::OnSilence(steering_, feed, id, ReadClock())) {
        LogEvent(Weight::kNotable, "upstream_silent", {{"upstream", id}});
      }
    }
  } else if (const auto* hosts = std::get_if<Hosts>(&message)) {
    feeds_[feed].hosts = hosts->hosts;
    UpdateFeeds();
  } else if (const auto* standing = std::get_if<Standing>(&message)) {
    feeds_[feed].is_current = standing->is_current;
  } else if (const auto* entries = std::get_if<EntryCount>(&message)) {
    feeds_[feed].entry_hosts = entries->count;
    CountEntryHosts();
  } else if (const auto* suspects = std::get_if<SuspectedUpstreams>(&message)) {
    OnSuspects(*suspects);
  } else if (std::get_if<SameDirectory>(&message)) {
    steering::OnSameDirectory(steering_, feed);
  } else if (std::get_if<Complete>(&message)) {
    steering::OnFeedComplete(steering_, feed);
    OnSyncEnded(greetings_, feed);
    GreetFeeds(ReadClock());
    on_complete_();
  } else if (const auto* change = std::get_if<catalog::ViewChange>(&message)) {
    OnViewChange(feed, *change);
  }
}

void EntryNode::OnViewChange(uint32_t feed, const catalog::ViewChange& change) {
  auto view = catalog::ApplyChange(steering_.view, change);
  if (!view) {
    // Old news, or another feed brings what is missing; see AskForViews.
    feeds_[feed].missed_revision =
        std::max(feeds_[feed].missed_revision, change.revision);
    return;
  }
  LogEvent(Weight::kNotable, "table_changed",
           {{"revision", view->revision},
            {"version", view->catalog.version},
            {"listeners", view->catalog.listeners.size()},
            {"domains_out", view->domains_out.size()},
            {"feed", FormatEndpoint(feeds_[feed].to)}});
  steering::OnView(steering_, std::move(*view));
}

// Asks for the whole view where changes are missing.
void EntryNode::AskForViews() {
  for (auto& feed : feeds_) {
    auto missed = std::exchange(feed.missed_revision, 0);
    if (feed.is_connected && missed > steering_.view.revision) {
      LogEvent(Weight::kNotable, "table_behind",
               {{"revision", steering_.view.revision},
                {"missed", missed},
                {"feed", FormatEndpoint(feed.to)}});
      feed.connector->Send(Encode(ViewRequest{steering_.view.revision}));
    }
  }
}

void EntryNode::OnSuspects(const SuspectedUpstreams& message) {
  for (auto id : message.ids) {
    LogEvent(Weight::kNotable, "upstream_suspected", {{"upstream", id}});
    steering::SuspectUpstream(steering_, id, directory::kSuspicionDuration,
                              ReadClock());
  }
}

void EntryNode::TellTroubles(Instant now) {
  if (now < trouble_deadline_) {
    return;
  }
  trouble_deadline_ = now + kTroubleInterval;
  Troubles troubles{steering::TakeFailures(steering_)};
  if (troubles.troubles.empty()) {
    return;
  }
  auto text = Encode(troubles);
  for (const auto& feed : feeds_) {
    if (feed.is_connected) {
      feed.connector->Send(text);
    }
  }
}

void EntryNode::OnRecords(uint32_t feed, const UpstreamRecords& message) {
  Instant now = ReadClock();
  for (const auto& record : message.records) {
    if (steering::OnRecord(steering_, feed, record, now)) {
      LogEvent(Weight::kNotable, "upstream_changed",
               {{"upstream", record.id},
                {"service", record.service},
                {"endpoint", FormatEndpoint(record.endpoint)},
                {"phase", directory::PhaseName(record.phase)},
                {"born_ms", record.born_ms},
                {"sequence", record.sequence},
                {"cold_ms", record.cold_ms}});
    }
  }
}

// The hosts that feeds tell of; the seeds where none does.
std::set<ControlHost> EntryNode::KnownHosts() const {
  std::map<Endpoint, std::string> domains;
  for (const auto& feed : feeds_) {
    for (const auto& host : feed.hosts) {
      auto& domain = domains[host.link];
      domain = domain.empty() ? host.failure_domain : domain;
    }
  }
  if (domains.empty()) {
    for (const auto& seed : seeds_) {
      domains[seed];
    }
  }
  std::set<ControlHost> hosts;
  for (const auto& [link, domain] : domains) {
    hosts.insert({link, domain});
  }
  return hosts;
}

void EntryNode::UpdateFeeds() {
  auto known = KnownHosts();
  chosen_ = ChooseFeeds(known, settings_.failure_domain, feed_seed_);
  auto wanted = chosen_;
  if (plan_.follows_all) {
    for (const auto& host : known) {
      wanted.insert(host.link);
    }
  }
  for (auto& feed : feeds_) {
    for (const auto& host : known) {
      feed.failure_domain =
          host.link == feed.to ? host.failure_domain : feed.failure_domain;
    }
  }
  for (uint32_t i = 0; i < kMaxFeeds; ++i) {
    auto& feed = feeds_[i];
    if (!feed.connector || wanted.erase(feed.to) > 0) {
      continue;
    }
    // While others are looked for, what still tells something is kept.
    bool is_kept = plan_.follows_all && feed.is_connected;
    if (!is_kept) {
      StopFeed(i);
    }
  }
  for (const auto& to : wanted) {
    Connect(to);
  }
}

void EntryNode::StopFeed(uint32_t feed) {
  feeds_[feed].connector->Stop();
  feeds_[feed] = {};
  OnSyncEnded(greetings_, feed);
  steering::OnFeedLost(steering_, feed, ReadClock());
}

}  // namespace acaciahold::node
