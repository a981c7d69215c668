// The feeds of an entry host.

#include "acaciahold/Node/entry_node.h"

#include <algorithm>
#include <set>
#include <utility>

#include "acaciahold/Observe/event_log.h"
#include "acaciahold/Support/hash.h"

namespace acaciahold::node {
namespace {

namespace asio = boost::asio;
using observe::EventPriority;
using observe::LogEvent;

uint64_t MakeSteeringSeed(const NodeSettings& settings) {
  return CombineHashes(HashText(settings.name),
                       static_cast<uint64_t>(ToUnixMillis(ReadClock())));
}

}  // namespace

EntryNode::EntryNode(asio::io_context& io, NodeSettings settings)
    : io_(io),
      settings_(std::move(settings)),
      seeds_(SeedLinks(settings_)),
      feed_choice_seed_(HashText(settings_.name)),
      steering_(steering::MakeTagSteering(settings_.failure_domain,
                                          MakeSteeringSeed(settings_))),
      timer_(io) {}

void EntryNode::Start(std::function<void()> on_sync_complete) {
  on_sync_complete_ = std::move(on_sync_complete);
  UpdateFeeds();
  Tick();
}

void EntryNode::SetSeeds(std::vector<Endpoint> links) {
  seeds_ = std::move(links);
  UpdateFeeds();
}

bool EntryNode::is_ready() const {
  return steering_.has_synced_feed && !is_shutting_down_ && !is_withdrawn_ &&
         steering_.view.catalog.version > 0;
}

bool EntryNode::has_feed() const {
  return std::any_of(feeds_.begin(), feeds_.end(),
                     [](const Feed& feed) { return feed.is_connected; });
}

bool EntryNode::hears_feed() const {
  return std::any_of(feeds_.begin(), feeds_.end(), [](const Feed& feed) {
    return feed.is_connected &&
           feed.connector->HasReceivedWithin(kCurrentFeedTimeout);
  });
}

bool EntryNode::is_current() const {
  return std::any_of(feeds_.begin(), feeds_.end(),
                     [this](const Feed& feed) { return IsCurrent(feed); });
}

void EntryNode::Tick() {
  Instant now = ReadClock();
  observe::ReportDroppedLines();
  steering::OnTick(steering_, now);
  RemoveLostFeeds(now);
  StartSyncs(now);
  RequestMissingViews();
  SendFailureReport(now);
  ReportLoad(now);
  UpdateFeedPlan(now);
  UpdateReachability(now);
  ResetStrandedFlows(now);
  if (now >= cleanup_deadline_) {
    cleanup_deadline_ = now + kCleanupInterval;
    steering::RemoveOldUpstreams(steering_, now);
  }
  timer_.expires_after(kEntryTickInterval);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      Tick();
    }
  });
}

void EntryNode::ResetStrandedFlows(Instant now) {
  for (const auto& it : steering::TakeStrandedFlows(steering_, now)) {
    if (on_stranded_) {
      on_stranded_(it);
    }
  }
}

bool EntryNode::IsCurrent(const Feed& feed) const {
  return feed.is_connected && feed.is_current &&
         feed.connector->HasReceivedWithin(kCurrentFeedTimeout);
}

// Whether the feed is reachable and only waits for its turn to be synchronized.
bool EntryNode::IsAwaitingSync(const Feed& feed) const {
  return feed.is_connected && !feed.is_sync_requested &&
         feed.connector->HasReceivedWithin(kCurrentFeedTimeout);
}

std::vector<FeedReachability> EntryNode::FeedReachabilities() const {
  std::vector<FeedReachability> reachabilities;
  for (const auto& feed : feeds_) {
    bool is_reachable = feed.is_connected &&
                        feed.connector->HasReceivedWithin(kReachabilityTimeout);
    reachabilities.push_back({feed.failure_domain, is_reachable});
  }
  return reachabilities;
}

void EntryNode::UpdateFeedPlan(Instant now) {
  auto current =
      std::count_if(feeds_.begin(), feeds_.end(), [&](const Feed& feed) {
        return (IsCurrent(feed) || IsAwaitingSync(feed)) &&
               chosen_feeds_.contains(feed.to);
      });
  if (UpdatePlan(feed_plan_, chosen_feeds_.size(), static_cast<size_t>(current),
                 now)) {
    LogEvent(EventPriority::kNotable, "feeds_changed",
             {{"follows_all", feed_plan_.follows_all}, {"current", current}});
    UpdateFeeds();
  }
}

// Uses the highest count that a connected feed reported. Without a connected
// feed the count is 0, and this host sends no flows to cold upstreams.
void EntryNode::UpdateEntryHostCount() {
  uint32_t count = 0;
  for (const auto& feed : feeds_) {
    if (feed.is_connected) {
      count = std::max(count, feed.entry_hosts);
    }
  }
  steering_.entry_hosts = count;
}

