// The directory of a control host, and what it tells entry hosts: all that is
// known to a new one, then changes alone.

#include <utility>

#include <boost/asio/post.hpp>

#include "acaciahold/Node/control_node.h"
#include "acaciahold/Observe/event_log.h"

namespace acaciahold::node {
namespace {

namespace asio = boost::asio;
using directory::UpdateResult;
using observe::LogEvent;
using observe::Weight;

void LogUpstream(const directory::Entry& entry, std::string_view outcome) {
  const auto& record = entry.record;
  LogEvent(Weight::kNotable, "upstream_changed",
           {{"upstream", record.id},
            {"service", record.service},
            {"endpoint", FormatEndpoint(record.endpoint)},
            {"failure_domain", record.failure_domain},
            {"phase", directory::PhaseName(record.phase)},
            {"born_ms", record.born_ms},
            {"sequence", record.sequence},
            {"outcome", outcome}});
}

}  // namespace

void ControlNode::FeedLater(uint64_t peer) {
  unfed_.push_back(peer);
  if (unfed_.size() == 1) {
    asio::post(io_, [this] { FeedNext(); });
  }
}

void ControlNode::FeedNext() {
  auto it = peers_.find(unfed_.front());
  unfed_.pop_front();
  if (it != peers_.end()) {
    FeedEntryHost(it->second);
  }
  if (!unfed_.empty()) {
    asio::post(io_, [this] { FeedNext(); });
  }
}

void ControlNode::FeedEntryHost(Peer& peer) {
  peer.is_fed = true;
  peer.session->Send(Encode(KnownHosts()));
  peer.session->Send(Encode(Standing{told_current_}));
  peer.session->Send(Encode(EntryCount{census_.sent_count}));
  bool is_known = peer.hello.directory_digest != 0 &&
                  peer.hello.directory_digest == directory::Digest(directory_);
  if (is_known) {
    peer.session->Send(Encode(SameDirectory{}));
  } else {
    SendDirectory(peer);
  }
  // After the upstreams, which open flows need; a long table takes a while.
  if (state_.view.revision > peer.hello.revision) {
    SendWholeView(peer);
  }
  if (is_complete_) {
    peer.session->Send(Encode(Complete{}));
  }
}

void ControlNode::SendDirectory(const Peer& peer) {
  Instant now = ReadClock();
  UpstreamRecords records;
  SilentUpstreams silences;
  for (const auto& [id, entry] : directory_.entries) {
    records.records.push_back(directory::CurrentRecord(entry, now));
    if (entry.is_silent) {
      silences.ids.push_back(id);
    }
  }
  peer.session->Send(Encode(records));
  peer.session->Send(Encode(silences));
}

void ControlNode::SendWholeView(const Peer& peer) {
  peer.session->Send(Encode(catalog::FullViewChange(state_.view)));
}

void ControlNode::OnRecords(const UpstreamRecords& message) {
  Instant now = ReadClock();
  for (const auto& record : message.records) {
    if (directory::Merge(directory_, record, now) == UpdateResult::kChanged) {
      has_unstored_news_ = true;
      LogUpstream(directory_.entries.at(record.id), "told");
      GatherNews(record.id);
    }
  }
  if (message.is_whole && !is_complete_) {
    SetComplete();
  }
}

void ControlNode::OnRefreshes(const RefreshNotices& message) {
  Instant now = ReadClock();
  for (const auto& refreshment : message.notices) {
    if (directory::Refresh(directory_, refreshment, now) !=
        UpdateResult::kChanged) {
      continue;
    }
    LogUpstream(directory_.entries.at(refreshment.id), "heard again");
    GatherNews(refreshment.id);
  }
}

// What entry hosts see of upstreams.

void ControlNode::OnFailureReport(const Peer& peer, const Troubles& message) {
  Instant now = ReadClock();
  directory::OnFailureReport(suspicions_, peer.hello.name, message.troubles,
                             now);
  SuspectedUpstreams suspects{
      directory::FindNewSuspects(suspicions_, directory_, now)};
  if (suspects.ids.empty()) {
    return;
  }
  for (auto id : suspects.ids) {
    LogUpstream(directory_.entries.at(id), "suspected");
  }
  SendToEntryHosts(suspects);
  SendToControlHosts(suspects);
}

void ControlNode::OnSuspects(const SuspectedUpstreams& message) {
  SuspectedUpstreams news;
  for (auto id : message.ids) {
    if (directory::MarkSuspected(suspicions_, id, ReadClock())) {
      news.ids.push_back(id);
    }
  }
  if (!news.ids.empty()) {
    SendToEntryHosts(news);
  }
}

// Upstreams.

void ControlNode::OnAnnouncement(const directory::Record& record) {
  Instant now = ReadClock();
  auto change = directory::Merge(directory_, record, now);
  if (change == UpdateResult::kRefreshed) {
    refreshes_.notices.push_back(
        {record.id, record.born_ms, record.sequence, record.phase});
  } else if (change == UpdateResult::kChanged) {
    SpreadRecord(record.id);
  }
}

void ControlNode::OnLeave(directory::UpstreamId id, int64_t born_ms) {
  if (directory::Remove(directory_, id, born_ms, ReadClock()) ==
      UpdateResult::kChanged) {
    SpreadRecord(id);
  }
}

void ControlNode::SpreadRecord(directory::UpstreamId id) {
  has_unstored_news_ = true;
  LogUpstream(directory_.entries.at(id), "announced");
  control_news_.insert(id);
  GatherNews(id);
}

void ControlNode::GatherNews(directory::UpstreamId id) {
  bool is_first = entry_news_.empty();
  entry_news_.insert(id);
  if (!is_first) {
    return;
  }
  news_timer_.expires_after(kGatherTime);
  news_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      SendNews();
    }
  });
}

