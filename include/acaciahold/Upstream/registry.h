// The upstreams that announced themselves, and what is known of each: a core
// without I/O. One entry host, the upstream's coordinator, judges silence and
// cold starts; what it finds spreads to the other hosts as newer records.

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

// Silent for so long, an upstream takes nothing new.
inline constexpr Duration kSilenceTimeout = std::chrono::seconds(3);
// Gone for so long, a record is dropped.
inline constexpr Duration kForgetTimeout = std::chrono::minutes(30);
// A warming upstream's limits double with each step up to the last.
inline constexpr uint32_t kLastRampStep = 4;
// Successes at one step before the next, as a share of the step's limit.
inline constexpr uint32_t kMinSuccessesPerStep = 4;
// A step lasts at least this long, so that load shows its effect first.
inline constexpr Duration kRampStepTime = std::chrono::seconds(1);
// After this a few successes are enough for the next step.
inline constexpr Duration kSlowStepTime = std::chrono::seconds(10);
// Failures in a row that count as a sign of an unannounced restart.
inline constexpr uint32_t kColdSignFailures = 3;

struct Key {
  std::string service;
  UpstreamId id = 0;

  auto operator<=>(const Key&) const = default;
};

enum class Phase {
  kServing,
  kDraining,  // Nothing new; what is open runs on.
  kSilent,    // Not heard of; nothing new, what is open is not moved.
  kGone,      // Left by its own word; open flows ended with it.
};

// What an upstream says of itself.
struct Announcement {
  std::string service;
  Endpoint endpoint;
  std::string failure_domain;
  uint32_t slots = 0;        // 0: as the table says.
  uint32_t connections = 0;  // 0: as the table says.
  uint64_t incarnation = 0;
  Phase phase = Phase::kServing;
};

// Of two records of one upstream every host keeps the same one: the higher
// incarnation, then the higher sequence, then the later phase.
struct Record {
  Announcement said;
  uint64_t sequence = 0;
  uint32_t ramp_step = 0;  // 0: cold.

  Key key() const { return {said.service, PackEndpoint(said.endpoint)}; }
};

struct Entry {
  Record record;
  Instant silence_deadline;
  Instant forget_deadline;
  Instant step_deadline;  // No step up before it.
  Instant slow_step_deadline;
  uint32_t step_successes = 0;
  uint32_t failures_in_row = 0;
  uint32_t sends_left = 0;  // How often this news is still passed on.
};

struct Registry {
  std::map<Key, Entry> entries;
  uint64_t digest = 0;  // Of all records; independent of their order.
};

// What an announcement says that can't be, or nothing.
std::vector<std::string> CheckAnnouncement(const Announcement& said);

// Each of these returns whether a record changed, which is then to be spread.
bool OnAnnouncement(Registry& registry, const Announcement& said, Instant now);
bool Merge(Registry& registry, const Record& record, Instant now);

// Marks upstreams silent that this host coordinates and has not heard of.
bool CheckSilence(Registry& registry,
                  const std::function<bool(const Key&)>& is_coordinator,
                  Instant now);

// What was seen of an upstream since the last look.
struct Outcomes {
  uint32_t successes = 0;
  uint32_t failures = 0;  // Connect failures, resets, answers cut short.
  uint32_t sheds = 0;     // The upstream refused before running.
};

// Judges an upstream by what was seen of it. `limit` is what it bears at its
// present step.
bool OnOutcomes(Registry& registry,
                const Key& key,
                const Outcomes& seen,
                uint32_t limit,
                Instant now);

// Gives upstreams that this host begins to coordinate time to be heard.
void ExtendSilence(Registry& registry, Instant now);

// Up to `most` records that are still to be passed on.
std::vector<Record> TakeNews(Registry& registry, size_t most);

std::vector<Record> Snapshot(const Registry& registry);

// The limit at a ramp step: `cold` at step 0, then halves up to `full`.
uint32_t LimitAtStep(uint32_t full, uint32_t cold, uint32_t step);

}  // namespace acaciahold::upstream

#endif  // ACACIAHOLD_UPSTREAM_REGISTRY_H_
