#include "acaciahold/Admission/ledger.h"

#include <algorithm>

namespace acaciahold::admission {
namespace {

// Returns the entry of the reporting host. A restarted host reports with a
// higher incarnation: the share of its earlier incarnation is then frozen until
// `frozen_until` and the entry starts empty. Returns null for a delayed message
// of an earlier incarnation.
LedgerEntry* FindOrResetEntry(Ledger& ledger,
                              const ShareReport& report,
                              Instant frozen_until) {
  auto& entry = ledger.entries[report.host];
  if (report.incarnation < entry.incarnation) {
    return nullptr;
  }
  if (report.incarnation > entry.incarnation) {
    if (entry.amount > 0) {
      Freeze(ledger, {report.host, entry.incarnation},
             {entry.amount, frozen_until});
    }
    entry = {report.incarnation, 0, 0, 0, Instant()};
  }
  return &entry;
}

}  // namespace

void Freeze(Ledger& ledger, HostIncarnation owner, const FrozenShare& share) {
  auto& frozen_share = ledger.frozen[owner];
  frozen_share.amount = std::max(frozen_share.amount, share.amount);
  frozen_share.release_deadline =
      std::max(frozen_share.release_deadline, share.release_deadline);
}

uint64_t TotalReserved(const Ledger& ledger) {
  uint64_t sum = 0;
  for (const auto& [host, entry] : ledger.entries) {
    sum += entry.amount;
  }
  for (const auto& [owner, share] : ledger.frozen) {
    sum += share.amount;
  }
  return sum;
}

ShareGrant OnReport(Ledger& ledger,
                    const ShareReport& report,
                    uint32_t limit,
                    Instant frozen_until,
                    Instant now) {
  ShareGrant grant{
      report.service, report.upstream, report.host, report.sequence,
      report.held,    false,           false};
  auto* entry = FindOrResetEntry(ledger, report, frozen_until);
  if (!entry || report.sequence <= entry->sequence) {
    grant.sequence = 0;  // Matches no report, so the host ignores the grant.
    return grant;
  }
  entry->sequence = report.sequence;
  entry->is_frozen = false;
  entry->last_heard_at = now;
  entry->amount = std::max(report.held, report.open);
  uint64_t reserved = TotalReserved(ledger);
  uint64_t available = reserved < limit ? limit - reserved : 0;
  if (now < ledger.earliest_grant) {
    available = 0;
  }
  uint32_t requested =
      report.wanted > entry->amount ? report.wanted - entry->amount : 0;
  auto granted =
      static_cast<uint32_t>(std::min<uint64_t>(requested, available));
  entry->amount += granted;
  if (granted > 0) {
    grant.total = entry->amount;
  }
  entry->held = grant.total;
  grant.is_exhausted = granted < requested;
  return grant;
}

LedgerEntry* FindForRenewal(Ledger& ledger,
                            uint64_t host,
                            uint64_t incarnation) {
  auto it = ledger.entries.find(host);
  if (it == ledger.entries.end() || it->second.incarnation != incarnation ||
      it->second.sequence == 0 || it->second.is_frozen) {
    return nullptr;
  }
  return &it->second;
}

ShareGrant OnRecord(Ledger& ledger,
                    const ShareReport& report,
                    Instant frozen_until,
                    Instant now) {
  ShareGrant grant{
      report.service, report.upstream, report.host, report.sequence,
      report.held,    false,           true};
  auto* entry = FindOrResetEntry(ledger, report, frozen_until);
  if (!entry || report.sequence < entry->sequence) {
    grant.sequence = 0;
    return grant;
  }
  entry->sequence = report.sequence;
  entry->is_frozen = false;
  entry->last_heard_at = now;
  entry->held = report.held;
  entry->amount = std::max(report.held, report.open);
  return grant;
}

void ExpireSilentShares(Ledger& ledger, Duration idle_timeout, Instant now) {
  for (auto it = ledger.entries.begin(); it != ledger.entries.end();) {
    if (now < it->second.last_heard_at + kShareLease) {
      ++it;
      continue;
    }
    if (it->second.amount > 0) {
      Freeze(ledger, {it->first, it->second.incarnation},
             {it->second.amount, now + idle_timeout});
      // Keep incarnation and sequence so that delayed reports are recognized.
      it->second.amount = 0;
      it->second.is_frozen = true;
    }
    ++it;
  }
  std::erase_if(ledger.frozen, [&](const auto& it) {
    return now >= it.second.release_deadline;
  });
}

void OnTakeover(Ledger& ledger, Instant now) {
  ledger.earliest_grant = now + kShareLease;
  for (auto& [host, entry] : ledger.entries) {
    entry.last_heard_at = now;
  }
}

}  // namespace acaciahold::admission