void ControlNode::SendNews() {
  auto to_control_hosts = RecordsOf(std::exchange(control_news_, {}));
  if (!to_control_hosts.records.empty()) {
    SendToControlHosts(to_control_hosts);
  }
  auto to_entry_hosts = RecordsOf(std::exchange(entry_news_, {}));
  if (!to_entry_hosts.records.empty()) {
    SendToEntryHosts(to_entry_hosts);
  }
}

// As of now, without those that were forgotten meanwhile.
UpstreamRecords ControlNode::RecordsOf(
    const std::set<directory::UpstreamId>& ids) const {
  Instant now = ReadClock();
  UpstreamRecords records;
  for (auto id : ids) {
    auto it = directory_.entries.find(id);
    if (it != directory_.entries.end()) {
      records.records.push_back(directory::CurrentRecord(it->second, now));
    }
  }
  return records;
}

void ControlNode::CheckSilence(Instant now) {
  auto timeout = directory::SilenceTimeout(settings_.announcement_interval);
  SilentUpstreams silences{directory::CheckSilence(directory_, timeout, now)};
  for (auto id : silences.ids) {
    LogUpstream(directory_.entries.at(id), "silent");
  }
  if (!silences.ids.empty()) {
    SendToEntryHosts(silences);
  }
  directory::RemoveExpiredEntries(directory_, now);
}

// The catalog.

// Tells entry hosts of the newest view, once for all commands that are applied
// together.
void ControlNode::SpreadView() {
  if (std::exchange(is_view_due_, true)) {
    return;
  }
  asio::post(io_, [this] {
    is_view_due_ = false;
    SendViewChange();
  });
}

void ControlNode::SendViewChange() {
  if (state_.view.revision <= told_view_.revision) {
    return;  // A replica that starts again may know less than before.
  }
  SendToEntryHosts(catalog::DiffViews(told_view_, state_.view));
  told_view_ = state_.view;
}

}  // namespace acaciahold::node
