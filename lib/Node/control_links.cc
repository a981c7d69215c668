// The links that a control host opens, and what it tells on all links.

#include <algorithm>
#include <set>
#include <utility>

#include "acaciahold/Node/control_node.h"
#include "acaciahold/Observe/event_log.h"
#include "acaciahold/Support/hash.h"

namespace acaciahold::node {
namespace {

using observe::LogEvent;
using observe::Weight;

}  // namespace

void ControlNode::Connect(Endpoint to) {
  auto connector = link::Connector::Create(io_, to);
  links_[to] = connector;
  connector->Start({[this, to] { OnLinkOpen(to); },
                    [this](std::string_view text) {
                      if (auto message = DecodeMessage(text)) {
                        OnHostMessage(*message);
                      }
                    },
                    [to] {
                      LogEvent(Weight::kNotable, "control_host_lost",
                               {{"link", FormatEndpoint(to)}});
                    }});
}

void ControlNode::OnLinkOpen(Endpoint to) {
  LogEvent(Weight::kNotable, "control_host_found",
           {{"link", FormatEndpoint(to)}});
  auto& connector = *links_.at(to);
  connector.Send(Encode(Hello{settings_.name, true, settings_.link(),
                              settings_.failure_domain, state_.view.revision}));
  connector.Send(Encode(WholeDirectory(ReadClock())));
  connector.Send(Encode(FedEntryHosts()));
  if (group_->Leader()) {
    connector.Send(Encode(KnownHosts()));
  }
}

Hosts ControlNode::KnownHosts() const {
  Hosts known;
  for (const auto& member : group_->members()) {
    auto it = failure_domains_.find(member.admin);
    known.hosts.push_back(
        {member.admin, it == failure_domains_.end() ? "" : it->second});
  }
  return known;
}

std::optional<Endpoint> ControlNode::NearerHost(
    const directory::Record& record) const {
  bool is_due = record.sequence <= kFirstAnnouncements ||
                record.sequence % kMoveInterval == 0;
  if (!is_due || record.failure_domain == settings_.failure_domain) {
    return std::nullopt;
  }
  std::optional<Endpoint> nearer;
  uint64_t best = 0;
  for (const auto& [link, connector] : links_) {
    auto domain = failure_domains_.find(link);
    bool is_near = connector->is_open() && domain != failure_domains_.end() &&
                   domain->second == record.failure_domain;
    uint64_t rank = CombineHashes(record.id, PackEndpoint(link));
    if (is_near && (!nearer || rank < best)) {
      nearer = link;
      best = rank;
    }
  }
  return nearer;
}

// Whether a leader with a majority was heard of late.
bool ControlNode::IsCurrent(Instant now) const {
  const auto& replica = group_->replica();
  return replica.leader != 0 &&
         now < replica.last_contact_at + consensus::kElectionTimeoutMin;
}

EntryHosts ControlNode::FedEntryHosts() const {
  EntryHosts fed;
  for (const auto& [id, peer] : peers_) {
    if (!peer.hello.name.empty() && !peer.hello.is_control) {
      fed.names.push_back(peer.hello.name);
    }
  }
  return fed;
}

// Counts entry hosts, and tells the others of those that are fed here.
void ControlNode::TellEntryHosts(Instant now) {
  auto news = TakeNews(census_, FedEntryHosts().names, now);
  if (!news.names.empty()) {
    SendToControlHosts(EntryHosts{std::move(news.names)});
  }
  if (news.count) {
    SendToEntryHosts(EntryCount{*news.count});
  }
}

size_t ControlNode::CountPeers(bool is_control) const {
  return std::count_if(peers_.begin(), peers_.end(), [&](const auto& it) {
    const auto& hello = it.second.hello;
    return !hello.name.empty() && hello.is_control == is_control;
  });
}

void ControlNode::TellStanding(Instant now) {
  if (IsCurrent(now) == told_current_) {
    return;
  }
  told_current_ = !told_current_;
  LogEvent(Weight::kNotable, "standing_changed",
           {{"is_current", told_current_}});
  SendToEntryHosts(Standing{told_current_});
}

// Keeps a link to each member. A host that knows of no leader also tries those
// that it was told of.
void ControlNode::UpdateLinks() {
  std::set<Endpoint> wanted;
  for (const auto& host : KnownHosts().hosts) {
    wanted.insert(host.link);
  }
  bool has_leader = group_->Leader().has_value();
  if (!has_leader) {
    for (const auto& host : heard_hosts_.hosts) {
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
  for (const auto& member : group_->members()) {
    if (member.id == message.to) {
      to = member.admin;
    }
  }
  if (!to && seen_at_.contains(message.to)) {
    to = seen_at_.at(message.to);
  }
  auto it = to ? links_.find(*to) : links_.end();
  if (it != links_.end()) {
    it->second->Send(Encode(LogMessage{settings_.link(), message}));
  }
}

void ControlNode::SendToControlHosts(const Message& message) {
  auto text = Encode(message);
  for (auto& [to, connector] : links_) {
    connector->Send(text);
  }
}

void ControlNode::SendToEntryHosts(const Message& message) {
  std::string text;
  for (auto& [id, peer] : peers_) {
    if (!peer.is_fed) {
      continue;
    }
    if (text.empty()) {
      text = Encode(message);
    }
    peer.session->Send(text);
  }
}

}  // namespace acaciahold::node
