// Decisions on opening and later packets, and what is learned from them.

#include "acaciahold/Steering/tag_steering.h"

#include <algorithm>
#include <set>
#include <utility>

#include "acaciahold/Support/check.h"
#include "acaciahold/Support/hash.h"

namespace acaciahold::steering {
namespace {

using directory::Phase;

uint64_t HashFlow(const TaggedFlow& flow) {
  return CombineHashes(PackEndpoint(flow.caller), PackEndpoint(flow.listener));
}

uint32_t SlotOf(uint64_t flow_hash) {
  return flow_hash % kRecentOpenings;
}

// Whether a later start announced itself at the same endpoint.
bool IsSuperseded(const TagSteering& steering,
                  const directory::Record& record) {
  auto it = steering.latest_at.find(PackEndpoint(record.endpoint));
  return it != steering.latest_at.end() && it->second != record.id;
}

// How willingly an upstream is given new flows; lower goes first.
enum class Rank { kGood, kDoubtful, kNever };

Rank RankOf(const TagSteering& steering,
            const TagUpstream& upstream,
            const directory::Record& record,
            Instant now) {
  if (record.phase != Phase::kServing ||
      steering.view.domains_out.contains(record.failure_domain)) {
    return Rank::kNever;
  }
  auto domain = steering.domains.find(record.failure_domain);
  bool is_avoided =
      now < upstream.reachability.avoid_deadline ||
      (domain != steering.domains.end() && now < domain->second.avoid_deadline);
  bool is_out_of_reach = steering.is_cut_off && !upstream.candidate.is_local;
  bool is_doubtful = is_avoided || is_out_of_reach ||
                     now < upstream.suspect_deadline ||
                     IsSilent(steering, upstream);
  return is_doubtful ? Rank::kDoubtful : Rank::kGood;
}

// Whether the host's part of what a cold upstream bears has room for one flow.
bool HasColdRoom(const TagSteering& steering,
                 TagUpstream& upstream,
                 double limit,
                 Instant now) {
  auto& gate = upstream.cold_gate;
  if (gate.counted_at == Instant()) {
    gate.counted_at = now;
  }
  double seconds = std::chrono::duration<double>(now - gate.counted_at).count();
  double part = steering.entry_hosts > 0 ? limit / steering.entry_hosts : 0;
  gate.tokens = std::min(1.0, gate.tokens + std::max(0.0, seconds) * part);
  gate.counted_at = now;
  return gate.tokens >= 1;
}

// Fills the scratch lists with the service's upstreams of the best rank.
void CollectCandidates(TagSteering& steering,
                       std::string_view service,
                       Instant now) {
  auto& candidates = steering.scratch_candidates;
  auto& upstreams = steering.scratch_upstreams;
  candidates.clear();
  upstreams.clear();
  auto list = steering.by_service.find(service);
  if (list == steering.by_service.end()) {
    return;
  }
  auto best = Rank::kDoubtful;
  double cold_limit = ColdLimit(steering, service);
  for (auto* upstream : list->second) {
    const auto& entry = *upstream->entry;
    auto rank = RankOf(steering, *upstream, entry.record, now);
    if (rank > best || IsSuperseded(steering, entry.record)) {
      continue;
    }
    upstream->candidate.is_cold = now < entry.cold_deadline;
    bool is_full = upstream->candidate.is_cold && cold_limit > 0 &&
                   !HasColdRoom(steering, *upstream, cold_limit, now);
    if (is_full) {
      continue;
    }
    if (rank < best) {
      candidates.clear();
      upstreams.clear();
      best = rank;
    }
    candidates.push_back(&upstream->candidate);
    upstreams.push_back(upstream);
  }
}

// The service of the listener that this flow belongs to; the same for all
// copies and on every host.
const std::string& ServiceOf(const catalog::Listener& listener,
                             uint64_t flow_hash) {
  uint64_t total = 0;
  for (const auto& target : listener.targets) {
    total += target.weight;
  }
  uint64_t point = total > 0 ? (flow_hash >> 16U) % total : 0;
  for (const auto& target : listener.targets) {
    if (point < target.weight) {
      return target.service;
    }
    point -= target.weight;
  }
  return listener.targets.back().service;
}

TagDecision Forward(const TagUpstream& upstream, TagReason reason) {
  return {TagVerdict::kForward, reason, upstream.id, upstream.endpoint,
          upstream.tag};
}

void CountUnanswered(Reachability& reachability, uint32_t most, Instant now) {
  ++reachability.unanswered;
  if (reachability.unanswered < most || now < reachability.avoid_deadline) {
    return;
  }
  reachability.avoid_deadline = now + reachability.avoid_time;
  reachability.avoid_time =
      std::min(reachability.avoid_time * 2, kAvoidTimeMax);
}

const std::string& DomainNameOf(const TagUpstream& upstream) {
  return upstream.entry->record.failure_domain;
}

Reachability& DomainOf(TagSteering& steering, const TagUpstream& upstream) {
  return steering.domains[DomainNameOf(upstream)];
}

// Openings without an answer that a failure domain is allowed.
uint32_t MaxUnansweredInDomain(const TagSteering& steering,
                               const TagUpstream& upstream) {
  bool is_quiet = steering.quiet_domains.contains(DomainNameOf(upstream));
  return is_quiet ? kMaxUnansweredInQuietDomain : kMaxUnansweredInDomain;
}

void OnAnswered(TagSteering& steering, TagUpstream& upstream) {
  upstream.reachability = {};
  DomainOf(steering, upstream) = {};
}

void NoteTrouble(TagSteering& steering, TagUpstream& upstream) {
  if (upstream.troubles++ == 0) {
    steering.troubled.push_back(upstream.id);
  }
}

void OnUnanswered(TagSteering& steering, TagUpstream& upstream, Instant now) {
  ++steering.counts.unanswered;
  NoteTrouble(steering, upstream);
  CountUnanswered(upstream.reachability, kMaxUnanswered, now);
  CountUnanswered(DomainOf(steering, upstream),
                  MaxUnansweredInDomain(steering, upstream), now);
}

void CountAnswer(TagCounts& counts, Duration time) {
  double seconds = std::chrono::duration<double>(time).count();
  size_t i = 0;
  while (i < kAnswerBounds.size() && seconds > kAnswerBounds[i]) {
    ++i;
  }
  ++counts.answers[i];
  counts.answer_seconds += seconds;
}

// Lets one opening try what did not answer before; others wait for its outcome.
void HoldBackOthers(Reachability& reachability, uint32_t most, Instant now) {
  if (reachability.unanswered >= most && now >= reachability.avoid_deadline) {
    reachability.avoid_deadline = now + kOpenTimeout;
  }
}

TagUpstream* FindTag(TagSteering& steering, Tag tag) {
  auto it = steering.by_tag.find(tag);
  return it == steering.by_tag.end() ? nullptr : it->second;
}

void Remember(TagSteering& steering,
              const Opening& opening,
              uint64_t flow_hash,
              Tag tag,
              Instant now) {
  uint32_t slot = SlotOf(flow_hash);
  steering.recent[slot] = {flow_hash, opening.sequence, tag, now, false};
  steering.awaiting.push_back(slot);
}

// Chooses an upstream for a new flow, not the one with the tag `passed_over`.
TagDecision Place(TagSteering& steering,
                  const std::string& service,
                  Tag passed_over,
                  Instant now) {
  CollectCandidates(steering, service, now);
  const auto& upstreams = steering.scratch_upstreams;
  int excluded = -1;
  for (size_t i = 0; i < upstreams.size(); ++i) {
    if (upstreams[i]->tag == passed_over && upstreams.size() > 1) {
      excluded = static_cast<int>(i);
    }
  }
  int chosen = PickCandidate(steering.rotations[service],
                             steering.scratch_candidates, excluded, now);
  if (chosen < 0) {
    return {TagVerdict::kReset, TagReason::kNoUpstream, 0, {}, 0};
  }
  auto& upstream = *upstreams[chosen];
  if (upstream.candidate.is_cold) {
    upstream.cold_gate.tokens -= 1;
  }
  HoldBackOthers(upstream.reachability, kMaxUnanswered, now);
  HoldBackOthers(DomainOf(steering, upstream),
                 MaxUnansweredInDomain(steering, upstream), now);
  return Forward(upstream, TagReason::kPlaced);
}

}  // namespace

Tag TagOf(directory::UpstreamId id) {
  auto tag = static_cast<Tag>(id ^ (id >> 32U));
  return tag == 0 ? 1 : tag;
}

TagSteering MakeTagSteering(std::string failure_domain, uint64_t seed) {
  TagSteering steering;
  steering.failure_domain = std::move(failure_domain);
  steering.random.seed(seed);
  steering.recent.resize(kRecentOpenings);
  steering.recent_data.resize(kRecentData);
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

// Whether the host has just gone on after standing still.
bool IsStalled(const TagSteering& steering, Instant now) {
  bool has_ticked = steering.ticked_at != Instant();
  return now < steering.stall_deadline ||
         (has_ticked && now > steering.ticked_at + kStallTime);
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
  auto& recent = steering.recent[SlotOf(hash)];
  bool is_known =
      recent.flow_hash == hash && recent.sequence == opening.sequence;
  auto* first = is_known ? FindTag(steering, recent.tag) : nullptr;
  bool has_time =
      first && (recent.is_answered || now < recent.placed_at + kAnswerTimeout);
  if (has_time) {
    return Forward(*first, TagReason::kCopy);
  }
  if (first) {
    OnUnanswered(steering, *first, now);
  }
  auto decision = Place(steering, ServiceOf(*it->second, hash),
                        first ? first->tag : 0, now);
  if (decision.verdict == TagVerdict::kForward) {
    Remember(steering, opening, hash, decision.tag, now);
  }
  if (first && decision.verdict == TagVerdict::kForward) {
    decision.reason = TagReason::kReplaced;
  }
  return decision;
}

TagDecision DecideTagged(TagSteering& steering,
                         const TaggedFlow& flow,
                         Tag tag,
                         uint32_t requests,
                         Instant now) {
  auto* upstream = FindTag(steering, tag);
  if (!upstream) {
    return {TagVerdict::kDrop, TagReason::kUnknownTag, 0, {}, tag};
  }
  uint64_t hash = HashFlow(flow);
  auto& recent = steering.recent[SlotOf(hash)];
  if (recent.flow_hash == hash && !recent.is_answered) {
    recent.is_answered = true;
    OnAnswered(steering, *upstream);
    CountAnswer(steering.counts, now - recent.placed_at);
  }
  if (requests > 0) {
    CountLoad(upstream->candidate.load, requests, now);
  }
  return Forward(*upstream, TagReason::kByTag);
}

void Count(TagSteering& steering, const TagDecision& decision) {
  ++steering.counts.decisions[static_cast<size_t>(decision.reason)];
}

}  // namespace

TagDecision OnOpening(TagSteering& steering,
                      const Opening& opening,
                      Instant now) {
  auto decision = DecideOpening(steering, opening, now);
  if (decision.verdict == TagVerdict::kReset && !steering.is_complete) {
    decision = {};
  }
  Count(steering, decision);
  return decision;
}

namespace {

// One request is one trouble, however often it is sent again.
void NoteUnanswered(TagSteering& steering, RecentData& recent, Tag tag) {
  auto* upstream = recent.is_unanswered ? nullptr : FindTag(steering, tag);
  recent.is_unanswered = true;
  if (upstream) {
    NoteTrouble(steering, *upstream);
  }
}

}  // namespace

bool OnProgress(TagSteering& steering,
                const TaggedFlow& flow,
                Tag tag,
                const Progress& progress) {
  uint64_t flow_hash = HashFlow(flow);
  auto& recent = steering.recent_data[flow_hash % kRecentData];
  bool is_known = recent.flow_hash == flow_hash;
  if (progress.has_data) {
    bool is_repeated = is_known && recent.sequence == progress.sequence;
    if (is_repeated) {
      ++steering.counts.repeated;
      NoteUnanswered(steering, recent, tag);
    } else {
      recent = {flow_hash, progress.sequence, progress.acknowledged, false};
    }
    return is_repeated;
  }
  bool has_given_up = progress.is_closing && is_known &&
                      recent.acknowledged == progress.acknowledged;
  if (has_given_up) {
    ++steering.counts.given_up;
    NoteUnanswered(steering, recent, tag);
  }
  return false;
}

std::vector<directory::UpstreamFailures> TakeTroubles(TagSteering& steering) {
  std::vector<directory::UpstreamFailures> troubles;
  for (auto id : std::exchange(steering.troubled, {})) {
    auto it = steering.upstreams.find(id);
    if (it != steering.upstreams.end()) {
      troubles.push_back({id, std::exchange(it->second.troubles, 0)});
    }
  }
  return troubles;
}

void OnSuspect(TagSteering& steering,
               directory::UpstreamId id,
               Duration time,
               Instant now) {
  auto it = steering.upstreams.find(id);
  if (it != steering.upstreams.end()) {
    it->second.suspect_deadline = now + time;
  }
}

TagDecision OnTagged(TagSteering& steering,
                     const TaggedFlow& flow,
                     Tag tag,
                     uint32_t requests,
                     Instant now) {
  auto decision = DecideTagged(steering, flow, tag, requests, now);
  Count(steering, decision);
  return decision;
}

double RemotePart(const TagSteering& steering, Instant now) {
  std::map<std::string_view, double> load;
  std::set<std::string_view> local;
  double total = 0;
  for (const auto& [id, entry] : steering.directory.entries) {
    const auto& upstream = steering.upstreams.at(id);
    double requests = LoadAt(upstream.candidate.load, now);
    load[entry.record.service] += requests;
    total += requests;
    bool takes_flows =
        RankOf(steering, upstream, entry.record, now) == Rank::kGood;
    if (upstream.candidate.is_local && takes_flows) {
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
    steering.stall_deadline = now + kStallRecovery;
  }
  steering.ticked_at = now;
  while (!steering.awaiting.empty()) {
    auto& recent = steering.recent[steering.awaiting.front()];
    if (!recent.is_answered && now < recent.placed_at + kOpenTimeout) {
      return;
    }
    steering.awaiting.pop_front();
    auto* upstream = FindTag(steering, recent.tag);
    if (!recent.is_answered && upstream) {
      OnUnanswered(steering, *upstream, now);
    }
    recent.is_answered = true;
  }
}

std::string_view TagReasonName(TagReason reason) {
  switch (reason) {
    case TagReason::kPlaced:
      return "placed";
    case TagReason::kCopy:
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
    case TagReason::kStalled:
      return "stalled";
  }
  return "unknown_tag";
}

}  // namespace acaciahold::steering
