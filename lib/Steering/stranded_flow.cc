// Weighs the evidence that an open flow's upstream is gone or out of reach.

#include "acaciahold/Steering/stranded_flow.h"

#include <algorithm>

namespace acaciahold::steering {
namespace {

// Returns how long after the request its n-th retransmission comes at the
// earliest, if the caller's timer caused it.
Duration MinWait(uint32_t retransmissions) {
  switch (retransmissions) {
    case 1:
      return kFirstWait;
    case 2:
      return kSecondWait;
    default:
      return kThirdWait;
  }
}

// Whether the request was retransmitted at least n times, its upstream showed
// no sign of life here since it was sent, and others did.
bool IsUnanswered(const FlowEvidence& evidence, uint32_t n, Instant now) {
  return evidence.retransmissions >= n &&
         now >= evidence.sent_at + MinWait(n) &&
         evidence.upstream.alive_at < evidence.sent_at &&
         evidence.host.previous_alive_at > evidence.sent_at;
}

uint32_t RecentOverdue(const Sight& sight, Instant now) {
  return now < sight.overdue_at + kOverdueTime ? sight.overdue : 0;
}

void Clear(Sight& sight, Instant alive_at) {
  Instant latest = std::max(sight.alive_at, alive_at);
  sight = {};
  sight.alive_at = latest;
}

// Adds a request or opening that is overdue. Returns false if it does not
// count, since a sign of life came after it was sent.
bool Count(Sight& sight, Instant sent_at, Instant now) {
  if (sight.alive_at >= sent_at) {
    return false;
  }
  if (RecentOverdue(sight, now) == 0) {
    Clear(sight, sight.alive_at);
    sight.overdue_since = sent_at;
  }
  sight.overdue_since = std::min(sight.overdue_since, sent_at);
  sight.overdue_at = now;
  ++sight.overdue;
  return true;
}

// Whether more than this one request shows that the upstream does not answer.
bool IsUnansweredForLong(const FlowEvidence& evidence, Instant now) {
  return RecentOverdue(evidence.upstream, now) >= kMinOverdue &&
         IsUnanswered(evidence, 3, now);
}

// Whether the request was left unanswered for so long that a suspicion, silence
// or departure of the upstream is believed. While there is room, an upstream
// that lives has answered before the second retransmission, or rejected the
// request. Otherwise it may wait in a queue.
bool IsUnansweredBesides(const FlowEvidence& evidence, Instant now) {
  if (evidence.has_room) {
    return IsUnanswered(evidence, 2, now);
  }
  return !evidence.is_service_late && !evidence.is_widespread &&
         IsUnansweredForLong(evidence, now);
}

// Whether the upstream answered until it left the first request overdue. Of one
// that was not in use, it is not known how soon it answers.
bool WasInUse(const FlowEvidence& evidence, Instant now) {
  const auto& upstream = evidence.upstream;
  Instant unanswered_since = RecentOverdue(upstream, now) > 0
                                 ? upstream.overdue_since
                                 : evidence.sent_at;
  return unanswered_since < upstream.alive_at + kUseTime;
}

bool IsDark(const FlowEvidence& evidence, Instant now) {
  const auto& upstream = evidence.upstream;
  if (now >= evidence.dark_deadline) {
    return false;
  }
  if (evidence.is_service_late) {
    return IsUnansweredForLong(evidence, now);
  }
  // The digest may be a second old, and a frozen upstream may have resumed
  // since. So the first packet of a request is reset only on this host's own
  // fresh evidence.
  bool is_fresh = upstream.overdue >= kMinFreshOverdue &&
                  now < upstream.overdue_at + kFreshOverdueTime &&
                  evidence.host.previous_alive_at > upstream.overdue_since;
  bool has_overdue = RecentOverdue(upstream, now) > 0;
  return (evidence.is_new_request && is_fresh) ||
         (has_overdue && IsUnanswered(evidence, 1, now)) ||
         IsUnanswered(evidence, 2, now);
}

bool IsOutOfReach(const FlowEvidence& evidence, Instant now) {
  const auto& domain = evidence.domain;
  uint32_t overdue = RecentOverdue(domain.sight, now);
  bool has_several = domain.has_several_overdue && overdue >= 2;
  if (!evidence.is_domain_unheard || !has_several) {
    return false;
  }
  if (evidence.has_room) {
    return IsUnanswered(evidence, 2, now);
  }
  bool is_long = now >= domain.sight.overdue_since + kDomainSilence;
  return !evidence.is_service_late && overdue >= kMinDomainOverdue &&
         IsUnanswered(evidence, is_long ? 2 : 3, now);
}

}  // namespace

void OnSignOfLife(Sight& upstream,
                  DomainSight& domain,
                  HostSight& host,
                  Instant at) {
  if (upstream.overdue == 0 || at >= upstream.overdue_since) {
    Clear(upstream, at);
  }
  if (domain.sight.overdue == 0 || at >= domain.sight.overdue_since) {
    Clear(domain.sight, at);
    domain.has_several_overdue = false;
  }
  host.previous_alive_at =
      std::max(host.previous_alive_at, std::min(host.alive_at, at));
  host.alive_at = std::max(host.alive_at, at);
}

void OnOverdue(Sight& upstream,
               DomainSight& domain,
               directory::UpstreamId id,
               Instant sent_at,
               Instant now) {
  Count(upstream, sent_at, now);
  if (!Count(domain.sight, sent_at, now)) {
    return;
  }
  if (domain.sight.overdue == 1) {
    domain.overdue_upstream = id;
    domain.has_several_overdue = false;
  }
  domain.has_several_overdue |= domain.overdue_upstream != id;
}

void UpdateTrust(HostSight& host, Instant ticked_at, Instant now) {
  if (ticked_at == Instant()) {
    host.trusted_from = now + kStartTime;
  } else if (now > ticked_at + kMaxTickInterval) {
    host.trusted_from = std::max(host.trusted_from, now + kCatchUpTime);
  }
}

StrandedCause FindStranded(const FlowEvidence& evidence, Instant now) {
  const auto& host = evidence.host;
  bool is_trusted = host.trusted_from != Instant() && now >= host.trusted_from;
  if (!evidence.is_idempotent || !is_trusted) {
    return StrandedCause::kNone;
  }
  if (IsDark(evidence, now)) {
    return StrandedCause::kDark;
  }
  if (IsOutOfReach(evidence, now)) {
    return StrandedCause::kOutOfReach;
  }
  if (!WasInUse(evidence, now) || !IsUnansweredBesides(evidence, now)) {
    return StrandedCause::kNone;
  }
  if (evidence.is_gone) {
    return StrandedCause::kGone;
  }
  if (evidence.is_silent) {
    return StrandedCause::kSilent;
  }
  return now < evidence.suspect_deadline ? StrandedCause::kSuspected
                                         : StrandedCause::kNone;
}

std::string_view StrandedCauseName(StrandedCause cause) {
  switch (cause) {
    case StrandedCause::kNone:
      return "none";
    case StrandedCause::kDark:
      return "dark";
    case StrandedCause::kSuspected:
      return "suspected";
    case StrandedCause::kGone:
      return "gone";
    case StrandedCause::kSilent:
      return "silent";
    case StrandedCause::kOutOfReach:
      return "out_of_reach";
  }
  return "none";
}

}  // namespace acaciahold::steering
