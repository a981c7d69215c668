// An entry host's newest digest from each of its feeds, and what it may rely
// on: only fresh digests count, and a digest that another one of similar weight
// contradicts is not used. Without one the host decides by what it sees itself.
// Performs no I/O.

#ifndef ACACIAHOLD_LOAD_DIGESTS_H_
#define ACACIAHOLD_LOAD_DIGESTS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "acaciahold/Load/load.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::load {

// A feed's digest, indexed for lookups at each new flow.
struct FeedDigest {
  Instant came_at;
  uint32_t reporters = 0;
  std::map<std::string, ServiceStanding, std::less<>> services;
  std::unordered_map<directory::UpstreamId, double> slow;  // With their speed.
  std::unordered_set<directory::UpstreamId> dark;
};

struct DigestStore {
  std::map<uint32_t, FeedDigest> feeds;  // By the feed's number.
  // This host is cut off, so that no digest is used: the domains that it can't
  // reach are part of them.
  bool is_cut_off = false;
  uint64_t received = 0;  // Counter for metrics.
};

// Keeps the digest, or merges its changes into the feed's last one. The first
// one of a connection is whole.
void OnDigest(DigestStore& store,
              uint32_t feed,
              const LoadDigest& digest,
              Instant now);
void RemoveFeed(DigestStore& store, uint32_t feed);

// Returns the fresh digest with the most reporters, or null. An empty digest,
// which has none, does not count. Valid until the store changes.
const FeedDigest* BestDigest(const DigestStore& store, Instant now);

// Returns the service's standing in the best digest. Null if there is none, or
// if a fresh digest with a similar number of reporters differs on whether the
// service is short. Valid until the store changes.
const ServiceStanding* FreshStanding(const DigestStore& store,
                                     std::string_view service,
                                     Instant now);

// Returns the upstream's speed relative to others of its service, below 1.
// Nothing if it is not slow, or if a fresh digest with a similar number of
// reporters does not list it.
std::optional<double> FreshSlow(const DigestStore& store,
                                directory::UpstreamId upstream,
                                Instant now);

// Whether the upstream answers nothing: the best digest lists it, and so do all
// fresh ones with as many reporters.
bool FreshDark(const DigestStore& store,
               directory::UpstreamId upstream,
               Instant now);

// Returns what the functions above say of all services and upstreams, as one
// digest; empty if none is fresh.
LoadDigest AgreedDigest(const DigestStore& store, Instant now);

}  // namespace acaciahold::load

#endif  // ACACIAHOLD_LOAD_DIGESTS_H_
