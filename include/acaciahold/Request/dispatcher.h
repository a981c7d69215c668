// Allocates request slots of the upstreams that this host coordinates, and
// queues the requests that wait for a slot. A single host, the coordinator,
// counts all requests at an upstream, so that its slot limit is never exceeded.
// Each service has a bounded queue; a request that arrives when it is full is
// refused.

#ifndef ACACIAHOLD_REQUEST_DISPATCHER_H_
#define ACACIAHOLD_REQUEST_DISPATCHER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "acaciahold/Support/time.h"
#include "acaciahold/Upstream/registry.h"

namespace acaciahold::request {

// Upper bound of the time to a request's deadline, by which the request ends at
// its upstream. A new coordinator grants no slot of an upstream until this time
// has passed, because requests granted by the previous coordinator may still be
// running.
inline constexpr Duration kMaxRequestTime = std::chrono::seconds(15);
// Maximum number of queued requests per slot of a service at this host.
inline constexpr uint32_t kMaxWaitersPerSlot = 1;

// An upstream that this host coordinates and that may be granted a request.
struct SlotCandidate {
  upstream::UpstreamId id = 0;
  // Number of slots, or a lower limit while the upstream is warming up.
  uint32_t limit = 0;
};

using WaiterId = uint64_t;

// A slot granted to a queued request.
struct SlotGrant {
  WaiterId waiter = 0;
  upstream::UpstreamId upstream = 0;
};

// Slot usage of one upstream. Invariant: `busy` is the number of granted slots
// that have not been released.
struct SlotUsage {
  uint32_t busy = 0;
  // Value of ServiceSlots::grant_sequence at the latest grant. Of equally
  // loaded upstreams, the one with the lowest value is chosen.
  uint64_t last_grant_sequence = 0;
  // No slot is granted before this time; by then all requests granted by a
  // previous coordinator have ended.
  Instant usable_at;
};

// Slots and queue of one service.
struct ServiceSlots {
  std::map<upstream::UpstreamId, SlotUsage> usage_by_upstream;
  std::deque<WaiterId> waiters;  // Queued requests, oldest first.
  uint64_t grant_sequence = 0;   // Number of slots granted so far.
};

struct Dispatcher {
  std::map<std::string, ServiceSlots, std::less<>> services;
  WaiterId next_waiter = 1;
};

struct Granted {
  upstream::UpstreamId upstream = 0;
};
struct Queued {
  WaiterId waiter = 0;
};
struct QueueFull {};

using AdmitResult = std::variant<Granted, Queued, QueueFull>;

// Load of a service at this host, as reported to other hosts.
struct DispatchLoad {
  uint32_t busy = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
};

// Grants a slot of the candidate with the lowest ratio of busy slots to its
// limit. If no slot is free or requests are already queued, queues the request,
// or returns QueueFull if the queue has reached kMaxWaitersPerSlot per slot.
AdmitResult Admit(Dispatcher& dispatcher,
                  const std::string& service,
                  std::span<const SlotCandidate> candidates,
                  Instant now);

// Releases a slot of `upstream`. The slot must have been granted.
void ReleaseSlot(Dispatcher& dispatcher,
                 const std::string& service,
                 upstream::UpstreamId upstream);

// Grants free slots to queued requests, oldest first, and removes them from the
// queue. Call this after a slot is released and whenever limits may have risen.
std::vector<SlotGrant> GrantWaiters(Dispatcher& dispatcher,
                                    const std::string& service,
                                    std::span<const SlotCandidate> candidates,
                                    Instant now);

// Removes a request from the queue because it was canceled or timed out.
void RemoveWaiter(Dispatcher& dispatcher,
                  const std::string& service,
                  WaiterId waiter);

// Registers an upstream that this host now coordinates. Pass `is_first` if no
// other host has coordinated it before; its slots are then usable at once
// rather than after kMaxRequestTime. Does nothing if the upstream is already
// registered.
void BeginCoordination(Dispatcher& dispatcher,
                       const upstream::Key& key,
                       bool is_first,
                       Instant now);

// Returns the load of `service`, counting only candidates whose slots are
// usable at `now`.
DispatchLoad ComputeLoad(const Dispatcher& dispatcher,
                         const std::string& service,
                         std::span<const SlotCandidate> candidates,
                         Instant now);

}  // namespace acaciahold::request

#endif  // ACACIAHOLD_REQUEST_DISPATCHER_H_
