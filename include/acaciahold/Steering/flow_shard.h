// Flows and buckets of one shard: where each packet goes. A core without I/O;
// the caller holds the shard's lock.
//
// A bucket's owner alone decides for new flows. A flow on its bucket's assigned
// upstream needs no copied state; any other flow is an exception, and the
// backup knows it before its first packet goes upstream. A bucket moves to
// another upstream only after the backup has the flows that stay behind.

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
inline constexpr uint32_t kMaxHops = 3;
// How long a service counts as new after the first host held it.
inline constexpr Duration kNewServiceTimeout = std::chrono::seconds(10);
// A flow that saw a FIN or RST is kept so long after its last packet.
inline constexpr Duration kClosingTimeout = std::chrono::seconds(10);

// A flow that is not on its bucket's assigned upstream.
struct FlowException {
  uint64_t fingerprint = 0;
  upstream::UpstreamId upstream = 0;

  bool operator==(const FlowException&) const = default;
};

// A change of one bucket, or its whole state, as hosts tell each other.
struct BucketNotice {
  uint64_t service = 0;
  uint16_t bucket = 0;
  uint32_t version = 0;
  upstream::UpstreamId assigned = 0;
  std::vector<FlowException> added;
  std::vector<uint64_t> removed = {};
  // In a bucket's whole state: the sender knows every flow of the bucket, and
  // there is none. Nothing quiet is left behind then.
  bool is_idle = false;

  bool operator==(const BucketNotice&) const = default;
};

struct Flow {
  upstream::UpstreamId upstream = 0;
  Instant idle_deadline;
  bool is_counted = false;    // In the open flows of the upstream's cell.
  bool is_answered = false;   // A packet followed the opening one.
  bool is_replicated = true;  // False until the backup knows the exception.
  bool is_closing = false;
};

// By fingerprint. Flat: a decision finds its flow with two reads of memory that
// is not in the cache, also among millions.
using FlowTable = boost::unordered_flat_map<uint64_t, Flow>;

enum class BucketPhase : uint8_t {
  kEmpty,    // Nothing known yet; this host can't decide.
  kHeld,     // This host is the owner or the backup and knows the bucket.
  kRetired,  // Neither any more; kept for those that still ask for it.
};

// Invariant: each flow on another upstream than `assigned` is replicated, or
// its packets are parked until it is.
struct Bucket {
  BucketPhase phase = BucketPhase::kEmpty;
  bool is_owned = false;
  uint32_t version = 0;
  upstream::UpstreamId assigned = 0;  // 0 for none.
  // Quiet flows of an earlier owner may be unknown until then, so the bucket
  // does not move.
  Instant settled_at;
  bool is_merged = false;  // A peer has told of the bucket.
  bool was_idle = false;   // Each that did knew that it had no flow.
  upstream::UpstreamId moving_to = 0;  // 0 while no move waits for the backup.
  // The highest version that was ever offered to a backup, which may have
  // stored it although its word was lost.
  uint32_t offered_version = 0;
  bool is_offer_lost = false;  // The move is to be offered again.
  // This host was the last to own the bucket, or held it when its owner was
  // lost: it tells others of the bucket.
  bool was_primary = false;
  // Nobody could tell of the bucket, though its service is not new.
  bool is_blind = false;
  FlowTable flows;  // By fingerprint.
};

// A service's buckets of one shard.
struct ShardService {
  std::vector<Bucket> buckets;
  // Until then the service counts as new: this host found no other that held
  // it, and others that start at the same moment may find the same.
  Instant new_until;
};

struct FlowShard {
  mutable std::mutex mutex;
  uint32_t index = 0;
  std::shared_ptr<const Plan> plan;      // Null until the first plan.
  std::shared_ptr<const Plan> previous;  // The last one of another view.
  // Hosts came back that may know flows of this host's buckets.
  bool is_uniting = false;
  std::unordered_map<uint64_t, ShardService> services;
  uint64_t flow_count = 0;
  uint64_t max_flows = 0;
  uint32_t sweep_position = 0;
};

