// Decides which of the feeds' digests an entry host relies on: under load, one
// outdated or partial view must not refuse flows that others have room for.

#include "acaciahold/Load/digests.h"

#include <algorithm>

#include "acaciahold/Load/digest_changes.h"

namespace acaciahold::load {
namespace {

// Digests have similar weight if their numbers of reporters differ by at most
// this fraction; control hosts make them at different times.
constexpr double kSimilarFraction = 0.1;

bool IsFresh(const DigestStore& store, const FeedDigest& digest, Instant now) {
  return !store.is_cut_off && digest.reporters > 0 &&
         now <= digest.came_at + kMaxAge;
}

// Whether `agrees` holds for each fresh digest with at least this fraction of
// the best one's reporters.
template <typename F>
bool DoAgree(const DigestStore& store,
             const FeedDigest& best,
             double fraction,
             Instant now,
             F agrees) {
  return std::all_of(
      store.feeds.begin(), store.feeds.end(), [&](const auto& it) {
        const auto& other = it.second;
        bool counts = IsFresh(store, other, now) &&
                      other.reporters >= fraction * best.reporters;
        return !counts || agrees(other);
      });
}

}  // namespace

void OnDigest(DigestStore& store,
              uint32_t feed,
              const LoadDigest& digest,
              Instant now) {
  ++store.received;
  auto& it = store.feeds[feed];
  it.came_at = now;
  it.reporters = digest.reporters;
  it.slow.clear();
  it.dark.clear();
  if (!digest.is_change) {
    it.services.clear();
  }
  for (const auto& service : digest.services) {
    MergeStanding(it.services[service.service], service);
  }
  for (const auto& slow : digest.slow) {
    it.slow[slow.upstream] = slow.speed;
  }
  it.dark.insert(digest.dark.begin(), digest.dark.end());
}

void RemoveFeed(DigestStore& store, uint32_t feed) {
  store.feeds.erase(feed);
}

const FeedDigest* BestDigest(const DigestStore& store, Instant now) {
  const FeedDigest* best = nullptr;
  for (const auto& [feed, it] : store.feeds) {
    bool is_better =
        IsFresh(store, it, now) &&
        (!best || it.reporters > best->reporters ||
         (it.reporters == best->reporters && it.came_at > best->came_at));
    best = is_better ? &it : best;
  }
  return best;
}

const ServiceStanding* FreshStanding(const DigestStore& store,
                                     std::string_view service,
                                     Instant now) {
  const auto* best = BestDigest(store, now);
  if (!best) {
    return nullptr;
  }
  auto found = best->services.find(service);
  if (found == best->services.end()) {
    return nullptr;
  }
  const auto& standing = found->second;
  bool is_agreed =
      DoAgree(store, *best, 1 - kSimilarFraction, now, [&](const auto& other) {
        auto it = other.services.find(service);
        return it == other.services.end() ||
               it->second.is_short == standing.is_short;
      });
  return is_agreed ? &standing : nullptr;
}

std::optional<double> FreshSlow(const DigestStore& store,
                                directory::UpstreamId upstream,
                                Instant now) {
  const auto* best = BestDigest(store, now);
  if (!best) {
    return std::nullopt;
  }
  auto found = best->slow.find(upstream);
  bool is_slow =
      found != best->slow.end() &&
      DoAgree(store, *best, 1 - kSimilarFraction, now,
              [&](const auto& other) { return other.slow.contains(upstream); });
  return is_slow ? std::optional(found->second) : std::nullopt;
}

bool FreshDark(const DigestStore& store,
               directory::UpstreamId upstream,
               Instant now) {
  const auto* best = BestDigest(store, now);
  return best && best->dark.contains(upstream) &&
         DoAgree(store, *best, 1, now, [&](const auto& other) {
           return other.dark.contains(upstream);
         });
}

LoadDigest AgreedDigest(const DigestStore& store, Instant now) {
  LoadDigest agreed;
  const auto* best = BestDigest(store, now);
  if (!best) {
    return agreed;
  }
  agreed.reporters = best->reporters;
  for (const auto& [name, it] : best->services) {
    if (const auto* standing = FreshStanding(store, name, now)) {
      agreed.services.push_back(*standing);
    }
  }
  for (const auto& [id, speed] : best->slow) {
    if (FreshSlow(store, id, now)) {
      agreed.slow.push_back({id, speed});
    }
  }
  for (auto id : best->dark) {
    if (FreshDark(store, id, now)) {
      agreed.dark.push_back(id);
    }
  }
  return agreed;
}

}  // namespace acaciahold::load
