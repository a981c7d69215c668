// Chooses the control hosts that an entry host subscribes to.

#include "acaciahold/Node/feed_choice.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "acaciahold/Support/hash.h"

namespace acaciahold::node {

std::set<Endpoint> ChooseFeeds(const std::set<ControlHost>& hosts,
                               std::string_view own_domain,
                               uint64_t seed) {
  std::vector<ControlHost> ranked(hosts.begin(), hosts.end());
  auto rank = [&](const ControlHost& host) {
    return std::tuple(host.failure_domain != own_domain,
                      CombineHashes(seed, PackEndpoint(host.link)));
  };
  std::sort(ranked.begin(), ranked.end(),
            [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  std::set<Endpoint> chosen;
  std::set<std::string> domains;
  for (const auto& host : ranked) {
    bool is_new_domain = host.failure_domain.empty() ||
                         domains.insert(host.failure_domain).second;
    if (is_new_domain && chosen.size() < kTargetFeedCount) {
      chosen.insert(host.link);
    }
  }
  for (const auto& host : ranked) {
    if (chosen.size() < kTargetFeedCount) {
      chosen.insert(host.link);
    }
  }
  return chosen;
}

bool IsCutOff(std::span<const FeedReachability> feeds,
              std::string_view own_domain) {
  return std::none_of(
      feeds.begin(), feeds.end(), [&](const FeedReachability& feed) {
        return feed.is_reachable && feed.failure_domain != own_domain;
      });
}

std::set<std::string> UnreachableDomains(
    std::span<const FeedReachability> feeds,
    std::string_view own_domain) {
  std::set<std::string> unreachable;
  for (const auto& feed : feeds) {
    if (!feed.failure_domain.empty() && feed.failure_domain != own_domain) {
      unreachable.insert(feed.failure_domain);
    }
  }
  for (const auto& feed : feeds) {
    if (feed.is_reachable) {
      unreachable.erase(feed.failure_domain);
    }
  }
  return unreachable;
}

bool UpdatePlan(FeedPlan& plan,
                size_t chosen,
                size_t current_chosen,
                Instant now) {
  if (current_chosen < chosen) {
    plan.sufficient_since.reset();
    plan.insufficient_since = plan.insufficient_since.value_or(now);
    bool is_due =
        !plan.follows_all && now >= *plan.insufficient_since + kFollowAllDelay;
    plan.follows_all = plan.follows_all || is_due;
    return is_due;
  }
  plan.insufficient_since.reset();
  plan.sufficient_since = plan.sufficient_since.value_or(now);
  bool is_due =
      plan.follows_all && now >= *plan.sufficient_since + kFollowChosenDelay;
  plan.follows_all = plan.follows_all && !is_due;
  return is_due;
}

}  // namespace acaciahold::node
