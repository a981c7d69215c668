// The core of an entry host: membership, upstream registry, plan, connection
// shares and flow shards. It performs no I/O. The server calls a function for
// each event and executes the Actions that it returns.
//
// Locking: ControlState::mutex guards everything but the shards; each shard has
// its own mutex. Lock order: control before shard. Handling a packet locks only
// the packet's shard. If the packet must be parked, the control state is locked
// after the shard is unlocked.

#ifndef ACACIAHOLD_ENTRY_ENTRY_H_
#define ACACIAHOLD_ENTRY_ENTRY_H_

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "acaciahold/Admission/ledger.h"
#include "acaciahold/Admission/share.h"
#include "acaciahold/Entry/notice_link.h"
#include "acaciahold/Membership/membership.h"
#include "acaciahold/Packet/inner_packet.h"
#include "acaciahold/Steering/flow_shard.h"
#include "acaciahold/Steering/plan.h"
#include "acaciahold/Table/service_table.h"
#include "acaciahold/Upstream/registry.h"
#include "acaciahold/Wire/peer_message.h"

namespace acaciahold::entry {

// Notices of bucket moves are limited by a token bucket: its refill rate in
// bytes per second and its capacity in bytes.
inline constexpr double kMoveBudgetBytesPerSecond = 1'000;
inline constexpr double kMaxMoveBudgetBytes = 64'000;
inline constexpr Duration kMinReplanInterval = std::chrono::milliseconds(50);
// Interval at which unanswered requests for bucket states are repeated.
inline constexpr Duration kPullRetryInterval = std::chrono::milliseconds(200);
// Interval between sweeps, which remove idle flows and expired shares.
inline constexpr Duration kSweepInterval = std::chrono::milliseconds(250);
// A peer's registry is pulled if the registries have differed for this long;
// gossip alone usually makes them equal before.
inline constexpr Duration kRegistryPullDelay = std::chrono::seconds(3);
// No bucket is moved away from a usable upstream for this long after a host was
// lost. The host may only be partitioned, and both sides must still agree when
// the partition heals.
inline constexpr Duration kMovePauseAfterHostLoss = std::chrono::minutes(5);

// Event counts for metrics.
struct Counters {
  std::atomic<uint64_t> forwarded{0};
  std::atomic<uint64_t> passed{0};
  std::atomic<uint64_t> parked{0};
  // Indexed by steering::Reason.
  std::array<std::atomic<uint64_t>, 16> refused{};
  std::array<std::atomic<uint64_t>, 16> dropped{};
  // Indexed by PacketFault.
  std::array<std::atomic<uint64_t>, 16> malformed{};
  std::atomic<uint64_t> unknown_service{0};
  std::atomic<uint64_t> malformed_peer{0};
  std::atomic<uint64_t> control_bytes_sent{0};
  std::atomic<uint64_t> control_bytes_received{0};
};

// I/O that the server must do after an event.
struct Actions {
  struct Datagram {
    Endpoint to;
    std::string bytes;
  };
  struct OutgoingPacket {
    Endpoint to;  // The upstream, or for a refusal the fabric's endpoint.
    std::vector<std::byte> bytes;
  };
  std::vector<Datagram> datagrams;    // To send from the peer socket.
  std::vector<OutgoingPacket> inner;  // To send from the packet socket.
  // A request for the bucket states and ledgers that a peer holds; see
  // MakeHandoff.
  struct HandoffPull {
    membership::HostId peer = 0;
    Endpoint admin;
    uint64_t view = 0;
    uint64_t known_view = 0;  // See HandoffRequest.
  };
  std::vector<HandoffPull> pull_handoffs;
  // Admin endpoints of peers whose upstream registry, or newer service table,
  // must be fetched.
  std::vector<Endpoint> pull_registries;
  std::vector<Endpoint> pull_tables;
};

// This host's share of one upstream's connection limit, and the hosts to which
// it is reported.
struct ShareState {
  admission::Share share;
  membership::HostId coordinator = 0;  // 0 for none.
  membership::HostId backup = 0;       // 0 for none.
};

// The last message to one coordinator that renewed the leases of several
// shares.
struct ShareRenewal {
  uint64_t number = 0;  // 0: none was sent yet.
  Instant sent_at;
  Instant deadline;                   // When the next renewal is due.
  std::vector<upstream::Key> shares;  // Covered by the renewal.
};

// Service id and upstream.
using LedgerKey = std::pair<uint64_t, upstream::UpstreamId>;

// The ledger of one upstream, kept by its coordinator and by the backup
// coordinator.
struct LedgerReplica {
  admission::Ledger ledger;
  bool is_coordinator = false;
};

// Progress of pulling bucket states from peers.
struct StatePull {
  bool is_running = false;
  std::set<membership::HostId> waiting_for;
  // Ids of services that at least one answering peer holds.
  std::set<uint64_t> held_by_peers;
  Instant retry_deadline;  // When unanswered peers are asked again.
};

struct ControlState {
  mutable std::mutex mutex;
  membership::Membership membership;
  upstream::Registry registry;
  table::ServiceTable table;
  steering::CellMap cells;
  std::shared_ptr<const steering::Plan> plan;
  bool is_plan_outdated = true;
  Instant earliest_replan;
  std::map<upstream::Key, ShareState> shares;
  std::map<LedgerKey, LedgerReplica> ledgers;
  // Keyed by coordinator.
  std::map<membership::HostId, ShareRenewal> renewals;
  std::map<membership::HostId, NoticeLink> links;  // Keyed by peer.
  uint64_t next_batch = 1;  // Sequence number of the next notice batch.
  StatePull state_pull;
  // The last view for which this host had the state of all its buckets; 0 for
  // none.
  uint64_t known_view = 0;
  // Bytes that notices of bucket moves may use now. Negative after a notice
  // larger than the rest of the budget.
  double move_budget_bytes = kMaxMoveBudgetBytes;
  Instant move_budget_updated_at;
  Instant sweep_deadline;
  Instant earliest_registry_pull;
};

struct Entry {
  ControlState control;
  std::array<steering::FlowShard, steering::kShards> shards;
  Counters counters;
};

struct EntryOptions {
  membership::HostRecord self;
  std::vector<membership::HostRecord> seeds;
  uint64_t seed = 0;
  uint64_t max_flows = 0;
};

std::unique_ptr<Entry> MakeEntry(const EntryOptions& options, Instant now);

// Handles a caller's packet. `fabric` is the endpoint from which it arrived.
Actions OnFabricPacket(Entry& entry,
                       std::span<const std::byte> inner,
                       Endpoint fabric,
                       Instant now);

// Handles a datagram from another entry host.
Actions OnPeerDatagram(Entry& entry,
                       std::span<const std::byte> bytes,
                       Endpoint from,
                       Instant now);

// Must be called every few milliseconds. Does the work that is due by time.
Actions OnTick(Entry& entry, Instant now);

// Replaces the service table if `table` has a later revision. Returns whether
// it was replaced.
bool OnTable(Entry& entry, const table::ServiceTable& table, Instant now);

// Handles an announcement that an upstream sent to this host. It is forwarded
// to the upstream's coordinator.
Actions OnAnnouncement(Entry& entry,
                       const upstream::Announcement& announcement,
                       Instant now);

// A peer's request for the state of its buckets. Identifies the peer and the
// state that it already has.
struct HandoffRequest {
  membership::HostId host = 0;
  uint64_t incarnation = 0;
  uint64_t view = 0;
  // The last view for which the peer has the state of all its buckets.
  uint64_t known_view = 0;
};

// Returns the bucket states and ledgers that this host holds for the requesting
// host. Returns nothing if the two hosts have different views or this
// incarnation of the requesting host is not a known member; it must then retry.
std::optional<wire::Handoff> MakeHandoff(Entry& entry,
                                         const HandoffRequest& request,
                                         Instant now);

// Handles a peer's answer to HandoffPull. `handoff` is empty if the request
// failed; it is then repeated.
void OnHandoff(Entry& entry,
               membership::HostId peer,
               const std::optional<wire::Handoff>& handoff,
               Instant now);

// Merges the records of a registry that was pulled from a peer.
void OnRegistry(Entry& entry,
                std::span<const upstream::Record> records,
                Instant now);

// Updates the health of an upstream from the outcomes of requests. `limit` is
// the upstream's connection limit.
void OnUpstreamOutcomes(Entry& entry,
                        const upstream::Key& key,
                        const upstream::Outcomes& outcomes,
                        uint32_t limit,
                        Instant now);

// Announces to peers that this host leaves in an orderly shutdown.
Actions Leave(Entry& entry, Instant now);

// Returns whether this host has a plan and no pull of bucket states is running.
bool HasAllBucketStates(Entry& entry);

// Returns a copy of the service table.
table::ServiceTable CopyServiceTable(const Entry& entry);

// Returns the number of flows in all shards.
uint64_t CountFlows(const Entry& entry);

}  // namespace acaciahold::entry

#endif  // ACACIAHOLD_ENTRY_ENTRY_H_
