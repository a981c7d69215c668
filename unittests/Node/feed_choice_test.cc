// Tests which control hosts an entry host subscribes to, also during network
// partitions.

#include "acaciahold/Node/feed_choice.h"

#include <map>
#include <vector>

#include <boost/test/unit_test.hpp>

namespace acaciahold::node {
namespace {

using std::chrono::milliseconds;

const Instant kStart = FromUnixMillis(1'000'000);

// Two control hosts in each of four failure domains.
std::set<ControlHost> MakeHosts() {
  std::set<ControlHost> hosts;
  for (uint32_t i = 0; i < 8; ++i) {
    hosts.insert({{i, 7'000}, "d" + std::to_string(i / 2)});
  }
  return hosts;
}

}  // namespace

BOOST_AUTO_TEST_CASE(FeedsAreSpreadOverFailureDomains) {
  std::map<Endpoint, int> followers;
  for (uint64_t seed = 0; seed < 800; ++seed) {
    auto chosen = ChooseFeeds(MakeHosts(), "d1", seed);
    BOOST_TEST(chosen.size() == kTargetFeedCount);
    std::set<uint32_t> domains;
    for (const auto& link : chosen) {
      domains.insert(link.address / 2);
      ++followers[link];
    }
    BOOST_TEST(domains.size() == kTargetFeedCount);
    BOOST_TEST(domains.contains(1));
  }
  BOOST_TEST(followers.size() == 8U);
  for (const auto& [link, n] : followers) {
    BOOST_TEST(n > 150);
  }
}

BOOST_AUTO_TEST_CASE(AllHostsAreChosenIfThereAreFew) {
  std::set<ControlHost> hosts{{{1, 7'000}, "d1"}, {{2, 7'000}, "d1"}};
  BOOST_TEST(ChooseFeeds(hosts, "d1", 5).size() == 2U);
  std::set<ControlHost> seeds{
      {{1, 7'000}, ""}, {{2, 7'000}, ""}, {{3, 7'000}, ""}};
  BOOST_TEST(ChooseFeeds(seeds, "d1", 5).size() == 3U);
}

// If the chosen feeds are on the minority side of a partition, the entry host
// must find others well within the time in which a change has to take effect.
BOOST_AUTO_TEST_CASE(AllHostsAreFollowedIfTooFewFeedsAreCurrent) {
  FeedPlan plan;
  BOOST_TEST(!UpdatePlan(plan, 3, 3, kStart));
  BOOST_TEST(!UpdatePlan(plan, 3, 1, kStart));
  BOOST_TEST(UpdatePlan(plan, 3, 2, kStart + kFollowAllDelay));
  BOOST_TEST(plan.follows_all);
  BOOST_TEST(!UpdatePlan(plan, 3, 3, kStart + kFollowAllDelay));
  auto later = kStart + kFollowAllDelay + kFollowChosenDelay;
  BOOST_TEST(UpdatePlan(plan, 3, 3, later));
  BOOST_TEST(!plan.follows_all);
}

BOOST_AUTO_TEST_CASE(HostIsCutOffIfNoOtherDomainIsReachable) {
  std::vector<FeedReachability> feeds{
      {"d1", true}, {"d2", true}, {"d3", false}};
  BOOST_TEST(!IsCutOff(feeds, "d1"));
  feeds[1].is_reachable = false;
  BOOST_TEST(IsCutOff(feeds, "d1"));  // Only its own domain is reachable.
  BOOST_TEST(!IsCutOff(feeds, "d4"));
  feeds[0].is_reachable = false;
  BOOST_TEST(IsCutOff(feeds, "d4"));
}

BOOST_AUTO_TEST_CASE(DomainIsUnreachableIfAllItsFeedsAre) {
  std::vector<FeedReachability> feeds{
      {"d1", false}, {"d2", false}, {"d2", true}, {"d3", false}, {"", false}};
  BOOST_TEST((UnreachableDomains(feeds, "d1") == std::set<std::string>{"d3"}));
  feeds[2].is_reachable = false;
  BOOST_TEST(
      (UnreachableDomains(feeds, "d1") == std::set<std::string>{"d2", "d3"}));
}

BOOST_AUTO_TEST_CASE(ShortElectionDoesNotChangePlan) {
  FeedPlan plan;
  UpdatePlan(plan, 3, 0, kStart);
  BOOST_TEST(!UpdatePlan(plan, 3, 3, kStart + kFollowAllDelay / 2));
  BOOST_TEST(!UpdatePlan(plan, 3, 0, kStart + kFollowAllDelay));
  BOOST_TEST(!plan.follows_all);
}

}  // namespace acaciahold::node
