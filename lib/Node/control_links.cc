// The links that a control host opens, and the messages that it sends on all
// links.

#include <algorithm>
#include <set>
#include <span>
#include <string>
#include <utility>

#include "acaciahold/Node/control_node.h"
#include "acaciahold/Observe/event_log.h"
#include "acaciahold/Support/hash.h"

namespace acaciahold::node {
namespace {

using observe::EventPriority;
using observe::LogEvent;

}  // namespace

void ControlNode::Connect(Endpoint to) {
  auto connector = link::Connector::Create(io_, to);
  links_[to] = connector;
  connector->Start({[this, to] { OnLinkOpen(to); },
                    [this](std::string_view bytes) {
                      if (auto message = DecodeMessage(bytes)) {
                        OnControlMessage(*message);
                      }
                    },
                    [to] {
                      LogEvent(EventPriority::kNotable, "control_host_lost",
                               {{"link", FormatEndpoint(to)}});
                    }});
}

void ControlNode::OnLinkOpen(Endpoint to) {
  LogEvent(EventPriority::kNotable, "control_host_found",
           {{"link", FormatEndpoint(to)}});
  auto& connector = *links_.at(to);
  connector.Send(Encode(Hello{.name = settings_.name,
                              .is_control = true,
                              .link = settings_.link(),
                              .failure_domain = settings_.failure_domain,
                              .revision = state_.view.revision,
                              .understands_load = true}));
  connector.Send(Encode(MakeDirectoryRecords(ReadClock())));
  for (const auto& report : MakeEntryHostReports(ConnectedEntryHosts())) {
    connector.Send(Encode(report));
  }
  if (driver_->Leader()) {
    connector.Send(Encode(KnownHosts()));
  }
}

ControlHosts ControlNode::KnownHosts() const {
  ControlHosts known;
  for (const auto& member : driver_->members()) {
    auto it = failure_domains_.find(member.endpoint);
    known.hosts.push_back(
        {member.endpoint, it == failure_domains_.end() ? "" : it->second});
  }
  return known;
}

std::optional<Endpoint> ControlNode::FindRedirectTarget(
    const directory::Record& record) const {
  bool is_due = record.sequence <= kInitialRedirects ||
                record.sequence % kRedirectInterval == 0;
  if (!is_due || record.failure_domain == settings_.failure_domain) {
    return std::nullopt;
  }
  std::optional<Endpoint> target;
  uint64_t best_rank = 0;
  for (const auto& [link, connector] : links_) {
    auto domain = failure_domains_.find(link);
    bool is_in_domain = connector->is_open() &&
                        domain != failure_domains_.end() &&
                        domain->second == record.failure_domain;
    uint64_t rank = CombineHashes(record.id, PackEndpoint(link));
    if (is_in_domain && (!target || rank < best_rank)) {
      target = link;
      best_rank = rank;
    }
  }
  return target;
}

// Whether this host recently had contact with a leader that has a majority.
bool ControlNode::IsCurrent(Instant now) const {
  const auto& replica = driver_->replica();
  return replica.leader != 0 &&
         now < replica.last_contact_at + consensus::kElectionTimeoutMin;
}

std::vector<std::string> ControlNode::ConnectedEntryHosts() const {
  std::vector<std::string> names;
  for (const auto& [id, peer] : peers_) {
    if (!peer.hello.name.empty() && !peer.hello.is_control) {
      names.push_back(peer.hello.name);
    }
  }
  return names;
}

// Returns the reports on these entry hosts for other control hosts: one on
// those that understand flow tags, one on the others.
std::vector<EntryHosts> ControlNode::MakeEntryHostReports(
    std::span<const std::string> names) const {
  EntryHosts readers{{}, true};
  EntryHosts others{{}, false};
  for (const auto& name : names) {
    bool is_reader = entry_host_counter_.flow_tag_readers.contains(name);
    (is_reader ? readers : others).names.push_back(name);
  }
  std::vector<EntryHosts> reports;
  for (auto* it : {&readers, &others}) {
    if (!it->names.empty()) {
      reports.push_back(std::move(*it));
    }
  }
  return reports;
}

void ControlNode::NoteConnectedFlowTagReaders(Instant now) {
  for (const auto& [id, peer] : peers_) {
    const auto& hello = peer.hello;
    if (!hello.name.empty() && !hello.is_control) {
      RenewEntryHostLeases(entry_host_counter_, std::span(&hello.name, 1), now);
      NoteFlowTagReaders(entry_host_counter_, std::span(&hello.name, 1),
                         hello.understands_flow_tags);
    }
  }
}

// Updates the count of entry hosts, and reports those connected here to the
// other control hosts.
void ControlNode::UpdateEntryHostCount(Instant now) {
  NoteConnectedFlowTagReaders(now);
  auto update = TakeUpdate(entry_host_counter_, ConnectedEntryHosts(), now);
  for (const auto& report : MakeEntryHostReports(update.names)) {
    SendToControlHosts(report);
  }
  if (update.count) {
    SendToEntryHosts(
        EntryHostCount{*update.count, entry_host_counter_.sent_support});
  }
}

size_t ControlNode::CountPeers(bool is_control) const {
  return std::count_if(peers_.begin(), peers_.end(), [&](const auto& it) {
    const auto& hello = it.second.hello;
    return !hello.name.empty() && hello.is_control == is_control;
  });
}

void ControlNode::SendFeedStatus(Instant now) {
  if (IsCurrent(now) == sent_is_current_) {
    return;
  }
  sent_is_current_ = !sent_is_current_;
  LogEvent(EventPriority::kNotable, "standing_changed",
           {{"is_current", sent_is_current_}});
  SendToEntryHosts(FeedStatus{sent_is_current_});
}

// Keeps a link to each member. A host that knows no leader also connects to the
// seeds and to hosts that others reported.
void ControlNode::UpdateLinks() {
  std::set<Endpoint> wanted;
  for (const auto& host : KnownHosts().hosts) {
    wanted.insert(host.link);
  }
  bool has_leader = driver_->Leader().has_value();
  if (!has_leader) {
    for (const auto& host : reported_hosts_.hosts) {
      wanted.insert(host.link);
    }
    auto seeds = SeedLinks(settings_);
    wanted.insert(seeds.begin(), seeds.end());
  }
  wanted.erase(settings_.link());
  for (auto it = links_.begin(); it != links_.end();) {
    bool is_kept =
        !has_leader || wanted.contains(it->first) || it->second->is_open();
    if (is_kept) {
      ++it;
      continue;
    }
    it->second->Stop();
    it = links_.erase(it);
  }
  for (const auto& link : wanted) {
    if (!links_.contains(link)) {
      Connect(link);
    }
  }
}

void ControlNode::SendToGroup(const consensus::Message& message) {
  std::optional<Endpoint> to;
  for (const auto& member : driver_->members()) {
    if (member.id == message.to) {
      to = member.endpoint;
    }
  }
  if (!to && replica_links_.contains(message.to)) {
    to = replica_links_.at(message.to);
  }
  auto it = to ? links_.find(*to) : links_.end();
  if (it != links_.end()) {
    it->second->Send(Encode(LogMessage{settings_.link(), message}));
  }
}

void ControlNode::SendToControlHosts(const Message& message) {
  auto bytes = Encode(message);
  for (auto& [to, connector] : links_) {
    connector->Send(bytes);
  }
}

void ControlNode::SendToEntryHosts(const Message& message) {
  std::string bytes;
  for (auto& [id, peer] : peers_) {
    if (!peer.is_synced) {
      continue;
    }
    if (bytes.empty()) {
      bytes = Encode(message);
    }
    peer.session->Send(bytes);
  }
}

}  // namespace acaciahold::node
