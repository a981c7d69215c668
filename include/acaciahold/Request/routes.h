// Routing of requests: for each service, the upstreams that this host
// coordinates and the other hosts that coordinate upstreams of it.

#ifndef ACACIAHOLD_REQUEST_ROUTES_H_
#define ACACIAHOLD_REQUEST_ROUTES_H_

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <span>
#include <string>
#include <vector>

#include "acaciahold/Entry/entry.h"
#include "acaciahold/Request/dispatcher.h"

namespace acaciahold::request {

// An upstream that this host coordinates.
struct LocalTarget {
  upstream::Key key;
  Endpoint endpoint;
  uint32_t limit = 0;   // Slot limit at the upstream's current ramp step.
  bool is_new = false;  // Started after this host did.
};

// Another host that coordinates upstreams of the service.
struct RemoteTarget {
  membership::HostId host = 0;
  Endpoint admin;
  uint32_t slots = 0;  // Sum of the slot limits of these upstreams.
  bool is_suspect = false;
};

// Routes of one service.
struct ServiceRoutes {
  std::vector<LocalTarget> local;
  std::vector<RemoteTarget> remote;
  uint32_t local_slots = 0;  // Sum of the slot limits of `local`.
};

// A host that may keep the record of an idempotency key.
struct KeyHost {
  membership::HostId id = 0;
  Endpoint admin;
  bool is_self = false;
};

// Immutable snapshot of the routes, rebuilt for each new plan.
struct RequestRoutes {
  uint64_t epoch = 0;
  membership::HostId self = 0;
  std::map<std::string, ServiceRoutes, std::less<>> services;
  std::vector<steering::PlanHost> hosts;
};

// Returns `known` if it was built from the current plan, and otherwise routes
// built from the state of `entry`. Without a plan, returns `known`. Locks the
// mutex of `entry.control`.
std::shared_ptr<const RequestRoutes> RefreshRoutes(
    entry::Entry& entry,
    std::shared_ptr<const RequestRoutes> known);

// Returns all hosts that are not leaving, by descending rendezvous score for
// the idempotency key: the owner, the backup, and then the hosts that replace
// them if they fail.
std::vector<KeyHost> RankKeyHosts(const RequestRoutes& routes,
                                  std::string_view service,
                                  std::string_view key);

// Load of another host as it last reported it.
struct RemoteLoad {
  DispatchLoad load;
  uint32_t sent_since_report =
      0;  // Requests sent to the host since that report.
};

using LoadTable = std::map<membership::HostId, RemoteLoad>;

// Where to dispatch a request: to this host's upstreams or to another host.
struct RouteChoice {
  bool is_local = false;
  RemoteTarget remote;  // Valid only if `is_local` is false.
};

// Draws two destinations at random, weighted by their slots, and returns the
// one with the lower load per slot. Skips suspected hosts and hosts in `avoid`,
// which may include this host. Returns nullopt if no destination is left.
std::optional<RouteChoice> ChooseRoute(
    const RequestRoutes& routes,
    const ServiceRoutes& service,
    const DispatchLoad& local_load,
    LoadTable& loads,
    std::span<const membership::HostId> avoid,
    std::mt19937_64& random);

// Returns the upstreams of the service that this host coordinates, as
// candidates for the dispatcher.
std::vector<SlotCandidate> LocalCandidates(const ServiceRoutes& service);

}  // namespace acaciahold::request

#endif  // ACACIAHOLD_REQUEST_ROUTES_H_
