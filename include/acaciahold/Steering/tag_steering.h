// Steering of flows whose two ends send back a tag: a core without I/O.
//
// The entry host that gets a flow's opening packet chooses an upstream and
// writes the upstream's tag into the packet. Every later packet carries it, so
// that any entry host, also one that has just started, sends it to the same
// upstream without state of the flow. What is kept of flows is a small memory
// of opening packets: copies of one go to the same upstream unless that one did
// not answer, and an upstream that leaves several unanswered is avoided.

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
#include <vector>

#include "acaciahold/Catalog/catalog.h"
#include "acaciahold/Directory/directory.h"
#include "acaciahold/Directory/failure_detector.h"
#include "acaciahold/Steering/placement.h"
#include "acaciahold/Support/address.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::steering {

using Tag = uint32_t;  // 0: none.

// The tag of an upstream; the same on every host.
Tag TagOf(directory::UpstreamId id);

struct TaggedFlow {
  Endpoint caller;
  Endpoint listener;

  bool operator==(const TaggedFlow&) const = default;
};

struct Opening {
  TaggedFlow flow;
  uint32_t sequence = 0;  // The caller's first sequence number.
  uint32_t copy = 0;      // 0 for the first packet, then counted up.
};

enum class TagVerdict {
  kForward,
  kReset,  // Tells the caller that nothing has run.
  kDrop,
};

enum class TagReason {
  kPlaced,
  kCopy,      // As the first packet.
  kReplaced,  // The upstream of the first packet did not answer.
  kByTag,
  kNoListener,  // The table has no listener at the address.
  kNoTable,     // Nothing is known yet.
  kNoUpstream,  // No upstream of the service may take the flow.
  kUnknownTag,  // Not known here; the news may still be on its way.
  kStalled,     // This host stood still, and its news are not read yet.
};
inline constexpr size_t kTagReasons =
    static_cast<size_t>(TagReason::kStalled) + 1;

struct TagDecision {
  TagVerdict verdict = TagVerdict::kDrop;
  TagReason reason = TagReason::kNoTable;
  directory::UpstreamId upstream = 0;
  Endpoint endpoint;  // Of the upstream.
  Tag tag = 0;
};

// An opening packet has its answer at its caller within this, or none comes;
// below the interval after which callers send copies.
inline constexpr Duration kAnswerTimeout = std::chrono::milliseconds(150);
// Without a further packet of the flow for so long, it has not opened: callers
// have sent a copy by then.
inline constexpr Duration kOpenTimeout = std::chrono::milliseconds(450);
// Ticks further apart than this show that the host stood still.
inline constexpr Duration kStallTime = std::chrono::seconds(1);
// Time to read the news that came meanwhile; callers send copies.
inline constexpr Duration kStallRecovery = std::chrono::milliseconds(200);
// Openings in a row without an answer before an upstream is avoided. Lost
// packets cause single ones.
inline constexpr uint32_t kMaxUnanswered = 3;
// An upstream is avoided for so long, doubled each time up to the maximum.
inline constexpr Duration kAvoidTimeMin = std::chrono::milliseconds(500);
inline constexpr Duration kAvoidTimeMax = std::chrono::seconds(4);

// Openings in a row without an answer, over all upstreams of a failure domain,
// before the domain is avoided: a partition leaves all of them unanswered.
inline constexpr uint32_t kMaxUnansweredInDomain = 4;
// The same where its control hosts are not heard either.
inline constexpr uint32_t kMaxUnansweredInQuietDomain = 1;

// How openings went that were sent to one upstream, or to one failure domain.
struct Reachability {
  uint32_t unanswered = 0;  // Openings in a row.
  Duration avoid_time = kAvoidTimeMin;
  // Not chosen before it unless there is no other. After it a single opening
  // tries again.
  Instant avoid_deadline;
};

// This host's part of the new flows that a cold upstream bears: one flow for
// each whole token. Starts empty, so that hosts that learn of the upstream at
// the same time don't all send at once.
struct ColdGate {
  double tokens = 0;  // At most 1.
  Instant counted_at;
};

// Upper bounds of the histogram of answers, in seconds.
inline constexpr std::array<double, 8> kAnswerBounds{0.005, 0.01, 0.02, 0.05,
                                                     0.1,   0.2,  0.45, 1.0};

// What has happened, for metrics.
struct TagCounts {
  std::array<uint64_t, kTagReasons> decisions{};
  std::array<uint64_t, kAnswerBounds.size() + 1> answers{};
  double answer_seconds = 0;
  uint64_t unanswered = 0;
  uint64_t repeated = 0;  // Data that came before.
  uint64_t given_up = 0;  // Flows that were closed before an answer came.
};

struct TagUpstream {
  directory::UpstreamId id = 0;
  Tag tag = 0;
  Endpoint endpoint;  // Invariant: as in the directory.
  // Invariant: of the directory, for as long as this upstream is known.
  const directory::Entry* entry = nullptr;
  std::string service;  // Whose list holds it.
  PlacementCandidate candidate;
  Reachability reachability;
  ColdGate cold_gate;
  // Entry hosts together found that it does not answer.
  Instant suspect_deadline;
  uint32_t troubles = 0;      // See TakeTroubles.
  uint32_t silent_feeds = 0;  // Bit i: feed i has not heard of it.
};

// A feed is a control host's stream of news; feeds are numbered from 0 to 31.
using FeedMask = uint32_t;

