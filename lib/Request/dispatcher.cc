#include "acaciahold/Request/dispatcher.h"

#include <algorithm>
#include <optional>

#include "acaciahold/Support/check.h"

namespace acaciahold::request {
namespace {

bool IsUsable(const ServiceSlots& slots,
              const SlotCandidate& candidate,
              Instant now) {
  auto it = slots.usage_by_upstream.find(candidate.id);
  return it != slots.usage_by_upstream.end() && now >= it->second.usable_at;
}

uint32_t BusySlots(const ServiceSlots& slots, upstream::UpstreamId id) {
  auto it = slots.usage_by_upstream.find(id);
  return it == slots.usage_by_upstream.end() ? 0 : it->second.busy;
}

// Takes a slot of the usable candidate with the lowest ratio of busy slots to
// its limit; of equally loaded ones, the candidate whose latest grant is the
// oldest.
std::optional<upstream::UpstreamId> TakeSlot(
    ServiceSlots& slots,
    std::span<const SlotCandidate> candidates,
    Instant now) {
  SlotUsage* best_usage = nullptr;
  const SlotCandidate* best_candidate = nullptr;
  for (const auto& it : candidates) {
    if (!IsUsable(slots, it, now) || BusySlots(slots, it.id) >= it.limit) {
      continue;
    }
    auto& usage = slots.usage_by_upstream[it.id];
    // Compares the ratios busy / limit by cross-multiplication.
    uint64_t load =
        best_usage ? uint64_t{usage.busy} * best_candidate->limit : 0;
    uint64_t best_load = best_usage ? uint64_t{best_usage->busy} * it.limit : 0;
    bool is_better = !best_usage || load < best_load ||
                     (load == best_load && usage.last_grant_sequence <
                                               best_usage->last_grant_sequence);
    if (is_better) {
      best_usage = &usage;
      best_candidate = &it;
    }
  }
  if (!best_usage) {
    return std::nullopt;
  }
  ++best_usage->busy;
  best_usage->last_grant_sequence = ++slots.grant_sequence;
  return best_candidate->id;
}

}  // namespace

AdmitResult Admit(Dispatcher& dispatcher,
                  const std::string& service,
                  std::span<const SlotCandidate> candidates,
                  Instant now) {
  auto& slots = dispatcher.services[service];
  if (slots.waiters.empty()) {
    if (auto upstream = TakeSlot(slots, candidates, now)) {
      return Granted{*upstream};
    }
  }
  auto load = ComputeLoad(dispatcher, service, candidates, now);
  if (load.waiting >= load.slots * kMaxWaitersPerSlot) {
    return QueueFull{};
  }
  slots.waiters.push_back(dispatcher.next_waiter);
  return Queued{dispatcher.next_waiter++};
}

void ReleaseSlot(Dispatcher& dispatcher,
                 const std::string& service,
                 upstream::UpstreamId upstream) {
  auto& usage = dispatcher.services[service].usage_by_upstream[upstream];
  AssertInvariant(usage.busy > 0,
                  "a slot is released only after it was granted");
  --usage.busy;
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
  auto& usage_by_upstream = dispatcher.services[key.service].usage_by_upstream;
  auto [it, is_new] = usage_by_upstream.try_emplace(key.id);
  if (is_new) {
    it->second.usable_at = is_first ? now : now + kMaxRequestTime;
  }
}

DispatchLoad ComputeLoad(const Dispatcher& dispatcher,
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
      load.busy += BusySlots(it->second, candidate.id);
    }
  }
  return load;
}

}  // namespace acaciahold::request
