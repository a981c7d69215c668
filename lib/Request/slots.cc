// Counting of busy slots.

#include "acaciahold/Request/slots.h"

#include "acaciahold/Support/check.h"

namespace acaciahold::request {

bool TakeSlot(SlotTable& table, const upstream::Key& key, uint32_t limit,
              Instant now) {
  auto it = table.counts.find(key);
  if (it == table.counts.end() || now < it->second.usable_at ||
      it->second.busy >= limit) {
    return false;
  }
  ++it->second.busy;
  return true;
}

void ReleaseSlot(SlotTable& table, const upstream::Key& key) {
  auto it = table.counts.find(key);
  if (it == table.counts.end()) {
    return;  // Coordination has ended meanwhile.
  }
  AssertInvariant(it->second.busy > 0, "a released slot was taken");
  --it->second.busy;
}

void BeginCoordination(SlotTable& table, const upstream::Key& key,
                       bool is_first, Instant now) {
  auto [it, is_new] = table.counts.try_emplace(key);
  if (is_new) {
    it->second.usable_at = is_first ? now : now + kMaxRequestTime;
  }
}

void EndCoordination(SlotTable& table, const upstream::Key& key) {
  auto it = table.counts.find(key);
  if (it != table.counts.end() && it->second.busy == 0) {
    table.counts.erase(it);
  }
}

uint32_t BusySlots(const SlotTable& table, const upstream::Key& key) {
  auto it = table.counts.find(key);
  return it == table.counts.end() ? 0 : it->second.busy;
}

}  // namespace acaciahold::request
