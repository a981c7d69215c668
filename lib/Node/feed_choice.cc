// Choosing control hosts to follow.

#include "acaciahold/Node/feed_choice.h"

#include <algorithm>
#include <tuple>
#include <vector>

#include "acaciahold/Support/hash.h"

namespace acaciahold::node {

std::set<Endpoint> ChooseFeeds(const std::set<ControlHost>& hosts,
                               std::string_view own_domain,
                               uint64_t seed) {
  std::vector<ControlHost> order(hosts.begin(), hosts.end());
  auto rank = [&](const ControlHost& host) {
    return std::tuple(host.failure_domain != own_domain,
                      CombineHashes(seed, PackEndpoint(host.link)));
  };
  std::sort(order.begin(), order.end(),
            [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  std::set<Endpoint> chosen;
  std::set<std::string> domains;
  for (const auto& host : order) {
    bool is_new = host.failure_domain.empty() ||
                  domains.insert(host.failure_domain).second;
    if (is_new && chosen.size() < kWantedFeeds) {
      chosen.insert(host.link);
    }
  }
  for (const auto& host : order) {
    if (chosen.size() < kWantedFeeds) {
      chosen.insert(host.link);
    }
  }
  return chosen;
}

bool IsCutOff(std::span<const FeedReach> feeds, std::string_view own_domain) {
  return std::none_of(feeds.begin(), feeds.end(), [&](const FeedReach& feed) {
    return feed.is_heard && feed.failure_domain != own_domain;
  });
}

std::set<std::string> QuietDomains(std::span<const FeedReach> feeds,
                                   std::string_view own_domain) {
  std::set<std::string> quiet;
  for (const auto& feed : feeds) {
    if (!feed.failure_domain.empty() && feed.failure_domain != own_domain) {
      quiet.insert(feed.failure_domain);
    }
  }
  for (const auto& feed : feeds) {
    if (feed.is_heard) {
      quiet.erase(feed.failure_domain);
    }
  }
  return quiet;
}

bool UpdatePlan(FeedPlan& plan,
                size_t chosen,
                size_t current_chosen,
                Instant now) {
  if (current_chosen < chosen) {
    plan.enough_since.reset();
    plan.lacking_since = plan.lacking_since.value_or(now);
    bool is_due = !plan.is_wide && now >= *plan.lacking_since + kWidenDelay;
    plan.is_wide = plan.is_wide || is_due;
    return is_due;
  }
  plan.lacking_since.reset();
  plan.enough_since = plan.enough_since.value_or(now);
  bool is_due = plan.is_wide && now >= *plan.enough_since + kNarrowDelay;
  plan.is_wide = plan.is_wide && !is_due;
  return is_due;
}

}  // namespace acaciahold::node
