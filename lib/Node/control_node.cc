// Start, periodic work, incoming links and the catalog of a control host.

#include "acaciahold/Node/control_node.h"

#include <utility>

#include <boost/asio/post.hpp>
#include <boost/json.hpp>

#include "acaciahold/Json/decode.h"
#include "acaciahold/Observe/event_log.h"

namespace acaciahold::node {
namespace {

namespace asio = boost::asio;
using observe::EventPriority;
using observe::LogEvent;

// Parses and decodes a stored document. Fails with FieldError.
template <typename T>
Result<T> DecodeText(std::string_view text,
                     Result<T> (*decode)(const boost::json::value&)) {
  BOOST_LEAF_AUTO(document, json::Parse(text));
  return decode(document);
}

}  // namespace

ControlNode::ControlNode(asio::io_context& io, NodeSettings settings)
    : io_(io),
      settings_(std::move(settings)),
      timer_(io),
      update_timer_(io),
      leave_timer_(io),
      load_timer_(io) {
  failure_domains_[settings_.link()] = settings_.failure_domain;
}

Result<std::unique_ptr<ControlNode>> ControlNode::Open(
    asio::io_context& io,
    const NodeSettings& settings) {
  std::unique_ptr<ControlNode> node(new ControlNode(io, settings));
  ReplicaSettings replica_settings;
  replica_settings.data_folder = settings.data_folder;
  replica_settings.endpoint = settings.link();
  replica_settings.tolerated_disk_losses = settings.tolerated_disk_losses;
  if (settings.founds_group) {
    replica_settings.founders = SeedLinks(settings);
  }
  BOOST_LEAF_ASSIGN(node->driver_,
                    ReplicaDriver::Open(io, std::move(replica_settings),
                                        node->MakeDriverHandlers()));
  BOOST_LEAF_ASSIGN(node->listener_, link::Listener::Listen(
                                         io, settings.bound_link(),
                                         [self = node.get()](auto session) {
                                           self->OnSession(std::move(session));
                                         }));
  return node;
}

ReplicaDriver::Handlers ControlNode::MakeDriverHandlers() {
  ReplicaDriver::Handlers handlers;
  handlers.send = [this](const auto& message) { SendToGroup(message); };
  handlers.apply = [this](const auto& entry) { Apply(entry); };
  handlers.restore = [this](std::string_view data) { Restore(data); };
  handlers.snapshot = [this] {
    return boost::json::serialize(catalog::ToJson(state_));
  };
  handlers.load_notes = [this](std::string_view notes) { LoadNotes(notes); };
  handlers.on_member_change = [this] {
    UpdateLinks();
    SendToControlHosts(KnownHosts());
    SendToEntryHosts(KnownHosts());
    SendFeedStatus(ReadClock());
  };
  return handlers;
}

void ControlNode::Start() {
  entry_host_counter_ = MakeEntryHostCounter(ReadClock());
  complete_deadline_ =
      ReadClock() + directory::SilenceTimeout(settings_.announcement_interval);
  load_ = load::MakeLoadExchange(ReadClock());
  UpdateLinks();
  driver_->Start();
  Tick();
  TickLoad();
}

void ControlNode::SetSeeds(std::vector<Endpoint> links) {
  reported_hosts_.hosts.clear();
  for (const auto& link : links) {
    reported_hosts_.hosts.push_back({link, ""});
  }
  UpdateLinks();
}

void ControlNode::Tick() {
  Instant now = ReadClock();
  observe::ReportDroppedLines();
  if (!pending_refreshes_.notices.empty()) {
    SendToControlHosts(std::exchange(pending_refreshes_, {}));
  }
  CheckSilence(now);
  RequestJoin(now);
  SendFeedStatus(now);
  UpdateEntryHostCount(now);
  driver_->StoreCommitHint();
  if (std::exchange(has_unstored_changes_, false)) {
    driver_->StoreNotes(Encode(MakeDirectoryRecords(now)));
  }
  if (!is_complete_ && now >= complete_deadline_) {
    MarkComplete();
  }
  timer_.expires_after(kRefreshInterval);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      Tick();
    }
  });
}

// A host that is not a member, or was removed without noticing, knows no
// leader.
void ControlNode::RequestJoin(Instant now) {
  bool has_leader = driver_->is_leader() || driver_->Leader().has_value();
  if (has_leader || leave_ || now < join_deadline_) {
    return;
  }
  join_deadline_ = now + kJoinRequestInterval;
  SendToControlHosts(JoinMessage{driver_->MakeJoinRequest()});
}

// Returns the records to send to other control hosts or to store. Leaves out
// silent upstreams.
UpstreamRecords ControlNode::MakeDirectoryRecords(Instant now) const {
  UpstreamRecords records;
  records.is_whole = is_complete_;
  for (const auto& [id, entry] : directory_.entries) {
    if (!entry.is_silent) {
      records.records.push_back(directory::CurrentRecord(entry, now));
    }
  }
  return records;
}

// Restores the upstreams that were known before a restart. Those that have left
// since then are soon marked as silent.
void ControlNode::LoadNotes(std::string_view notes) {
  if (notes.empty()) {
    return;
  }
  auto message = DecodeMessage(notes);
  const auto* records =
      message ? std::get_if<UpstreamRecords>(&*message) : nullptr;
  if (!records) {
    LogEvent(EventPriority::kNotable, "notes_unreadable",
             {{"bytes", notes.size()}});
    return;
  }
  for (const auto& record : records->records) {
    directory::Merge(directory_, record, ReadClock());
  }
  is_complete_ = is_complete_ || !records->records.empty();
}

