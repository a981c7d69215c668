// Parts of the entry host's core that its source files share. All but
// HandlePacket run under the control lock.

#ifndef ACACIAHOLD_LIB_ENTRY_ENTRY_STATE_H_
#define ACACIAHOLD_LIB_ENTRY_ENTRY_STATE_H_

#include <optional>

#include "acaciahold/Entry/entry.h"

namespace acaciahold::entry {

void SendTo(Entry& entry,
            Endpoint to,
            const wire::PeerMessage& message,
            Actions& actions);

// The peer endpoint of a member; nothing where it is not in the plan.
std::optional<Endpoint> PeerEndpoint(const ControlState& control,
                                     membership::HostId host);

membership::HostId HostAt(const steering::Plan& plan,
                          steering::HostIndex index);

// Shares: reports, grants and ledgers.
void UpdateSharesForPlan(ControlState& control, Instant now);
void ReportShares(Entry& entry, Instant now, Actions& actions);
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
std::vector<wire::LedgerState> ExportLedgers(const ControlState& control,
                                             membership::HostId host);
void MergeLedger(ControlState& control,
                 const wire::LedgerState& state,
                 Instant now);

// Notices: links to the holders of buckets' other copies.
void QueueNotice(Entry& entry, steering::BucketNotice notice, Instant now);
void ParkPacket(Entry& entry,
                const steering::Decision& decision,
                std::span<const std::byte> inner,
                Instant now);
void FlushLinks(Entry& entry, Instant now, Actions& actions);
void ResetLinks(Entry& entry);
void HandleNotices(Entry& entry,
                   const wire::NoticeBatch& batch,
                   Endpoint from,
                   Instant now,
                   Actions& actions);
void HandleNoticeAck(Entry& entry,
                     const wire::NoticeAck& ack,
                     Actions& actions);

// Packets: the only part without the control lock.
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
