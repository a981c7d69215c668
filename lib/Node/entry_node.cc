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
  return is_complete_ && !is_leaving_ && steering_.view.catalog.version > 0;
}

bool EntryNode::has_feed() const {
  return std::any_of(feeds_.begin(), feeds_.end(),
                     [](const Feed& feed) { return feed.is_connected; });
}

void EntryNode::Tick() {
  Instant now = ReadClock();
  steering::OnTick(steering_, now);
  DropLostFeeds(now);
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

// Follows the hosts that connected feeds tell of; the seeds where none does.
void EntryNode::UpdateFeeds() {
  std::set<Endpoint> wanted;
  for (const auto& feed : feeds_) {
    wanted.insert(feed.hosts.begin(), feed.hosts.end());
  }
  if (wanted.empty()) {
    wanted.insert(seeds_.begin(), seeds_.end());
  }
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
