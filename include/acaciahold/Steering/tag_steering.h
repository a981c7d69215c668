// Steers flows whose packets carry a tag that identifies the upstream. Both
// ends of a flow echo the tag. This code does no I/O.
//
// The entry host that receives a flow's opening packet chooses an upstream and
// writes a tag of the upstream into the packet; see flow_tags.h. Every later
// packet carries the tag, so any entry host, even one that has just started,
// can forward it to the same upstream without per-flow state. A packet whose
// tag may belong to several upstreams is dropped if nothing tells them apart:
// the wrong one would reset the flow. The only per-flow state is that of
// small caches: recent opening packets, last requests and overdue flows.
// Retransmissions of an opening packet go to the same upstream unless it did
// not answer, and an upstream that leaves several opening packets unanswered is
// avoided.

#ifndef ACACIAHOLD_STEERING_TAG_STEERING_H_
#define ACACIAHOLD_STEERING_TAG_STEERING_H_

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "acaciahold/Catalog/catalog.h"
#include "acaciahold/Directory/directory.h"
#include "acaciahold/Directory/failure_detector.h"
#include "acaciahold/Load/digests.h"
#include "acaciahold/Load/load.h"
#include "acaciahold/Steering/admission.h"
#include "acaciahold/Steering/flow_tags.h"
#include "acaciahold/Steering/overload.h"
#include "acaciahold/Steering/placement.h"
#include "acaciahold/Steering/reachability.h"
#include "acaciahold/Steering/request_tracker.h"
#include "acaciahold/Steering/stranded_flow.h"
#include "acaciahold/Support/address.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::steering {

struct TaggedFlow {
  Endpoint caller;
  Endpoint listener;

  bool operator==(const TaggedFlow&) const = default;
};

// An opening packet of a flow.
struct Opening {
  TaggedFlow flow;
  uint32_t sequence = 0;  // The caller's first sequence number.
  uint32_t copy = 0;      // 0 for the first packet, n for retransmission n.
};

enum class TagVerdict {
  kForward,
  kReset,  // Reset the flow; the caller may assume that no request was run.
  kDrop,
};

enum class TagReason {
  kPlaced,
  kRetransmission,  // Retransmission, sent to the upstream of the first packet.
  kReplaced,        // The upstream of the first packet did not answer.
  kByTag,           // Later packet, sent to the upstream of its tag.
  kNoListener,      // The catalog has no listener at the address.
  kNoTable,         // The catalog or the upstreams have not been received yet.
  kNoUpstream,      // No upstream of the service may take the flow.
  kUnknownTag,      // The upstream's record may not have been received yet.
  // Several upstreams have the tag, or each tag of a new flow.
  kAmbiguousTag,
  kStalled,     // This process was stalled and has not caught up yet.
  kOverloaded,  // The upstreams could not answer in time; see overload.h.
  kOutranked,   // The room is left to listeners that go first; see admission.h.
  // Open flow whose upstream is gone or out of reach; see stranded_flow.h.
  kUpstreamGone,
};
inline constexpr size_t kTagReasons =
    static_cast<size_t>(TagReason::kUpstreamGone) + 1;

// A tag that two upstreams have.
struct TagClash {
  directory::UpstreamId first = 0;
  directory::UpstreamId second = 0;
};

struct TagDecision {
  TagVerdict verdict = TagVerdict::kDrop;
  TagReason reason = TagReason::kNoTable;
  directory::UpstreamId upstream = 0;
  Endpoint endpoint;  // Of the upstream.
  Tag tag = 0;
  RefusalFacts facts = {};  // For kOverloaded and kOutranked only.
  // Set for the first packet with a tag that several upstreams have.
  std::optional<TagClash> clash = {};
};

// The upstream's answer to an opening packet reaches the caller within this
// time, or not at all. Shorter than the interval after which callers retransmit
// opening packets.
inline constexpr Duration kAnswerTimeout = std::chrono::milliseconds(150);
// A longer interval between calls of OnTick means that this process was
// stalled.
inline constexpr Duration kStallThreshold = std::chrono::seconds(1);
// After a stall, opening packets are dropped for this time, so that the process
// first reads the updates that its feeds (see FeedMask) sent meanwhile. Callers
// retransmit.
inline constexpr Duration kStallRecoveryTime = std::chrono::milliseconds(200);
// Token bucket that limits the new flows that this host sends to a cold
// upstream; each flow takes one token. It starts empty, so that hosts that
// learn of the upstream at the same time don't all send a flow at once.
struct ColdFlowLimiter {
  double tokens = 0;  // At most 1.
  Instant updated_at;
};

