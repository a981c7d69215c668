// Which control hosts an entry host follows: decisions without I/O.
//
// A few are enough, since control hosts pass on news to each other: one in the
// own failure domain, the others in different ones. Where fewer than these are
// current, all known control hosts are tried until enough are found, so that
// news of a majority reaches every host that reaches the majority.

#ifndef ACACIAHOLD_NODE_FEED_CHOICE_H_
#define ACACIAHOLD_NODE_FEED_CHOICE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

#include "acaciahold/Support/address.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::node {

// Any two may be lost.
inline constexpr size_t kWantedFeeds = 3;
// Fewer current feeds for so long, and all hosts are tried; above the time that
// an election takes.
inline constexpr Duration kWidenDelay = std::chrono::milliseconds(300);
// Enough current feeds for so long, and the others are given up.
inline constexpr Duration kNarrowDelay = std::chrono::seconds(5);

struct ControlHost {
  Endpoint link;
  std::string failure_domain;  // Empty where not known.

  auto operator<=>(const ControlHost&) const = default;
};

// The hosts to follow where all are well. `seed` spreads entry hosts over the
// control hosts.
std::set<Endpoint> ChooseFeeds(const std::set<ControlHost>& hosts,
                               std::string_view own_domain,
                               uint64_t seed);

// A followed control host, as far as reach goes.
struct FeedReach {
  std::string failure_domain;  // Empty where not known.
  bool is_heard = false;       // Anything came from it of late.
};

// Whether this host hears from no other failure domain. Control hosts that have
// lost each other, but are heard, cut nobody off.
bool IsCutOff(std::span<const FeedReach> feeds, std::string_view own_domain);

// Other failure domains whose followed control hosts are all unheard. Where
// these have only failed, the domain's upstreams still answer.
std::set<std::string> QuietDomains(std::span<const FeedReach> feeds,
                                   std::string_view own_domain);

// Whether more than the chosen hosts are followed.
struct FeedPlan {
  bool is_wide = false;
  std::optional<Instant> lacking_since;  // Fewer current feeds than wanted.
  std::optional<Instant> enough_since;
};

// Takes in how many feeds were chosen, and how many of these are current.
// Returns whether the plan changed.
bool UpdatePlan(FeedPlan& plan,
                size_t chosen,
                size_t current_chosen,
                Instant now);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_FEED_CHOICE_H_
