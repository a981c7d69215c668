// Where requests of a service can go: the upstreams that this host coordinates
// and the other hosts that coordinate some.

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

// Upstreams of one service that this host coordinates.
struct LocalTarget {
  upstream::Key key;
  Endpoint endpoint;
  uint32_t limit = 0;   // Of slots at the upstream's ramp step.
  bool is_new = false;  // Announced in this host's lifetime.
};

// Another host, and how many slots it coordinates.
struct RemoteTarget {
  membership::HostId host = 0;
  Endpoint admin;
  uint32_t slots = 0;
  bool is_suspect = false;
};

struct ServiceRoutes {
  std::vector<LocalTarget> local;
  std::vector<RemoteTarget> remote;
  uint32_t local_slots = 0;
};

// Hosts that keep the record of an idempotency key, best first.
struct KeyHost {
  membership::HostId id = 0;
  Endpoint admin;
  bool is_self = false;
};

// An immutable view for requests; made anew with each plan.
struct RequestRoutes {
  uint64_t epoch = 0;
  membership::HostId self = 0;
  std::map<std::string, ServiceRoutes, std::less<>> services;
  std::vector<steering::PlanHost> hosts;
};

// Reads the entry host's state; returns the given routes where they still hold.
std::shared_ptr<const RequestRoutes> RefreshRoutes(
    entry::Entry& entry,
    std::shared_ptr<const RequestRoutes> known);

// All hosts by their rank for an idempotency key: the owner, the backup, and
// those that stand in for them.
std::vector<KeyHost> RankKeyHosts(const RequestRoutes& routes,
                                  std::string_view service,
                                  std::string_view key);

// What this host last heard of the load at others.
struct RemoteLoad {
  DispatchLoad load;
  uint32_t sent_since = 0;  // Requests sent since that word.
};

using LoadTable = std::map<membership::HostId, RemoteLoad>;

// Where a request goes next.
struct Choice {
  bool is_local = false;
  RemoteTarget remote;  // Where it is not local.
};

// Of two places drawn by their slots, the one with the lower load. Places in
// `avoid` are left out; nothing where none is left.
std::optional<Choice> Choose(const RequestRoutes& routes,
                             const ServiceRoutes& service,
                             const DispatchLoad& local_load,
                             LoadTable& loads,
                             std::span<const membership::HostId> avoid,
                             std::mt19937_64& random);

std::vector<SlotCandidate> CandidatesOf(const ServiceRoutes& service);

}  // namespace acaciahold::request

#endif  // ACACIAHOLD_REQUEST_ROUTES_H_
