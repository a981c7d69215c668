// The reporting side of shares.

#include "acaciahold/Admission/share.h"

#include <algorithm>

#include "acaciahold/Support/hash.h"

namespace acaciahold::admission {
namespace {

constexpr uint32_t kHeadroomDivisor = 4;

constexpr uint32_t kGrantedShift = 32;

int64_t Count(Instant t) {
  return t.time_since_epoch().count();
}

uint32_t OpenIn(uint64_t counts) {
  return static_cast<uint32_t>(counts);
}

uint32_t GrantedIn(uint64_t counts) {
  return static_cast<uint32_t>(counts >> kGrantedShift);
}

uint64_t Pack(uint32_t granted, uint32_t open) {
  return (uint64_t{granted} << kGrantedShift) | open;
}

// Sets the grant, but not below the open flows unless it never covered them.
// Returns what was set.
uint32_t SetGranted(ShareCell& cell, uint32_t wanted) {
  uint64_t counts = cell.counts.load();
  while (true) {
    uint32_t open = OpenIn(counts);
    uint32_t covered = std::min(open, GrantedIn(counts));
    uint32_t granted = std::max(wanted, covered);
    if (cell.counts.compare_exchange_weak(counts, Pack(granted, open))) {
      return granted;
    }
  }
}

bool IsLeaseOver(const ShareCell& cell, Instant now) {
  return Count(now) >= cell.lease_deadline.load(std::memory_order_relaxed);
}

// Uses what both the coordinator and the backup know of.
void UseConfirmed(Share& share, ShareCell& cell) {
  uint32_t usable =
      share.has_backup ? std::min(share.held, share.recorded) : share.held;
  SetGranted(cell, usable);
}

}  // namespace

uint32_t OpenFlows(const ShareCell& cell) {
  return OpenIn(cell.counts.load(std::memory_order_relaxed));
}

bool TryAdmit(ShareCell& cell, Instant now) {
  uint64_t counts = cell.counts.load();
  while (!IsLeaseOver(cell, now) && OpenIn(counts) < GrantedIn(counts)) {
    if (cell.counts.compare_exchange_weak(counts, counts + 1)) {
      return true;
    }
  }
  cell.is_wanting.store(true, std::memory_order_relaxed);
  return false;
}

void Adopt(ShareCell& cell) {
  cell.counts.fetch_add(1);
}

void Release(ShareCell& cell) {
  cell.counts.fetch_sub(1);
}

uint32_t Headroom(uint32_t limit, uint32_t hosts) {
  return std::max(1U, limit / (kHeadroomDivisor * std::max(1U, hosts)));
}

bool IsReportDue(const Share& share, const ShareCell& cell, Instant now) {
  bool is_urgent = cell.is_wanting.load(std::memory_order_relaxed);
  return now >= (is_urgent ? share.earliest_report : share.report_deadline);
}

bool IsRenewable(const Share& share,
                 const ShareCell& cell,
                 uint32_t headroom,
                 bool is_warm,
                 Instant now) {
  uint32_t open = OpenFlows(cell);
  bool is_news = cell.failures.load(std::memory_order_relaxed) > 0 ||
                 (!is_warm && cell.successes.load(std::memory_order_relaxed));
  bool is_settled = share.is_answered && !IsLeaseOver(cell, now) &&
                    (!share.has_backup || share.recorded == share.held);
  bool is_ample = share.held >= open + (headroom + 1) / 2;
  bool is_lean = share.held <= open + 2 * headroom;
  bool is_exhausted = cell.is_exhausted.load(std::memory_order_relaxed);
  return is_settled && !is_news && share.held >= open && is_lean &&
         (is_ample || is_exhausted) &&
         !cell.is_wanting.load(std::memory_order_relaxed);
}

uint64_t RenewalPart(uint64_t service,
                     uint64_t upstream,
                     uint64_t sequence,
                     uint32_t held) {
  return CombineHashes(CombineHashes(service, upstream),
                       CombineHashes(sequence, held));
}

void OnRenewed(ShareCell& cell, Instant sent_at) {
  cell.lease_deadline.store(Count(sent_at + kShareLease),
                            std::memory_order_relaxed);
}

ShareReport MakeReport(Share& share,
                       ShareCell& cell,
                       uint32_t headroom,
                       Instant now) {
  uint32_t open = OpenFlows(cell);
  bool gives_up = IsLeaseOver(cell, now) || share.held > open + 2 * headroom;
  if (gives_up) {
    uint32_t keep = IsLeaseOver(cell, now) ? 0 : open + headroom;
    share.held = SetGranted(cell, std::min(keep, share.held));
    open = OpenFlows(cell);
  }
  cell.is_wanting.store(false, std::memory_order_relaxed);
  share.sent_at = now;
  share.is_answered = false;
  share.report_deadline = now + kReportInterval;
  share.earliest_report = now + kMinReportInterval;
  ShareReport report;
  report.sequence = ++share.sequence;
  report.held = share.held;
  report.open = open;
  report.wanted = std::max(open + headroom, share.held);
  report.successes = cell.successes.exchange(0, std::memory_order_relaxed);
  report.failures = cell.failures.exchange(0, std::memory_order_relaxed);
  return report;
}

bool OnGrant(Share& share, ShareCell& cell, const ShareGrant& grant) {
  if (grant.sequence != share.sequence) {
    return false;
  }
  share.held = grant.total;
  share.is_answered = true;
  cell.is_exhausted.store(grant.is_exhausted, std::memory_order_relaxed);
  cell.lease_deadline.store(Count(share.sent_at + kShareLease),
                            std::memory_order_relaxed);
  UseConfirmed(share, cell);
  return share.has_backup && share.recorded != share.held;
}

ShareReport MakeRecord(const Share& share, const ShareCell& cell) {
  ShareReport record;
  record.sequence = share.sequence;
  record.held = share.held;
  record.open = OpenFlows(cell);
  record.is_record = true;
  return record;
}

void OnRecordConfirmed(Share& share, ShareCell& cell, const ShareGrant& grant) {
  if (grant.sequence != share.sequence) {
    return;
  }
  share.recorded = grant.total;
  UseConfirmed(share, cell);
}

void SetBackup(Share& share, ShareCell& cell, bool has_backup) {
  share.has_backup = has_backup;
  share.recorded = 0;
  UseConfirmed(share, cell);
}

}  // namespace acaciahold::admission