// Writes flow tags unless a connected feed reports hosts that don't understand
// them. Keeps to the last decision while no feed knows.
void EntryNode::UpdateFlowTagSupport() {
  std::vector<FlowTagSupport> reports;
  for (const auto& feed : feeds_) {
    if (feed.is_connected) {
      reports.push_back(feed.flow_tag_support);
    }
  }
  auto support = CombineFlowTagSupport(reports);
  bool writes_flow_tags = support == FlowTagSupport::kAll;
  if (support == FlowTagSupport::kUnknown ||
      writes_flow_tags == steering_.writes_flow_tags) {
    return;
  }
  steering_.writes_flow_tags = writes_flow_tags;
  LogEvent(EventPriority::kNotable, "flow_tags_changed",
           {{"writes_flow_tags", writes_flow_tags}});
}

void EntryNode::UpdateReachability(Instant now) {
  auto reachabilities = FeedReachabilities();
  steering_.hears_feed = hears_feed();
  steering_.domains_without_control =
      UnreachableDomains(reachabilities, settings_.failure_domain);
  bool is_cut_off = steering_.has_synced_feed &&
                    IsCutOff(reachabilities, settings_.failure_domain);
  steering_.digests.is_cut_off = is_cut_off;
  if (is_cut_off != steering_.is_cut_off) {
    steering_.is_cut_off = is_cut_off;
    LogEvent(EventPriority::kNotable, "reach_changed",
             {{"is_cut_off", is_cut_off}});
  }
  double remote_fraction =
      is_cut_off ? steering::RemoteRequestFraction(steering_, now) : 0.0;
  bool should_withdraw =
      is_cut_off && (is_withdrawn_ || remote_fraction > kMaxRemoteFraction);
  if (should_withdraw != is_withdrawn_) {
    is_withdrawn_ = should_withdraw;
    LogEvent(EventPriority::kNotable, "readiness_changed",
             {{"is_out_of_reach", should_withdraw},
              {"remote_part", remote_fraction}});
  }
}

void EntryNode::RemoveLostFeeds(Instant now) {
  for (uint32_t i = 0; i < kMaxFeeds; ++i) {
    auto& feed = feeds_[i];
    bool is_due = feed.connector && !feed.is_connected &&
                  feed.removal_deadline != Instant() &&
                  now >= feed.removal_deadline;
    if (is_due) {
      feed.removal_deadline = Instant();
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
         [this, i](std::string_view bytes) { OnMessageBytes(i, bytes); },
         [this, i] { OnClose(i); }});
    return;
  }
  LogEvent(
      EventPriority::kNotable, "feed_refused",
      {{"link", FormatEndpoint(to)}, {"reason", "too many control hosts"}});
}

void EntryNode::OnOpen(uint32_t feed) {
  feeds_[feed].is_connected = true;
  LogEvent(EventPriority::kNotable, "feed_regained",
           {{"link", FormatEndpoint(feeds_[feed].to)}});
  StartSyncs(ReadClock());
}

void EntryNode::StartSync(uint32_t feed, Instant now) {
  feeds_[feed].is_sync_requested = true;
  OnSyncStarted(sync_, feed, now);
  bool has_complete_state = steering_.has_synced_feed;
  feeds_[feed].connector->Send(Encode(
      Hello{.name = settings_.name,
            .failure_domain = settings_.failure_domain,
            .revision = steering_.view.revision,
            .directory_digest =
                has_complete_state ? directory::Digest(steering_.directory) : 0,
            .understands_load = true,
            .understands_flow_tags = true}));
  steering::OnFeedBegin(steering_, feed);
}

// Requests the complete state from connected feeds, one at a time.
void EntryNode::StartSyncs(Instant now) {
  for (uint32_t i = 0; i < kMaxFeeds && CanStartSync(sync_, now); ++i) {
    if (feeds_[i].is_connected && !feeds_[i].is_sync_requested) {
      StartSync(i, now);
    }
  }
}

void EntryNode::OnClose(uint32_t feed) {
  feeds_[feed].is_connected = false;
  feeds_[feed].is_sync_requested = false;
  feeds_[feed].is_current = false;
  feeds_[feed].understands_reports = false;
  feeds_[feed].flow_tag_support = FlowTagSupport::kUnknown;
  OnSyncEnded(sync_, feed);
  UpdateEntryHostCount();
  UpdateFlowTagSupport();
  feeds_[feed].removal_deadline = ReadClock() + kFeedTimeout;
  LogEvent(EventPriority::kNotable, "feed_lost",
           {{"link", FormatEndpoint(feeds_[feed].to)}});
}

void EntryNode::OnMessageBytes(uint32_t feed, std::string_view bytes) {
  auto message = DecodeMessage(bytes);
  if (!message) {
    LogEvent(EventPriority::kNotable, "feed_message_refused",
             {{"link", FormatEndpoint(feeds_[feed].to)}});
    return;
  }
  OnFeedMessage(sync_, feed, ReadClock());
  OnMessage(feed, *message);
}

