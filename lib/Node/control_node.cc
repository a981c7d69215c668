// Links, feeds and the directory of a control host.

#include "acaciahold/Node/control_node.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include "acaciahold/Json/decode.h"
#include "acaciahold/Observe/event_log.h"

namespace acaciahold::node {
namespace {

namespace asio = boost::asio;
using directory::Change;
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

// Parses and decodes a stored document. Fails with FieldError.
template <typename T>
Result<T> DecodeText(std::string_view text,
                     Result<T> (*decode)(const boost::json::value&)) {
  BOOST_LEAF_AUTO(document, json::Parse(text));
  return decode(document);
}

}  // namespace

ControlNode::ControlNode(asio::io_context& io, NodeSettings settings)
    : io_(io), settings_(std::move(settings)), timer_(io) {
  failure_domains_[settings_.link()] = settings_.failure_domain;
}

Result<std::unique_ptr<ControlNode>> ControlNode::Open(
    asio::io_context& io,
    const NodeSettings& settings) {
  std::unique_ptr<ControlNode> node(new ControlNode(io, settings));
  GroupSettings group;
  group.data_folder = settings.data_folder;
  group.endpoint = settings.link();
  if (settings.founds_group) {
    group.founders = SeedLinks(settings);
  }
  BOOST_LEAF_ASSIGN(node->group_, GroupShell::Open(io, std::move(group),
                                                   node->MakeGroupHandlers()));
  BOOST_LEAF_ASSIGN(node->listener_, link::Listener::Listen(
                                         io, settings.bound_link(),
                                         [self = node.get()](auto session) {
                                           self->OnSession(std::move(session));
                                         }));
  return node;
}

GroupShell::Handlers ControlNode::MakeGroupHandlers() {
  GroupShell::Handlers handlers;
  handlers.send = [this](const auto& message) { SendToGroup(message); };
  handlers.apply = [this](const auto& entry) { Apply(entry); };
  handlers.restore = [this](std::string_view data) { Restore(data); };
  handlers.snapshot = [this] {
    return boost::json::serialize(catalog::ToJson(state_));
  };
  handlers.load_notes = [this](std::string_view notes) { LoadNotes(notes); };
  handlers.on_members = [this] {
    UpdateLinks();
    SendToControlHosts(KnownHosts());
    SendToEntryHosts(KnownHosts());
    TellStanding(ReadClock());
  };
  return handlers;
}

void ControlNode::Start() {
  complete_deadline_ =
      ReadClock() + directory::SilenceTimeout(settings_.announcement_interval);
  UpdateLinks();
  group_->Start();
  Tick();
}

void ControlNode::OnSeeds(std::vector<Endpoint> links) {
  heard_hosts_.hosts.clear();
  for (const auto& link : links) {
    heard_hosts_.hosts.push_back({link, ""});
  }
  UpdateLinks();
}

void ControlNode::Tick() {
  Instant now = ReadClock();
  observe::FlushEventLog();
  if (!refreshes_.refreshments.empty()) {
    SendToControlHosts(std::exchange(refreshes_, {}));
  }
  CheckSilence(now);
  AskToJoin(now);
  TellStanding(now);
  TellEntryHosts(now);
  group_->StoreCommitHint();
  if (std::exchange(has_unstored_news_, false)) {
    group_->StoreNotes(Encode(WholeDirectory(now)));
  }
  if (!is_complete_ && now >= complete_deadline_) {
    SetComplete();
  }
  timer_.expires_after(kRefreshInterval);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      Tick();
    }
  });
}

void ControlNode::CheckSilence(Instant now) {
  auto timeout = directory::SilenceTimeout(settings_.announcement_interval);
  Silences silences{directory::CheckSilence(directory_, timeout, now)};
  for (auto id : silences.ids) {
    LogUpstream(directory_.entries.at(id), "silent");
  }
  if (!silences.ids.empty()) {
    SendToEntryHosts(silences);
  }
  directory::ForgetOld(directory_, now);
}

// A host that is no member, or was taken out unnoticed, has no leader.
void ControlNode::AskToJoin(Instant now) {
  bool has_leader = group_->is_leader() || group_->Leader().has_value();
  if (has_leader || now < join_deadline_) {
    return;
  }
  join_deadline_ = now + kJoinInterval;
  SendToControlHosts(JoinMessage{group_->MakeJoinRequest()});
}

// The directory as others are to take it in, without what is silent.
Records ControlNode::WholeDirectory(Instant now) const {
  Records records;
  records.is_whole = is_complete_;
  for (const auto& [id, entry] : directory_.entries) {
    if (!entry.is_silent) {
      records.records.push_back(directory::CurrentRecord(entry, now));
    }
  }
  return records;
}