// Upper bounds in seconds of the histogram of the time between an opening and
// the flow's next packet.
inline constexpr std::array<double, 8> kAnswerBounds{0.005, 0.01, 0.02, 0.05,
                                                     0.1,   0.2,  0.45, 1.0};

// Counters for metrics.
struct TagCounters {
  std::array<uint64_t, kTagReasons> decisions{};  // By TagReason.
  std::array<uint64_t, kAnswerBounds.size() + 1> answers{};
  double answer_seconds = 0;  // Sum over all answered openings.
  uint64_t unanswered = 0;    // Openings.
  uint64_t repeated = 0;      // Retransmitted data packets.
  uint64_t given_up = 0;      // Flows that callers closed without an answer.
  // Later packets whose tag several upstreams have.
  uint64_t ambiguous = 0;
  // Tags that new flows did not get, since another upstream has them too.
  uint64_t clashes_avoided = 0;
  // New flows for which no upstream had a tag of its own.
  uint64_t clashes_refused = 0;
  // Openings refused for lack of room, by their listener's priority.
  std::map<uint32_t, uint64_t> refused;
  std::array<uint64_t, kStrandedCauses> strandings{};  // Flows reset by cause.
};

struct TagUpstream {
  directory::UpstreamId id = 0;
  Endpoint endpoint;  // Invariant: equals the endpoint in the directory.
  // Invariant: points to the upstream's entry in TagSteering::directory.
  const directory::Entry* entry = nullptr;
  // The service that lists the upstream in TagSteering::services.
  std::string service;
  PlacementCandidate candidate;
  Reachability reachability;
  ColdFlowLimiter cold_limiter;
  // Until then the upstream is suspected, from the failures that all entry
  // hosts reported.
  Instant suspect_deadline;
  // From load digests, see fitness.h. The speed relative to the others of the
  // service, in (0, 1]; counts as 1 from speed_deadline on.
  double speed = 1;
  Instant speed_deadline;
  // Until then several hosts are sure that the upstream answers nothing.
  Instant dark_deadline;
  Sight sight;
  // When the last two requests were first retransmitted or given up, the later
  // one first; unset if there were none.
  Instant repeated_at;
  Instant previous_repeated_at;
  // Failures since the last call of TakeFailures.
  uint32_t failures = 0;
  // A FeedMask: bit i is set if feed i receives no announcements of the
  // upstream.
  uint32_t silent_feeds = 0;
};

// A set of feeds. A feed is a control host's stream of updates; feeds are
// numbered from 0 to 31.
using FeedMask = uint32_t;

// An opening packet that was forwarded to an upstream.
struct RecentOpening {
  uint64_t flow_hash = 0;
  Endpoint listener;
  uint32_t sequence = 0;
  directory::UpstreamId upstream = 0;
  Tag tag = 0;
  Instant placed_at;
  // The flow's next packet was seen, or the opening was counted as unanswered.
  bool is_resolved = false;
};

// Number of slots for recent openings. A flow's hash selects its slot; a newer
// flow replaces an older one in the same slot.
inline constexpr size_t kRecentOpeningSlots = 2'048;

// A packet with data that the caller retransmits unless the upstream answers.
struct AwaitedRepeat {
  uint64_t flow_hash = 0;
  directory::UpstreamId upstream = 0;
  Endpoint listener;
  Instant data_sent_at;  // The first packet with this data.
  Instant sent_at;       // This packet.
};

// Retransmissions of the same data that are awaited. Callers may give up before
// later ones.
inline constexpr uint32_t kAwaitedRepeats = 2;

struct TagService {
  // Its upstreams, so that placing a flow does not scan those of other
  // services.
  std::vector<TagUpstream*> upstreams;
  StrideScheduler scheduler;
  // Until then the service counts as having room for its requests; see
  // kMaxBusyFraction.
  Instant room_deadline;
  ServiceLoad load;
  // The last request that was answered after two retransmissions; unset if
  // there was none.
  Instant late_answer_at;
  // By listener. Elements are never removed, since TagSteering::requests refers
  // to them.
  std::map<Endpoint, RouteLoad> routes;
};

