// The flow table and buckets of one shard, and the decision where each packet
// is sent. This code does no I/O. The calling code must hold the shard's mutex.
//
// Flows are hashed into buckets. Each bucket has an assigned upstream, an owner
// host and a backup host. Only the owner, or the backup in place of an owner
// that can't decide, places new flows. A flow on its bucket's assigned upstream
// needs no replicated state. Any other flow is an exception: it is replicated
// to the backup before its first packet is sent to the upstream. A bucket is
// reassigned to another upstream only after the backup has stored the flows
// that remain on the previous one.

#ifndef ACACIAHOLD_STEERING_FLOW_SHARD_H_
#define ACACIAHOLD_STEERING_FLOW_SHARD_H_

#include <cstdint>
#include <mutex>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <boost/unordered/unordered_flat_map.hpp>

#include "acaciahold/Steering/plan.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::steering {

inline constexpr uint32_t kShards = 16;
inline constexpr uint32_t kBucketsPerShard = kBucketsPerService / kShards;
// A packet is passed between entry hosts at most this often.
inline constexpr uint32_t kMaxHops = 3;
// How long a service counts as new after this host found that no peer holds it.
inline constexpr Duration kNewServicePeriod = std::chrono::seconds(10);
// Idle timeout of a flow after a FIN or RST.
inline constexpr Duration kClosingTimeout = std::chrono::seconds(10);

// A flow that is not on its bucket's assigned upstream.
struct FlowException {
  uint64_t fingerprint = 0;
  upstream::UpstreamId upstream = 0;

  bool operator==(const FlowException&) const = default;
};

// A replication message between hosts: a change of one bucket, or the bucket's
// complete state.
struct BucketNotice {
  uint64_t service = 0;
  uint16_t bucket = 0;
  uint32_t version = 0;
  upstream::UpstreamId assigned = 0;
  std::vector<FlowException> added;
  std::vector<uint64_t> removed = {};  // Fingerprints of ended exceptions.
  // Only set in a complete state: the bucket has no flow, and the sender has
  // owned it long enough to know that. The receiver need not wait for idle
  // flows that it does not know.
  bool is_idle = false;

  bool operator==(const BucketNotice&) const = default;
};

struct Flow {
  upstream::UpstreamId upstream = 0;
  Instant idle_deadline;
  // Counted as an open flow in this host's admission state for the upstream.
  bool is_counted = false;
  // A later packet followed the opening packet, so the upstream has answered.
  bool is_answered = false;
  // False for an exception that the backup has not stored yet.
  bool is_replicated = true;
  bool is_closing = false;  // A FIN or RST was seen.
};

// Flows by fingerprint. A flat map, because a lookup then costs two cache
// misses even with millions of flows.
using FlowTable = boost::unordered_flat_map<uint64_t, Flow>;

enum class BucketPhase : uint8_t {
  kUnknown,  // The bucket's state has not been received; no decisions.
  kHeld,     // This host is the owner or the backup and has the state.
  // This host is neither owner nor backup any more; the state is kept for
  // export to other hosts.
  kRetired,
};

// Invariant: each flow on another upstream than `assigned` is replicated, or
// its packets are parked until it is.
struct Bucket {
  BucketPhase phase = BucketPhase::kUnknown;
  bool is_owned = false;
  uint32_t version = 0;
  upstream::UpstreamId assigned = 0;  // 0 for none.
  // Before this time a previous owner's idle flows may be unknown to this host,
  // so the bucket is not moved away from a usable upstream.
  Instant settled_at;
  // A peer has sent state of the bucket.
  bool has_peer_state = false;
  // Every peer that sent state reported that the bucket has no flow.
  bool is_idle_at_peers = false;
  // The owner offers a move to the backup in a notice, and the move is complete
  // once the backup has stored it. This is the new upstream while the offer
  // waits for the backup's acknowledgement or must be sent again, else 0.
  upstream::UpstreamId moving_to = 0;
  // The highest version offered to a backup so far. The backup may have stored
  // it even if its acknowledgement was lost.
  uint32_t offered_version = 0;
  // The backup did not acknowledge the last offered move; a new offer must be
  // sent.
  bool is_offer_lost = false;
  // This host was the bucket's last owner, or held the bucket when its owner
  // was lost, and therefore exports the state to other hosts.
  bool is_state_source = false;
  // No peer sent state of the bucket although its service is not new, so
  // existing flows are unknown.
  bool has_unknown_flows = false;
  FlowTable flows;
};

// The buckets of a service that belong to one shard.
struct ShardService {
  std::vector<Bucket> buckets;
  // The service counts as new until this time. This host found no peer that
  // holds it, and hosts that start at the same time may find the same.
  Instant new_until;
};

struct FlowShard {
  mutable std::mutex mutex;
  uint32_t index = 0;
  std::shared_ptr<const Plan> plan;  // Null until the first plan.
  // The last plan whose Plan::view differs from the current one's.
  std::shared_ptr<const Plan> previous;
  // Hosts were added to the view, for example after a partition. They may know
  // flows of this host's buckets, and their state has not been pulled yet.
  bool has_unpulled_hosts = false;
  std::unordered_map<uint64_t, ShardService> services;
  uint64_t flow_count = 0;
  uint64_t max_flows = 0;
  uint32_t sweep_position = 0;  // Number of calls of Sweep.
};