struct FlowPacket {
  uint64_t fingerprint = 0;
  bool opens = false;
  bool closes = false;
  bool is_tcp = true;
  uint32_t hops = 0;         // Entry hosts that passed it on before.
  bool is_acting = false;    // The sender wants this host to decide.
  uint64_t sender_view = 0;  // Of the host that passed it on.
};

enum class Verdict { kForward, kPass, kPark, kRefuse, kDrop };

enum class Reason {
  kNone,
  kNoUpstream,    // No upstream of the service takes new flows.
  kFull,          // Every upstream is at its limit.
  kNoShare,       // No share at hand; more has been asked for.
  kSettling,      // The bucket's state is still on its way to this host.
  kTooManyHops,   // Hosts disagree on the bucket's owner.
  kUpstreamGone,  // The flow's upstream left or was taken out.
  kInDoubt,       // Where the flow belongs can't be known.
  kTableFull,     // This host holds as many flows as it may.
};

struct Decision {
  Verdict verdict = Verdict::kDrop;
  Reason reason = Reason::kNone;
  Endpoint to;  // kForward, kPark: upstream; kPass: peer.
  bool pass_acting = false;
  uint64_t view = 0;  // kPass: the view that this rests on.
  // kPark: forwarded once the bucket's backup has stored this.
  BucketNotice notice;
};

std::string_view ReasonName(Reason reason);

uint32_t BucketOf(uint64_t fingerprint);
uint32_t ShardOf(uint32_t bucket);

// `service` is of the shard's plan.
Decision Decide(FlowShard& shard,
                const ServicePlan& service,
                const FlowPacket& packet,
                Instant now);

// Brings the shard's buckets in line with a new plan. Returns whether this host
// now answers for buckets whose state it has yet to pull.
bool OnPlan(FlowShard& shard, std::shared_ptr<const Plan> plan, Instant now);

// Every peer has been asked: what is still unknown starts from the plan.
// Services that no peer holds are new, so no quiet flow of theirs is unknown.
void OnPullsDone(FlowShard& shard,
                 std::span<const uint64_t> held_by_peers,
                 Instant now);

// Moves that are due, up to about `max_bytes` of notices, to be confirmed by
// OnNoticeStored. Where a bucket has no backup it moves at once. Unless
// `may_move`, only buckets move whose upstream is gone.
std::vector<BucketNotice> StartMoves(FlowShard& shard,
                                     size_t max_bytes,
                                     bool may_move,
                                     Instant now);

// The bucket's backup has stored the notice.
void OnNoticeStored(FlowShard& shard, const BucketNotice& notice);

// The backup changed or is lost: what waited for it starts over.
void OnNoticeLost(FlowShard& shard, const BucketNotice& notice);

// Stores what the bucket's owner, or a peer that was asked, says of it.
void MergeNotice(FlowShard& shard, const BucketNotice& notice, Instant now);

// The notice came from the bucket's owner itself.
void OnOwnersNotice(FlowShard& shard, const BucketNotice& notice);

// Ends flows past their idle deadline, in a part of the shard at each call.
// Returns ended exceptions, for the backup to drop.
std::vector<BucketNotice> Sweep(FlowShard& shard, Instant now);

// What this host has to tell of buckets that `host` answers for: those that
// are new to it since its `known_view`, or all where that is not the view
// before this one here.
std::vector<BucketNotice> ExportFor(const FlowShard& shard,
                                    membership::HostId host,
                                    uint64_t known_view,
                                    Instant now);

// Services that this host holds and that are not new.
std::vector<uint64_t> HeldServices(const FlowShard& shard, Instant now);

// Bytes that a notice takes on the wire, about.
size_t NoticeBytes(const BucketNotice& notice);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_STEERING_FLOW_SHARD_H_
