// The coordinator's ledger of shares.

#include "acaciahold/Admission/ledger.h"

#include <algorithm>

namespace acaciahold::admission {
namespace {

// A host that restarted reports with a new incarnation; what its earlier life
// held is frozen. Nothing is returned for a late word of an earlier life.
LedgerEntry* EntryOf(Ledger& ledger,
                     const ShareReport& report,
                     Instant idle_release) {
  auto& entry = ledger.entries[report.host];
  if (report.incarnation < entry.incarnation) {
    return nullptr;
  }
  if (report.incarnation > entry.incarnation) {
    if (entry.amount > 0) {
      Freeze(ledger, {report.host, entry.incarnation},
             {entry.amount, idle_release});
    }
    entry = {report.incarnation, 0, 0, 0, Instant()};
  }
  return &entry;
}

}  // namespace

void Freeze(Ledger& ledger, HostLife life, const FrozenShare& share) {
  auto& known = ledger.frozen[life];
  known.amount = std::max(known.amount, share.amount);
  known.release_deadline =
      std::max(known.release_deadline, share.release_deadline);
}

uint64_t Accounted(const Ledger& ledger) {
  uint64_t sum = 0;
  for (const auto& [host, entry] : ledger.entries) {
    sum += entry.amount;
  }
  for (const auto& [life, share] : ledger.frozen) {
    sum += share.amount;
  }
  return sum;
}

ShareGrant OnReport(Ledger& ledger,
                    const ShareReport& report,
                    uint32_t limit,
                    Instant idle_release,
                    Instant now) {
  ShareGrant grant{
      report.service, report.upstream, report.host, report.sequence,
      report.held,    false,           false};
  auto* entry = EntryOf(ledger, report, idle_release);
  if (!entry || report.sequence <= entry->sequence) {
    grant.sequence = 0;  // Answers no report of this life.
    return grant;
  }
  entry->sequence = report.sequence;
  entry->is_frozen = false;
  entry->heard_at = now;
  entry->amount = std::max(report.held, report.open);
  uint64_t accounted = Accounted(ledger);
  uint64_t free = accounted < limit ? limit - accounted : 0;
  if (now < ledger.grant_deadline) {
    free = 0;
  }
  uint32_t wish =
      report.wanted > entry->amount ? report.wanted - entry->amount : 0;
  auto given = static_cast<uint32_t>(std::min<uint64_t>(wish, free));
  entry->amount += given;
  if (given > 0) {
    grant.total = entry->amount;
  }
  entry->held = grant.total;
  grant.is_exhausted = given < wish;
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
                    Instant idle_release,
                    Instant now) {
  ShareGrant grant{
      report.service, report.upstream, report.host, report.sequence,
      report.held,    false,           true};
  auto* entry = EntryOf(ledger, report, idle_release);
  if (!entry || report.sequence < entry->sequence) {
    grant.sequence = 0;
    return grant;
  }
  entry->sequence = report.sequence;
  entry->is_frozen = false;
  entry->heard_at = now;
  entry->held = report.held;
  entry->amount = std::max(report.held, report.open);
  return grant;
}

void Review(Ledger& ledger, Duration idle_timeout, Instant now) {
  for (auto it = ledger.entries.begin(); it != ledger.entries.end();) {
    if (now < it->second.heard_at + kShareLease) {
      ++it;
      continue;
    }
    if (it->second.amount > 0) {
      Freeze(ledger, {it->first, it->second.incarnation},
             {it->second.amount, now + idle_timeout});
      // The incarnation and sequence stay, so that a late report is known.
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
  ledger.grant_deadline = now + kShareLease;
  for (auto& [host, entry] : ledger.entries) {
    entry.heard_at = now;
  }
}

}  // namespace acaciahold::admission
