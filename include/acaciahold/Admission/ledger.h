// The coordinator's side of an upstream's shares: who holds how much of its
// limit. The backup coordinator keeps the same ledger from the records that
// hosts send it, and goes on from there.

#ifndef ACACIAHOLD_ADMISSION_LEDGER_H_
#define ACACIAHOLD_ADMISSION_LEDGER_H_

#include <compare>
#include <cstdint>
#include <map>

#include "acaciahold/Admission/share.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::admission {

struct LedgerEntry {
  uint64_t incarnation = 0;
  uint64_t sequence = 0;
  uint32_t amount = 0;  // Held, or open where that is more.
  uint32_t held = 0;    // As granted last.
  Instant heard_at;
  bool is_frozen = false;  // Silent too long; only a report revives it.
};

// A share of a host that is gone or restarted. Its flows live on at other
// hosts; after an idle timeout those that still live have been counted there.
struct FrozenShare {
  uint32_t amount = 0;
  Instant release_deadline;
};

// One life of a host.
struct HostLife {
  uint64_t host = 0;  // HostId.
  uint64_t incarnation = 0;

  auto operator<=>(const HostLife&) const = default;
};

// Invariant: the sum of entries and frozen shares is at least what all hosts
// may have open; shares are granted only out of what that sum leaves.
struct Ledger {
  std::map<uint64_t, LedgerEntry> entries;  // By HostId.
  std::map<HostLife, FrozenShare> frozen;
  // Nothing is granted before it: a new coordinator first hears the hosts, and
  // leases that its predecessor granted lapse.
  Instant grant_deadline;
};

// Freezes a share. Of two words on the same life the larger and the later one
// hold, so that hosts can tell each other any number of times.
void Freeze(Ledger& ledger, HostLife life, const FrozenShare& share);

// What the ledger accounts for, frozen shares included.
uint64_t Accounted(const Ledger& ledger);

// Takes a report and grants what the limit leaves.
ShareGrant OnReport(Ledger& ledger,
                    const ShareReport& report,
                    uint32_t limit,
                    Instant idle_release,
                    Instant now);

// The host's entry for a renewal; null where this life of it is not known.
LedgerEntry* FindForRenewal(Ledger& ledger,
                            uint64_t host,
                            uint64_t incarnation);

// Stores a record sent to this host as the backup.
ShareGrant OnRecord(Ledger& ledger,
                    const ShareReport& report,
                    Instant idle_release,
                    Instant now);

// Freezes shares of hosts silent for longer than their lease, and releases
// those that are due.
void Review(Ledger& ledger, Duration idle_timeout, Instant now);

// To be called when this host becomes the coordinator.
void OnTakeover(Ledger& ledger, Instant now);

}  // namespace acaciahold::admission

#endif  // ACACIAHOLD_ADMISSION_LEDGER_H_
