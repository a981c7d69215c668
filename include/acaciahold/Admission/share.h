// One host's share of an upstream's connection limit. The sum of all shares
// never passes the limit, so that each host admits flows without asking.
//
// A host reports what it holds and wants; the upstream's coordinator answers
// with a new total. Reports are numbered, only the answer to the newest one is
// taken, and a host lowers its share only with a report: lost, repeated and
// reordered messages then leave the coordinator's ledger at or above what the
// hosts hold, never below. A share that is not confirmed in time admits
// nothing new.

#ifndef ACACIAHOLD_ADMISSION_SHARE_H_
#define ACACIAHOLD_ADMISSION_SHARE_H_

#include <atomic>
#include <cstdint>

#include "acaciahold/Support/time.h"

namespace acaciahold::admission {

// How long a granted share admits new flows, from the report it answers.
inline constexpr Duration kShareLease = std::chrono::seconds(8);
inline constexpr Duration kReportInterval = std::chrono::seconds(3);
// A share that runs low is reported at once, but no more often than this.
inline constexpr Duration kMinReportInterval = std::chrono::milliseconds(100);

// The part that packet threads touch; shared between them without a lock.
struct ShareCell {
  // The granted number of flows in the upper half, the open ones in the lower,
  // so that admission and a lowered grant never pass each other.
  std::atomic<uint64_t> counts{0};
  std::atomic<int64_t> lease_deadline{0};  // Nanoseconds since the epoch.
  std::atomic<bool> is_exhausted{false};   // The coordinator had no more.
  std::atomic<bool> is_wanting{false};     // An admission failed or ran low.
  // Since the last report.
  std::atomic<uint32_t> successes{0};
  std::atomic<uint32_t> failures{0};
};

uint32_t OpenFlows(const ShareCell& cell);

// Counts one more open flow if the share allows it.
bool TryAdmit(ShareCell& cell, Instant now);

// Counts a flow that another host admitted and that now passes here.
void Adopt(ShareCell& cell);

// Counts an open flow's end.
void Release(ShareCell& cell);

// A report to the coordinator, and its answer.
struct ShareReport {
  uint64_t service = 0;   // Hash of the service's name.
  uint64_t upstream = 0;  // UpstreamId.
  uint64_t host = 0;      // HostId of the reporter.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint32_t held = 0;
  uint32_t open = 0;
  uint32_t wanted = 0;  // The total that the host would like.
  uint32_t successes = 0;
  uint32_t failures = 0;
  bool is_record = false;  // To the backup, which stores `held` and confirms.
};

struct ShareGrant {
  uint64_t service = 0;
  uint64_t upstream = 0;
  uint64_t host = 0;  // For whom; others ignore it.
  uint64_t sequence = 0;
  uint32_t total = 0;
  bool is_exhausted = false;
  bool is_record = false;  // Confirms a record.
};

// The reporting side, kept under the control lock. `sequence` numbers reports
// and records alike and never falls within one life of the host.
struct Share {
  uint64_t sequence = 0;
  uint32_t held = 0;      // What the coordinator last let this host hold.
  uint32_t recorded = 0;  // What the backup has confirmed.
  bool has_backup = false;
  Instant sent_at;           // Of the newest report.
  bool is_answered = false;  // The newest report was.
  Instant report_deadline;
  Instant earliest_report;
};

// What a host wants beyond its open flows, for an upstream with this limit
// shared by `hosts` hosts.
uint32_t Headroom(uint32_t limit, uint32_t hosts);

bool IsReportDue(const Share& share, const ShareCell& cell, Instant now);

// Whether the share can be renewed as it is: the coordinator knows its amount,
// which covers the open flows and leaves about the headroom. `is_warm` tells
// that outcomes are no news.
bool IsRenewable(const Share& share,
                 const ShareCell& cell,
                 uint32_t headroom,
                 bool is_warm,
                 Instant now);

// One share's part in a renewal of many. The parts are combined by XOR on both
// sides; only shares that both know alike are renewed.
uint64_t RenewalPart(uint64_t service,
                     uint64_t upstream,
                     uint64_t sequence,
                     uint32_t held);

// The coordinator agreed to a renewal that was sent at `sent_at`.
void OnRenewed(ShareCell& cell, Instant sent_at);

// Makes the next report, which may give up what is not needed.
ShareReport MakeReport(Share& share,
                       ShareCell& cell,
                       uint32_t headroom,
                       Instant now);

// Takes the coordinator's answer to the newest report. Returns whether the
// backup is to be sent a record before the share can be used in full.
bool OnGrant(Share& share, ShareCell& cell, const ShareGrant& grant);

// What the backup is to store of this share.
ShareReport MakeRecord(const Share& share, const ShareCell& cell);

// Takes the backup's confirmation of a record.
void OnRecordConfirmed(Share& share, ShareCell& cell, const ShareGrant& grant);

// A change of the backup coordinator, or its loss: nothing is confirmed by a
// new one yet.
void SetBackup(Share& share, ShareCell& cell, bool has_backup);

}  // namespace acaciahold::admission

#endif  // ACACIAHOLD_ADMISSION_SHARE_H_
