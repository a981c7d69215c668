// An entry host's decisions, without I/O: membership, upstreams, plans, shares
// and flows, joined into one aggregate. The shell brings events and carries
// out the actions that come back.
//
// Locks: `control` guards everything but the shards; each shard has its own.
// Control work may lock a shard, never the other way round. Packets take only
// their shard's lock, unless a flow is an exception.

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

// Control bytes a second that moving buckets may use, and how many may be
// saved up.
inline constexpr double kMoveBytesPerSecond = 1'000;
inline constexpr double kMoveBurstBytes = 64'000;
inline constexpr Duration kReplanInterval = std::chrono::milliseconds(50);
inline constexpr Duration kPullRetryInterval = std::chrono::milliseconds(200);
inline constexpr Duration kSweepInterval = std::chrono::milliseconds(250);
inline constexpr Duration kRegistryPullDelay = std::chrono::seconds(3);
// After the loss of a host no bucket moves for so long.
inline constexpr Duration kMoveStopAfterLoss = std::chrono::minutes(5);

// Counted outcomes, for metrics.
struct Counters {
  std::atomic<uint64_t> forwarded{0};
  std::atomic<uint64_t> passed{0};
  std::atomic<uint64_t> parked{0};
  std::array<std::atomic<uint64_t>, 16> refused{};    // By steering::Reason.
  std::array<std::atomic<uint64_t>, 16> dropped{};    // By steering::Reason.
  std::array<std::atomic<uint64_t>, 16> malformed{};  // By PacketFault.
  std::atomic<uint64_t> unknown_service{0};
  std::atomic<uint64_t> malformed_peer{0};
  std::atomic<uint64_t> control_bytes_sent{0};
  std::atomic<uint64_t> control_bytes_received{0};
};

// What the shell is to do.
struct Actions {
  struct Datagram {
    Endpoint to;
    std::string bytes;
  };
  struct Inner {
    Endpoint to;  // An upstream, or the fabric for a refusal.
    std::vector<std::byte> bytes;
  };
  std::vector<Datagram> datagrams;  // From the peer socket.
  std::vector<Inner> inner;         // From the packet socket.
  struct HandoffPull {
    membership::HostId peer = 0;
    Endpoint admin;
    uint64_t view = 0;
    uint64_t known_view = 0;
  };
  std::vector<HandoffPull> pull_handoffs;
  std::vector<Endpoint> pull_registries;
  std::vector<Endpoint> pull_tables;
};

// One upstream's share at this host, with where it is reported.
struct ShareState {
  admission::Share share;
  membership::HostId coordinator = 0;  // 0 for none.
  membership::HostId backup = 0;       // 0 for none.
};

// The newest renewal of shares at one coordinator.
struct Renewal {
  uint64_t number = 0;  // 0 before the first.
  Instant sent_at;
  Instant deadline;  // The next one is sent then.
  std::vector<upstream::Key> shares;
};

using LedgerKey = std::pair<uint64_t, upstream::UpstreamId>;

// A ledger that this host keeps as the coordinator or the backup.
struct LedgerSlot {
  admission::Ledger ledger;
  bool is_coordinator = false;
};

// One round of pulling bucket states from all peers.
struct PullRound {
  bool is_running = false;
  std::set<membership::HostId> waiting_for;
  std::set<uint64_t> held_by_peers;  // Services.
  Instant retry_deadline;
};

struct ControlState {
  mutable std::mutex mutex;
  membership::Membership membership;
  upstream::Registry registry;
  table::ServiceTable table;
  steering::CellMap cells;
  std::shared_ptr<const steering::Plan> plan;
  bool is_plan_outdated = true;
  Instant replan_deadline;
  std::map<upstream::Key, ShareState> shares;
  std::map<LedgerKey, LedgerSlot> ledgers;
  std::map<membership::HostId, Renewal> renewals;  // By coordinator.
  std::map<membership::HostId, NoticeLink> links;
  uint64_t next_batch = 1;
  PullRound pulls;
  // The last view for which all buckets of this host were known; 0 for none.
  uint64_t known_view = 0;
  double move_bytes = kMoveBurstBytes;
  Instant move_bytes_at;
  Instant sweep_deadline;
  Instant registry_pull_deadline;
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

// A datagram from the fabric.
Actions OnFabricPacket(Entry& entry,
                       std::span<const std::byte> inner,
                       Endpoint fabric,
                       Instant now);

// A datagram from another entry host.
Actions OnPeerDatagram(Entry& entry,
                       std::span<const std::byte> bytes,
                       Endpoint from,
                       Instant now);

// To be called every few milliseconds.
Actions OnTick(Entry& entry, Instant now);

// Takes the table if it is newer; returns whether it was.
bool OnTable(Entry& entry, const table::ServiceTable& table, Instant now);

// An upstream announces itself here.
Actions OnAnnouncement(Entry& entry,
                       const upstream::Announcement& announcement,
                       Instant now);

// Who asks for a handoff, and what it has.
struct HandoffRequest {
  membership::HostId host = 0;
  uint64_t incarnation = 0;
  uint64_t view = 0;
  uint64_t known_view = 0;  // The last one whose buckets it all has.
};

// What this host holds for the asking one. Nothing while the two differ in
// their view, or that life of the host is not known: it is to ask again.
std::optional<wire::Handoff> MakeHandoff(Entry& entry,
                                         const HandoffRequest& request,
                                         Instant now);

// A peer's answer to a pull; nothing where it failed.
void OnHandoff(Entry& entry,
               membership::HostId peer,
               const std::optional<wire::Handoff>& handoff,
               Instant now);

// Records that were pulled from a peer.
void OnRegistry(Entry& entry,
                std::span<const upstream::Record> records,
                Instant now);

// Judges an upstream by the outcomes of requests.
void OnUpstreamOutcomes(Entry& entry,
                        const upstream::Key& key,
                        const upstream::Outcomes& seen,
                        uint32_t limit,
                        Instant now);

// Tells peers that this host leaves by plan.
Actions Leave(Entry& entry, Instant now);

// Whether this host knows the state of all buckets that it answers for.
bool IsSettled(Entry& entry);

table::ServiceTable TableOf(const Entry& entry);

uint64_t CountFlows(const Entry& entry);

}  // namespace acaciahold::entry

#endif  // ACACIAHOLD_ENTRY_ENTRY_H_
