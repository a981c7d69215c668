// The coordinator's ledger for one upstream: how much of the upstream's
// connection limit each host holds. The backup coordinator builds the same
// ledger from the records that hosts send it, and continues with it when it
// takes over.

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
  uint64_t sequence = 0;  // Of the newest report or record from the host.
  // Flows that the ledger reserves for the host: `held`, or the host's open
  // flows if those are more.
  uint32_t amount = 0;
  uint32_t held = 0;  // Total of the last grant to the host.
  // When the host last sent a report, record or renewal.
  Instant last_heard_at;
  // The host sent nothing for kShareLease. Its share can't be renewed until it
  // sends a new report or record.
  bool is_frozen = false;
};

// Share of a host that stopped responding or restarted. Its flows continue
// through other hosts, which count each one on its next packet. After one idle
// timeout every flow that is still open has been counted there, so the frozen
// amount can be released.
struct FrozenShare {
  uint32_t amount = 0;
  Instant release_deadline;
};

// One run of a host's process.
struct HostIncarnation {
  uint64_t host = 0;  // HostId.
  uint64_t incarnation = 0;

  auto operator<=>(const HostIncarnation&) const = default;
};

// Invariant: the sum of all entries' and frozen shares' amounts is at least the
// number of flows that all hosts may have open. Grants come only from the part
// of the limit that exceeds this sum.
struct Ledger {
  std::map<uint64_t, LedgerEntry> entries;  // Keyed by HostId.
  std::map<HostIncarnation, FrozenShare> frozen;
  // No flows are granted before this time, so that a new coordinator first
  // receives the hosts' reports, and leases granted by its predecessor expire.
  Instant earliest_grant;
};

// Adds a frozen share of `owner`. If there is one already, keeps the larger
// amount and the later deadline; the operation is idempotent, so hosts can
// exchange frozen shares any number of times.
void Freeze(Ledger& ledger, HostIncarnation owner, const FrozenShare& share);

// Returns the number of flows reserved by all entries and frozen shares.
uint64_t TotalReserved(const Ledger& ledger);

// Applies a host's report and grants the additional flows that it asks for, as
// far as `limit` allows. If the host restarted, the share of its earlier
// incarnation is frozen until `frozen_until`. For an outdated report the
// returned grant has sequence 0, which the host ignores.
ShareGrant OnReport(Ledger& ledger,
                    const ShareReport& report,
                    uint32_t limit,
                    Instant frozen_until,
                    Instant now);

// Returns the entry that a renewal by this incarnation of the host refers to.
// Returns null if the ledger has no entry for the incarnation or it is frozen;
// the host must then send a full report.
LedgerEntry* FindForRenewal(Ledger& ledger,
                            uint64_t host,
                            uint64_t incarnation);

// Stores a record that a host sent to this host as the backup coordinator, and
// returns the confirmation. For an outdated record the confirmation has
// sequence 0, which the sender ignores.
ShareGrant OnRecord(Ledger& ledger,
                    const ShareReport& report,
                    Instant frozen_until,
                    Instant now);

// Freezes for `idle_timeout` the shares of hosts that sent nothing for
// kShareLease, and drops frozen shares whose release deadline has passed.
void ExpireSilentShares(Ledger& ledger, Duration idle_timeout, Instant now);

// Called when this host becomes the upstream's coordinator. Grants no flows for
// kShareLease, and gives every host that long to report.
void OnTakeover(Ledger& ledger, Instant now);

}  // namespace acaciahold::admission

#endif  // ACACIAHOLD_ADMISSION_LEDGER_H_