// Starts from the upstreams that were known before a restart. Those that have
// left since are silent soon.
void ControlNode::LoadNotes(std::string_view notes) {
  if (notes.empty()) {
    return;
  }
  auto message = DecodeMessage(notes);
  const auto* records = message ? std::get_if<Records>(&*message) : nullptr;
  if (!records) {
    LogEvent(Weight::kNotable, "notes_unreadable", {{"bytes", notes.size()}});
    return;
  }
  for (const auto& record : records->records) {
    directory::Merge(directory_, record, ReadClock());
  }
  is_complete_ = is_complete_ || !records->records.empty();
}

void ControlNode::SetComplete() {
  is_complete_ = true;
  LogEvent(Weight::kNotable, "directory_complete",
           {{"upstreams", directory_.entries.size()}});
  SendToEntryHosts(Complete{});
}

// Incoming links.

void ControlNode::OnSession(std::shared_ptr<link::Session> session) {
  uint64_t id = next_peer_++;
  peers_[id].session = session;
  session->Start(
      {[this, id](std::string_view text) { OnPeerMessage(id, text); },
       [this, id] {
         LogEvent(Weight::kNotable, "peer_lost",
                  {{"peer", peers_[id].hello.name}});
         peers_.erase(id);
       }});
}

void ControlNode::OnPeerMessage(uint64_t peer, std::string_view text) {
  auto message = DecodeMessage(text);
  if (!message) {
    LogEvent(Weight::kNotable, "peer_message_refused",
             {{"peer", peers_[peer].hello.name}});
    return;
  }
  if (const auto* hello = std::get_if<Hello>(&*message)) {
    OnHello(peers_[peer], *hello);
    return;
  }
  if (const auto* troubles = std::get_if<Troubles>(&*message)) {
    OnTroubles(peers_[peer], *troubles);
    return;
  }
  OnHostMessage(*message);
}

void ControlNode::OnHello(Peer& peer, const Hello& hello) {
  peer.hello = hello;
  LogEvent(Weight::kNotable, "peer_opened",
           {{"peer", hello.name}, {"is_control", hello.is_control}});
  if (!hello.is_control) {
    FeedEntryHost(peer);
    return;
  }
  failure_domains_[hello.link] = hello.failure_domain;
  if (!links_.contains(hello.link)) {
    Connect(hello.link);
  }
}

void ControlNode::FeedEntryHost(Peer& peer) {
  Instant now = ReadClock();
  peer.session->Send(Encode(KnownHosts()));
  peer.session->Send(Encode(Standing{told_current_}));
  TellEntryHosts(now);
  peer.session->Send(Encode(EntryCount{told_entry_count_}));
  Records records;
  Silences silences;
  for (const auto& [id, entry] : directory_.entries) {
    records.records.push_back(directory::CurrentRecord(entry, now));
    if (entry.is_silent) {
      silences.ids.push_back(id);
    }
  }
  peer.session->Send(Encode(records));
  peer.session->Send(Encode(silences));
  // After the upstreams, which open flows need; a long table takes a while.
  if (state_.view.revision > peer.hello.revision) {
    peer.session->Send(Encode(state_.view));
  }
  if (is_complete_) {
    peer.session->Send(Encode(Complete{}));
  }
}

// Messages of control hosts, on links of either direction.
void ControlNode::OnHostMessage(const Message& message) {
  if (const auto* log = std::get_if<LogMessage>(&message)) {
    seen_at_[log->message.from] = log->from;
    group_->OnMessage(log->message);
  } else if (const auto* join = std::get_if<JoinMessage>(&message)) {
    OnJoin(*join);
  } else if (const auto* entries = std::get_if<EntryHosts>(&message)) {
    for (const auto& name : entries->names) {
      entry_hosts_[name] = ReadClock() + kEntryHostLease;
    }
    TellEntryHosts(ReadClock());
  } else if (const auto* records = std::get_if<Records>(&message)) {
    OnRecords(*records);
  } else if (const auto* refreshes = std::get_if<Refreshes>(&message)) {
    OnRefreshes(*refreshes);
  } else if (const auto* suspects = std::get_if<Suspects>(&message)) {
    OnSuspects(*suspects);
  } else if (const auto* hosts = std::get_if<Hosts>(&message)) {
    heard_hosts_ = *hosts;
    UpdateLinks();
  }
}

// The leader decides on members; others pass the request on to it.
void ControlNode::OnJoin(const JoinMessage& message) {
  if (group_->is_leader()) {
    group_->OnJoinRequest(message.request);
    return;
  }
  auto leader = OtherLeader();
  auto it = leader ? links_.find(*leader) : links_.end();
  if (it != links_.end()) {
    it->second->Send(Encode(message));
  }
}

