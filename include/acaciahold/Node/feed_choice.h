// Chooses the control hosts that an entry host subscribes to, called its feeds.
// Performs no I/O.
//
// A few feeds are enough, since control hosts forward updates to each other:
// one in the entry host's own failure domain and the others in different
// domains. If some of these are not current, the entry host connects to all
// known control hosts until enough chosen feeds are current again, so that
// updates from the majority reach every entry host that can reach the majority.

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

// Number of feeds that are chosen; any two of them may fail.
inline constexpr size_t kTargetFeedCount = 3;
// Connects to all control hosts after chosen feeds have not been current for
// this long. Longer than a leader election, so that an election does not
// trigger it.
inline constexpr Duration kFollowAllDelay = std::chrono::milliseconds(300);
// Disconnects from the other control hosts after all chosen feeds have been
// current for this long.
inline constexpr Duration kFollowChosenDelay = std::chrono::seconds(5);

struct ControlHost {
  Endpoint link;
  std::string failure_domain;  // Empty if unknown.

  auto operator<=>(const ControlHost&) const = default;
};

// Chooses the hosts to use as feeds while all of them are current. `seed`
// differs between entry hosts, to spread them over the control hosts.
std::set<Endpoint> ChooseFeeds(const std::set<ControlHost>& hosts,
                               std::string_view own_domain,
                               uint64_t seed);

// Reachability of a feed.
struct FeedReachability {
  std::string failure_domain;  // Empty if unknown.
  bool is_reachable = false;   // A message arrived recently.
};

// Whether no feed in another failure domain is reachable from this host. Feeds
// that are reachable from here count even if they can't reach each other.
bool IsCutOff(std::span<const FeedReachability> feeds,
              std::string_view own_domain);

// Other failure domains whose feeds are all unreachable. If only these control
// hosts failed, the domain's upstreams still answer.
std::set<std::string> UnreachableDomains(
    std::span<const FeedReachability> feeds,
    std::string_view own_domain);

// Whether the entry host connects to the chosen feeds only or to all control
// hosts.
struct FeedPlan {
  bool follows_all = false;  // Connects to all control hosts.
  // Since when some chosen feed has not been current.
  std::optional<Instant> insufficient_since;
  // Since when all chosen feeds have been current.
  std::optional<Instant> sufficient_since;
};

// Updates the plan from the number of chosen feeds and how many of these are
// current. Returns whether `follows_all` changed.
bool UpdatePlan(FeedPlan& plan,
                size_t chosen,
                size_t current_chosen,
                Instant now);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_FEED_CHOICE_H_
