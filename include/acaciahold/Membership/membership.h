// Membership of entry hosts: a SWIM-like gossip protocol, implemented without
// I/O. A host pings the other members in random order, asks other members to
// ping one that does not answer, and piggybacks updates on these messages. The
// number of messages that each host sends does not depend on the number of
// members.
//
// The views of two hosts may differ for a while. The protocol guarantees that a
// host's own incarnation never decreases, that every host chooses the same one
// of two updates about a host, and that a running host refutes an update that
// declares it dead.

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
// How long the record of a dead or left member is kept. It prevents older
// updates that still circulate from adding the member again.
inline constexpr Duration kTombstoneRetention = std::chrono::minutes(30);
// A host sends all members to a peer whose view differs at most once in this
// time. A peer that has just started gets them regardless.
inline constexpr Duration kMinSnapshotInterval = std::chrono::seconds(2);
inline constexpr size_t kMaxUpdatesPerMessage = 6;
// How many members are asked to ping a member that did not answer.
inline constexpr size_t kIndirectProbes = 2;

struct HostRecord {
  HostId id = 0;
  std::string name;
  std::string failure_domain;
  Endpoint peer;             // Receives messages from other hosts.
  Endpoint admin;            // Serves the HTTP API.
  uint64_t incarnation = 0;  // Start of the process, Unix milliseconds.

  bool operator==(const HostRecord&) const = default;
};

// If two updates have the same incarnation and refutation, the one with the
// state that is later in this list prevails.
enum class MemberState { kAlive, kSuspect, kDead, kLeft };

struct MemberUpdate {
  HostRecord host;
  MemberState state = MemberState::kAlive;
  // Incremented only by the host itself, to refute that it is suspect or dead.
  uint32_t refutation = 0;

  bool operator==(const MemberUpdate&) const = default;
};

enum class ProbeKind {
  kPing,
  kAck,
  kPingRequest,  // Asks the receiver to ping `subject`.
  kLeave,        // The sender shuts down as planned.
};

struct Probe {
  ProbeKind kind = ProbeKind::kPing;
  HostId from = 0;
  uint64_t from_incarnation = 0;
  uint64_t sequence = 0;
  HostId subject = 0;  // kPingRequest: host to ping; kAck: host that is alive.
  uint64_t view_digest = 0;  // Hash of all members' states known to the sender.
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
  MemberUpdate latest_update;
  Instant suspect_deadline;  // When a kSuspect member is declared dead.
  Instant removal_deadline;  // When a kDead or kLeft member is removed.
  uint32_t sends_left = 0;   // In how many more messages the update is sent.
};

struct OutstandingPing {
  uint64_t sequence = 0;
  HostId target = 0;
  HostId requester = 0;  // Sender of the kPingRequest; 0 for own pings.
  uint64_t requester_sequence = 0;  // Sequence of the kPingRequest.
  Instant indirect_deadline;  // When other members are asked to ping `target`.
  Instant fail_deadline;      // When `target` becomes suspect.
  bool is_indirect_sent = false;
};

// Invariant: `members` holds every known host but this one.
struct Membership {
  HostRecord self;
  uint32_t refutation = 0;
  bool is_leaving = false;
  uint32_t self_sends_left = 0;  // Like Member::sends_left, for this host.
  std::map<HostId, Member> members;
  // Members still to be pinged in this round, the next one last.
  std::vector<HostId> probe_order;
  std::vector<OutstandingPing> pings;
  Instant probe_deadline;     // When the next member is pinged.
  Instant snapshot_deadline;  // Differing views get no snapshot before this.
  uint64_t next_sequence = 1;
  std::mt19937_64 random;
};

HostId MakeHostId(std::string_view name);

std::string_view StateName(MemberState state);

// `seeds` are the peers configured in the settings; they are taken as alive
// until they fail to answer a ping. `seed` initializes the random numbers.
Membership StartMembership(HostRecord self,
                           std::span<const HostRecord> seeds,
                           uint64_t seed,
                           Instant now);

Output OnTick(Membership& membership, Instant now);
Output OnProbe(Membership& membership,
               const Probe& probe,
               Endpoint from,
               Instant now);

// Applies updates that did not arrive in a probe, such as those in a state
// pulled from another host.
Output ApplyUpdates(Membership& membership,
                    std::span<const MemberUpdate> updates,
                    Instant now);

// Tells the peers that this host shuts down as planned.
Output Leave(Membership& membership, Instant now);

// Returns the latest update of every member, this host included.
std::vector<MemberUpdate> Snapshot(const Membership& membership);

Instant NextDeadline(const Membership& membership);

}  // namespace acaciahold::membership

#endif  // ACACIAHOLD_MEMBERSHIP_MEMBERSHIP_H_