void EntryNode::OnMessage(uint32_t feed, const Message& message) {
  if (const auto* records = std::get_if<UpstreamRecords>(&message)) {
    OnRecords(feed, *records);
  } else if (const auto* silences = std::get_if<SilentUpstreams>(&message)) {
    for (auto id : silences->ids) {
      if (steering::OnSilence(steering_, feed, id, ReadClock())) {
        LogEvent(EventPriority::kNotable, "upstream_silent",
                 {{"upstream", id}});
      }
    }
  } else if (const auto* hosts = std::get_if<ControlHosts>(&message)) {
    feeds_[feed].hosts = hosts->hosts;
    UpdateFeeds();
  } else if (const auto* status = std::get_if<FeedStatus>(&message)) {
    feeds_[feed].is_current = status->is_current;
  } else if (const auto* entries = std::get_if<EntryHostCount>(&message)) {
    feeds_[feed].entry_hosts = entries->count;
    feeds_[feed].flow_tag_support = entries->flow_tag_support;
    UpdateEntryHostCount();
    UpdateFlowTagSupport();
  } else if (const auto* suspects = std::get_if<SuspectedUpstreams>(&message)) {
    OnSuspects(*suspects);
  } else if (std::get_if<SameDirectory>(&message)) {
    steering::OnSameDirectory(steering_, feed);
  } else if (std::get_if<SyncComplete>(&message)) {
    steering::OnFeedComplete(steering_, feed);
    OnSyncEnded(sync_, feed);
    StartSyncs(ReadClock());
    on_sync_complete_();
  } else if (const auto* change = std::get_if<catalog::ViewChange>(&message)) {
    OnViewChange(feed, *change);
  } else if (const auto* digest = std::get_if<LoadDigest>(&message)) {
    OnLoadDigest(feed, *digest);
  }
}

void EntryNode::OnViewChange(uint32_t feed, const catalog::ViewChange& change) {
  auto view = catalog::ApplyChange(steering_.view, change);
  const auto& held = view ? *view : steering_.view;
  // See RequestMissingViews. A whole view has all terms that this host can
  // read.
  if (change.base_revision != 0 && catalog::LacksTerms(held, change)) {
    feeds_[feed].missed_terms = change.listeners_with_terms;
  }
  if (!view) {
    // The change is outdated, or another feed may deliver the missing ones.
    feeds_[feed].missed_revision =
        std::max(feeds_[feed].missed_revision, change.revision);
    return;
  }
  LogEvent(EventPriority::kNotable, "table_changed",
           {{"revision", view->revision},
            {"version", view->catalog.version},
            {"listeners", view->catalog.listeners.size()},
            {"listeners_with_terms",
             catalog::CountListenersWithTerms(view->catalog)},
            {"domains_out", view->domains_out.size()},
            {"feed", FormatEndpoint(feeds_[feed].to)}});
  steering::OnView(steering_, std::move(*view));
}

// Requests the whole view from feeds whose changes could not be applied, or
// that know terms which the view lacks.
void EntryNode::RequestMissingViews() {
  for (auto& feed : feeds_) {
    auto missed = std::exchange(feed.missed_revision, 0);
    auto missed_terms = std::exchange(feed.missed_terms, 0);
    bool lacks_terms =
        missed_terms > 0 &&
        missed_terms > catalog::CountListenersWithTerms(steering_.view.catalog);
    bool is_behind = missed > steering_.view.revision;
    if (feed.is_connected && (is_behind || lacks_terms)) {
      LogEvent(EventPriority::kNotable, "table_behind",
               {{"revision", steering_.view.revision},
                {"missed", missed},
                {"feed", FormatEndpoint(feed.to)}});
      feed.connector->Send(Encode(ViewRequest{steering_.view.revision}));
    }
  }
}

void EntryNode::OnSuspects(const SuspectedUpstreams& message) {
  for (auto id : message.ids) {
    LogEvent(EventPriority::kNotable, "upstream_suspected", {{"upstream", id}});
    steering::SuspectUpstream(steering_, id, directory::kSuspicionDuration,
                              ReadClock());
  }
}

void EntryNode::SendFailureReport(Instant now) {
  if (now < failure_report_deadline_) {
    return;
  }
  failure_report_deadline_ = now + kFailureReportInterval;
  FailureReport report{steering::TakeFailures(steering_)};
  if (report.failures.empty()) {
    return;
  }
  auto bytes = Encode(report);
  for (const auto& feed : feeds_) {
    if (feed.is_connected) {
      feed.connector->Send(bytes);
    }
  }
}

void EntryNode::OnRecords(uint32_t feed, const UpstreamRecords& message) {
  Instant now = ReadClock();
  for (const auto& record : message.records) {
    if (steering::OnRecord(steering_, feed, record, now)) {
      LogEvent(EventPriority::kNotable, "upstream_changed",
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

// Returns the control hosts that feeds reported, or the seeds if none did.
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
  chosen_feeds_ =
      ChooseFeeds(known, settings_.failure_domain, feed_choice_seed_);
  auto wanted = chosen_feeds_;
  if (feed_plan_.follows_all) {
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
    // While connecting to all control hosts, keeps every feed that is
    // connected.
    bool is_kept = feed_plan_.follows_all && feed.is_connected;
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
  OnSyncEnded(sync_, feed);
  UpdateFlowTagSupport();
  steering::OnFeedLost(steering_, feed, ReadClock());
}

}  // namespace acaciahold::node