// A flow of an idempotent route whose last request was retransmitted.
struct OverdueFlow {
  TaggedFlow flow;
  directory::UpstreamId upstream = 0;
  Tag tag = 0;
  uint32_t acknowledged = 0;  // The caller's acknowledgement number.
  Instant data_sent_at;       // Identifies the request.
};
// Maximum number of flows in TagSteering::overdue_flows.
inline constexpr size_t kMaxOverdueFlows = 1'024;

// Maximum number of tags in TagSteering::ambiguous_tags.
inline constexpr size_t kMaxAmbiguousTags = 1'024;
// Which of two upstreams was known first can be told if their starts are at
// least this far apart: their clocks differ, and records take a while to
// arrive.
inline constexpr Duration kStartOrderMargin = std::chrono::seconds(30);

// A flow to reset; its caller is not expected to send another packet in time.
struct StrandedFlow {
  TaggedFlow flow;
  uint32_t acknowledged = 0;
  directory::UpstreamId upstream = 0;
  Tag tag = 0;
  Stranding why;
};

// The state of an entry host that steers flows by tag.
struct TagSteering {
  std::string failure_domain;  // Of this host.
  std::mt19937_64 random;
  catalog::View view;
  directory::Directory directory;
  // Feeds whose initial synchronization is complete and that are not lost.
  FeedMask synced_feeds = 0;
  // At least one feed has completed its initial synchronization. Before that,
  // listeners and upstreams may exist that no feed has sent yet, so no flow is
  // reset.
  bool has_synced_feed = false;
  // Something arrived from a feed just now; open flows are reset only then.
  bool hears_feed = false;
  // No control host of another failure domain is reachable, so the upstreams of
  // other failure domains probably are not either.
  bool is_cut_off = false;
  std::map<std::string, Reachability> domains;  // By failure domain.
  // Digests of the feeds. Invariant: its is_cut_off equals this one's.
  load::DigestStore digests;
  // Other failure domains from whose control hosts this host receives nothing
  // although it follows them.
  std::set<std::string> domains_without_control;
  // Number of entry hosts, among which the slots and the new-flow limit of a
  // cold upstream are divided, and by which the coverage of digests is
  // measured. 0 if unknown: this host then sends no flows to cold upstreams,
  // since the other hosts may divide the limit by a number that does not
  // include it.
  uint32_t entry_hosts = 0;
  TagCounters counts;
  Instant ticked_at;       // Time of the last OnTick call; unset before it.
  Instant stall_deadline;  // Opening packets are dropped before this time.
  // Index of each failure domain that is or was known, from 0 on; this host's
  // own is placement's kOwnDomain.
  std::map<std::string, uint32_t, std::less<>> domain_indexes;
  // Invariant: one for each entry of `directory`.
  std::map<directory::UpstreamId, TagUpstream> upstreams;
  TagIndex tags;  // Of `upstreams`.
  // Whether new flows get flow tags. Else they get the tags that hosts of
  // earlier versions understand, unless another upstream has the same.
  bool writes_flow_tags = true;
  // Tags of packets that several upstreams have and that were reported.
  std::set<Tag> ambiguous_tags;
  // Services that have or had upstreams. Elements are never removed, since
  // `requests` refers to their loads.
  std::map<std::string, TagService, std::less<>> services;
  RequestTracker requests;
  // The upstream that started last at each packed endpoint. Only this one
  // receives new flows there.
  std::unordered_map<uint64_t, directory::UpstreamId> latest_by_endpoint;
  // By packed endpoint; points into `view`.
  std::unordered_map<uint64_t, const catalog::Listener*> listeners;
  // Invariant: size kRecentOpeningSlots.
  std::vector<RecentOpening> recent_openings;
  // Slots of forwarded openings to check for an answer, oldest first.
  std::deque<uint32_t> pending_slots;
  // By the flow's hash.
  std::unordered_map<uint64_t, OverdueFlow> overdue_flows;
  // Requests since the last call of TakeLoadReport.
  std::map<std::pair<directory::UpstreamId, Endpoint>, load::ResponseSample>
      responses;
  HostSight sight;
  std::map<std::string, DomainSight> domain_sights;  // By failure domain.
  // By number of retransmissions so far; each in order of `sent_at`.
  std::array<std::deque<AwaitedRepeat>, kAwaitedRepeats> awaited_repeats;
  // Likewise those whose next retransmission may have been lost.
  std::array<std::deque<AwaitedRepeat>, kAwaitedRepeats> awaited_again;
  // Of the last call of OnProgress.
  RequestProgress progress;
  uint64_t progress_flow = 0;
  Stranding last_stranding;
  // Upstreams with failures since the last call of TakeFailures.
  std::vector<directory::UpstreamId> failed_upstreams;
  // Buffers that are reused for each new flow; entries correspond by index.
  std::vector<PlacementCandidate*> scratch_candidates;
  std::vector<TagUpstream*> scratch_upstreams;
  std::vector<TagHolder> scratch_holders;
};

