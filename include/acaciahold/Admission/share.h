// One host's share of an upstream's connection limit. The sum of all hosts'
// shares never exceeds the limit, so each host can admit flows up to its own
// share without asking the others.
//
// A host reports the share that it holds and the share that it wants; the
// upstream's coordinator answers with the new total. Reports are numbered, a
// host accepts only the answer to its newest report, and it lowers its share
// only with a report. Lost, repeated and reordered messages can therefore leave
// the coordinator's ledger above what the hosts hold, but never below. A share
// that the coordinator does not confirm within its lease admits no new flows.

#ifndef ACACIAHOLD_ADMISSION_SHARE_H_
#define ACACIAHOLD_ADMISSION_SHARE_H_

#include <atomic>
#include <cstdint>

#include "acaciahold/Support/time.h"

namespace acaciahold::admission {

// How long a granted share admits new flows, counted from the sending of the
// report that the grant answers.
inline constexpr Duration kShareLease = std::chrono::seconds(8);
inline constexpr Duration kReportInterval = std::chrono::seconds(3);
// A host whose share ran out reports at once, but not more often than this.
inline constexpr Duration kMinReportInterval = std::chrono::milliseconds(100);

// The part of a share that packet threads use; they share it without a lock.
struct AdmissionState {
  // The number of granted flows in the upper 32 bits, of open flows in the
  // lower 32 bits. One atomic holds both, so that an admission can't race with
  // a lowered grant.
  std::atomic<uint64_t> counts{0};
  std::atomic<int64_t> lease_deadline{0};  // Nanoseconds since the epoch.
  // The coordinator's last grant was less than this host wanted.
  std::atomic<bool> is_exhausted{false};
  // TryAdmit() refused a flow since the last report.
  std::atomic<bool> is_report_urgent{false};
  // Outcomes of flows since the last report.
  std::atomic<uint32_t> successes{0};
  std::atomic<uint32_t> failures{0};
};

uint32_t OpenFlows(const AdmissionState& state);

// Counts one more open flow if the lease is valid and the share is not used up.
// Otherwise requests an early report and returns false.
bool TryAdmit(AdmissionState& state, Instant now);

// Counts an open flow that another host admitted and that now passes through
// this host. Ignores the limit of the share, as the flow is already open.
void CountMigratedFlow(AdmissionState& state);

// Counts the end of an open flow.
void Release(AdmissionState& state);

// A report to the coordinator, or a record to the backup coordinator.
struct ShareReport {
  uint64_t service = 0;   // Hash of the service's name.
  uint64_t upstream = 0;  // UpstreamId.
  uint64_t host = 0;      // HostId of the reporter.
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint32_t held = 0;
  uint32_t open = 0;
  uint32_t wanted = 0;  // Total share that the host asks for, `held` included.
  uint32_t successes = 0;
  uint32_t failures = 0;
  // For the backup, which stores `held` and confirms it.
  bool is_record = false;
};

// The coordinator's answer to a report, or the backup's confirmation of a
// record.
struct ShareGrant {
  uint64_t service = 0;
  uint64_t upstream = 0;
  uint64_t host = 0;      // HostId of the addressee; other hosts ignore it.
  uint64_t sequence = 0;  // Of the report or record; 0 if that was outdated.
  uint32_t total = 0;
  bool is_exhausted = false;
  bool is_record = false;  // Confirms a record.
};

// The reporting host's state of its share, guarded by the control lock.
struct Share {
  // Of the newest report; a record carries the number of the report before it.
  // Never decreases within one incarnation of the host.
  uint64_t sequence = 0;
  // Total granted by the coordinator, less what this host returned since.
  uint32_t held = 0;
  uint32_t confirmed_by_backup = 0;  // Total that the backup has confirmed.
  bool has_backup = false;
  Instant sent_at;           // When the newest report was sent.
  bool is_answered = false;  // Whether the newest report has been answered.
  Instant report_deadline;   // When the next report is due at the latest.
  Instant earliest_report;   // No report is sent before, even an urgent one.
};

// Returns how many flows beyond its open ones a host asks for, where `hosts`
// hosts share an upstream's `limit`.
uint32_t Headroom(uint32_t limit, uint32_t hosts);

bool IsReportDue(const Share& share, const AdmissionState& state, Instant now);

// Returns whether a renewal can extend the lease without a report. The
// coordinator, and the backup if there is one, must have confirmed the share;
// the lease must still be valid; the share must cover the open flows and leave
// about `headroom` flows; and no outcomes may be waiting to be reported. Once
// the upstream is at the last step of its ramp (`is_warm`), successes need no
// report.
bool IsRenewable(const Share& share,
                 const AdmissionState& state,
                 uint32_t headroom,
                 bool is_warm,
                 Instant now);

// Returns the hash of one share in a renewal that covers many. Host and
// coordinator each combine the hashes of these shares by XOR; the shares are
// renewed only if both get the same result.
uint64_t RenewalHash(uint64_t service,
                     uint64_t upstream,
                     uint64_t sequence,
                     uint32_t held);

// Extends the lease after the coordinator accepted a renewal sent at `sent_at`.
void OnRenewed(AdmissionState& state, Instant sent_at);

// Makes the next report. Returns part of the share to the coordinator if it
// exceeds the open flows by more than twice `headroom`, and all of it but the
// open flows if the lease has expired. The caller fills in the fields that
// identify service, upstream and host.
ShareReport MakeReport(Share& share,
                       AdmissionState& state,
                       uint32_t headroom,
                       Instant now);

// Applies the coordinator's answer; ignores one to an earlier report. Returns
// whether a record must be sent to the backup and confirmed before the share
// can be used in full.
bool OnGrant(Share& share, AdmissionState& state, const ShareGrant& grant);

// Makes the record of this share for the backup.
ShareReport MakeRecord(const Share& share, const AdmissionState& state);

// Applies the backup's confirmation of a record; ignores an outdated one.
void OnRecordConfirmed(Share& share,
                       AdmissionState& state,
                       const ShareGrant& grant);

// Called when the backup coordinator changes or is lost. A new backup has
// confirmed nothing yet.
void SetBackup(Share& share, AdmissionState& state, bool has_backup);

}  // namespace acaciahold::admission

#endif  // ACACIAHOLD_ADMISSION_SHARE_H_
