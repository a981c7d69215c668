// Slots of the upstreams that this host coordinates. One host counts all
// requests of an upstream, so that its slots are never overrun.

#ifndef ACACIAHOLD_REQUEST_SLOTS_H_
#define ACACIAHOLD_REQUEST_SLOTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "acaciahold/Support/time.h"
#include "acaciahold/Upstream/registry.h"

namespace acaciahold::request {

// A request at an upstream ends by its deadline, and no deadline is further
// off than this; a new coordinator gives no slot before it has passed.
inline constexpr Duration kMaxRequestTime = std::chrono::seconds(15);

// The slots of one upstream at its coordinator.
// Invariant: busy <= the highest limit that held while they were taken.
struct SlotCount {
  uint32_t busy = 0;
  Instant usable_at;  // Requests of an earlier coordinator have ended by then.
};

struct SlotTable {
  std::map<upstream::Key, SlotCount> counts;
};

// An upstream that may be given a request.
struct SlotCandidate {
  upstream::UpstreamId id = 0;
  uint32_t limit = 0;
  uint32_t weight = 0;
};

// Takes a slot if fewer than `limit` are busy.
bool TakeSlot(SlotTable& table,
              const upstream::Key& key,
              uint32_t limit,
              Instant now);

void ReleaseSlot(SlotTable& table, const upstream::Key& key);

// This host becomes the coordinator of the upstream. `is_first` tells that
// nobody was before.
void BeginCoordination(SlotTable& table,
                       const upstream::Key& key,
                       bool is_first,
                       Instant now);
void EndCoordination(SlotTable& table, const upstream::Key& key);

uint32_t BusySlots(const SlotTable& table, const upstream::Key& key);

}  // namespace acaciahold::request

#endif  // ACACIAHOLD_REQUEST_SLOTS_H_
