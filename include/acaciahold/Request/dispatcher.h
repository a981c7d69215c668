// Slots of the upstreams that this host coordinates, and the requests that wait
// for them. One host counts all requests of an upstream, so that its slots are
// never overrun; the queue of each service is bounded, and the newest request
// is refused when it is full.

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

// A request at an upstream ends by its deadline, and no deadline is further
// off than this; a new coordinator gives no slot before it has passed.
inline constexpr Duration kMaxRequestTime = std::chrono::seconds(15);
// Waiting requests for each slot of a service at this host.
inline constexpr uint32_t kWaitersPerSlot = 1;

// An upstream of a service that this host coordinates.
struct SlotCandidate {
  upstream::UpstreamId id = 0;
  uint32_t limit = 0;  // Slots, or the cold limit during a cold start.
};

using WaiterId = uint64_t;

struct SlotGrant {
  WaiterId waiter = 0;
  upstream::UpstreamId upstream = 0;
};

// Invariant: busy is the number of granted slots that were not released.
struct SlotCount {
  uint32_t busy = 0;
  uint64_t granted_at = 0;  // Rises with each grant; breaks ties.
  Instant usable_at;  // Requests of an earlier coordinator have ended by then.
};

struct ServiceSlots {
  std::map<upstream::UpstreamId, SlotCount> counts;
  std::deque<WaiterId> waiters;  // Oldest first.
  uint64_t grants = 0;
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

using Admission = std::variant<Granted, Queued, QueueFull>;

// What others are told of a service's load at this host.
struct DispatchLoad {
  uint32_t busy = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
};

// Gives the request a slot at the least busy candidate, or a place in the
// queue.
Admission Admit(Dispatcher& dispatcher,
                const std::string& service,
                std::span<const SlotCandidate> candidates,
                Instant now);

// Returns a slot.
void ReleaseSlot(Dispatcher& dispatcher,
                 const std::string& service,
                 upstream::UpstreamId upstream);

// Gives free slots to the oldest waiters. To be called after a release and
// whenever limits may have risen.
std::vector<SlotGrant> GrantWaiters(Dispatcher& dispatcher,
                                    const std::string& service,
                                    std::span<const SlotCandidate> candidates,
                                    Instant now);

// The waiter left or its time is up.
void RemoveWaiter(Dispatcher& dispatcher,
                  const std::string& service,
                  WaiterId waiter);

// This host begins to coordinate the upstream. `is_first` tells that nobody
// did before.
void BeginCoordination(Dispatcher& dispatcher,
                       const upstream::Key& key,
                       bool is_first,
                       Instant now);

DispatchLoad LoadOf(const Dispatcher& dispatcher,
                    const std::string& service,
                    std::span<const SlotCandidate> candidates,
                    Instant now);

}  // namespace acaciahold::request

#endif  // ACACIAHOLD_REQUEST_DISPATCHER_H_
