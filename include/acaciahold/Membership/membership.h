// Membership of entry hosts: a core without I/O that probes peers in random
// order, asks others to probe a silent one, and spreads what it learns on the
// probes themselves. Each host sends a constant number of messages, however
// many members there are.
//
// Views of two hosts differ for a while. What holds meanwhile: a host's own
// incarnation never falls; of two records of one host, every host keeps the
// same one; a host that is declared dead and lives refutes it.

#ifndef ACACIAHOLD_MEMBERSHIP_MEMBERSHIP_H_
#define ACACIAHOLD_MEMBERSHIP_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "acaciahold/Support/address.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::membership {

using HostId = uint64_t;  // Hash of the host's name.

inline constexpr Duration kProbeInterval = std::chrono::milliseconds(500);
inline constexpr Duration kAckTimeout = std::chrono::milliseconds(150);
inline constexpr Duration kSuspicionTimeout = std::chrono::milliseconds(1200);
// A member that is gone is forgotten after this; until then its record keeps
// older news of it from returning.
inline constexpr Duration kForgetTimeout = std::chrono::minutes(30);
// A peer with another view is told all members no more often than this.
inline constexpr Duration kSnapshotInterval = std::chrono::seconds(2);
inline constexpr size_t kMaxUpdatesPerMessage = 6;
inline constexpr size_t kIndirectProbes = 2;

struct HostRecord {
  HostId id = 0;
  std::string name;
  std::string failure_domain;
  Endpoint peer;
  Endpoint admin;
  uint64_t incarnation = 0;  // Start of the process, Unix milliseconds.

  bool operator==(const HostRecord&) const = default;
};

// In order of precedence at the same incarnation and refutation.
enum class MemberState { kAlive, kSuspect, kDead, kLeft };

struct MemberUpdate {
  HostRecord host;
  MemberState state = MemberState::kAlive;
  uint32_t refutation = 0;  // Raised by the host itself against suspicion.

  bool operator==(const MemberUpdate&) const = default;
};

enum class ProbeKind {
  kPing,
  kAck,
  kPingRequest,  // Asks the receiver to ping `subject`.
  kLeave,
};

struct Probe {
  ProbeKind kind = ProbeKind::kPing;
  HostId from = 0;
  uint64_t from_incarnation = 0;
  uint64_t sequence = 0;
  HostId subject = 0;  // kPingRequest: whom to ping; kAck: who is alive.
  uint64_t view_digest = 0;
  std::vector<MemberUpdate> updates;
};

struct OutgoingProbe {
  Endpoint to;
  Probe probe;
};

struct Output {
  std::vector<OutgoingProbe> probes;
  bool view_changed = false;
};

struct Member {
  MemberUpdate known;
  Instant suspect_deadline;  // kSuspect: declared dead then.
  Instant forget_deadline;   // kDead, kLeft: forgotten then.
  uint32_t sends_left = 0;   // How often this news is still passed on.
};

struct OutstandingPing {
  uint64_t sequence = 0;
  HostId target = 0;
  HostId on_behalf_of = 0;  // Who asked for it; 0 for this host itself.
  uint64_t their_sequence = 0;
  Instant indirect_deadline;  // Others are asked then.
  Instant fail_deadline;
  bool is_indirect_sent = false;
};

// Invariant: `members` holds every known host but this one.
struct Membership {
  HostRecord self;
  uint32_t refutation = 0;
  bool is_leaving = false;
  uint32_t self_sends_left = 0;
  std::map<HostId, Member> members;
  std::vector<HostId> probe_order;
  std::vector<OutstandingPing> pings;
  Instant probe_deadline;
  Instant snapshot_deadline;  // Not every differing view is answered in full.
  uint64_t next_sequence = 1;
  std::mt19937_64 random;
};

HostId MakeHostId(std::string_view name);

std::string_view StateName(MemberState state);

// `seeds` are the peers that the settings name; they count as alive until they
// prove silent.
Membership StartMembership(HostRecord self,
                           std::span<const HostRecord> seeds,
                           uint64_t seed,
                           Instant now);

Output OnTick(Membership& membership, Instant now);
Output OnProbe(Membership& membership,
               const Probe& probe,
               Endpoint from,
               Instant now);

// Takes in news that came another way, such as with a pulled state.
Output Learn(Membership& membership,
             std::span<const MemberUpdate> updates,
             Instant now);

// Tells peers that this host leaves by plan.
Output Leave(Membership& membership, Instant now);

// Every member's newest state, this host included.
std::vector<MemberUpdate> Snapshot(const Membership& membership);

Instant NextDeadline(const Membership& membership);

}  // namespace acaciahold::membership

#endif  // ACACIAHOLD_MEMBERSHIP_MEMBERSHIP_H_
