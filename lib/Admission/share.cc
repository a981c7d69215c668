#include "acaciahold/Admission/share.h"

#include <algorithm>

#include "acaciahold/Support/hash.h"

namespace acaciahold::admission {
namespace {

// All hosts together ask for a quarter of the limit as headroom.
constexpr uint32_t kHeadroomDivisor = 4;

// Position of the granted flows in AdmissionState::counts.
constexpr uint32_t kGrantedShift = 32;

int64_t ToNanoseconds(Instant t) {
  return t.time_since_epoch().count();
}

uint32_t OpenCount(uint64_t counts) {
  return static_cast<uint32_t>(counts);
}

uint32_t GrantedCount(uint64_t counts) {
  return static_cast<uint32_t>(counts >> kGrantedShift);
}

uint64_t PackCounts(uint32_t granted, uint32_t open) {
  return (uint64_t{granted} << kGrantedShift) | open;
}

// Sets the number of granted flows to `requested`, but not below the open flows
// that the present grant covers. Migrated flows can exceed the grant. Returns
// the number set.
uint32_t SetGranted(AdmissionState& state, uint32_t requested) {
  uint64_t counts = state.counts.load();
  while (true) {
    uint32_t open = OpenCount(counts);
    uint32_t covered = std::min(open, GrantedCount(counts));
    uint32_t granted = std::max(requested, covered);
    if (state.counts.compare_exchange_weak(counts, PackCounts(granted, open))) {
      return granted;
    }
  }
}

bool IsLeaseExpired(const AdmissionState& state, Instant now) {
  return ToNanoseconds(now) >=
         state.lease_deadline.load(std::memory_order_relaxed);
}

// Lets packet threads use the part of the share that the coordinator and, if
// there is one, the backup have both confirmed.
void ApplyConfirmedGrant(Share& share, AdmissionState& state) {
  uint32_t confirmed = share.has_backup
                           ? std::min(share.held, share.confirmed_by_backup)
                           : share.held;
  SetGranted(state, confirmed);
}

}  // namespace

uint32_t OpenFlows(const AdmissionState& state) {
  return OpenCount(state.counts.load(std::memory_order_relaxed));
}

bool TryAdmit(AdmissionState& state, Instant now) {
  uint64_t counts = state.counts.load();
  while (!IsLeaseExpired(state, now) &&
         OpenCount(counts) < GrantedCount(counts)) {
    if (state.counts.compare_exchange_weak(counts, counts + 1)) {
      return true;
    }
  }
  state.is_report_urgent.store(true, std::memory_order_relaxed);
  return false;
}

void CountMigratedFlow(AdmissionState& state) {
  state.counts.fetch_add(1);
}

void Release(AdmissionState& state) {
  state.counts.fetch_sub(1);
}

uint32_t Headroom(uint32_t limit, uint32_t hosts) {
  return std::max(1U, limit / (kHeadroomDivisor * std::max(1U, hosts)));
}

bool IsReportDue(const Share& share, const AdmissionState& state, Instant now) {
  bool is_urgent = state.is_report_urgent.load(std::memory_order_relaxed);
  return now >= (is_urgent ? share.earliest_report : share.report_deadline);
}

bool IsRenewable(const Share& share,
                 const AdmissionState& state,
                 uint32_t headroom,
                 bool is_warm,
                 Instant now) {
  uint32_t open = OpenFlows(state);
  bool has_new_outcomes =
      state.failures.load(std::memory_order_relaxed) > 0 ||
      (!is_warm && state.successes.load(std::memory_order_relaxed));
  bool is_confirmed =
      share.is_answered && !IsLeaseExpired(state, now) &&
      (!share.has_backup || share.confirmed_by_backup == share.held);
  bool has_spare_flows = share.held >= open + (headroom + 1) / 2;
  bool has_no_excess = share.held <= open + 2 * headroom;
  bool is_exhausted = state.is_exhausted.load(std::memory_order_relaxed);
  return is_confirmed && !has_new_outcomes && share.held >= open &&
         has_no_excess && (has_spare_flows || is_exhausted) &&
         !state.is_report_urgent.load(std::memory_order_relaxed);
}

uint64_t RenewalHash(uint64_t service,
                     uint64_t upstream,
                     uint64_t sequence,
                     uint32_t held) {
  return CombineHashes(CombineHashes(service, upstream),
                       CombineHashes(sequence, held));
}

void OnRenewed(AdmissionState& state, Instant sent_at) {
  state.lease_deadline.store(ToNanoseconds(sent_at + kShareLease),
                             std::memory_order_relaxed);
}

ShareReport MakeReport(Share& share,
                       AdmissionState& state,
                       uint32_t headroom,
                       Instant now) {
  uint32_t open = OpenFlows(state);
  bool returns_excess =
      IsLeaseExpired(state, now) || share.held > open + 2 * headroom;
  if (returns_excess) {
    uint32_t keep = IsLeaseExpired(state, now) ? 0 : open + headroom;
    share.held = SetGranted(state, std::min(keep, share.held));
    open = OpenFlows(state);
  }
  state.is_report_urgent.store(false, std::memory_order_relaxed);
  share.sent_at = now;
  share.is_answered = false;
  share.report_deadline = now + kReportInterval;
  share.earliest_report = now + kMinReportInterval;
  ShareReport report;
  report.sequence = ++share.sequence;
  report.held = share.held;
  report.open = open;
  report.wanted = std::max(open + headroom, share.held);
  report.successes = state.successes.exchange(0, std::memory_order_relaxed);
  report.failures = state.failures.exchange(0, std::memory_order_relaxed);
  return report;
}

bool OnGrant(Share& share, AdmissionState& state, const ShareGrant& grant) {
  if (grant.sequence != share.sequence) {
    return false;
  }
  share.held = grant.total;
  share.is_answered = true;
  state.is_exhausted.store(grant.is_exhausted, std::memory_order_relaxed);
  state.lease_deadline.store(ToNanoseconds(share.sent_at + kShareLease),
                             std::memory_order_relaxed);
  ApplyConfirmedGrant(share, state);
  return share.has_backup && share.confirmed_by_backup != share.held;
}

ShareReport MakeRecord(const Share& share, const AdmissionState& state) {
  ShareReport record;
  record.sequence = share.sequence;
  record.held = share.held;
  record.open = OpenFlows(state);
  record.is_record = true;
  return record;
}

void OnRecordConfirmed(Share& share,
                       AdmissionState& state,
                       const ShareGrant& grant) {
  if (grant.sequence != share.sequence) {
    return;
  }
  share.confirmed_by_backup = grant.total;
  ApplyConfirmedGrant(share, state);
}

void SetBackup(Share& share, AdmissionState& state, bool has_backup) {
  share.has_backup = has_backup;
  share.confirmed_by_backup = 0;
  ApplyConfirmedGrant(share, state);
}

}  // namespace acaciahold::admission
