// Events of an entry host, and the plan that follows from them.

#include "acaciahold/Entry/entry.h"

#include <algorithm>

#include "acaciahold/Support/hash.h"
#include "entry_state.h"

namespace acaciahold::entry {
namespace {

using membership::HostId;

constexpr size_t kMaxUpstreamsPerProbe = 10;
constexpr size_t kIpAndUdpBytes = 28;

wire::Gossip MakeGossip(ControlState& control, membership::Probe probe) {
  wire::Gossip gossip;
  gossip.probe = std::move(probe);
  gossip.table_revision = control.table.revision;
  gossip.registry_digest = control.registry.digest;
  gossip.upstreams =
      upstream::TakePendingRecords(control.registry, kMaxUpstreamsPerProbe);
  return gossip;
}

void SendProbes(Entry& entry, membership::Output output, Actions& actions) {
  entry.control.is_plan_outdated |= output.view_changed;
  for (auto& it : output.probes) {
    SendTo(entry, it.to, MakeGossip(entry.control, std::move(it.probe)),
           actions);
  }
}

const membership::Member* FindMember(const ControlState& control, HostId id) {
  auto it = control.membership.members.find(id);
  return it == control.membership.members.end() ? nullptr : &it->second;
}

// What a probe says of its sender's knowledge may be news to this host.
void CompareWith(ControlState& control,
                 const wire::Gossip& gossip,
                 Instant now,
                 Actions& actions) {
  const auto* sender = FindMember(control, gossip.probe.from);
  if (!sender) {
    return;
  }
  Endpoint admin = sender->latest_update.host.admin;
  if (gossip.table_revision > control.table.revision) {
    actions.pull_tables.push_back(admin);
  }
  if (gossip.registry_digest == control.registry.digest) {
    control.registry_pull_deadline = now + kRegistryPullDelay;
  } else if (now >= control.registry_pull_deadline) {
    // The news has not brought the two together: pull everything.
    control.registry_pull_deadline = now + kRegistryPullDelay;
    actions.pull_registries.push_back(admin);
  }
}

void HandleGossip(Entry& entry,
                  const wire::Gossip& gossip,
                  Endpoint from,
                  Instant now,
                  Actions& actions) {
  auto& control = entry.control;
  for (const auto& record : gossip.upstreams) {
    control.is_plan_outdated |= upstream::Merge(control.registry, record, now);
  }
  SendProbes(entry,
             membership::OnProbe(control.membership, gossip.probe, from, now),
             actions);
  CompareWith(control, gossip, now, actions);
}

// The host that judges the upstream; 0 where its failure domain has none.
HostId CoordinatorOf(const ControlState& control,
                     const upstream::Key& key,
                     std::string_view failure_domain) {
  if (!control.plan) {
    return control.membership.self.id;
  }
  auto route = steering::RankHosts(control.plan->hosts,
                                   CombineHashes(HashText(key.service), key.id),
                                   failure_domain);
  return HostAt(*control.plan, route.owner);
}

void HandleAnnouncement(Entry& entry,
                        const upstream::Announcement& announcement,
                        Instant now) {
  entry.control.is_plan_outdated |=
      upstream::OnAnnouncement(entry.control.registry, announcement, now);
}

// Whether the later plan has a host that the earlier one has not.
bool HasAdded(const steering::Plan& earlier, const steering::Plan& later) {
  return std::any_of(
      later.hosts.begin(), later.hosts.end(),
      [&](const auto& host) { return !steering::HasHost(earlier, host.id); });
}

// Asks all peers, or only those that are new in the view and may know flows
// of buckets that this host holds.
void StartPulls(ControlState& control,
                const steering::Plan* before,
                bool needs_all,
                Instant now) {
  auto& pulls = control.pulls;
  pulls.is_running = true;
  pulls.retry_deadline = now;
  if (needs_all) {
    pulls.waiting_for.clear();
  }
  for (const auto& host : control.plan->hosts) {
    bool is_asked = needs_all || !steering::HasHost(*before, host.id);
    if (is_asked && host.id != control.membership.self.id) {
      pulls.waiting_for.insert(host.id);
    }
  }
}

void DropUnusedCells(ControlState& control) {
  std::erase_if(control.cells, [&](const auto& it) {
    return !control.registry.entries.contains(it.first);
  });
  std::erase_if(control.shares, [&](const auto& it) {
    return !control.registry.entries.contains(it.first);
  });
}

void Replan(Entry& entry, Instant now) {
  auto& control = entry.control;
  auto members = membership::Snapshot(control.membership);
  steering::PlanInputs inputs{&control.table, &control.registry, members,
                              control.membership.self.id,
                              control.membership.is_leaving};
  auto before = control.plan;
  DropUnusedCells(control);
  control.plan = steering::BuildPlan(inputs, control.cells,
                                     before ? before->epoch + 1 : 1);
  control.is_plan_outdated = false;
  control.replan_deadline = now + kReplanInterval;
  bool has_new_view = !before || before->view != control.plan->view;
  if (before && has_new_view) {
    ResetLinks(entry);
    upstream::ExtendSilenceDeadlines(control.registry, now);
  }
  bool has_added = before && has_new_view && HasAdded(*before, *control.plan);
  bool needs_pull = false;
  for (auto& shard : entry.shards) {
    std::lock_guard lock(shard.mutex);
    needs_pull |= steering::OnPlan(shard, control.plan, now);
    shard.is_uniting |= has_added;
  }
  FollowPlan(control, now);
  bool was_running = control.pulls.is_running;
  if (has_added || (needs_pull && (has_new_view || !was_running))) {
    StartPulls(control, before.get(), needs_pull, now);
  } else if (!was_running) {
    control.known_view = control.plan->view;
  }
}

void FinishPulls(Entry& entry, Instant now) {
  auto& pulls = entry.control.pulls;
  std::vector<uint64_t> held(pulls.held_by_peers.begin(),
                             pulls.held_by_peers.end());
  for (auto& shard : entry.shards) {
    std::lock_guard lock(shard.mutex);
    steering::OnPullsDone(shard, held, now);
  }
  pulls = {};
  entry.control.known_view = entry.control.plan->view;
}

void ContinuePulls(Entry& entry, Instant now, Actions& actions) {
  auto& control = entry.control;
  auto& pulls = control.pulls;
  if (!pulls.is_running) {
    return;
  }
  std::erase_if(pulls.waiting_for, [&](HostId id) {
    return !PeerEndpoint(control, id);  // Gone meanwhile.
  });
  if (pulls.waiting_for.empty()) {
    FinishPulls(entry, now);
    return;
  }
  if (now < pulls.retry_deadline) {
    return;
  }
  pulls.retry_deadline = now + kPullRetryInterval;
  for (HostId id : pulls.waiting_for) {
    if (const auto* member = FindMember(control, id)) {
      actions.pull_handoffs.push_back({id, member->latest_update.host.admin,
                                       control.plan->view, control.known_view});
    }
  }
}

// Lets bytes for moving buckets gather, up to the burst.
void RefillMoveBytes(ControlState& control, Instant now) {
  if (control.move_bytes_at != Instant()) {
    std::chrono::duration<double> passed = now - control.move_bytes_at;
    control.move_bytes =
        std::min(kMoveBurstBytes,
                 control.move_bytes + passed.count() * kMoveBytesPerSecond);
  }
  control.move_bytes_at = now;
}

// Whether a member was lost lately that may only be cut off. Buckets then stay
// where they are, so that both sides agree when they meet again.
bool HasLostHost(const membership::Membership& membership, Instant now) {
  return std::any_of(membership.members.begin(), membership.members.end(),
                     [&](const auto& it) {
                       Instant lost_at = it.second.removal_deadline -
                                         membership::kTombstoneRetention;
                       return it.second.latest_update.state ==
                                  membership::MemberState::kDead &&
                              now < lost_at + kMoveStopAfterLoss;
                     });
}

void MoveBuckets(Entry& entry, Instant now) {
  auto& control = entry.control;
  RefillMoveBytes(control, now);
  bool may_move = !HasLostHost(control.membership, now);
  for (auto& shard : entry.shards) {
    if (control.move_bytes <= 0) {
      return;
    }
    std::vector<steering::BucketNotice> notices;
    {
      std::lock_guard lock(shard.mutex);
      notices = steering::StartMoves(
          shard, static_cast<size_t>(control.move_bytes), may_move, now);
    }
    for (auto& notice : notices) {
      control.move_bytes -= static_cast<double>(steering::NoticeBytes(notice));
      QueueNotice(entry, std::move(notice), now);
    }
  }
}

void SweepFlows(Entry& entry, Instant now) {
  if (now < entry.control.sweep_deadline) {
    return;
  }
  entry.control.sweep_deadline = now + kSweepInterval;
  for (auto& shard : entry.shards) {
    std::vector<steering::BucketNotice> ended;
    {
      std::lock_guard lock(shard.mutex);
      ended = steering::Sweep(shard, now);
    }
    for (auto& notice : ended) {
      QueueNotice(entry, std::move(notice), now);
    }
  }
  ReviewLedgers(entry.control, now);
}

// The member whose datagrams come from this endpoint; 0 for none.
HostId HostWithPeer(const ControlState& control, Endpoint peer) {
  for (const auto& host : control.plan->hosts) {
    if (host.peer == peer) {
      return host.id;
    }
  }
  return 0;
}

void HandlePeerMessage(Entry& entry,
                       const wire::PeerMessage& message,
                       Endpoint from,
                       Instant now,
                       Actions& actions) {
  std::lock_guard lock(entry.control.mutex);
  if (const auto* gossip = std::get_if<wire::Gossip>(&message)) {
    HandleGossip(entry, *gossip, from, now, actions);
  } else if (const auto* batch = std::get_if<wire::NoticeBatch>(&message)) {
    HandleNotices(entry, *batch, from, now, actions);
  } else if (const auto* ack = std::get_if<wire::NoticeAck>(&message)) {
    HandleNoticeAck(entry, *ack, actions);
  } else if (const auto* reports = std::get_if<wire::ShareReports>(&message)) {
    if (entry.control.plan) {
      HandleReports(entry, *reports, from, now, actions);
    }
  } else if (const auto* grants = std::get_if<wire::ShareGrants>(&message)) {
    if (entry.control.plan) {
      HandleGrants(entry, *grants, HostWithPeer(entry.control, from), now,
                   actions);
    }
  } else if (const auto* word =
                 std::get_if<wire::ForwardedAnnouncement>(&message)) {
    HandleAnnouncement(entry, word->announcement, now);
  }
}

}  // namespace

void SendTo(Entry& entry,
            Endpoint to,
            const wire::PeerMessage& message,
            Actions& actions) {
  auto bytes = wire::Encode(message);
  entry.counters.control_bytes_sent += bytes.size() + kIpAndUdpBytes;
  actions.datagrams.push_back({to, std::move(bytes)});
}

std::optional<Endpoint> PeerEndpoint(const ControlState& control, HostId host) {
  if (!control.plan) {
    return std::nullopt;
  }
  for (const auto& it : control.plan->hosts) {
    if (it.id == host) {
      return it.peer;
    }
  }
  return std::nullopt;
}

HostId HostAt(const steering::Plan& plan, steering::HostIndex index) {
  return index == steering::kNoHost ? 0 : plan.hosts[index].id;
}

std::unique_ptr<Entry> MakeEntry(const EntryOptions& options, Instant now) {
  auto entry = std::make_unique<Entry>();
  entry->control.membership = membership::StartMembership(
      options.self, options.seeds, options.seed, now);
  for (uint32_t i = 0; i < steering::kShards; ++i) {
    entry->shards[i].index = i;
    entry->shards[i].max_flows = options.max_flows / steering::kShards + 1;
  }
  return entry;
}

Actions OnFabricPacket(Entry& entry,
                       std::span<const std::byte> inner,
                       Endpoint fabric,
                       Instant now) {
  Actions actions;
  HandlePacket(entry, inner, fabric, 0, false, 0, now, actions);
  return actions;
}

Actions OnPeerDatagram(Entry& entry,
                       std::span<const std::byte> bytes,
                       Endpoint from,
                       Instant now) {
  Actions actions;
  std::string storage;
  auto message = wire::Decode(bytes, storage);
  if (!message) {
    ++entry.counters.malformed_peer;
    return actions;
  }
  if (const auto* passed = std::get_if<wire::PassedPacket>(&*message)) {
    HandlePacket(entry, passed->inner, passed->fabric, passed->hops,
                 passed->is_acting, passed->view, now, actions);
    return actions;
  }
  entry.counters.control_bytes_received += bytes.size() + kIpAndUdpBytes;
  HandlePeerMessage(entry, *message, from, now, actions);
  return actions;
}

Actions OnTick(Entry& entry, Instant now) {
  Actions actions;
  auto& control = entry.control;
  std::lock_guard lock(control.mutex);
  if (now >= membership::NextDeadline(control.membership)) {
    SendProbes(entry, membership::OnTick(control.membership, now), actions);
  }
  HostId self = control.membership.self.id;
  control.is_plan_outdated |= upstream::CheckSilence(
      control.registry,
      [&](const upstream::Key& key) {
        const auto& announcement =
            control.registry.entries.at(key).record.announcement;
        return CoordinatorOf(control, key, announcement.failure_domain) == self;
      },
      now);
  if (control.is_plan_outdated && now >= control.replan_deadline) {
    Replan(entry, now);
  }
  if (!control.plan) {
    return actions;
  }
  ContinuePulls(entry, now, actions);
  ReportShares(entry, now, actions);
  MoveBuckets(entry, now);
  SweepFlows(entry, now);
  FlushLinks(entry, now, actions);
  return actions;
}

bool OnTable(Entry& entry, const table::ServiceTable& table, Instant now) {
  std::lock_guard lock(entry.control.mutex);
  if (table.revision <= entry.control.table.revision) {
    return false;
  }
  entry.control.table = table;
  Replan(entry, now);
  return true;
}

Actions OnAnnouncement(Entry& entry,
                       const upstream::Announcement& announcement,
                       Instant now) {
  Actions actions;
  auto& control = entry.control;
  std::lock_guard lock(control.mutex);
  upstream::Key key{announcement.service, PackEndpoint(announcement.endpoint)};
  HandleAnnouncement(entry, announcement, now);
  auto coordinator = CoordinatorOf(control, key, announcement.failure_domain);
  if (coordinator == control.membership.self.id) {
    return actions;
  }
  if (auto to = PeerEndpoint(control, coordinator)) {
    SendTo(entry, *to, wire::ForwardedAnnouncement{announcement}, actions);
  }
  return actions;
}

std::optional<wire::Handoff> MakeHandoff(Entry& entry,
                                         const HandoffRequest& request,
                                         Instant now) {
  auto& control = entry.control;
  std::lock_guard lock(control.mutex);
  const auto* member = FindMember(control, request.host);
  bool is_known =
      member && control.plan &&
      member->latest_update.host.incarnation == request.incarnation &&
      control.plan->view == request.view;
  if (!is_known) {
    return std::nullopt;
  }
  wire::Handoff handoff;
  std::set<uint64_t> held;
  for (auto& shard : entry.shards) {
    std::lock_guard shard_lock(shard.mutex);
    auto notices =
        steering::ExportFor(shard, request.host, request.known_view, now);
    std::move(notices.begin(), notices.end(),
              std::back_inserter(handoff.buckets));
    auto services = steering::HeldServices(shard, now);
    held.insert(services.begin(), services.end());
  }
  handoff.held_services.assign(held.begin(), held.end());
  handoff.ledgers = LedgersFor(control, request.host);
  return handoff;
}

void OnHandoff(Entry& entry,
               HostId peer,
               const std::optional<wire::Handoff>& handoff,
               Instant now) {
  auto& control = entry.control;
  std::lock_guard lock(control.mutex);
  if (!handoff || !control.pulls.is_running ||
      !control.pulls.waiting_for.contains(peer)) {
    return;
  }
  for (const auto& notice : handoff->buckets) {
    auto& shard = entry.shards[steering::ShardOf(notice.bucket)];
    std::lock_guard shard_lock(shard.mutex);
    steering::MergeNotice(shard, notice, now);
  }
  for (const auto& state : handoff->ledgers) {
    MergeLedger(control, state, now);
  }
  control.pulls.held_by_peers.insert(handoff->held_services.begin(),
                                     handoff->held_services.end());
  control.pulls.waiting_for.erase(peer);
  if (control.pulls.waiting_for.empty()) {
    FinishPulls(entry, now);
  }
}

void OnRegistry(Entry& entry,
                std::span<const upstream::Record> records,
                Instant now) {
  std::lock_guard lock(entry.control.mutex);
  for (const auto& record : records) {
    entry.control.is_plan_outdated |=
        upstream::Merge(entry.control.registry, record, now);
  }
}

void OnUpstreamOutcomes(Entry& entry,
                        const upstream::Key& key,
                        const upstream::Outcomes& seen,
                        uint32_t limit,
                        Instant now) {
  std::lock_guard lock(entry.control.mutex);
  entry.control.is_plan_outdated |=
      upstream::OnOutcomes(entry.control.registry, key, seen, limit, now);
}

Actions Leave(Entry& entry, Instant now) {
  Actions actions;
  std::lock_guard lock(entry.control.mutex);
  SendProbes(entry, membership::Leave(entry.control.membership, now), actions);
  return actions;
}

bool IsSettled(Entry& entry) {
  std::lock_guard lock(entry.control.mutex);
  return entry.control.plan && !entry.control.pulls.is_running;
}

table::ServiceTable TableOf(const Entry& entry) {
  std::lock_guard lock(entry.control.mutex);
  return entry.control.table;
}

uint64_t CountFlows(const Entry& entry) {
  uint64_t n = 0;
  for (const auto& shard : entry.shards) {
    std::lock_guard lock(shard.mutex);
    n += shard.flow_count;
  }
  return n;
}

}  // namespace acaciahold::entry
