// Decides what to do with each packet.

#include "acaciahold/Steering/flow_shard.h"

#include <algorithm>

#include "acaciahold/Support/check.h"
#include "bucket_access.h"

namespace acaciahold::steering {
namespace {

using upstream::UpstreamId;

// A new flow is placed on another upstream if its bucket's upstream has more
// open flows than its weighted share times this factor, plus the slack in
// flows.
constexpr double kMaxLoadRatio = 1.06;
constexpr double kLoadSlackFlows = 4;

Decision Drop(Reason reason) {
  return {.verdict = Verdict::kDrop, .reason = reason, .to = {}, .notice = {}};
}

Decision Refuse(Reason reason) {
  return {
      .verdict = Verdict::kRefuse, .reason = reason, .to = {}, .notice = {}};
}

Decision Forward(const Target& target) {
  return {.verdict = Verdict::kForward, .to = target.endpoint, .notice = {}};
}

// Inputs of the decision on one packet.
struct Context {
  FlowShard& shard;
  const Plan& plan;
  const ServicePlan& service;
  const FlowPacket& packet;
  uint32_t bucket_index;
  Bucket& bucket;
  Instant now;
};

BucketNotice NoticeOf(const Context& c) {
  return {.service = c.service.id,
          .bucket = static_cast<uint16_t>(c.bucket_index),
          .version = c.bucket.version,
          .assigned = c.bucket.assigned,
          .added = {},
          .removed = {}};
}

Flow& InsertFlow(Context& c, UpstreamId upstream) {
  Flow flow;
  flow.upstream = upstream;
  flow.idle_deadline = c.now + c.service.idle_timeout;
  ++c.shard.flow_count;
  return c.bucket.flows.insert_or_assign(c.packet.fingerprint, flow)
      .first->second;
}

void EraseFlow(Context& c, FlowTable::iterator it) {
  Release(&c.service, it->second);
  c.bucket.flows.erase(it);
  --c.shard.flow_count;
}

// Parks the packet until the other replica's host has stored its flow, or
// forwards it if there is no such host.
Decision ParkPacket(Context& c, Flow& flow, const Target& target) {
  auto other = OtherReplicaHost(c.plan, c.service.routes[c.bucket_index]);
  if (other == kNoHost) {
    flow.is_replicated = true;
    return Forward(target);
  }
  Decision decision = Forward(target);
  decision.verdict = Verdict::kPark;
  decision.notice = NoticeOf(c);
  decision.notice.added = {{c.packet.fingerprint, flow.upstream}};
  return decision;
}

Decision ContinueFlow(Context& c, FlowTable::iterator it) {
  auto& flow = it->second;
  const auto* target = FindTarget(c.service, flow.upstream);
  if (!target || !target->is_usable) {
    EraseFlow(c, it);
    return Refuse(Reason::kUpstreamGone);
  }
  CountOpenFlow(flow, *target);
  flow.is_closing |= c.packet.closes;
  flow.idle_deadline =
      c.now + (flow.is_closing ? kClosingTimeout : c.service.idle_timeout);
  if (!flow.is_replicated) {
    return ParkPacket(c, flow, *target);
  }
  if (!flow.is_answered && !c.packet.opens) {
    flow.is_answered = true;
    target->cell->successes.fetch_add(1, std::memory_order_relaxed);
  } else if (c.packet.opens) {
    // A retransmitted SYN: the upstream has not answered.
    target->cell->failures.fetch_add(1, std::memory_order_relaxed);
  }
  return Forward(*target);
}

// Open flows of the upstream on this host per unit of weight.
double LocalLoad(const Target& target) {
  return static_cast<double>(admission::OpenFlows(*target.cell)) /
         target.weight;
}

// Whether the upstream has clearly more of this host's flows than its weighted
// share. Flows are distributed over all buckets, so the counts of this host are
// representative.
bool IsOverloaded(const ServicePlan& service, const Target& target) {
  uint64_t open = 0;
  uint64_t weight = 0;
  for (const auto& it : service.targets) {
    if (it.accepts_new_flows) {
      open += admission::OpenFlows(*it.cell);
      weight += it.weight;
    }
  }
  double mean =
      static_cast<double>(open) * target.weight / static_cast<double>(weight);
  return admission::OpenFlows(*target.cell) >
         mean * kMaxLoadRatio + kLoadSlackFlows;
}

// Returns the upstreams for a new flow that its bucket's upstream can't take,
// in ascending order of load per weight.
std::vector<const Target*> RankAlternatives(const Context& c) {
  std::vector<std::pair<double, const Target*>> ranked;
  for (const auto& target : c.service.targets) {
    if (target.accepts_new_flows && target.weight > 0) {
      ranked.emplace_back(LocalLoad(target), &target);
    }
  }
  std::sort(ranked.begin(), ranked.end());
  std::vector<const Target*> targets;
  for (const auto& [load, target] : ranked) {
    targets.push_back(target);
  }
  return targets;
}

Decision OpenOnAlternative(Context& c) {
  bool is_exhausted = true;
  auto targets = RankAlternatives(c);
  for (const auto* target : targets) {
    if (!admission::TryAdmit(*target->cell, c.now)) {
      is_exhausted &= target->cell->is_exhausted.load();
      continue;
    }
    auto& flow = InsertFlow(c, target->id);
    flow.is_counted = true;
    bool is_on_assigned =
        target->id == c.bucket.assigned && c.bucket.moving_to == 0;
    if (is_on_assigned) {
      return Forward(*target);
    }
    flow.is_replicated = false;
    return ParkPacket(c, flow, *target);
  }
  if (targets.empty()) {
    return Refuse(Reason::kNoUpstream);
  }
  return is_exhausted ? Refuse(Reason::kFull) : Drop(Reason::kNoShare);
}

Decision OpenFlow(Context& c) {
  if (c.shard.flow_count >= c.shard.max_flows) {
    return Refuse(Reason::kTableFull);
  }
  const auto* target = FindTarget(c.service, c.bucket.assigned);
  bool is_on_assigned = target && target->accepts_new_flows &&
                        c.bucket.moving_to == 0 &&
                        !IsOverloaded(c.service, *target);
  if (is_on_assigned && admission::TryAdmit(*target->cell, c.now)) {
    InsertFlow(c, target->id).is_counted = true;
    return Forward(*target);
  }
  return OpenOnAlternative(c);
}

// Handles a later packet of an unknown flow: an idle flow of a previous owner.
// It is on the bucket's assigned upstream, since all exceptions are known here.
Decision AdoptFlow(Context& c) {
  const auto* target = FindTarget(c.service, c.bucket.assigned);
  bool is_other_view = c.packet.hops > 0 && c.packet.sender_view != c.plan.view;
  bool is_in_doubt = is_other_view || c.shard.has_unpulled_hosts ||
                     (c.bucket.has_unknown_flows && c.plan.is_minority);
  if (is_in_doubt || !target || !target->is_usable) {
    return Drop(Reason::kInDoubt);
  }
  if (c.packet.closes) {
    return Forward(*target);
  }
  if (c.shard.flow_count >= c.shard.max_flows) {
    return Drop(Reason::kTableFull);
  }
  auto& flow = InsertFlow(c, target->id);
  flow.is_answered = true;
  CountOpenFlow(flow, *target);
  // While a move waits for the backup, the flow must be replicated, as it is an
  // exception after the move.
  if (c.bucket.moving_to != 0) {
    flow.is_replicated = false;
    return ParkPacket(c, flow, *target);
  }
  return Forward(*target);
}

Decision DecideHere(Context& c) {
  auto it = c.bucket.flows.find(c.packet.fingerprint);
  bool is_known = it != c.bucket.flows.end();
  if (is_known && c.packet.opens &&
      (it->second.is_closing || it->second.is_answered)) {
    // The caller reuses the port for a new flow.
    EraseFlow(c, it);
    return OpenFlow(c);
  }
  if (is_known) {
    return ContinueFlow(c, it);
  }
  // A UDP packet does not show whether it opens a flow. Before settled_at it
  // may belong to an idle flow of a previous owner.
  bool is_new =
      c.packet.opens || (!c.packet.is_tcp && c.now >= c.bucket.settled_at);
  return is_new ? OpenFlow(c) : AdoptFlow(c);
}

// Returns a decision to pass the packet to the host that decides for the
// bucket, or nullopt if this host decides.
std::optional<Decision> PassToDecider(const Plan& plan,
                                      const Route& route,
                                      const FlowPacket& packet) {
  bool is_owner_ready = IsReady(plan, route.owner) || route.owner == plan.self;
  HostIndex decider = is_owner_ready || !IsReady(plan, route.backup)
                          ? route.owner
                          : route.backup;
  if (packet.is_acting || decider == plan.self) {
    return std::nullopt;
  }
  if (decider == kNoHost) {
    return Drop(Reason::kSettling);  // Every host is leaving.
  }
  if (packet.hops >= kMaxHops) {
    return Drop(Reason::kTooManyHops);
  }
  return Decision{.verdict = Verdict::kPassToPeer,
                  .to = plan.hosts[decider].peer,
                  .to_acting_backup = decider != route.owner,
                  .view = plan.view,
                  .notice = {}};
}

// Passes the packet to the backup when this host lacks the bucket's state.
Decision PassToBackup(const Plan& plan,
                      const Route& route,
                      const FlowPacket& packet) {
  bool can_pass = !packet.is_acting && packet.hops < kMaxHops &&
                  route.backup != plan.self && IsReady(plan, route.backup);
  if (!can_pass) {
    return Drop(Reason::kSettling);
  }
  return {.verdict = Verdict::kPassToPeer,
          .to = plan.hosts[route.backup].peer,
          .to_acting_backup = true,
          .view = plan.view,
          .notice = {}};
}

}  // namespace

std::string_view ReasonName(Reason reason) {
  switch (reason) {
    case Reason::kNone:
      return "none";
    case Reason::kNoUpstream:
      return "no-upstream";
    case Reason::kFull:
      return "full";
    case Reason::kNoShare:
      return "no-share";
    case Reason::kSettling:
      return "settling";
    case Reason::kTooManyHops:
      return "too-many-hops";
    case Reason::kUpstreamGone:
      return "upstream-gone";
    case Reason::kInDoubt:
      return "in-doubt";
    case Reason::kTableFull:
      return "table-full";
  }
  return "none";
}

uint32_t BucketOf(uint64_t fingerprint) {
  return static_cast<uint32_t>(fingerprint % kBucketsPerService);
}

uint32_t ShardOf(uint32_t bucket) {
  return bucket % kShards;
}

Decision Decide(FlowShard& shard,
                const ServicePlan& service,
                const FlowPacket& packet,
                Instant now) {
  const Plan& plan = *shard.plan;
  uint32_t index = BucketOf(packet.fingerprint);
  AssertInvariant(ShardOf(index) == shard.index,
                  "the packet's bucket belongs to the shard");
  const auto& route = service.routes[index];
  if (auto pass = PassToDecider(plan, route, packet)) {
    return *pass;
  }
  auto& bucket = BucketsOf(shard, service.id)[PositionOf(index)];
  if (bucket.phase != BucketPhase::kHeld) {
    return PassToBackup(plan, route, packet);
  }
  Context context{shard, plan, service, packet, index, bucket, now};
  return DecideHere(context);
}

}  // namespace acaciahold::steering
