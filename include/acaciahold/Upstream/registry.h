// Registry of the upstreams that announced themselves, implemented without I/O.
// For each upstream, one entry host is the coordinator. It detects that the
// upstream went silent or started cold, and publishes its findings to the other
// hosts as newer records.

#ifndef ACACIAHOLD_UPSTREAM_REGISTRY_H_
#define ACACIAHOLD_UPSTREAM_REGISTRY_H_

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <vector>

#include "acaciahold/Support/address.h"
#include "acaciahold/Support/time.h"
#include "acaciahold/Table/service_row.h"

namespace acaciahold::upstream {

using UpstreamId = uint64_t;  // The packed endpoint; unique within a service.

// An upstream that sends no announcement for this long gets no new flows or
// requests.
inline constexpr Duration kSilenceTimeout = std::chrono::seconds(3);
// How long the record of a silent or gone upstream is kept.
inline constexpr Duration kTombstoneRetention = std::chrono::minutes(30);
// After a cold start, an upstream's limits double with each step of the ramp
// until the last one, which has the full limits.
inline constexpr uint32_t kLastRampStep = 4;
// Number of successes required in any case before the next step. The regular
// requirement is half of the step's limit, if that is more.
inline constexpr uint32_t kMinSuccessesPerStep = 4;
// A step lasts at least this long, so that the effect of its load shows before
// the next one.
inline constexpr Duration kMinRampStepTime = std::chrono::seconds(1);
// After this time in a step kMinSuccessesPerStep are enough for the next one,
// so that an upstream with little load reaches its full limits too.
inline constexpr Duration kSlowRampStepTime = std::chrono::seconds(10);
// This many consecutive failures indicate a restart that was not announced; the
// ramp then starts again.
inline constexpr uint32_t kRestartSignFailures = 3;

struct Key {
  std::string service;
  UpstreamId id = 0;

  auto operator<=>(const Key&) const = default;
};

enum class Phase {
  kServing,
  kDraining,  // Gets nothing new; open flows and requests continue.
  kSilent,  // Sends no announcements; gets nothing new, open flows stay on it.
  kGone,    // Announced that it left; its open flows ended with it.
};

// What an upstream announces about itself.
struct Announcement {
  std::string service;
  Endpoint endpoint;
  std::string failure_domain;
  uint32_t slots = 0;        // Limit of open requests; 0: as in the table.
  uint32_t connections = 0;  // Limit of open flows; 0: as in the table.
  uint64_t incarnation = 0;  // Rises with each restart; never 0.
  Phase phase = Phase::kServing;
};

// An upstream's announcement with what its coordinator found. Of two records of
// one upstream, every host keeps the one with the higher incarnation, then the
// higher sequence, then the later phase.
struct Record {
  Announcement announcement;
  uint64_t sequence = 0;   // Rises with each change within an incarnation.
  uint32_t ramp_step = 0;  // From 0 (cold) to kLastRampStep (full limits).

  Key key() const {
    return {announcement.service, PackEndpoint(announcement.endpoint)};
  }
};

struct Entry {
  Record record;
  Instant silence_deadline;     // When the upstream counts as silent.
  Instant removal_deadline;     // When a silent or gone upstream is removed.
  Instant earliest_step;        // The ramp makes no step before this.
  Instant earliest_slow_step;   // From then on few successes are enough.
  uint32_t step_successes = 0;  // Since the last change of the record.
  uint32_t consecutive_failures = 0;
  uint32_t sends_left = 0;  // In how many more messages the record is sent.
};

struct Registry {
  std::map<Key, Entry> entries;
  uint64_t digest = 0;  // Hash of all records; independent of their order.
};

// Returns a message for each invalid field of the announcement.
std::vector<std::string> CheckAnnouncement(const Announcement& announcement);

// Applies an announcement that the upstream sent to this host. Returns whether
// its record changed and must be published.
bool OnAnnouncement(Registry& registry,
                    const Announcement& announcement,
                    Instant now);

// Applies a record received from another host. Returns whether it replaced this
// host's record.
bool Merge(Registry& registry, const Record& record, Instant now);

// Marks upstreams silent that this host coordinates and whose silence deadline
// has passed, and removes expired records. Returns whether any was marked.
bool CheckSilence(Registry& registry,
                  const std::function<bool(const Key&)>& is_coordinator,
                  Instant now);

// Outcomes of an upstream's flows and requests since the last report.
struct Outcomes {
  uint32_t successes = 0;
  uint32_t failures = 0;  // Failed connects, resets, incomplete responses.
  uint32_t sheds = 0;     // Requests that the upstream refused to run.
};

// Moves an upstream to the next ramp step or back to step 0, depending on the
// outcomes. `limit` is its limit at the present step. Returns whether its
// record changed and must be published.
bool OnOutcomes(Registry& registry,
                const Key& key,
                const Outcomes& outcomes,
                uint32_t limit,
                Instant now);

// Moves all silence deadlines to at least kSilenceTimeout from now. Called when
// this host may have become the coordinator of upstreams whose announcements it
// did not receive before.
void ExtendSilenceDeadlines(Registry& registry, Instant now);

// Takes up to `max_records` records that are still to be sent to other hosts,
// and counts one transmission for each.
std::vector<Record> TakePendingRecords(Registry& registry, size_t max_records);

std::vector<Record> Snapshot(const Registry& registry);

// Returns the limit at a ramp step: `cold_limit` at step 0, then `full_limit`
// halved once for each remaining step, but at least `cold_limit`. The result
// never exceeds `full_limit`.
uint32_t LimitAtStep(uint32_t full_limit, uint32_t cold_limit, uint32_t step);

}  // namespace acaciahold::upstream

#endif  // ACACIAHOLD_UPSTREAM_REGISTRY_H_
