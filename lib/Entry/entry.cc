// Handling of an entry host's events, and updates of its plan.

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

// Requests the sender's service table if it is newer, and its upstream registry
// if the registries have differed for kRegistryPullDelay.
void PullIfOutdated(ControlState& control,
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
    control.earliest_registry_pull = now + kRegistryPullDelay;
  } else if (now >= control.earliest_registry_pull) {
    // Gossip did not make the registries equal in time.
    control.earliest_registry_pull = now + kRegistryPullDelay;
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
  PullIfOutdated(control, gossip, now, actions);
}

// Returns the host that coordinates the upstream's connection limit and decides
// whether the upstream is silent. Returns 0 if RankHosts() finds none.
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

// Returns whether `later` has a host that `earlier` does not have.
bool HasNewHosts(const steering::Plan& earlier, const steering::Plan& later) {
  return std::any_of(
      later.hosts.begin(), later.hosts.end(),
      [&](const auto& host) { return !steering::HasHost(earlier, host.id); });
}

// Starts pulling bucket states from all peers if `needs_all`, else only from
// hosts that are new in the view, which may know flows of this host's buckets.
void StartStatePull(ControlState& control,
                    const steering::Plan* previous,
                    bool needs_all,
                    Instant now) {
  auto& state_pull = control.state_pull;
  state_pull.is_running = true;
  state_pull.retry_deadline = now;
  if (needs_all) {
    state_pull.waiting_for.clear();
  }
  for (const auto& host : control.plan->hosts) {
    bool should_pull = needs_all || !steering::HasHost(*previous, host.id);
    if (should_pull && host.id != control.membership.self.id) {
      state_pull.waiting_for.insert(host.id);
    }
  }
}

// Drops cells and shares of upstreams that are no longer in the registry.
void DropRemovedUpstreams(ControlState& control) {
  std::erase_if(control.cells, [&](const auto& it) {
    return !control.registry.entries.contains(it.first);
  });
  std::erase_if(control.shares, [&](const auto& it) {
    return !control.registry.entries.contains(it.first);
  });
}

// Builds a new plan, passes it to the shards, and starts a state pull if this
// host needs bucket states for it.
void Replan(Entry& entry, Instant now) {
  auto& control = entry.control;
  auto members = membership::Snapshot(control.membership);
  steering::PlanInputs inputs{&control.table, &control.registry, members,
                              control.membership.self.id,
                              control.membership.is_leaving};
  auto previous = control.plan;
  DropRemovedUpstreams(control);
  control.plan = steering::BuildPlan(inputs, control.cells,
                                     previous ? previous->epoch + 1 : 1);
  control.is_plan_outdated = false;
  control.earliest_replan = now + kMinReplanInterval;
  bool has_new_view = !previous || previous->view != control.plan->view;
  if (previous && has_new_view) {
    ResetLinks(entry);
    upstream::ExtendSilenceDeadlines(control.registry, now);
  }
  bool has_new_hosts =
      previous && has_new_view && HasNewHosts(*previous, *control.plan);
  bool needs_pull = false;
  for (auto& shard : entry.shards) {
    std::lock_guard lock(shard.mutex);
    needs_pull |= steering::OnPlan(shard, control.plan, now);
    shard.has_unpulled_hosts |= has_new_hosts;
  }
  UpdateSharesForPlan(control, now);
  bool was_pulling = control.state_pull.is_running;
  if (has_new_hosts || (needs_pull && (has_new_view || !was_pulling))) {
    StartStatePull(control, previous.get(), needs_pull, now);
  } else if (!was_pulling) {
    control.known_view = control.plan->view;
  }
}

void FinishStatePull(Entry& entry, Instant now) {
  auto& state_pull = entry.control.state_pull;
  std::vector<uint64_t> held(state_pull.held_by_peers.begin(),
                             state_pull.held_by_peers.end());
  for (auto& shard : entry.shards) {
    std::lock_guard lock(shard.mutex);
    steering::OnPullsDone(shard, held, now);
  }
  state_pull = {};
  entry.control.known_view = entry.control.plan->view;
}

void ContinueStatePull(Entry& entry, Instant now, Actions& actions) {
  auto& control = entry.control;
  auto& state_pull = control.state_pull;
  if (!state_pull.is_running) {
    return;
  }
  std::erase_if(state_pull.waiting_for, [&](HostId id) {
    return !PeerEndpoint(control, id);  // No longer in the plan.
  });
  if (state_pull.waiting_for.empty()) {
    FinishStatePull(entry, now);
    return;
  }
  if (now < state_pull.retry_deadline) {
    return;
  }
  state_pull.retry_deadline = now + kPullRetryInterval;
  for (HostId id : state_pull.waiting_for) {
    if (const auto* member = FindMember(control, id)) {
      actions.pull_handoffs.push_back({id, member->latest_update.host.admin,
                                       control.plan->view, control.known_view});
    }
  }
}

