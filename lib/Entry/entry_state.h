// Functions of the entry host's core that its source files share. The control
// lock must be held for all of them but HostAt() and HandlePacket().

#ifndef ACACIAHOLD_LIB_ENTRY_ENTRY_STATE_H_
#define ACACIAHOLD_LIB_ENTRY_ENTRY_STATE_H_

#include <optional>

#include "acaciahold/Entry/entry.h"

namespace acaciahold::entry {

// Encodes the message, adds the datagram to `actions`, and counts its bytes.
void SendTo(Entry& entry,
            Endpoint to,
            const wire::PeerMessage& message,
            Actions& actions);

// Returns the peer endpoint of a host, or nothing if it is not in the plan.
std::optional<Endpoint> PeerEndpoint(const ControlState& control,
                                     membership::HostId host);

// Returns the id of the host at `index`, or 0 for kNoHost.
membership::HostId HostAt(const steering::Plan& plan,
                          steering::HostIndex index);

// Connection shares: reports, grants and ledgers; see shares.cc.

// Sets the coordinators of all shares from the plan, and creates or removes the
// ledgers of the upstreams that this host coordinates or backs up.
void UpdateSharesForPlan(ControlState& control, Instant now);
// Sends the reports and renewals that are due.
void ReportShares(Entry& entry, Instant now, Actions& actions);
// Expires shares in the ledgers that this host coordinates.
void ExpireLedgerShares(ControlState& control, Instant now);
void HandleReports(Entry& entry,
                   const wire::ShareReports& reports,
                   Endpoint from,
                   Instant now,
                   Actions& actions);
void HandleGrants(Entry& entry,
                  const wire::ShareGrants& grants,
                  membership::HostId coordinator,
                  Instant now,
                  Actions& actions);
// Returns the ledgers of the upstreams that `host` coordinates or backs up.
std::vector<wire::LedgerState> ExportLedgers(const ControlState& control,
                                             membership::HostId host);
// Merges a peer's copy of a ledger into the copy on this host, if there is one.
void MergeLedger(ControlState& control,
                 const wire::LedgerState& state,
                 Instant now);

// Bucket notices: replication between a bucket's owner and backup; see
// notices.cc.

// Queues the notice for the bucket's other host. If there is none, the notice
// is treated as lost.
void QueueNotice(Entry& entry, steering::BucketNotice notice, Instant now);
// Queues the decision's notice, and holds the packet until the bucket's other
// host has stored it. Drops the packet if there is no such host or too many
// packets are parked.
void ParkPacket(Entry& entry,
                const steering::Decision& decision,
                std::span<const std::byte> inner,
                Instant now);
// Sends the notice batches that are due.
void FlushLinks(Entry& entry, Instant now, Actions& actions);
// Treats all notices that are not acknowledged as lost, and drops parked
// packets and all links. Called when the view changes.
void ResetLinks(Entry& entry);
void HandleNotices(Entry& entry,
                   const wire::NoticeBatch& batch,
                   Endpoint from,
                   Instant now,
                   Actions& actions);
void HandleNoticeAck(Entry& entry,
                     const wire::NoticeAck& ack,
                     Actions& actions);

// Handles a caller's packet; see packets.cc. The control lock must not be held.
// `hops`, `is_acting` and `sender_view` are those of wire::PassedPacket; all
// zero for a packet from the fabric.
void HandlePacket(Entry& entry,
                  std::span<const std::byte> inner,
                  Endpoint fabric,
                  uint32_t hops,
                  bool is_acting,
                  uint64_t sender_view,
                  Instant now,
                  Actions& actions);

}  // namespace acaciahold::entry

#endif  // ACACIAHOLD_LIB_ENTRY_ENTRY_STATE_H_
