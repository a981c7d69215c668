// Counting of busy slots, and the bounded queues.

#include "acaciahold/Request/dispatcher.h"

#include <algorithm>
#include <optional>

#include "acaciahold/Support/check.h"

namespace acaciahold::request {
namespace {

bool IsUsable(const ServiceSlots& slots,
              const SlotCandidate& candidate,
              Instant now) {
  auto it = slots.counts.find(candidate.id);
  return it != slots.counts.end() && now >= it->second.usable_at;
}

uint32_t BusyOf(const ServiceSlots& slots, upstream::UpstreamId id) {
  auto it = slots.counts.find(id);
  return it == slots.counts.end() ? 0 : it->second.busy;
}

// The candidate with the lowest part of its slots busy; of equal ones, that
// which has waited longest.
std::optional<upstream::UpstreamId> TakeSlot(
    ServiceSlots& slots,
    std::span<const SlotCandidate> candidates,
    Instant now) {
  SlotCount* best = nullptr;
  const SlotCandidate* chosen = nullptr;
  for (const auto& it : candidates) {
    if (!IsUsable(slots, it, now) || BusyOf(slots, it.id) >= it.limit) {
      continue;
    }
    auto& count = slots.counts[it.id];
    uint64_t load = best ? uint64_t{count.busy} * chosen->limit : 0;
    uint64_t best_load = best ? uint64_t{best->busy} * it.limit : 0;
    bool is_better = !best || load < best_load ||
                     (load == best_load && count.granted_at < best->granted_at);
    if (is_better) {
      best = &count;
      chosen = &it;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  ++best->busy;
  best->granted_at = ++slots.grants;
  return chosen->id;
}

}  // namespace

Admission Admit(Dispatcher& dispatcher,
                const std::string& service,
                std::span<const SlotCandidate> candidates,
                Instant now) {
  auto& slots = dispatcher.services[service];
  if (slots.waiters.empty()) {
    if (auto upstream = TakeSlot(slots, candidates, now)) {
      return Granted{*upstream};
    }
  }
  auto load = LoadOf(dispatcher, service, candidates, now);
  if (load.waiting >= load.slots * kWaitersPerSlot) {
    return QueueFull{};
  }
  slots.waiters.push_back(dispatcher.next_waiter);
  return Queued{dispatcher.next_waiter++};
}

void ReleaseSlot(Dispatcher& dispatcher,
                 const std::string& service,
                 upstream::UpstreamId upstream) {
  auto& count = dispatcher.services[service].counts[upstream];
  AssertInvariant(count.busy > 0, "a released slot was taken");
  --count.busy;
}

std::vector<SlotGrant> GrantWaiters(Dispatcher& dispatcher,
                                    const std::string& service,
                                    std::span<const SlotCandidate> candidates,
                                    Instant now) {
  std::vector<SlotGrant> grants;
  auto& slots = dispatcher.services[service];
  while (!slots.waiters.empty()) {
    auto upstream = TakeSlot(slots, candidates, now);
    if (!upstream) {
      break;
    }
    grants.push_back({slots.waiters.front(), *upstream});
    slots.waiters.pop_front();
  }
  return grants;
}

void RemoveWaiter(Dispatcher& dispatcher,
                  const std::string& service,
                  WaiterId waiter) {
  std::erase(dispatcher.services[service].waiters, waiter);
}

void BeginCoordination(Dispatcher& dispatcher,
                       const upstream::Key& key,
                       bool is_first,
                       Instant now) {
  auto& counts = dispatcher.services[key.service].counts;
  auto [it, is_new] = counts.try_emplace(key.id);
  if (is_new) {
    it->second.usable_at = is_first ? now : now + kMaxRequestTime;
  }
}

DispatchLoad LoadOf(const Dispatcher& dispatcher,
                    const std::string& service,
                    std::span<const SlotCandidate> candidates,
                    Instant now) {
  DispatchLoad load;
  auto it = dispatcher.services.find(service);
  if (it == dispatcher.services.end()) {
    return load;
  }
  load.waiting = static_cast<uint32_t>(it->second.waiters.size());
  for (const auto& candidate : candidates) {
    if (IsUsable(it->second, candidate, now)) {
      load.slots += candidate.limit;
      load.busy += BusyOf(it->second, candidate.id);
    }
  }
  return load;
}

}  // namespace acaciahold::request
