// Decides whether to reset an open flow because its upstream is gone or out of
// reach. Performs no I/O.
//
// It is designed for upstreams that die, freeze or are cut off while flows are
// open: each later packet carries the upstream's tag and is lost, and the
// caller waits until it gives up. After a reset, the caller of a route whose
// requests may be repeated tries again on a new flow while there is time.
//
// A flow whose upstream lives and is in reach must never be reset. So no single
// sign suffices: other hosts, or the announcements and control hosts, must show
// that the upstream does not answer; this host must have seen no sign of life
// from it since it forwarded the request; the request must have been
// retransmitted, or be a new one while others are freshly overdue at a dark
// upstream (see kFreshOverdueTime); and other upstreams must have answered
// meanwhile, so that this host's own link is not the cause.

#ifndef ACACIAHOLD_STEERING_STRANDED_FLOW_H_
#define ACACIAHOLD_STEERING_STRANDED_FLOW_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

#include "acaciahold/Directory/directory.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::steering {

// What this host has seen of an upstream or of a failure domain. Overdue are
// unanswered openings and requests that were retransmitted twice, since callers
// of slow upstreams often retransmit once; each counts once. Load reports count
// a request as overdue once it is retransmitted or given up.
struct Sight {
  // An upstream showed a sign of life at or after this time; unset if none did.
  Instant alive_at;
  Instant overdue_since;  // When the first overdue one was sent.
  Instant overdue_at;     // When the last one was seen to be overdue.
  uint32_t overdue = 0;   // Without a sign of life since `overdue_since`.
};

struct DomainSight {
  Sight sight;
  directory::UpstreamId overdue_upstream = 0;  // The first overdue one.
  bool has_several_overdue = false;  // More upstreams than that are overdue.
};

// Whether what this host sees can be trusted.
struct HostSight {
  // Nothing is reset before; unset if this host has just started.
  Instant trusted_from;
  // The last two signs of life of any upstreams, the later one first.
  Instant alive_at;
  Instant previous_alive_at;
};

enum class StrandedCause {
  kNone,        // Not stranded, or not known to be.
  kDark,        // The hosts are sure that the upstream answers nothing.
  kSuspected,   // The hosts suspect the upstream.
  kGone,        // The upstream has left.
  kSilent,      // The upstream's announcements have stopped.
  kOutOfReach,  // This host does not reach the upstream's failure domain.
};
inline constexpr size_t kStrandedCauses =
    static_cast<size_t>(StrandedCause::kOutOfReach) + 1;

// What is known about the flow of a later packet.
struct FlowEvidence {
  bool is_idempotent = false;   // The listener's requests may be repeated.
  bool is_new_request = false;  // The packet begins a request.
  // Retransmissions of the request, and when this host first forwarded it.
  uint32_t retransmissions = 0;
  Instant sent_at;
  Sight upstream;
  Instant dark_deadline;     // Of the upstream; see TagUpstream.
  Instant suspect_deadline;  // Likewise.
  bool is_gone = false;      // The upstream has left.
  bool is_silent = false;    // No feed receives its announcements.
  // A request of the service was recently answered after two retransmissions,
  // so that one without an answer says little.
  bool is_service_late = false;
  // Half of the service's upstreams are suspected or became silent lately: the
  // reports or the path of the announcements may be the cause.
  bool is_widespread = false;
  // All hosts together see room for the requests of the service, so that no
  // upstream in use has a queue for which a request waits so long.
  bool has_room = false;
  // This host hears no control host of the upstream's failure domain.
  bool is_domain_unheard = false;
  DomainSight domain;
  HostSight host;
};

// The evidence for the last flow that was reset, for the log.
struct Stranding {
  StrandedCause cause = StrandedCause::kNone;
  FlowEvidence evidence;
};

// Callers retransmit data after 200, 600 and 1,400 ms. Copies that arrive much
// earlier were held up on the way, and show nothing.
inline constexpr Duration kFirstWait = std::chrono::milliseconds(150);
inline constexpr Duration kSecondWait = std::chrono::milliseconds(500);
inline constexpr Duration kThirdWait = std::chrono::milliseconds(1'200);
// Overdue ones are forgotten after this time. Longer than the time between two
// probes of what is avoided, see kMaxAvoidDuration.
inline constexpr Duration kOverdueTime = std::chrono::seconds(5);
// How recently an upstream that is dark must have left requests overdue here so
// that the next request is not even tried.
inline constexpr Duration kFreshOverdueTime = std::chrono::seconds(2);
inline constexpr uint32_t kMinFreshOverdue = 2;
// Overdue ones at an upstream, with the flow's own, without which a suspicion
// is not enough.
inline constexpr uint32_t kMinOverdue = 2;
// Overdue ones in a failure domain from which it counts as out of reach. Lost
// packets cause single ones.
inline constexpr uint32_t kMinDomainOverdue = 4;
// How long such a domain must have been without a sign of life until a second
// retransmission is enough; else the third is awaited. Longer than an answer
// takes in full queues.
inline constexpr Duration kDomainSilence = std::chrono::seconds(2);
// After a start, the reports of other hosts and of feeds are incomplete, and
// this host has seen few signs of life.
inline constexpr Duration kStartTime = std::chrono::seconds(2);
// A longer interval between ticks means that packets waited here, so that
// answers may have been seen late. Below kStallThreshold, since a wrong reset
// costs more than a dropped opening.
inline constexpr Duration kMaxTickInterval = std::chrono::milliseconds(350);
// How long nothing is reset after that.
inline constexpr Duration kCatchUpTime = std::chrono::seconds(2);
// An upstream without a sign of life for this time is not in use here.
inline constexpr Duration kUseTime = std::chrono::seconds(5);
// How long an upstream counts as having become silent lately.
inline constexpr Duration kSilenceMemory = std::chrono::seconds(10);
// How long a late answer casts doubt on a service.
inline constexpr Duration kLateAnswerTime = std::chrono::seconds(5);

// An upstream answered, or showed another sign of life, at or after `at`.
void OnSignOfLife(Sight& upstream,
                  DomainSight& domain,
                  HostSight& host,
                  Instant at);

// A request or an opening that was sent to the upstream at `sent_at` is
// overdue.
void OnOverdue(Sight& upstream,
               DomainSight& domain,
               directory::UpstreamId id,
               Instant sent_at,
               Instant now);

// Must be called at each tick; `ticked_at` is the time of the one before, unset
// at the first.
void UpdateTrust(HostSight& host, Instant ticked_at, Instant now);

// Returns why to reset the flow, or kNone to forward the packet.
StrandedCause FindStranded(const FlowEvidence& evidence, Instant now);

std::string_view StrandedCauseName(StrandedCause cause);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_STEERING_STRANDED_FLOW_H_