// The last data that a caller sent on a flow.
struct RecentData {
  uint64_t flow_hash = 0;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;   // What the caller had of the upstream's by then.
  bool is_unanswered = false;  // Counted as a trouble.
};

struct RecentOpening {
  uint64_t flow_hash = 0;
  uint32_t sequence = 0;
  Tag tag = 0;
  Instant placed_at;
  bool is_answered = false;
};

// Slots for the last data of recent flows, by hash, as for openings.
inline constexpr size_t kRecentData = 2'048;
// Slots for recent openings, by hash; a newer one takes the place of an older.
inline constexpr size_t kRecentOpenings = 2'048;

struct TagSteering {
  std::string failure_domain;
  std::mt19937_64 random;
  catalog::View view;
  directory::Directory directory;
  FeedMask open_feeds = 0;
  // Some feed has told all that it knew. What no feed told of may exist until
  // then, so that nothing is refused for want of it.
  bool is_complete = false;
  // Whether most control hosts are out of reach: other failure domains'
  // upstreams are likely to be as well.
  bool is_cut_off = false;
  std::map<std::string, Reachability> domains;
  // Other failure domains whose control hosts are followed and not heard.
  std::set<std::string> quiet_domains;
  // Entry hosts that share what a cold upstream bears; 0: none may be used by
  // this host, since others may have been told of fewer.
  uint32_t entry_hosts = 0;
  TagCounts counts;
  Instant ticked_at;                          // Not set before the first tick.
  Instant stall_deadline;                     // Openings are dropped before it.
  std::map<std::string, Rotation> rotations;  // One for each service.
  // Invariant: one for each entry of `directory`.
  std::map<directory::UpstreamId, TagUpstream> upstreams;
  std::unordered_map<Tag, TagUpstream*> by_tag;
  // A new flow looks at the upstreams of its service alone.
  std::map<std::string, std::vector<TagUpstream*>, std::less<>> by_service;
  // The latest start at each endpoint, which alone takes new flows there.
  std::unordered_map<uint64_t, directory::UpstreamId> latest_at;
  std::unordered_map<uint64_t, const catalog::Listener*> listeners;
  // Invariant: size kRecentOpenings.
  std::vector<RecentOpening> recent;
  std::deque<uint32_t> awaiting;  // Slots of `recent`, oldest first.
  // Invariant: size kRecentData.
  std::vector<RecentData> recent_data;
  // Upstreams with troubles, by id.
  std::vector<directory::UpstreamId> troubled;
  std::vector<PlacementCandidate*> scratch_candidates;
  std::vector<TagUpstream*> scratch_upstreams;
};

TagSteering MakeTagSteering(std::string failure_domain, uint64_t seed);

// New flows that one cold upstream of the service takes in a second; 0: no
// limit.
double ColdLimit(const TagSteering& steering, std::string_view service);

// Takes in a newer view; returns false where it is not newer.
bool OnView(TagSteering& steering, catalog::View view);

// News of one feed about an upstream. Return whether anything changed.
bool OnRecord(TagSteering& steering,
              uint32_t feed,
              const directory::Record& record,
              Instant now);
bool OnSilence(TagSteering& steering,
               uint32_t feed,
               directory::UpstreamId id,
               Instant now);

// Whether no feed that counts has heard of the upstream of late.
bool IsSilent(const TagSteering& steering, const TagUpstream& upstream);

// A feed begins to tell all that it knows; it has told all; or it has been lost
// for so long that its news no longer count.
void OnFeedBegin(TagSteering& steering, uint32_t feed);
void OnFeedComplete(TagSteering& steering, uint32_t feed);
// The feed has heard of the same upstreams as this host, and tells no records.
void OnSameDirectory(TagSteering& steering, uint32_t feed);
void OnFeedLost(TagSteering& steering, uint32_t feed, Instant now);

TagDecision OnOpening(TagSteering& steering,
                      const Opening& opening,
                      Instant now);

// What a later packet of a flow tells of the flow's upstream.
struct Progress {
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;  // Of the upstream's sequence numbers.
  bool has_data = false;
  bool is_closing = false;  // The caller sends nothing after it.
};

// Takes in a later packet, before OnTagged decides on it. Returns whether it is
// data that came before: its sender had no word of the first within its time,
// since that was lost, or its upstream is slow or dead. A caller that closes a
// flow without an answer to its last data has given up.
bool OnProgress(TagSteering& steering,
                const TaggedFlow& flow,
                Tag tag,
                const Progress& progress);

// Openings without an answer, and requests that were sent again or given up, by
// upstream, since the last call.
std::vector<directory::UpstreamFailures> TakeTroubles(TagSteering& steering);

// The upstream is given no new flow for `time`, unless there is no other.
void OnSuspect(TagSteering& steering,
               directory::UpstreamId id,
               Duration time,
               Instant now);

// A later packet of a flow. `requests` is 1 for a packet that carries data.
TagDecision OnTagged(TagSteering& steering,
                     const TaggedFlow& flow,
                     Tag tag,
                     uint32_t requests,
                     Instant now);

// The part of recent requests, from 0 to 1, whose services have no upstream in
// the host's own failure domain that may take new flows.
double RemotePart(const TagSteering& steering, Instant now);

// Judges openings that have had their time. To be called now and then.
void OnTick(TagSteering& steering, Instant now);

// Drops upstreams that left long ago.
void ForgetUpstreams(TagSteering& steering, Instant now);

std::string_view TagReasonName(TagReason reason);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_STEERING_TAG_STEERING_H_
