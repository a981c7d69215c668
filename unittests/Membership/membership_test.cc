// Tests of membership: hosts in one process, exchanging probes over a network
// that can lose messages and be cut.

#include "acaciahold/Membership/membership.h"

#include <deque>
#include <random>
#include <set>

#include <boost/test/unit_test.hpp>

#include "../check_property.h"

namespace acaciahold::membership {

namespace {

HostRecord Record(int i, uint64_t incarnation) {
  std::string name = "entry-" + std::to_string(i);
  auto n = static_cast<uint32_t>(i);
  return {MakeHostId(name), name, "fd1", {n, 1}, {n, 2}, incarnation};
}

class Network {
 public:
  Network(int hosts, uint64_t seed) : random_(seed) {
    std::vector<HostRecord> seeds;
    for (int i = 1; i <= hosts; ++i) {
      seeds.push_back(Record(i, 0));
    }
    for (int i = 1; i <= hosts; ++i) {
      std::vector<HostRecord> others = seeds;
      others.erase(others.begin() + i - 1);
      hosts_.push_back(StartMembership(Record(i, 1), others, random_(), now_));
    }
  }

  void Run(Duration time) {
    for (Instant end = now_ + time; now_ < end; now_ += kStep) {
      for (size_t i = 0; i < hosts_.size(); ++i) {
        if (!down.contains(i) && now_ >= NextDeadline(hosts_[i])) {
          Carry(i, OnTick(hosts_[i], now_));
        }
      }
      Deliver();
    }
  }

  void Carry(size_t from, Output output) {
    for (auto& it : output.probes) {
      ++sent;
      queue_.push_back({from, it.to.address - 1, std::move(it.probe)});
    }
  }

  MemberState StateAt(size_t host, size_t of) const {
    return hosts_[host].members.at(hosts_[of].self.id).known.state;
  }

  // Whether every host that is up sees exactly those that are up as alive.
  bool Agree() const {
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
        seeds.push_back(Record(static_cast<int>(j) + 1, 0));
      }
    }
    uint64_t incarnation = hosts_[i].self.incarnation + 1;
    hosts_[i] = StartMembership(Record(static_cast<int>(i) + 1, incarnation),
                                seeds, random_(), now_);
    down.erase(i);
  }

  Membership& host(size_t i) { return hosts_[i]; }
  Instant now() const { return now_; }

  std::set<size_t> down;
  std::set<size_t> cut;  // Cut off from the others, not from each other.
  double loss = 0;
  uint64_t sent = 0;

 private:
  struct Flight {
    size_t from;
    size_t to;
    Probe probe;
  };
  static constexpr Duration kStep = std::chrono::milliseconds(10);

  void Deliver() {
    std::uniform_real_distribution<double> chance(0, 1);
    auto batch = std::exchange(queue_, {});
    for (auto& it : batch) {
      bool is_lost = down.contains(it.from) || down.contains(it.to) ||
                     cut.contains(it.from) != cut.contains(it.to) ||
                     chance(random_) < loss;
      if (!is_lost) {
        Carry(it.to, OnProbe(hosts_[it.to], it.probe, hosts_[it.from].self.peer,
                             now_));
      }
    }
  }

  std::mt19937_64 random_;
  Instant now_ = FromUnixMillis(1'000'000);
  std::vector<Membership> hosts_;
  std::deque<Flight> queue_;
};

constexpr Duration kFindTime = std::chrono::seconds(6);

}  // namespace

BOOST_AUTO_TEST_CASE(FindsADeadHostAndItsReturn) {
  Network network(9, 31);
  network.Run(std::chrono::seconds(2));
  BOOST_TEST(network.Agree());
  network.down.insert(3);
  network.Run(kFindTime);
  BOOST_TEST(network.Agree());
  network.Restart(3);
  network.Run(kFindTime);
  BOOST_TEST(network.Agree());
}

BOOST_AUTO_TEST_CASE(AHostThatLeavesIsNotTakenForDead) {
  Network network(6, 32);
  network.Run(std::chrono::seconds(1));
  network.Carry(2, Leave(network.host(2), network.now()));
  network.Run(std::chrono::milliseconds(50));
  network.down.insert(2);
  network.Run(std::chrono::seconds(1));
  for (size_t i = 0; i < 6; ++i) {
    if (i != 2) {
      BOOST_CHECK(network.StateAt(i, 2) == MemberState::kLeft);
    }
  }
}

BOOST_AUTO_TEST_CASE(BothSidesOfAPartitionFindEachOtherAgain) {
  Network network(9, 33);
  network.Run(std::chrono::seconds(1));
  network.cut = {0, 1, 2};
  network.Run(std::chrono::seconds(60));
  BOOST_CHECK(network.StateAt(0, 5) == MemberState::kDead);
  BOOST_CHECK(network.StateAt(0, 1) == MemberState::kAlive);
  BOOST_CHECK(network.StateAt(5, 0) == MemberState::kDead);
  network.cut.clear();
  network.Run(std::chrono::seconds(8));
  BOOST_TEST(network.Agree());
}

BOOST_AUTO_TEST_CASE(AgreesUnderLossOnceItEnds) {
  CheckProperty(34, 30, [](uint64_t seed) {
    Network network(7, seed);
    network.loss = 0.2;
    network.Run(std::chrono::seconds(20));
    network.down.insert(seed % 7);
    network.Run(std::chrono::seconds(10));
    network.loss = 0;
    network.Run(kFindTime);
    RC_ASSERT(network.Agree());
  });
}

BOOST_AUTO_TEST_CASE(SendsAsMuchForManyHostsAsForFew) {
  auto rate = [](int hosts) {
    Network network(hosts, 35);
    network.Run(std::chrono::seconds(30));
    return static_cast<double>(network.sent) / hosts / 30;
  };
  BOOST_TEST(rate(60) < 1.1 * rate(6));
}

BOOST_AUTO_TEST_CASE(AHostWhoseClockWentBackTakesAHigherIncarnation) {
  Network network(3, 36);
  network.Run(std::chrono::seconds(1));
  MemberUpdate earlier{network.host(0).self, MemberState::kAlive, 0};
  earlier.host.incarnation = 900;
  Learn(network.host(0), {&earlier, 1}, network.now());
  BOOST_TEST(network.host(0).self.incarnation == 901U);
}

}  // namespace acaciahold::membership
