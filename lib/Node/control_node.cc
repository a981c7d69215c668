// Links, feeds and the directory of a control host.

#include "acaciahold/Node/control_node.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include "acaciahold/Json/decode.h"
#include "acaciahold/Observe/event_log.h"

namespace acaciahold::node {
namespace {

namespace asio = boost::asio;
using observe::LogEvent;
using observe::Weight;

// Parses and decodes a stored document. Fails with FieldError.
template <typename T>
Result<T> DecodeText(std::string_view text,
                     Result<T> (*decode)(const boost::json::value&)) {
  BOOST_LEAF_AUTO(document, json::Parse(text));
  return decode(document);
}

}  // namespace

ControlNode::ControlNode(asio::io_context& io, NodeSettings settings)
    : io_(io), settings_(std::move(settings)), timer_(io), news_timer_(io) {
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
  census_ = MakeEntryHostCounter(ReadClock());
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
  if (!refreshes_.notices.empty()) {
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
UpstreamRecords ControlNode::WholeDirectory(Instant now) const {
  UpstreamRecords records;
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
  const auto* records =
      message ? std::get_if<UpstreamRecords>(&*message) : nullptr;
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
    OnHello(peer, *hello);
    return;
  }
  if (std::get_if<ViewRequest>(&*message)) {
    SendWholeView(peers_[peer]);
    return;
  }
  if (const auto* troubles = std::get_if<Troubles>(&*message)) {
    OnFailureReport(peers_[peer], *troubles);
    return;
  }
  OnHostMessage(*message);
}

void ControlNode::OnHello(uint64_t peer, const Hello& hello) {
  peers_[peer].hello = hello;
  LogEvent(Weight::kNotable, "peer_opened",
           {{"peer", hello.name}, {"is_control", hello.is_control}});
  if (!hello.is_control) {
    FeedLater(peer);
    return;
  }
  failure_domains_[hello.link] = hello.failure_domain;
  if (!links_.contains(hello.link)) {
    Connect(hello.link);
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
    RenewEntryHostLeases(census_, entries->names, ReadClock());
  } else if (const auto* records = std::get_if<UpstreamRecords>(&message)) {
    OnRecords(*records);
  } else if (const auto* refreshes = std::get_if<RefreshNotices>(&message)) {
    OnRefreshes(*refreshes);
  } else if (const auto* suspects = std::get_if<SuspectedUpstreams>(&message)) {
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