void ControlNode::OnRecords(const Records& message) {
  Instant now = ReadClock();
  for (const auto& record : message.records) {
    if (directory::Merge(directory_, record, now) == Change::kChanged) {
      has_unstored_news_ = true;
      LogUpstream(directory_.entries.at(record.id), "told");
      SendToEntryHosts(Records{{record}, false});
    }
  }
  if (message.is_whole && !is_complete_) {
    SetComplete();
  }
}

void ControlNode::OnRefreshes(const Refreshes& message) {
  Instant now = ReadClock();
  for (const auto& refreshment : message.refreshments) {
    if (directory::Refresh(directory_, refreshment, now) != Change::kChanged) {
      continue;
    }
    const auto& entry = directory_.entries.at(refreshment.id);
    LogUpstream(entry, "heard again");
    SendToEntryHosts(Records{{directory::CurrentRecord(entry, now)}, false});
  }
}

// What entry hosts see of upstreams.

void ControlNode::OnTroubles(const Peer& peer, const Troubles& message) {
  Instant now = ReadClock();
  directory::OnTroubles(suspicions_, peer.hello.name, message.troubles, now);
  Suspects suspects{directory::Judge(suspicions_, directory_, now)};
  if (suspects.ids.empty()) {
    return;
  }
  for (auto id : suspects.ids) {
    LogUpstream(directory_.entries.at(id), "suspected");
  }
  SendToEntryHosts(suspects);
  SendToControlHosts(suspects);
}

void ControlNode::OnSuspects(const Suspects& message) {
  Suspects news;
  for (auto id : message.ids) {
    if (directory::OnSuspected(suspicions_, id, ReadClock())) {
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
  if (change == Change::kRefreshed) {
    refreshes_.refreshments.push_back(
        {record.id, record.born_ms, record.sequence});
  } else if (change == Change::kChanged) {
    SpreadRecord(record.id);
  }
}

void ControlNode::OnLeave(directory::UpstreamId id, int64_t born_ms) {
  if (directory::Remove(directory_, id, born_ms, ReadClock()) ==
      Change::kChanged) {
    SpreadRecord(id);
  }
}

void ControlNode::SpreadRecord(directory::UpstreamId id) {
  const auto& entry = directory_.entries.at(id);
  has_unstored_news_ = true;
  LogUpstream(entry, "announced");
  Records news{{directory::CurrentRecord(entry, ReadClock())}, false};
  SendToEntryHosts(news);
  SendToControlHosts(news);
}

// The catalog.

void ControlNode::Submit(const catalog::Command& command,
                         std::function<void(bool)> done) {
  group_->Propose(boost::json::serialize(catalog::ToJson(command)),
                  std::move(done));
}

void ControlNode::ConfirmRead(std::function<void(bool)> done) {
  group_->ConfirmRead(std::move(done));
}

std::optional<Endpoint> ControlNode::OtherLeader() const {
  auto leader = group_->Leader();
  if (!leader || group_->is_leader()) {
    return std::nullopt;
  }
  return leader->admin;
}

void ControlNode::Apply(const consensus::LogEntry& entry) {
  auto command = DecodeText(entry.payload, catalog::CommandFromJson);
  if (!command) {
    LogEvent(Weight::kNotable, "command_unreadable", {{"index", entry.index}});
    return;
  }
  auto revision_before = state_.view.revision;
  catalog::Apply(state_, *command, entry.index);
  if (state_.view.revision == revision_before) {
    return;
  }
  LogEvent(Weight::kNotable, "table_changed",
           {{"revision", state_.view.revision},
            {"version", state_.view.catalog.version},
            {"listeners", state_.view.catalog.listeners.size()},
            {"domains_out", state_.view.domains_out.size()}});
  SpreadView();
}

// Tells entry hosts of the newest view, once for all commands that are applied
// together.
void ControlNode::SpreadView() {
  if (std::exchange(is_view_due_, true)) {
    return;
  }
  asio::post(io_, [this] {
    is_view_due_ = false;
    SendToEntryHosts(state_.view);
  });
}

void ControlNode::Restore(std::string_view data) {
  state_ = {};
  if (data.empty()) {
    return;
  }
  auto state = DecodeText(data, catalog::StateFromJson);
  if (!state) {
    LogEvent(Weight::kNotable, "snapshot_unreadable", {{"bytes", data.size()}});
    return;
  }
  state_ = std::move(*state);
  SpreadView();
}

}  // namespace acaciahold::node
