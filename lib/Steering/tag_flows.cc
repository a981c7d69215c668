// Decides on later packets of flows, and learns from them which upstreams
// answer.

#include "tag_flows.h"

#include <algorithm>
#include <utility>

#include "acaciahold/Support/hash.h"
#include "tag_load.h"
#include "tag_owner.h"

namespace acaciahold::steering {
namespace {

// How long after the n-th retransmission of data the next one is seen at the
// latest, if the caller sends one; or, at the second chance, the one after
// that. Allows for callers' timers that run late.
Duration RepeatTime(uint32_t n, bool is_second_chance) {
  constexpr Duration kInterval = std::chrono::milliseconds(200);
  constexpr Duration kMargin = std::chrono::milliseconds(150);
  Duration next = kInterval * (1U << n);
  return kMargin + (is_second_chance ? 3 * next : next);
}

void OnAnswered(TagSteering& steering, TagUpstream& upstream) {
  upstream.reachability = {};
  DomainOf(steering, upstream) = {};
}

void CountAnswer(TagCounters& counts, Duration time) {
  double seconds = std::chrono::duration<double>(time).count();
  size_t i = 0;
  while (i < kAnswerBounds.size() && seconds > kAnswerBounds[i]) {
    ++i;
  }
  ++counts.answers[i];
  counts.answer_seconds += seconds;
}

void NoteLife(TagSteering& steering, TagUpstream& upstream, Instant at) {
  OnSignOfLife(upstream.sight, DomainSightOf(steering, upstream),
               steering.sight, at);
}

// Notes what the packet shows about the upstream; see Sight.
void NoteProgress(TagSteering& steering,
                  TagUpstream& upstream,
                  const RequestProgress& result,
                  Instant now) {
  if (result.is_alive || result.is_answered) {
    NoteLife(steering, upstream, result.is_prompt ? now : result.sent_at);
  }
  if (result.is_answered && result.retransmissions >= 2) {
    steering.services.find(upstream.service)->second.late_answer_at = now;
  }
  if (result.is_failure) {
    upstream.previous_repeated_at = std::exchange(upstream.repeated_at, now);
  }
  bool is_overdue = result.is_repeated && result.retransmissions == 2 &&
                    now >= result.sent_at + kSecondWait;
  if (is_overdue) {
    OnOverdue(upstream.sight, DomainSightOf(steering, upstream), upstream.id,
              result.sent_at, now);
  }
}

// Remembers to check for the next retransmission of the flow's data.
void AwaitRepeat(TagSteering& steering,
                 uint64_t flow_hash,
                 const TagUpstream& upstream,
                 Endpoint listener,
                 Instant now) {
  const auto* request = FindRequest(steering.requests, flow_hash);
  bool is_awaited = request && request->has_data && !request->is_answered &&
                    request->is_from_start && request->packets == 1 &&
                    request->retransmissions < kAwaitedRepeats;
  if (is_awaited) {
    uint32_t n = request->retransmissions;
    steering.awaited_repeats[n].push_back(
        {flow_hash, upstream.id, listener, request->data_sent_at, now});
  }
}

// Whether the request is still open and was not retransmitted since `awaited`.
bool IsQuiet(const TrackedRequest& request,
             const AwaitedRepeat& awaited,
             uint32_t retransmissions) {
  return !request.is_answered && !request.is_closed &&
         !request.is_presumed_answered && request.packets == 1 &&
         request.data_sent_at == awaited.data_sent_at &&
         request.retransmissions == retransmissions;
}

// Handles data whose n-th retransmission was followed by no other in time.
// While other requests at the upstream are retransmitted or overdue, the
// missing retransmission may have been lost, and the one after it is awaited.
void PresumeAnswer(TagSteering& steering,
                   const AwaitedRepeat& awaited,
                   uint32_t n,
                   bool is_second_chance) {
  auto* upstream = FindUpstream(steering, awaited.upstream);
  auto* request = FindRequest(steering.requests, awaited.flow_hash);
  if (!upstream || !request || !IsQuiet(*request, awaited, n)) {
    return;
  }
  bool is_doubtful = upstream->sight.overdue > 0 ||
                     upstream->previous_repeated_at > awaited.sent_at;
  if (!is_second_chance && is_doubtful) {
    steering.awaited_again[n].push_back(awaited);
    return;
  }
  PresumeAnswered(*request);
  NoteLife(steering, *upstream, awaited.sent_at);
  CountPresumedAnswer(steering, *upstream, awaited.listener);
}

// Checks the requests that are due, in order of `sent_at`.
void PresumeAnswers(TagSteering& steering,
                    std::deque<AwaitedRepeat>& queue,
                    uint32_t n,
                    bool is_second_chance,
                    Instant now) {
  auto time = RepeatTime(n, is_second_chance);
  while (!queue.empty() && now >= queue.front().sent_at + time) {
    PresumeAnswer(steering, queue.front(), n, is_second_chance);
    queue.pop_front();
  }
}

bool IsIdempotent(const TagSteering& steering, Endpoint listener) {
  auto it = steering.listeners.find(PackEndpoint(listener));
  return it != steering.listeners.end() &&
         it->second->terms.repetition == catalog::Repetition::kIdempotent;
}

bool IsDomainUnheard(const TagSteering& steering, const TagUpstream& upstream) {
  if (upstream.candidate.domain == kOwnDomain) {
    return false;
  }
  return steering.is_cut_off ||
         steering.domains_without_control.contains(DomainNameOf(upstream));
}

// Whether half of the service's upstreams became silent lately or are suspected
// now. Those that have been gone or silent for longer don't count.
bool IsWidespread(const TagSteering& steering,
                  const TagService& service,
                  Instant now) {
  size_t doubtful = 0;
  size_t all = 0;
  for (const auto* it : service.upstreams) {
    bool is_silent = IsSilent(steering, *it);
    bool is_old = is_silent && now >= it->entry->heard_at + kSilenceMemory;
    if (IsGone(*it) || is_old) {
      continue;
    }
    ++all;
    doubtful += is_silent || now < it->suspect_deadline ? 1 : 0;
  }
  return doubtful > 0 && 2 * doubtful >= all;
}

// Whether answers of the service usually come long before the second
// retransmission. Of requests that need much work, one without an answer so far
// says little.
bool IsQuick(const ServiceLoad& load) {
  constexpr auto kQuickSeconds =
      std::chrono::duration<double>(kSecondWait).count() / 3;
  return load.response_seconds > 0 && load.response_seconds < kQuickSeconds;
}

// Whether there is evidence against the upstream besides the flow itself. Else
// the whole evidence need not be collected.
bool IsInDoubt(const TagSteering& steering,
               const TagUpstream& upstream,
               Instant now) {
  return now < upstream.dark_deadline || now < upstream.suspect_deadline ||
         IsGone(upstream) || IsSilent(steering, upstream) ||
         IsDomainUnheard(steering, upstream);
}

// Returns the evidence for a flow of an idempotent route, without that of its
// own request.
FlowEvidence EvidenceOf(TagSteering& steering,
                        const TagUpstream& upstream,
                        Instant now) {
  const auto& service = steering.services.find(upstream.service)->second;
  FlowEvidence evidence;
  evidence.is_idempotent = true;
  evidence.upstream = upstream.sight;
  evidence.dark_deadline = upstream.dark_deadline;
  evidence.suspect_deadline = upstream.suspect_deadline;
  evidence.is_gone = IsGone(upstream);
  evidence.is_silent = IsSilent(steering, upstream);
  evidence.is_service_late = service.late_answer_at != Instant() &&
                             now < service.late_answer_at + kLateAnswerTime;
  evidence.is_widespread = IsWidespread(steering, service, now);
  evidence.has_room = now < service.room_deadline && IsQuick(service.load) &&
                      !evidence.is_service_late;
  evidence.is_domain_unheard = IsDomainUnheard(steering, upstream);
  evidence.domain = DomainSightOf(steering, upstream);
  evidence.host = steering.sight;
  return evidence;
}

void CountStranded(TagSteering& steering,
                   uint64_t flow_hash,
                   StrandedCause cause) {
  ++steering.counts.strandings[static_cast<size_t>(cause)];
  auto* request = FindRequest(steering.requests, flow_hash);
  if (request) {
    request->is_closed = true;  // The caller stops retransmitting.
  }
}

// Returns whether to reset the flow whose packet OnProgress handled last; if
// so, records why.
bool IsStranded(TagSteering& steering,
                const TagUpstream& upstream,
                const TaggedFlow& flow,
                bool is_new_request,
                Instant now) {
  uint64_t hash = HashFlow(flow);
  bool is_repeated =
      steering.progress_flow == hash && steering.progress.is_repeated;
  bool is_asking = is_repeated || is_new_request;
  bool may_reset = steering.has_synced_feed && steering.hears_feed &&
                   IsIdempotent(steering, flow.listener);
  if (!is_asking || !may_reset || !IsInDoubt(steering, upstream, now)) {
    return false;
  }
  auto evidence = EvidenceOf(steering, upstream, now);
  evidence.is_new_request = is_new_request;
  if (!is_new_request) {
    evidence.retransmissions = steering.progress.retransmissions;
    evidence.sent_at = steering.progress.sent_at;
  }
  auto cause = FindStranded(evidence, now);
  if (cause == StrandedCause::kNone) {
    return false;
  }
  steering.last_stranding = {cause, evidence};
  CountStranded(steering, hash, cause);
  return true;
}

void RememberOverdue(TagSteering& steering,
                     uint64_t flow_hash,
                     const OverdueFlow& overdue) {
  bool has_room = steering.overdue_flows.size() < kMaxOverdueFlows ||
                  steering.overdue_flows.contains(flow_hash);
  if (has_room && IsIdempotent(steering, overdue.flow.listener)) {
    steering.overdue_flows[flow_hash] = overdue;
  }
}

// Returns the flow's request if it is still without an answer, else null.
const TrackedRequest* FindOverdue(TagSteering& steering,
                                  uint64_t flow_hash,
                                  const OverdueFlow& overdue,
                                  Instant now) {
  const auto* request = FindRequest(steering.requests, flow_hash);
  bool is_overdue = request && !request->is_answered && !request->is_closed &&
                    !request->is_presumed_answered &&
                    request->data_sent_at == overdue.data_sent_at &&
                    now < overdue.data_sent_at + kOverdueTime;
  return is_overdue ? request : nullptr;
}

// Decides on a packet of a flow that belongs to the upstream.
TagDecision DecideOwned(TagSteering& steering,
                        TagUpstream& upstream,
                        const TaggedFlow& flow,
                        uint64_t flow_hash,
                        Tag tag,
                        uint32_t requests,
                        Instant now) {
  auto& recent = steering.recent_openings[SlotOf(flow_hash)];
  if (recent.flow_hash == flow_hash && !recent.is_resolved) {
    recent.is_resolved = true;
    OnAnswered(steering, upstream);
    NoteLife(steering, upstream, now);
    CountAnsweredOpening(steering, upstream, flow.listener);
    CountAnswer(steering.counts, now - recent.placed_at);
  }
  if (IsStranded(steering, upstream, flow, requests > 0, now)) {
    return {TagVerdict::kReset, TagReason::kUpstreamGone, upstream.id, {}, tag};
  }
  if (requests > 0) {
    CountLoad(upstream.candidate.load, requests, now);
  }
  return Forward(upstream, tag, TagReason::kByTag);
}

// Decides on a packet whose tag several upstreams have, `owner` of which is
// that of the flow; null: it can't be told.
TagDecision DecideAmbiguous(TagSteering& steering,
                            TagUpstream* owner,
                            const TaggedFlow& flow,
                            uint64_t flow_hash,
                            Tag tag,
                            uint32_t requests,
                            Instant now) {
  auto clash = CountAmbiguousTag(steering, tag);
  TagDecision decision{TagVerdict::kDrop, TagReason::kAmbiguousTag, 0, {}, tag};
  if (owner) {
    decision =
        DecideOwned(steering, *owner, flow, flow_hash, tag, requests, now);
  }
  decision.clash = clash;
  return decision;
}

TagDecision DecideTagged(TagSteering& steering,
                         const TaggedFlow& flow,
                         Tag tag,
                         uint32_t requests,
                         Instant now) {
  uint64_t hash = HashFlow(flow);
  auto* upstream = FindOwner(steering, flow, hash, tag);
  if (steering.scratch_holders.size() > 1) {
    return DecideAmbiguous(steering, upstream, flow, hash, tag, requests, now);
  }
  if (!upstream) {
    return {TagVerdict::kDrop, TagReason::kUnknownTag, 0, {}, tag};
  }
  return DecideOwned(steering, *upstream, flow, hash, tag, requests, now);
}

}  // namespace

uint64_t HashFlow(const TaggedFlow& flow) {
  return CombineHashes(PackEndpoint(flow.caller), PackEndpoint(flow.listener));
}

uint32_t SlotOf(uint64_t flow_hash) {
  return flow_hash % kRecentOpeningSlots;
}

TagUpstream* FindUpstream(TagSteering& steering, directory::UpstreamId id) {
  auto it = steering.upstreams.find(id);
  return it == steering.upstreams.end() ? nullptr : &it->second;
}

bool IsGone(const TagUpstream& upstream) {
  return upstream.entry->record.phase == directory::Phase::kGone;
}

ServiceLoad& LoadOf(TagSteering& steering, const TagUpstream& upstream) {
  return steering.services.find(upstream.service)->second.load;
}

const std::string& DomainNameOf(const TagUpstream& upstream) {
  return upstream.entry->record.failure_domain;
}

Reachability& DomainOf(TagSteering& steering, const TagUpstream& upstream) {
  return steering.domains[DomainNameOf(upstream)];
}

DomainSight& DomainSightOf(TagSteering& steering, const TagUpstream& upstream) {
  return steering.domain_sights[DomainNameOf(upstream)];
}

TagDecision Forward(const TagUpstream& upstream, Tag tag, TagReason reason) {
  return {TagVerdict::kForward, reason, upstream.id, upstream.endpoint, tag};
}

void CountFailure(TagSteering& steering, TagUpstream& upstream) {
  if (upstream.failures++ == 0) {
    steering.failed_upstreams.push_back(upstream.id);
  }
}

void CountDecision(TagSteering& steering, const TagDecision& decision) {
  ++steering.counts.decisions[static_cast<size_t>(decision.reason)];
}

void PresumeAnswers(TagSteering& steering, Instant now) {
  for (uint32_t n = 0; n < kAwaitedRepeats; ++n) {
    PresumeAnswers(steering, steering.awaited_again[n], n, true, now);
    PresumeAnswers(steering, steering.awaited_repeats[n], n, false, now);
  }
}

bool OnProgress(TagSteering& steering,
                const TaggedFlow& flow,
                Tag tag,
                const Progress& progress,
                Instant now) {
  uint64_t hash = HashFlow(flow);
  auto* upstream = FindOwner(steering, flow, hash, tag);
  auto* load = upstream ? &LoadOf(steering, *upstream) : nullptr;
  auto* route_load =
      upstream ? &RouteOf(steering, *upstream, flow.listener) : nullptr;
  auto result =
      OnCallerPacket(steering.requests, hash, load, route_load, progress, now);
  steering.progress = result;
  steering.progress_flow = hash;
  steering.counts.repeated += result.is_repeated ? 1 : 0;
  steering.counts.given_up += result.is_given_up ? 1 : 0;
  if (upstream) {
    CountProgress(steering, *upstream, flow.listener, result);
    NoteProgress(steering, *upstream, result, now);
  }
  if (upstream && result.is_repeated) {
    RememberOverdue(
        steering, hash,
        {flow, upstream->id, tag, progress.acknowledged, result.sent_at});
  }
  if (upstream && progress.has_data) {
    AwaitRepeat(steering, hash, *upstream, flow.listener, now);
  }
  if (upstream && result.is_failure) {
    CountFailure(steering, *upstream);
  }
  return result.is_repeated;
}

TagDecision OnTagged(TagSteering& steering,
                     const TaggedFlow& flow,
                     Tag tag,
                     uint32_t requests,
                     Instant now) {
  auto decision = DecideTagged(steering, flow, tag, requests, now);
  CountDecision(steering, decision);
  return decision;
}

std::vector<StrandedFlow> TakeStrandedFlows(TagSteering& steering,
                                            Instant now) {
  std::vector<StrandedFlow> stranded;
  bool may_reset = steering.has_synced_feed && steering.hears_feed;
  std::erase_if(steering.overdue_flows, [&](const auto& it) {
    const auto& [hash, overdue] = it;
    const auto* request = FindOverdue(steering, hash, overdue, now);
    auto* upstream = FindUpstream(steering, overdue.upstream);
    if (!request || !upstream) {
      return true;
    }
    if (!may_reset || !IsInDoubt(steering, *upstream, now)) {
      return false;
    }
    auto evidence = EvidenceOf(steering, *upstream, now);
    evidence.retransmissions = request->retransmissions;
    evidence.sent_at = request->data_sent_at;
    auto cause = FindStranded(evidence, now);
    if (cause == StrandedCause::kNone) {
      return false;
    }
    CountStranded(steering, hash, cause);
    stranded.push_back({overdue.flow,
                        overdue.acknowledged,
                        upstream->id,
                        overdue.tag,
                        {cause, evidence}});
    return true;
  });
  return stranded;
}

}  // namespace acaciahold::steering