TagSteering MakeTagSteering(std::string failure_domain, uint64_t seed);

// Returns how many new flows per second all entry hosts together may send to
// one cold upstream of the service; 0 means no limit.
double ColdLimit(const TagSteering& steering, std::string_view service);

// Replaces the view unless the given one has a lower revision; then returns
// false.
bool OnView(TagSteering& steering, catalog::View view);

// Handles an upstream's record from a feed. Returns whether the directory
// changed.
bool OnRecord(TagSteering& steering,
              uint32_t feed,
              const directory::Record& record,
              Instant now);
// Handles a feed's report that it no longer receives announcements of the
// upstream. Returns whether the upstream became silent by it; see IsSilent.
bool OnSilence(TagSteering& steering,
               uint32_t feed,
               directory::UpstreamId id,
               Instant now);

// Whether none of the synchronized feeds receives announcements of the
// upstream.
bool IsSilent(const TagSteering& steering, const TagUpstream& upstream);

// The feed starts its initial synchronization, in which it sends all its
// records.
void OnFeedBegin(TagSteering& steering, uint32_t feed);
// The feed has completed its initial synchronization.
void OnFeedComplete(TagSteering& steering, uint32_t feed);
// The feed knows the same upstreams as this host and therefore sends no
// records.
void OnSameDirectory(TagSteering& steering, uint32_t feed);
// The feed has been disconnected for so long that its reports are ignored.
void OnFeedLost(TagSteering& steering, uint32_t feed, Instant now);

// Decides on the opening packet of a flow or a retransmission of it.
TagDecision OnOpening(TagSteering& steering,
                      const Opening& opening,
                      Instant now);

// Updates the failure counts from a later packet; must be called before
// OnTagged. Returns whether the packet is retransmitted data: the caller
// received no acknowledgement in time, because a packet was lost or the
// upstream is slow or dead. A caller that closes a flow without an answer to
// its last data has given up.
bool OnProgress(TagSteering& steering,
                const TaggedFlow& flow,
                Tag tag,
                const Progress& progress,
                Instant now);

// Returns the number of failures by upstream since the last call: unanswered
// openings, and requests that were retransmitted or given up.
std::vector<directory::UpstreamFailures> TakeFailures(TagSteering& steering);

// Returns the requests since the last call.
load::LoadReport TakeLoadReport(TagSteering& steering);

// Suspects the upstream for `time`: it gets no new flows unless there is no
// other upstream.
void SuspectUpstream(TagSteering& steering,
                     directory::UpstreamId id,
                     Duration time,
                     Instant now);

// Decides on a later packet of a flow; resets the flow if its upstream is gone,
// see FindStranded and `last_stranding`. `requests` is the number of new
// requests in it: 1 if it carries data that is not a retransmission, else 0.
TagDecision OnTagged(TagSteering& steering,
                     const TaggedFlow& flow,
                     Tag tag,
                     uint32_t requests,
                     Instant now);

// Returns the flows to reset now although no packet of theirs has just come:
// callers retransmit at growing intervals, and what is known of an upstream may
// change between two retransmissions. Call at each tick.
std::vector<StrandedFlow> TakeStrandedFlows(TagSteering& steering, Instant now);

// Returns the fraction of recent requests, from 0 to 1, whose services have no
// upstream in this host's failure domain that is fit for new flows.
double RemoteRequestFraction(const TagSteering& steering, Instant now);

// Counts openings as unanswered after kOpenTimeout. Must be called
// periodically, more often than kStallThreshold.
void OnTick(TagSteering& steering, Instant now);

// Removes upstreams that left long ago.
void RemoveOldUpstreams(TagSteering& steering, Instant now);

std::string_view TagReasonName(TagReason reason);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_STEERING_TAG_STEERING_H_
