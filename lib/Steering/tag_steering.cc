// Decides on opening and later packets, and tracks from them which upstreams
// and failure domains answer.

#include "acaciahold/Steering/tag_steering.h"

#include <algorithm>
#include <set>
#include <utility>

#include "acaciahold/Steering/fitness.h"
#include "acaciahold/Support/check.h"
#include "acaciahold/Support/hash.h"
#include "tag_flows.h"
#include "tag_load.h"

namespace acaciahold::steering {
namespace {

// Selects one of the listener's services by weight. The choice depends on the
// flow's hash only, so it is the same for retransmissions and on every host.
const std::string& ServiceOf(const catalog::Listener& listener,
                             uint64_t flow_hash) {
  uint64_t total = 0;
  for (const auto& target : listener.targets) {
    total += target.weight;
  }
  uint64_t position = total > 0 ? (flow_hash >> 16U) % total : 0;
  for (const auto& target : listener.targets) {
    if (position < target.weight) {
      return target.service;
    }
    position -= target.weight;
  }
  return listener.targets.back().service;
}

// Number of consecutive unanswered openings after which the upstream's failure
// domain is avoided.
uint32_t MaxUnansweredInDomain(const TagSteering& steering,
                               const TagUpstream& upstream) {
  bool lacks_control =
      steering.domains_without_control.contains(DomainNameOf(upstream));
  return lacks_control ? kMaxUnansweredWithoutControl : kMaxUnansweredInDomain;
}

// Handles an opening that the upstream has not answered.
void OnUnanswered(TagSteering& steering,
                  TagUpstream& upstream,
                  const RecentOpening& opening,
                  Instant now) {
  ++steering.counts.unanswered;
  CountOverdueOpening(steering, upstream, opening.listener);
  OnOverdue(upstream.sight, DomainSightOf(steering, upstream), upstream.id,
            opening.placed_at, now);
  CountFailure(steering, upstream);
  CountUnanswered(upstream.reachability, kMaxUnanswered, now);
  CountUnanswered(DomainOf(steering, upstream),
                  MaxUnansweredInDomain(steering, upstream), now);
}

void RecordOpening(TagSteering& steering,
                   const Opening& opening,
                   uint64_t flow_hash,
                   const TagDecision& decision,
                   Instant now) {
  uint32_t slot = SlotOf(flow_hash);
  steering.recent_openings[slot] = {flow_hash,
                                    opening.flow.listener,
                                    opening.sequence,
                                    decision.upstream,
                                    decision.tag,
                                    now,
                                    false};
  steering.pending_slots.push_back(slot);
  const auto& upstream = steering.upstreams.at(decision.upstream);
  auto& service = steering.services.find(upstream.service)->second;
  OnFlowPlaced(steering.requests, flow_hash, service.load,
               RouteOf(steering, service, opening.flow.listener), now);
}

// Whether the upstream is the only one with the tag for the flow.
bool IsSoleHolder(TagSteering& steering,
                  const TagUpstream& upstream,
                  uint64_t flow_hash,
                  Tag tag) {
  auto& holders = steering.scratch_holders;
  FindHolders(steering.tags, tag, flow_hash, holders);
  return holders.size() == 1 && holders.front().upstream == &upstream;
}

// Returns a tag for a new flow at the upstream that no other known upstream
// has, or nothing if each of its tags clashes.
std::optional<Tag> ChooseTag(TagSteering& steering,
                             const TagUpstream& upstream,
                             uint64_t flow_hash) {
  if (!steering.writes_flow_tags) {
    Tag tag = UpstreamTag(upstream.id);
    if (IsSoleHolder(steering, upstream, flow_hash, tag)) {
      return tag;
    }
    ++steering.counts.clashes_avoided;
  }
  for (uint32_t choice = 0; choice < kFlowTagChoices; ++choice) {
    Tag tag = FlowTag(upstream.id, flow_hash, choice);
    if (IsSoleHolder(steering, upstream, flow_hash, tag)) {
      return tag;
    }
    ++steering.counts.clashes_avoided;
  }
  return std::nullopt;
}

struct Placement {
  TagUpstream* upstream = nullptr;
  Tag tag = 0;
};

// Picks one of the candidates in the scratch lists that has a tag of its own
// for the flow; not `excluded` if there is another candidate. Returns nothing
// if none has.
std::optional<Placement> PickUpstream(TagSteering& steering,
                                      TagService& service,
                                      const TagUpstream* excluded,
                                      uint64_t flow_hash,
                                      Instant now) {
  auto& candidates = steering.scratch_candidates;
  auto& upstreams = steering.scratch_upstreams;
  while (!upstreams.empty()) {
    auto it = std::ranges::find(upstreams, excluded);
    bool is_excluded = it != upstreams.end() && upstreams.size() > 1;
    int chosen = PickCandidate(
        service.scheduler, candidates,
        static_cast<uint32_t>(steering.domain_indexes.size()),
        is_excluded ? static_cast<int>(it - upstreams.begin()) : -1, now);
    AssertInvariant(chosen >= 0, "a candidate that is not excluded is chosen");
    auto& upstream = *upstreams[chosen];
    if (auto tag = ChooseTag(steering, upstream, flow_hash)) {
      return Placement{&upstream, *tag};
    }
    candidates.erase(candidates.begin() + chosen);
    upstreams.erase(upstreams.begin() + chosen);
  }
  return std::nullopt;
}

// Chooses an upstream for a new flow, other than `excluded` unless there is no
// other. Refuses the flow for lack of room if `may_refuse` is set.
TagDecision PlaceFlow(TagSteering& steering,
                      const catalog::Listener& listener,
                      const std::string& service_name,
                      uint64_t flow_hash,
                      const TagUpstream* excluded,
                      bool may_refuse,
                      Instant now) {
  CollectCandidates(steering, service_name, now);
  if (steering.scratch_upstreams.empty()) {
    return {TagVerdict::kReset, TagReason::kNoUpstream, 0, {}, 0};
  }
  auto& service = steering.services.find(service_name)->second;
  if (may_refuse) {
    auto refusal =
        RefuseOpening(steering, listener, service_name, service, now);
    if (refusal) {
      return *refusal;
    }
  }
  auto placement = PickUpstream(steering, service, excluded, flow_hash, now);
  if (!placement) {
    // The flow's later packets would be dropped. The caller can try again with
    // another flow, which has other tags.
    ++steering.counts.clashes_refused;
    bool is_refused = may_refuse && !MayHaveReadLate(steering, now);
    return {is_refused ? TagVerdict::kReset : TagVerdict::kDrop,
            TagReason::kAmbiguousTag,
            0,
            {},
            0};
  }
  auto& upstream = *placement->upstream;
  if (upstream.candidate.is_cold) {
    upstream.cold_limiter.tokens -= 1;
  }
  LimitToOneProbe(upstream.reachability, kMaxUnanswered, now);
  LimitToOneProbe(DomainOf(steering, upstream),
                  MaxUnansweredInDomain(steering, upstream), now);
  return Forward(upstream, placement->tag, TagReason::kPlaced);
}

}  // namespace

TagSteering MakeTagSteering(std::string failure_domain, uint64_t seed) {
  TagSteering steering;
  steering.domain_indexes.emplace(failure_domain, kOwnDomain);
  steering.failure_domain = std::move(failure_domain);
  steering.random.seed(seed);
  steering.recent_openings.resize(kRecentOpeningSlots);
  steering.tags = MakeTagIndex();
  return steering;
}

double ColdLimit(const TagSteering& steering, std::string_view service) {
  for (const auto& it : steering.view.catalog.services) {
    if (it.name == service) {
      return it.cold_flows_per_second;
    }
  }
  return 0;
}

namespace {

// Whether this process was stalled and has not had time yet to read the updates
// that arrived meanwhile.
bool IsStalled(const TagSteering& steering, Instant now) {
  bool has_ticked = steering.ticked_at != Instant();
  return now < steering.stall_deadline ||
         (has_ticked && now > steering.ticked_at + kStallThreshold);
}

TagDecision DecideOpening(TagSteering& steering,
                          const Opening& opening,
                          Instant now) {
  if (steering.view.catalog.version == 0) {
    return {};
  }
  if (IsStalled(steering, now)) {
    return {TagVerdict::kDrop, TagReason::kStalled, 0, {}, 0};
  }
  auto it = steering.listeners.find(PackEndpoint(opening.flow.listener));
  if (it == steering.listeners.end()) {
    return {TagVerdict::kReset, TagReason::kNoListener, 0, {}, 0};
  }
  uint64_t hash = HashFlow(opening.flow);
  auto& recent = steering.recent_openings[SlotOf(hash)];
  bool is_known =
      recent.flow_hash == hash && recent.sequence == opening.sequence;
  auto* first_upstream =
      is_known ? FindUpstream(steering, recent.upstream) : nullptr;
  bool keeps_upstream =
      first_upstream &&
      (recent.is_resolved || now < recent.placed_at + kAnswerTimeout);
  if (keeps_upstream) {
    return Forward(*first_upstream, recent.tag, TagReason::kRetransmission);
  }
  if (first_upstream) {
    OnUnanswered(steering, *first_upstream, recent, now);
  }
  // A retransmission is not refused: another host may have forwarded the first
  // packet, so that the flow may be open.
  bool may_refuse = !first_upstream && opening.copy == 0;
  auto decision = PlaceFlow(steering, *it->second, ServiceOf(*it->second, hash),
                            hash, first_upstream, may_refuse, now);
  if (decision.verdict == TagVerdict::kForward) {
    RecordOpening(steering, opening, hash, decision, now);
  }
  if (first_upstream && decision.verdict == TagVerdict::kForward) {
    decision.reason = TagReason::kReplaced;
  }
  return decision;
}

}  // namespace

TagDecision OnOpening(TagSteering& steering,
                      const Opening& opening,
                      Instant now) {
  auto decision = DecideOpening(steering, opening, now);
  if (decision.verdict == TagVerdict::kReset && !steering.has_synced_feed) {
    decision = {};
  }
  CountDecision(steering, decision);
  return decision;
}

std::vector<directory::UpstreamFailures> TakeFailures(TagSteering& steering) {
  std::vector<directory::UpstreamFailures> failures;
  for (auto id : std::exchange(steering.failed_upstreams, {})) {
    auto it = steering.upstreams.find(id);
    if (it != steering.upstreams.end()) {
      failures.push_back({id, std::exchange(it->second.failures, 0)});
    }
  }
  return failures;
}

void SuspectUpstream(TagSteering& steering,
                     directory::UpstreamId id,
                     Duration time,
                     Instant now) {
  auto it = steering.upstreams.find(id);
  if (it != steering.upstreams.end()) {
    it->second.suspect_deadline = now + time;
  }
}

double RemoteRequestFraction(const TagSteering& steering, Instant now) {
  std::map<std::string_view, double> load;
  std::set<std::string_view> local;
  double total = 0;
  for (const auto& [id, entry] : steering.directory.entries) {
    const auto& upstream = steering.upstreams.at(id);
    double requests = LoadAt(upstream.candidate.load, now);
    load[entry.record.service] += requests;
    total += requests;
    bool takes_flows =
        EligibilityOf(steering, upstream, now) == Eligibility::kPreferred;
    if (upstream.candidate.domain == kOwnDomain && takes_flows) {
      local.insert(entry.record.service);
    }
  }
  double remote = 0;
  for (const auto& [service, requests] : load) {
    remote += local.contains(service) ? 0 : requests;
  }
  return total > 0 ? remote / total : 0;
}

void OnTick(TagSteering& steering, Instant now) {
  if (IsStalled(steering, now) && now >= steering.stall_deadline) {
    steering.stall_deadline = now + kStallRecoveryTime;
  }
  UpdateTrust(steering.sight, steering.ticked_at, now);
  steering.ticked_at = now;
  RemoveOverdue(steering.requests, now);
  PresumeAnswers(steering, now);
  while (!steering.pending_slots.empty()) {
    auto& recent = steering.recent_openings[steering.pending_slots.front()];
    if (!recent.is_resolved && now < recent.placed_at + kOpenTimeout) {
      return;
    }
    steering.pending_slots.pop_front();
    auto* upstream = FindUpstream(steering, recent.upstream);
    if (!recent.is_resolved && upstream) {
      OnUnanswered(steering, *upstream, recent, now);
    }
    recent.is_resolved = true;
  }
}

std::string_view TagReasonName(TagReason reason) {
  switch (reason) {
    case TagReason::kPlaced:
      return "placed";
    case TagReason::kRetransmission:
      return "copy";
    case TagReason::kReplaced:
      return "replaced";
    case TagReason::kByTag:
      return "by_tag";
    case TagReason::kNoListener:
      return "no_listener";
    case TagReason::kNoTable:
      return "no_table";
    case TagReason::kNoUpstream:
      return "no_upstream";
    case TagReason::kUnknownTag:
      return "unknown_tag";
    case TagReason::kAmbiguousTag:
      return "ambiguous_tag";
    case TagReason::kStalled:
      return "stalled";
    case TagReason::kOverloaded:
      return "overloaded";
    case TagReason::kOutranked:
      return "outranked";
    case TagReason::kUpstreamGone:
      return "upstream_gone";
  }
  return "unknown_tag";
}

}  // namespace acaciahold::steering