// Refills the token bucket for bucket moves.
void RefillMoveBudget(ControlState& control, Instant now) {
  if (control.move_budget_updated_at != Instant()) {
    std::chrono::duration<double> elapsed =
        now - control.move_budget_updated_at;
    control.move_budget_bytes = std::min(
        kMaxMoveBudgetBytes, control.move_budget_bytes +
                                 elapsed.count() * kMoveBudgetBytesPerSecond);
  }
  control.move_budget_updated_at = now;
}

// Returns whether a member was declared dead within kMovePauseAfterHostLoss. It
// may only be partitioned, so buckets stay on usable upstreams: both sides must
// still agree on them when the partition heals.
bool HasRecentlyLostHost(const membership::Membership& membership,
                         Instant now) {
  return std::any_of(membership.members.begin(), membership.members.end(),
                     [&](const auto& it) {
                       Instant lost_at = it.second.removal_deadline -
                                         membership::kTombstoneRetention;
                       return it.second.latest_update.state ==
                                  membership::MemberState::kDead &&
                              now < lost_at + kMovePauseAfterHostLoss;
                     });
}

void MoveBuckets(Entry& entry, Instant now) {
  auto& control = entry.control;
  RefillMoveBudget(control, now);
  bool may_move = !HasRecentlyLostHost(control.membership, now);
  for (auto& shard : entry.shards) {
    if (control.move_budget_bytes <= 0) {
      return;
    }
    std::vector<steering::BucketNotice> notices;
    {
      std::lock_guard lock(shard.mutex);
      notices = steering::StartMoves(
          shard, static_cast<size_t>(control.move_budget_bytes), may_move, now);
    }
    for (auto& notice : notices) {
      control.move_budget_bytes -=
          static_cast<double>(steering::NoticeBytes(notice));
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
    std::vector<steering::BucketNotice> removals;
    {
      std::lock_guard lock(shard.mutex);
      removals = steering::Sweep(shard, now);
    }
    for (auto& notice : removals) {
      QueueNotice(entry, std::move(notice), now);
    }
  }
  ExpireLedgerShares(entry.control, now);
}

// Returns the host with this peer endpoint, or 0 if the plan has none.
HostId FindHostByPeer(const ControlState& control, Endpoint peer) {
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
      HandleGrants(entry, *grants, FindHostByPeer(entry.control, from), now,
                   actions);
    }
  } else if (const auto* forwarded =
                 std::get_if<wire::ForwardedAnnouncement>(&message)) {
    HandleAnnouncement(entry, forwarded->announcement, now);
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
  if (control.is_plan_outdated && now >= control.earliest_replan) {
    Replan(entry, now);
  }
  if (!control.plan) {
    return actions;
  }
  ContinueStatePull(entry, now, actions);
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
  bool can_answer =
      member && control.plan &&
      member->latest_update.host.incarnation == request.incarnation &&
      control.plan->view == request.view;
  if (!can_answer) {
    return std::nullopt;
  }
  wire::Handoff handoff;
  std::set<uint64_t> held;
  for (auto& shard : entry.shards) {
    std::lock_guard shard_lock(shard.mutex);
    auto notices =
        steering::ExportBuckets(shard, request.host, request.known_view, now);
    std::move(notices.begin(), notices.end(),
              std::back_inserter(handoff.buckets));
    auto services = steering::HeldServices(shard, now);
    held.insert(services.begin(), services.end());
  }
  handoff.held_services.assign(held.begin(), held.end());
  handoff.ledgers = ExportLedgers(control, request.host);
  return handoff;
}

void OnHandoff(Entry& entry,
               HostId peer,
               const std::optional<wire::Handoff>& handoff,
               Instant now) {
  auto& control = entry.control;
  std::lock_guard lock(control.mutex);
  if (!handoff || !control.state_pull.is_running ||
      !control.state_pull.waiting_for.contains(peer)) {
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
  control.state_pull.held_by_peers.insert(handoff->held_services.begin(),
                                          handoff->held_services.end());
  control.state_pull.waiting_for.erase(peer);
  if (control.state_pull.waiting_for.empty()) {
    FinishStatePull(entry, now);
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
                        const upstream::Outcomes& outcomes,
                        uint32_t limit,
                        Instant now) {
  std::lock_guard lock(entry.control.mutex);
  entry.control.is_plan_outdated |=
      upstream::OnOutcomes(entry.control.registry, key, outcomes, limit, now);
}

Actions Leave(Entry& entry, Instant now) {
  Actions actions;
  std::lock_guard lock(entry.control.mutex);
  SendProbes(entry, membership::Leave(entry.control.membership, now), actions);
  return actions;
}

bool HasAllBucketStates(Entry& entry) {
  std::lock_guard lock(entry.control.mutex);
  return entry.control.plan && !entry.control.state_pull.is_running;
}

table::ServiceTable CopyServiceTable(const Entry& entry) {
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