void ControlNode::MarkComplete() {
  is_complete_ = true;
  LogEvent(EventPriority::kNotable, "directory_complete",
           {{"upstreams", directory_.entries.size()}});
  SendToEntryHosts(SyncComplete{});
}

// Incoming links.

void ControlNode::OnSession(std::shared_ptr<link::Session> session) {
  uint64_t id = next_peer_++;
  peers_[id].session = session;
  session->Start(
      {[this, id](std::string_view bytes) { OnPeerMessage(id, bytes); },
       [this, id] {
         LogEvent(EventPriority::kNotable, "peer_lost",
                  {{"peer", peers_[id].hello.name}});
         peers_.erase(id);
       }});
}

void ControlNode::OnPeerMessage(uint64_t peer, std::string_view bytes) {
  auto message = DecodeMessage(bytes);
  if (!message) {
    LogEvent(EventPriority::kNotable, "peer_message_refused",
             {{"peer", peers_[peer].hello.name}});
    return;
  }
  if (const auto* hello = std::get_if<Hello>(&*message)) {
    OnHello(peer, *hello);
    return;
  }
  if (std::get_if<ViewRequest>(&*message)) {
    SendFullView(peers_[peer]);
    return;
  }
  if (const auto* report = std::get_if<FailureReport>(&*message)) {
    OnFailureReport(peers_[peer], *report);
    return;
  }
  if (const auto* load = std::get_if<LoadReport>(&*message)) {
    OnLoadReport(peers_[peer], *load);
    return;
  }
  if (const auto* sums = std::get_if<LoadSums>(&*message)) {
    OnLoadSums(peers_[peer], *sums);
    return;
  }
  OnControlMessage(*message);
}

void ControlNode::OnHello(uint64_t peer, const Hello& hello) {
  peers_[peer].hello = hello;
  LogEvent(EventPriority::kNotable, "peer_opened",
           {{"peer", hello.name}, {"is_control", hello.is_control}});
  if (!hello.is_control) {
    QueueSync(peer);
    return;
  }
  failure_domains_[hello.link] = hello.failure_domain;
  if (!links_.contains(hello.link)) {
    Connect(hello.link);
  }
}

// Handles messages of control hosts on links opened by either side.
void ControlNode::OnControlMessage(const Message& message) {
  if (const auto* log = std::get_if<LogMessage>(&message)) {
    replica_links_[log->message.from] = log->from;
    driver_->OnMessage(log->message);
  } else if (const auto* join = std::get_if<JoinMessage>(&message)) {
    OnJoin(*join);
  } else if (const auto* leave = std::get_if<LeaveMessage>(&message)) {
    OnLeaveMessage(*leave);
  } else if (const auto* answer = std::get_if<LeaveAnswerMessage>(&message)) {
    OnLeaveAnswer(*answer);
  } else if (const auto* entries = std::get_if<EntryHosts>(&message)) {
    RenewEntryHostLeases(entry_host_counter_, entries->names, ReadClock());
    if (entries->understand_flow_tags) {
      NoteFlowTagReaders(entry_host_counter_, entries->names,
                         *entries->understand_flow_tags);
    }
  } else if (const auto* records = std::get_if<UpstreamRecords>(&message)) {
    OnRecords(*records);
  } else if (const auto* refreshes = std::get_if<RefreshNotices>(&message)) {
    OnRefreshes(*refreshes);
  } else if (const auto* suspects = std::get_if<SuspectedUpstreams>(&message)) {
    OnSuspects(*suspects);
  } else if (const auto* hosts = std::get_if<ControlHosts>(&message)) {
    reported_hosts_ = *hosts;
    UpdateLinks();
  }
}

// Only the leader decides on members; other hosts forward the request to it.
void ControlNode::OnJoin(const JoinMessage& message) {
  if (driver_->is_leader()) {
    driver_->OnJoinRequest(message.request);
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
  driver_->Propose(boost::json::serialize(catalog::ToJson(command)),
                   std::move(done));
}

void ControlNode::ConfirmRead(std::function<void(bool)> done) {
  driver_->ConfirmRead(std::move(done));
}

std::optional<Endpoint> ControlNode::OtherLeader() const {
  auto leader = driver_->Leader();
  if (!leader || driver_->is_leader()) {
    return std::nullopt;
  }
  return leader->endpoint;
}

void ControlNode::Apply(const consensus::LogEntry& entry) {
  auto command = DecodeText(entry.payload, catalog::CommandFromJson);
  if (!command) {
    LogEvent(EventPriority::kNotable, "command_unreadable",
             {{"index", entry.index}});
    return;
  }
  auto revision_before = state_.view.revision;
  catalog::Apply(state_, *command, entry.index);
  if (state_.view.revision == revision_before) {
    return;
  }
  LogEvent(EventPriority::kNotable, "table_changed",
           {{"revision", state_.view.revision},
            {"version", state_.view.catalog.version},
            {"listeners", state_.view.catalog.listeners.size()},
            {"domains_out", state_.view.domains_out.size()}});
  ScheduleViewChange();
}

void ControlNode::Restore(std::string_view data) {
  state_ = {};
  if (data.empty()) {
    return;
  }
  auto state = DecodeText(data, catalog::StateFromJson);
  if (!state) {
    LogEvent(EventPriority::kNotable, "snapshot_unreadable",
             {{"bytes", data.size()}});
    return;
  }
  state_ = std::move(*state);
  ScheduleViewChange();
}

}  // namespace acaciahold::node
