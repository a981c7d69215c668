// Tests of membership with hosts that exchange probes over a simulated network,
// which can lose messages and be partitioned.

#include "acaciahold/Membership/membership.h"

#include <deque>
#include <random>
#include <set>

#include <boost/test/unit_test.hpp>

#include "../check_property.h"

namespace acaciahold::membership {

namespace {

HostRecord MakeHostRecord(int i, uint64_t incarnation) {
  std::string name = "entry-" + std::to_string(i);
  auto n = static_cast<uint32_t>(i);
  return {MakeHostId(name), name, "fd1", {n, 1}, {n, 2}, incarnation};
}

// Simulated hosts and the network between them.
class Network {
 public:
  Network(int hosts, uint64_t seed) : random_(seed) {
    std::vector<HostRecord> seeds;
    for (int i = 1; i <= hosts; ++i) {
      seeds.push_back(MakeHostRecord(i, 0));
    }
    for (int i = 1; i <= hosts; ++i) {
      std::vector<HostRecord> others = seeds;
      others.erase(others.begin() + i - 1);
      hosts_.push_back(
          StartMembership(MakeHostRecord(i, 1), others, random_(), now_));
    }
  }

  void Run(Duration duration) {
    for (Instant end = now_ + duration; now_ < end; now_ += kStep) {
      for (size_t i = 0; i < hosts_.size(); ++i) {
        if (!down.contains(i) && now_ >= NextDeadline(hosts_[i])) {
          Enqueue(i, OnTick(hosts_[i], now_));
        }
      }
      Deliver();
    }
  }

  void Enqueue(size_t from, Output output) {
    for (auto& it : output.probes) {
      ++probes_sent;
      queue_.push_back({from, it.to.address - 1, std::move(it.probe)});
    }
  }

  MemberState StateAt(size_t host, size_t of) const {
    return hosts_[host].members.at(hosts_[of].self.id).latest_update.state;
  }

  // Returns whether every running host has exactly the running hosts as alive.
  bool AreViewsCorrect() const {
    for (size_t i = 0; i < hosts_.size(); ++i) {
      for (size_t j = 0; j < hosts_.size(); ++j) {
        if (i == j || down.contains(i)) {
          continue;
        }
        bool is_alive = StateAt(i, j) == MemberState::kAlive;
        if (is_alive == down.contains(j)) {
          return false;
        }
      }
    }
    return true;
  }

  void Restart(size_t i) {
    std::vector<HostRecord> seeds;
    for (size_t j = 0; j < hosts_.size(); ++j) {
      if (j != i) {
        seeds.push_back(MakeHostRecord(static_cast<int>(j) + 1, 0));
      }
    }
    uint64_t incarnation = hosts_[i].self.incarnation + 1;
    hosts_[i] =
        StartMembership(MakeHostRecord(static_cast<int>(i) + 1, incarnation),
                        seeds, random_(), now_);
    down.erase(i);
  }

  Membership& host(size_t i) { return hosts_[i]; }
  Instant now() const { return now_; }

  std::set<size_t> down;  // Hosts that are not running.
  // Hosts that reach each other, but none of the hosts outside this set.
  std::set<size_t> partitioned;
  double loss_rate = 0;  // Probability that a probe is lost.
  uint64_t probes_sent = 0;

 private:
  struct InFlightProbe {
    size_t from;
    size_t to;
    Probe probe;
  };
  static constexpr Duration kStep = std::chrono::milliseconds(10);

  void Deliver() {
    std::uniform_real_distribution<double> chance(0, 1);
    auto batch = std::exchange(queue_, {});
    for (auto& it : batch) {
      bool is_lost =
          down.contains(it.from) || down.contains(it.to) ||
          partitioned.contains(it.from) != partitioned.contains(it.to) ||
          chance(random_) < loss_rate;
      if (!is_lost) {
        Enqueue(it.to, OnProbe(hosts_[it.to], it.probe,
                               hosts_[it.from].self.peer, now_));
      }
    }
  }

  std::mt19937_64 random_;
  Instant now_ = FromUnixMillis(1'000'000);
  std::vector<Membership> hosts_;
  std::deque<InFlightProbe> queue_;
};

// Time within which a changed state must reach every host.
constexpr Duration kConvergenceTime = std::chrono::seconds(6);

}  // namespace

BOOST_AUTO_TEST_CASE(DetectsFailedHostAndItsRestart) {
  Network network(9, 31);
  network.Run(std::chrono::seconds(2));
  BOOST_TEST(network.AreViewsCorrect());
  network.down.insert(3);
  network.Run(kConvergenceTime);
  BOOST_TEST(network.AreViewsCorrect());
  network.Restart(3);
  network.Run(kConvergenceTime);
  BOOST_TEST(network.AreViewsCorrect());
}

BOOST_AUTO_TEST_CASE(LeavingHostIsMarkedLeftNotDead) {
  Network network(6, 32);
  network.Run(std::chrono::seconds(1));
  network.Enqueue(2, Leave(network.host(2), network.now()));
  network.Run(std::chrono::milliseconds(50));
  network.down.insert(2);
  network.Run(std::chrono::seconds(1));
  for (size_t i = 0; i < 6; ++i) {
    if (i != 2) {
      BOOST_CHECK(network.StateAt(i, 2) == MemberState::kLeft);
    }
  }
}

BOOST_AUTO_TEST_CASE(ViewsConvergeAfterPartitionHeals) {
  Network network(9, 33);
  network.Run(std::chrono::seconds(1));
  network.partitioned = {0, 1, 2};
  network.Run(std::chrono::seconds(60));
  BOOST_CHECK(network.StateAt(0, 5) == MemberState::kDead);
  BOOST_CHECK(network.StateAt(0, 1) == MemberState::kAlive);
  BOOST_CHECK(network.StateAt(5, 0) == MemberState::kDead);
  network.partitioned.clear();
  network.Run(std::chrono::seconds(8));
  BOOST_TEST(network.AreViewsCorrect());
}

BOOST_AUTO_TEST_CASE(ViewsConvergeAfterPacketLossEnds) {
  CheckProperty(34, 30, [](uint64_t seed) {
    Network network(7, seed);
    network.loss_rate = 0.2;
    network.Run(std::chrono::seconds(20));
    network.down.insert(seed % 7);
    network.Run(std::chrono::seconds(10));
    network.loss_rate = 0;
    network.Run(kConvergenceTime);
    RC_ASSERT(network.AreViewsCorrect());
  });
}

BOOST_AUTO_TEST_CASE(MessageRatePerHostIndependentOfClusterSize) {
  auto rate = [](int hosts) {
    Network network(hosts, 35);
    network.Run(std::chrono::seconds(30));
    return static_cast<double>(network.probes_sent) / hosts / 30;
  };
  BOOST_TEST(rate(60) < 1.1 * rate(6));
}

BOOST_AUTO_TEST_CASE(RaisesIncarnationAfterClockMovedBack) {
  Network network(3, 36);
  network.Run(std::chrono::seconds(1));
  MemberUpdate previous_run{network.host(0).self, MemberState::kAlive, 0};
  previous_run.host.incarnation = 900;
  ApplyUpdates(network.host(0), {&previous_run, 1}, network.now());
  BOOST_TEST(network.host(0).self.incarnation == 901U);
}

}  // namespace acaciahold::membership
