// Feeds of an entry host.

#include "acaciahold/Node/entry_node.h"

#include <algorithm>
#include <set>

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
      steering_(steering::MakeTagSteering(settings_.failure_domain,
                                          SeedOf(settings_))),
      timer_(io) {}

void EntryNode::Start() {
  UpdateFeeds();
  Tick();
}

void EntryNode::OnSeeds(std::vector<Endpoint> links) {
  seeds_ = std::move(links);
  UpdateFeeds();
}

bool EntryNode::is_ready() const {
  return is_complete_ && !is_leaving_ && !is_out_of_reach_ &&
         steering_.view.catalog.version > 0;
}

bool EntryNode::has_feed() const {
  return std::any_of(feeds_.begin(), feeds_.end(),
                     [](const Feed& feed) { return feed.is_connected; });
}

void EntryNode::Tick() {
  Instant now = ReadClock();
  steering::OnTick(steering_, now);
  DropLostFeeds(now);
  CheckReach(now);
  if (now >= forget_deadline_) {
    forget_deadline_ = now + kForgetInterval;
    steering::ForgetUpstreams(steering_, now);
  }
  timer_.expires_after(kEntryTick);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      Tick();
    }
  });
}

bool EntryNode::IsCutOff() const {
  auto heard = std::count_if(
      feeds_.begin(), feeds_.end(), [](const Feed& feed) {
        return feed.is_connected && feed.connector->IsHeard(kQuietTime);
      });
  return heard * 2 <= std::ssize(KnownHosts());
}

void EntryNode::CheckReach(Instant now) {
  bool is_cut_off = is_complete_ && IsCutOff();
  if (is_cut_off != steering_.is_cut_off) {
    steering_.is_cut_off = is_cut_off;
    LogEvent(Weight::kNotable, "reach_changed", {{"is_cut_off", is_cut_off}});
  }
  double remote_part =
      is_cut_off ? steering::RemotePart(steering_, now) : 0.0;
  bool is_out_of_reach =
      is_cut_off && (is_out_of_reach_ || remote_part > kMaxRemotePart);
  if (is_out_of_reach != is_out_of_reach_) {
    is_out_of_reach_ = is_out_of_reach;
    LogEvent(Weight::kNotable, "readiness_changed",
             {{"is_out_of_reach", is_out_of_reach},
              {"remote_part", remote_part}});
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
  LogEvent(Weight::kNotable, "feed_refused",
           {{"link", FormatEndpoint(to)}, {"reason", "too many control hosts"}});
}

void EntryNode::OnOpen(uint32_t feed) {
  feeds_[feed].is_connected = true;
  LogEvent(Weight::kNotable, "feed_regained",
           {{"link", FormatEndpoint(feeds_[feed].to)}});
  feeds_[feed].connector->Send(Encode(Hello{settings_.name, false, {}}));
  steering::OnFeedBegin(steering_, feed);
}

void EntryNode::OnClose(uint32_t feed) {
  feeds_[feed].is_connected = false;
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
  OnNews(feed, *message);
}

void EntryNode::OnNews(uint32_t feed, const Message& message) {
  if (const auto* records = std::get_if<Records>(&message)) {
    OnRecords(feed, *records);
  } else if (const auto* silences = std::get_if<Silences>(&message)) {
    for (auto id : silences->ids) {
      if (steering::OnSilence(steering_, feed, id, ReadClock())) {
        LogEvent(Weight::kNotable, "upstream_silent", {{"upstream", id}});
      }
    }
  } else if (const auto* hosts = std::get_if<Hosts>(&message)) {
    feeds_[feed].hosts = hosts->links;
    UpdateFeeds();
  } else if (std::get_if<Complete>(&message)) {
    steering::OnFeedComplete(steering_, feed);
    is_complete_ = true;
  } else if (const auto* view = std::get_if<catalog::View>(&message)) {
    if (steering::OnView(steering_, *view)) {
      LogEvent(Weight::kNotable, "table_changed",
               {{"revision", view->revision},
                {"version", view->catalog.version},
                {"listeners", view->catalog.listeners.size()},
                {"domains_out", view->domains_out.size()},
                {"feed", FormatEndpoint(feeds_[feed].to)}});
    }
  }
}

void EntryNode::OnRecords(uint32_t feed, const Records& message) {
  Instant now = ReadClock();
  for (const auto& record : message.records) {
    if (steering::OnRecord(steering_, feed, record, now)) {
      LogEvent(Weight::kNotable, "upstream_changed",
               {{"upstream", record.id},
                {"service", record.service},
                {"endpoint", FormatEndpoint(record.endpoint)},
                {"phase", directory::PhaseName(record.phase)},
                {"sequence", record.sequence},
                {"cold_ms", record.cold_ms}});
    }
  }
}

// The hosts that feeds tell of; the seeds where none does.
std::set<Endpoint> EntryNode::KnownHosts() const {
  std::set<Endpoint> hosts;
  for (const auto& feed : feeds_) {
    hosts.insert(feed.hosts.begin(), feed.hosts.end());
  }
  if (hosts.empty()) {
    hosts.insert(seeds_.begin(), seeds_.end());
  }
  return hosts;
}

void EntryNode::UpdateFeeds() {
  auto wanted = KnownHosts();
  for (auto& feed : feeds_) {
    bool is_over = feed.connector && !feed.is_connected &&
                   feed.lost_deadline == Instant() &&
                   !wanted.contains(feed.to);
    if (is_over) {
      feed.connector->Stop();
      feed = {};
    } else if (feed.connector) {
      wanted.erase(feed.to);
    }
  }
  for (const auto& to : wanted) {
    Connect(to);
  }
}

}  // namespace acaciahold::node
