// The upstreams that announce themselves to control hosts, one entry for each
// process that ever started: a core without I/O. Control hosts and entry hosts
// keep one each; records spread as changes and every holder keeps the newest.
//
// Records of one upstream are ordered by its start and then by its own sequence
// number, so that they may come in any order, crossed, late or twice. An
// upstream that left stays known for a while, so that a late record of it does
// not bring it back.

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

using UpstreamId = uint64_t;  // Chosen by the upstream, anew at most starts.

enum class Phase {
  kServing,
  kDraining,  // Nothing new; what is open runs on.
  kGone,      // Left by its own word.
};

// What an upstream says of itself. Ordered by (born_ms, sequence).
struct Record {
  UpstreamId id = 0;
  std::string service;
  Endpoint endpoint;
  std::string failure_domain;
  uint32_t slots = 1;  // Requests that it works on at once.
  Phase phase = Phase::kServing;
  int64_t born_ms = 0;    // Unix milliseconds of its start, by its own clock.
  uint64_t sequence = 0;  // Rises with each announcement.
  uint32_t cold_ms = 0;   // It stays cold for so long from now; 0: warm.

  bool operator==(const Record&) const = default;
};

struct Entry {
  Record record;
  Instant heard_at;       // The last announcement, whoever received it.
  Instant cold_deadline;  // Cold before it.
  bool is_silent = false;
};

struct Directory {
  std::map<UpstreamId, Entry> entries;
  // Invariant: each entry's id under its record's service, and nothing else.
  std::map<std::string, std::set<UpstreamId>, std::less<>> by_service;
};

// Three announcements may be lost in a row before an upstream counts as silent.
inline constexpr int kMissedAnnouncements = 3;
// Longer than any flow is kept open without a word.
inline constexpr Duration kForgetTimeout = std::chrono::seconds(90);

// Not heard for so long, an upstream is silent.
constexpr Duration SilenceTimeout(Duration announcement_interval) {
  return announcement_interval * kMissedAnnouncements +
         announcement_interval / 2;
}

enum class Change {
  kStale,      // Older than what is known.
  kRefreshed,  // Newer, and nothing but its sequence has changed.
  kChanged,
};

// Takes a record in that was announced at `heard_at`.
Change Merge(Directory& directory, const Record& record, Instant heard_at);

// Marks an upstream as having left. A start of 0 stands for the known one;
// unknown upstreams are kept as gone as well.
Change Remove(Directory& directory,
              UpstreamId id,
              int64_t born_ms,
              Instant now);

// Word that an upstream announced itself again, unchanged.
struct Refreshment {
  UpstreamId id = 0;
  int64_t born_ms = 0;  // Of the start that announced itself.
  uint64_t sequence = 0;
  // As the sender knows it. The record that changed it may have been lost, and
  // would be stale after this.
  Phase phase = Phase::kServing;
};

// Takes such word in. kStale where no record of that start is known; kChanged
// where it had been silent, or was known in another phase.
Change Refresh(Directory& directory,
               const Refreshment& refreshment,
               Instant heard_at);

// Marks upstreams silent that have not been heard for `timeout`, and returns
// them.
std::vector<UpstreamId> CheckSilence(Directory& directory,
                                     Duration timeout,
                                     Instant now);

// Drops what has been gone or silent for kForgetTimeout, and returns it.
std::vector<UpstreamId> ForgetOld(Directory& directory, Instant now);

// The same for directories that place new flows alike, whatever else they hold;
// 0 for an empty one.
uint64_t Digest(const Directory& directory);

// A record as others are to take it in at `now`.
Record CurrentRecord(const Entry& entry, Instant now);

std::string_view PhaseName(Phase phase);

}  // namespace acaciahold::directory

#endif  // ACACIAHOLD_DIRECTORY_DIRECTORY_H_
