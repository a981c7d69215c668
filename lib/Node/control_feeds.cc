// The directory of a control host, and its synchronization of entry hosts: a
// new one is sent the complete state, then only changes.

#include <utility>

#include <boost/asio/post.hpp>

#include "acaciahold/Node/control_node.h"
#include "acaciahold/Observe/event_log.h"

namespace acaciahold::node {
namespace {

namespace asio = boost::asio;
using directory::UpdateResult;
using observe::EventPriority;
using observe::LogEvent;

void LogUpstream(const directory::Entry& entry, std::string_view outcome) {
  const auto& record = entry.record;
  LogEvent(EventPriority::kNotable, "upstream_changed",
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

void ControlNode::QueueSync(uint64_t peer) {
  sync_queue_.push_back(peer);
  if (sync_queue_.size() == 1) {
    asio::post(io_, [this] { SyncNext(); });
  }
}

void ControlNode::SyncNext() {
  auto it = peers_.find(sync_queue_.front());
  sync_queue_.pop_front();
  if (it != peers_.end()) {
    SyncEntryHost(it->second);
  }
  if (!sync_queue_.empty()) {
    asio::post(io_, [this] { SyncNext(); });
  }
}

void ControlNode::SyncEntryHost(Peer& peer) {
  peer.is_synced = true;
  peer.session->Send(Encode(KnownHosts()));
  peer.session->Send(Encode(FeedStatus{sent_is_current_}));
  peer.session->Send(Encode(EntryHostCount{entry_host_counter_.sent_count,
                                           entry_host_counter_.sent_support}));
  bool is_directory_equal =
      peer.hello.directory_digest != 0 &&
      peer.hello.directory_digest == directory::Digest(directory_);
  if (is_directory_equal) {
    peer.session->Send(Encode(SameDirectory{}));
  } else {
    SendDirectory(peer);
  }
  // Sent after the upstreams, which open flows need: a large table takes a
  // while to transfer.
  if (state_.view.revision > peer.hello.revision) {
    SendFullView(peer);
  }
  SendFirstDigest(peer);
  if (is_complete_) {
    peer.session->Send(Encode(SyncComplete{}));
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

void ControlNode::SendFullView(const Peer& peer) {
  peer.session->Send(Encode(catalog::FullViewChange(state_.view)));
}

void ControlNode::OnRecords(const UpstreamRecords& message) {
  Instant now = ReadClock();
  for (const auto& record : message.records) {
    if (directory::Merge(directory_, record, now) == UpdateResult::kChanged) {
      has_unstored_changes_ = true;
      LogUpstream(directory_.entries.at(record.id), "told");
      QueueUpdate(record.id);
    }
  }
  if (message.is_whole && !is_complete_) {
    MarkComplete();
  }
}

void ControlNode::OnRefreshes(const RefreshNotices& message) {
  Instant now = ReadClock();
  for (const auto& notice : message.notices) {
    if (directory::Refresh(directory_, notice, now) != UpdateResult::kChanged) {
      continue;
    }
    LogUpstream(directory_.entries.at(notice.id), "heard again");
    QueueUpdate(notice.id);
  }
}

// Failures of upstreams that entry hosts observed.

void ControlNode::OnFailureReport(const Peer& peer,
                                  const FailureReport& message) {
  Instant now = ReadClock();
  directory::OnFailureReport(failure_detector_, peer.hello.name,
                             message.failures, now);
  SuspectedUpstreams suspects{
      directory::FindNewSuspects(failure_detector_, directory_, now)};
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
  SuspectedUpstreams new_suspects;
  for (auto id : message.ids) {
    if (directory::MarkSuspected(failure_detector_, id, ReadClock())) {
      new_suspects.ids.push_back(id);
    }
  }
  if (!new_suspects.ids.empty()) {
    SendToEntryHosts(new_suspects);
  }
}

// Messages of upstreams.

void ControlNode::OnAnnouncement(const directory::Record& record) {
  Instant now = ReadClock();
  auto change = directory::Merge(directory_, record, now);
  if (change == UpdateResult::kRefreshed) {
    pending_refreshes_.notices.push_back(
        {record.id, record.born_ms, record.sequence, record.phase});
  } else if (change == UpdateResult::kChanged) {
    PublishRecord(record.id);
  }
}

void ControlNode::OnDeparture(directory::UpstreamId id, int64_t born_ms) {
  if (directory::Remove(directory_, id, born_ms, ReadClock()) ==
      UpdateResult::kChanged) {
    PublishRecord(id);
  }
}

void ControlNode::PublishRecord(directory::UpstreamId id) {
  has_unstored_changes_ = true;
  LogUpstream(directory_.entries.at(id), "announced");
  control_host_updates_.insert(id);
  QueueUpdate(id);
}

void ControlNode::QueueUpdate(directory::UpstreamId id) {
  bool is_first = entry_host_updates_.empty();
  entry_host_updates_.insert(id);
  if (!is_first) {
    return;
  }
  update_timer_.expires_after(kUpdateBatchDelay);
  update_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      SendQueuedUpdates();
    }
  });
}

void ControlNode::SendQueuedUpdates() {
  auto to_control_hosts =
      CurrentRecords(std::exchange(control_host_updates_, {}));
  if (!to_control_hosts.records.empty()) {
    SendToControlHosts(to_control_hosts);
  }
  auto to_entry_hosts = CurrentRecords(std::exchange(entry_host_updates_, {}));
  if (!to_entry_hosts.records.empty()) {
    SendToEntryHosts(to_entry_hosts);
  }
}

// Returns the current records of `ids`, except those that were removed from the
// directory in the meantime.
UpstreamRecords ControlNode::CurrentRecords(
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

// Sends entry hosts the newest view, once for all commands that are applied in
// the same event-loop turn.
void ControlNode::ScheduleViewChange() {
  if (std::exchange(is_view_change_scheduled_, true)) {
    return;
  }
  asio::post(io_, [this] {
    is_view_change_scheduled_ = false;
    SendViewChange();
  });
}

void ControlNode::SendViewChange() {
  if (state_.view.revision <= sent_view_.revision) {
    return;  // A restarted replica may have an older view than before.
  }
  SendToEntryHosts(catalog::DiffViews(sent_view_, state_.view));
  sent_view_ = state_.view;
}

}  // namespace acaciahold::node