struct FlowPacket {
  uint64_t fingerprint = 0;
  bool opens = false;   // The packet opens a flow (a TCP SYN).
  bool closes = false;  // The packet ends a flow (a TCP FIN or RST).
  bool is_tcp = true;
  uint32_t hops = 0;  // Number of entry hosts that passed the packet on.
  // The sender asks this host to decide in place of the bucket's owner.
  bool is_acting = false;
  uint64_t sender_view = 0;  // Plan::view of the host that passed it on.
};

enum class Verdict {
  kForward,     // Send the packet to the upstream.
  kPassToPeer,  // Send the packet to the peer that decides for the bucket.
  kPark,        // Hold the packet until the backup has stored the notice.
  kRefuse,      // Tell the caller that the flow is refused.
  kDrop         // Discard the packet without an answer.
};

enum class Reason {
  kNone,
  kNoUpstream,    // No upstream of the service takes new flows.
  kFull,          // Every upstream is at its limit.
  kNoShare,       // This host's connection share is used up; it asked for more.
  kSettling,      // The bucket's state has not reached this host yet.
  kTooManyHops,   // Hosts disagree on the bucket's owner.
  kUpstreamGone,  // The flow's upstream left or was taken out of service.
  kInDoubt,       // The flow's upstream can't be determined safely.
  kTableFull,     // The shard has reached FlowShard::max_flows.
};

struct Decision {
  Verdict verdict = Verdict::kDrop;
  Reason reason = Reason::kNone;
  Endpoint to;  // kForward and kPark: the upstream; kPassToPeer: the peer.
  // kPassToPeer: the peer is the backup and decides in place of the owner.
  bool to_acting_backup = false;
  uint64_t view = 0;  // kPassToPeer: Plan::view of the plan that was used.
  // kPark: the notice to replicate. The packet is forwarded once the bucket's
  // backup has stored it.
  BucketNotice notice;
};

std::string_view ReasonName(Reason reason);

uint32_t BucketOf(uint64_t fingerprint);
uint32_t ShardOf(uint32_t bucket);

// Decides what to do with a packet. `service` must belong to the shard's plan,
// and the packet's fingerprint to the shard.
Decision Decide(FlowShard& shard,
                const ServicePlan& service,
                const FlowPacket& packet,
                Instant now);

// Updates the shard's buckets for a new plan. Returns whether this host became
// the owner or backup of buckets whose state it must pull from peers.
bool OnPlan(FlowShard& shard, std::shared_ptr<const Plan> plan, Instant now);

// Must be called when the state pull from all peers is finished. Buckets
// without state then start from the plan. A service that neither this host nor
// a peer holds is new and has no unknown flows.
void OnPullsDone(FlowShard& shard,
                 std::span<const uint64_t> held_by_peers,
                 Instant now);

// Starts bucket moves that are due. Returns the notices to replicate, stopping
// at about `max_bytes`; OnNoticeStored completes a move. A bucket without a
// backup, or whose upstream is no longer usable, moves at once. If `may_move`
// is false, only buckets whose upstream is no longer usable are moved.
std::vector<BucketNotice> StartMoves(FlowShard& shard,
                                     size_t max_bytes,
                                     bool may_move,
                                     Instant now);

// Must be called when the bucket's backup has stored the notice.
void OnNoticeStored(FlowShard& shard, const BucketNotice& notice);

// Must be called when the backup changed or was lost before it stored the
// notice. A move that the notice offered is offered again by StartMoves.
void OnNoticeLost(FlowShard& shard, const BucketNotice& notice);

// Merges a notice from the bucket's owner, or from a peer that was asked for
// the bucket's state.
void MergeNotice(FlowShard& shard, const BucketNotice& notice, Instant now);

// Must be called for a notice that came from the bucket's current owner. This
// host then no longer exports the bucket as its last owner.
void OnOwnerNotice(FlowShard& shard, const BucketNotice& notice);

// Removes flows past their idle deadline. Each call scans an eighth of the
// buckets. Returns notices of the removed exceptions, which the backup must
// remove too.
std::vector<BucketNotice> Sweep(FlowShard& shard, Instant now);

// Returns the state of the buckets of which `host` is the owner or backup. If
// `known_view`, the last view of which `host` has the state, is the previous
// view here, only buckets that are new to `host` are returned, else all of
// them.
std::vector<BucketNotice> ExportBuckets(const FlowShard& shard,
                                        membership::HostId host,
                                        uint64_t known_view,
                                        Instant now);

// Returns the ids of services that this host holds and that are not new.
std::vector<uint64_t> HeldServices(const FlowShard& shard, Instant now);

// Returns the approximate encoded size of a notice in bytes.
size_t NoticeBytes(const BucketNotice& notice);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_STEERING_FLOW_SHARD_H_
