// The directory of upstreams that announce themselves to control hosts, with
// one entry for each upstream id. Performs no I/O. Every control host and every
// entry host keeps a copy; hosts send each other changed records, and each host
// keeps the newest record of an upstream.
//
// Records of one upstream are ordered by the upstream's start time, then by its
// sequence number, so they may arrive out of order, late or more than once. An
// upstream that left is kept for a while, so that a late record does not add it
// again.

#ifndef ACACIAHOLD_DIRECTORY_DIRECTORY_H_
#define ACACIAHOLD_DIRECTORY_DIRECTORY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "acaciahold/Support/address.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::directory {

// Chosen by the upstream, which usually takes a new one at each start.
using UpstreamId = uint64_t;

enum class Phase {
  kServing,
  kDraining,  // Receives no new flows; existing flows continue.
  kGone,      // The upstream has left: it deregistered itself.
};

// An upstream's announcement. Records of an upstream are ordered by
// (born_ms, sequence).
struct Record {
  UpstreamId id = 0;
  std::string service;
  Endpoint endpoint;
  std::string failure_domain;
  uint32_t slots = 1;  // Requests that it processes concurrently.
  Phase phase = Phase::kServing;
  int64_t born_ms = 0;  // Start time by the upstream's clock, Unix time in ms.
  uint64_t sequence = 0;  // Increases with each announcement.
  uint32_t cold_ms = 0;   // Remaining warm-up time; 0: warm.

  bool operator==(const Record&) const = default;
};

struct Entry {
  Record record;
  // When any control host last received an announcement or the deregistration
  // of the upstream.
  Instant heard_at;
  Instant cold_deadline;   // End of the warm-up period.
  bool is_silent = false;  // No announcement within the silence timeout.
};

struct Directory {
  std::map<UpstreamId, Entry> entries;
  // Index of `entries`. Invariant: holds the id of each entry under the service
  // of its record, and no other ids.
  std::map<std::string, std::set<UpstreamId>, std::less<>> by_service;
};

// Consecutive announcements that may be lost before an upstream counts as
// silent.
inline constexpr int kMissedAnnouncements = 3;
// How long entries of upstreams that left or are silent are kept. Longer than
// any idle flow is kept open.
inline constexpr Duration kRetentionTime = std::chrono::seconds(90);

// Time without an announcement after which an upstream counts as silent.
constexpr Duration SilenceTimeout(Duration announcement_interval) {
  return announcement_interval * kMissedAnnouncements +
         announcement_interval / 2;
}

enum class UpdateResult {
  // Ignored: not newer than the known record, or the upstream is unknown.
  kStale,
  kRefreshed,  // Newer, but with no change that affects placement.
  kChanged,    // The entry was added or changed.
};

// Adds or updates the entry of an upstream whose announcement was received at
// `heard_at`.
UpdateResult Merge(Directory& directory,
                   const Record& record,
                   Instant heard_at);

// Marks an upstream as kGone. `born_ms` identifies the start that left; 0 means
// the known one. An unknown upstream gets an entry too, so that a late record
// does not add it.
UpdateResult Remove(Directory& directory,
                    UpstreamId id,
                    int64_t born_ms,
                    Instant now);

// Reports that an upstream announced itself again without a change.
struct RefreshNotice {
  UpstreamId id = 0;
  int64_t born_ms = 0;  // Identifies the start of the upstream.
  uint64_t sequence = 0;
  // The phase known to the sender. Sent because the record with a phase change
  // may have been lost and would be stale after this notice.
  Phase phase = Phase::kServing;
};

// Applies the notice to the directory. Returns kStale if the directory has no
// record of that start, the known sequence number is higher, or the upstream
// has left; kChanged if the upstream was silent or known in another phase.
UpdateResult Refresh(Directory& directory,
                     const RefreshNotice& notice,
                     Instant heard_at);

// Marks upstreams as silent whose last announcement is at least `timeout` old.
// Returns those newly marked.
std::vector<UpstreamId> CheckSilence(Directory& directory,
                                     Duration timeout,
                                     Instant now);

// Removes entries of upstreams that left or are silent and were last heard from
// at least kRetentionTime ago. Returns their ids.
std::vector<UpstreamId> RemoveExpiredEntries(Directory& directory, Instant now);

// Digest over the record of each upstream that is neither gone nor silent, but
// for its sequence number and warm-up time; 0 if there is none. Control hosts
// and entry hosts compare it to skip the transfer of directories that place new
// flows alike. Hosts of earlier versions compute another one, so that they
// transfer the directory.
uint64_t Digest(const Directory& directory);

// The record to send to other hosts at `now`, with the warm-up time that
// remains by then.
Record CurrentRecord(const Entry& entry, Instant now);

std::string_view PhaseName(Phase phase);

}  // namespace acaciahold::directory

#endif  // ACACIAHOLD_DIRECTORY_DIRECTORY_H_
