// A randomized soak: real processes under faults from outside, checked by what
// callers, upstreams and the operator see. A run is given by its seed, which
// decides the faults; times are the machine's.
//
// Faults: entry and control hosts are stopped, paused, killed and started
// again; control hosts lose their disks, or find them full; a proxy delays,
// resets, silences or cuts one way the links to a control host, or cuts those
// between two of them while the third reaches both; upstreams drain, crash and
// start again under their id; orders are sent meanwhile. They overlap.

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <map>
#include <random>

#include <sys/resource.h>

#include "packet_scenario.h"

namespace acaciahold::standins {
namespace {

using Kind = NodeFleet::Kind;
using std::chrono::milliseconds;

constexpr int kHosts = 3;  // Of each kind.
constexpr milliseconds kStepTime{700};
constexpr milliseconds kOrderTimeout{8'000};
// Orders wait for the group, so the time to settle is well above an election.
constexpr milliseconds kSettleTime{6'000};
constexpr milliseconds kDrainBound{3'000};

// Which faults a run draws from. Seeds that failed before there were others
// keep their meaning: kAll has kOfHosts, links and disks, kBridges has all and
// cuts between two control hosts.
enum class Faults { kOfHosts, kAll, kBridges };

// Kinds of steps that a run draws from.
int KindsOf(Faults faults) {
  switch (faults) {
    case Faults::kOfHosts:
      return 6;
    case Faults::kAll:
      return 8;
    case Faults::kBridges:
      return 10;
  }
  return 0;
}

class Soak {
 public:
  Soak(PacketScenario& scenario, uint64_t seed, Faults faults)
      : scenario_(scenario),
        fleet_(*scenario.fleet),
        random_(seed),
        kinds_(KindsOf(faults)) {}

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      Step();
      fleet_.RunFor(kStepTime);
      Mend();
    }
    MendAll();
    fleet_.RunFor(kSettleTime);
    Check();
  }

  int faults() const { return faults_; }

 private:
  enum class Trouble { kEnded, kPaused, kLinks, kDisk, kBridge };
  struct Down {
    Kind kind = Kind::kEntry;
    int index = 0;
    Trouble trouble = Trouble::kEnded;
    int steps_left = 0;
  };

  int Draw(int n) { return static_cast<int>(random_() % n); }

  void Say(const std::string& text) { std::cout << "  " << text << std::endl; }

  bool IsDown(Kind kind, int index) const {
    for (const auto& it : down_) {
      if (it.kind == kind && it.index == index) {
        return true;
      }
    }
    return false;
  }

  int CountDown(Kind kind) const {
    int n = 0;
    for (const auto& it : down_) {
      n += it.kind == kind ? 1 : 0;
    }
    return n;
  }

  void Step() {
    switch (Draw(kinds_)) {
      case 0:
      case 1:
        Disturb(Kind::kEntry, Draw(kHosts));
        break;
      case 2:
      case 3:
        Disturb(Kind::kControl, Draw(kHosts));
        break;
      case 4:
        DisturbUpstream();
        break;
      case 6:
        DisturbLinks(Draw(kHosts));
        break;
      case 7:
        FillDisk(Draw(kHosts));
        break;
      case 8:
      case 9:
        CutBridge(Draw(kHosts));
        break;
      default:
        ChangeConfig();
    }
  }

  // At most one host of a kind is down at a time, as is to be borne.
  void Disturb(Kind kind, int index) {
    if (CountDown(kind) > 0) {
      return;
    }
    std::string name =
        (kind == Kind::kEntry ? "entry " : "control ") + std::to_string(index);
    int how = Draw(kind == Kind::kEntry ? 3 : 4);
    if (how == 0) {
      Say("pause " + name);
      fleet_.Signal(kind, index, SIGSTOP);
      down_.push_back({kind, index, Trouble::kPaused, 1 + Draw(4)});
      return;
    }
    bool is_term = how == 1;
    Say((is_term ? "terminate " : "kill ") + name);
    fleet_.Signal(kind, index, is_term ? SIGTERM : SIGKILL);
    if (is_term) {
      fleet_.RunFor(milliseconds(2'600));  // It serves until it has left.
    }
    fleet_.AwaitEnd(kind, index);
    if (how == 3 && disk_steps_ == 0) {
      Say("empty the disk of " + name);
      fleet_.WipeDisk(index);
      disk_steps_ = 10;  // The next disk is lost only after this one is back.
    }
    down_.push_back({kind, index, Trouble::kEnded, 1 + Draw(3)});
  }

  // At most one control host is out of the others' reach, or down, at a time.
  void DisturbLinks(int index) {
    auto& proxy = fleet_.ProxyOf(index);
    std::string name = "the links of control " + std::to_string(index);
    int how = Draw(5);
    if (how == 0) {
      Say("reset " + name);
      proxy.ResetAll();
    } else if (how == 1) {
      Say("silence " + name);
      proxy.SilenceAll();
    } else if (how == 2) {
      Say("delay " + name);
      proxy.Delay(milliseconds(10 + Draw(60)));
      down_.push_back({Kind::kControl, index, Trouble::kLinks, 1 + Draw(4)});
    } else if (CountDown(Kind::kControl) == 0) {
      Say((how == 3 ? "cut towards " : "cut from ") + name);
      how == 3 ? proxy.CutTowards() : proxy.CutFrom();
      down_.push_back({Kind::kControl, index, Trouble::kLinks, 1 + Draw(4)});
    }
  }

  void FillDisk(int index) {
    if (CountDown(Kind::kControl) == 0) {
      Say("fill the disk of control " + std::to_string(index));
      fleet_.LimitFiles(index, 0);
      down_.push_back({Kind::kControl, index, Trouble::kDisk, 1 + Draw(4)});
    }
  }

  // The control host and the next one lose each other.
  void CutBridge(int index) {
    if (CountDown(Kind::kControl) == 0) {
      Say("cut between control " + std::to_string(index) + " and the next");
      fleet_.CutBetween(index, (index + 1) % kHosts);
      down_.push_back({Kind::kControl, index, Trouble::kBridge, 2 + Draw(6)});
    }
  }

  void DisturbUpstream() {
    PacketUpstream* chosen = nullptr;
    for (auto& upstream : scenario_.upstreams) {
      if (upstream.is_running() && (!chosen || Draw(3) == 0)) {
        chosen = &upstream;
      }
    }
    if (Draw(2) == 0) {
      Say("drain an upstream");
      chosen->Drain();
      scenario_.AddUpstream(Draw(3));
      return;
    }
    Say("crash an upstream");
    ++crashes_;
    chosen->Crash();
    scenario_.Restart(*chosen);
  }

  void ChangeConfig() {
    auto status = fleet_.Order(
        http::Verb::put, "/-/config",
        MakeConfig(scenario_.version() + 1, {}).substr(0, 40), kOrderTimeout);
    Expect(!status || *status == 400U, "an invalid order is not refused");
    if (!scenario_.ChangeConfig(Draw(5))) {
      Say("an order had no acknowledgement");
      ++unacknowledged_;
    }
  }

  void Mend() {
    disk_steps_ = std::max(0, disk_steps_ - 1);
    std::erase_if(down_, [&](Down& it) {
      if (--it.steps_left > 0) {
        return false;
      }
      Start(it);
      return true;
    });
  }

  void Start(const Down& it) {
    switch (it.trouble) {
      case Trouble::kEnded:
        fleet_.StartHost(it.kind, it.index);
        break;
      case Trouble::kPaused:
        fleet_.Signal(it.kind, it.index, SIGCONT);
        break;
      case Trouble::kLinks:
        fleet_.ProxyOf(it.index).Heal();
        break;
      case Trouble::kBridge:
        fleet_.ProxyOf(it.index).Heal();
        fleet_.ProxyOf((it.index + 1) % kHosts).Heal();
        break;
      case Trouble::kDisk:
        fleet_.LimitFiles(it.index, RLIM_INFINITY);
        break;
    }
  }

  void MendAll() {
    for (const auto& it : down_) {
      Start(it);
    }
    down_.clear();
  }

  void Check() {
    const auto& counts = scenario_.callers->counts();
    Expect(counts.reset_while_open == 0, "an open flow was reset");
    Expect(counts.answered > 500, "callers were hardly served");
    uint64_t answered = counts.answered;
    Expect(scenario_.Await(milliseconds(5'000),
                           [&] {
                             return scenario_.callers->counts().answered >
                                    answered + 50;
                           }),
           "callers are not served at the end");
    for (const auto& upstream : scenario_.upstreams) {
      Expect(upstream.misdirected() == 0, "a packet went to another upstream");
      Expect(upstream.OpeningsAfterDrain(Duration(kDrainBound)) == 0,
             "a leaving upstream got new flows:" +
                 upstream.DescribeLate(Duration(kDrainBound)));
      Expect(crashes_ > 0 || upstream.foreign_flows() == 0,
             "a flow went to an upstream that does not hold it");
    }
    auto config = fleet_.ReadConfig(kOrderTimeout);
    Expect(config.has_value(), "the table can't be read");
    // An order without an acknowledgement may or may not be in force.
    Expect(!config || unacknowledged_ > 0 || *config == scenario_.config(),
           "the table is not what was acknowledged");
  }

  void Expect(bool holds, const std::string& fault) {
    if (!holds) {
      ++faults_;
      std::cout << "  FAULT: " << fault << std::endl;
    }
  }

  PacketScenario& scenario_;
  NodeFleet& fleet_;
  std::mt19937_64 random_;
  int kinds_;  // Of steps.
  std::vector<Down> down_;
  int disk_steps_ = 0;  // Until another disk may be lost.
  int crashes_ = 0;
  int unacknowledged_ = 0;
  int faults_ = 0;
};

int RunSeed(const std::string& binary,
            const std::string& folder,
            uint64_t seed,
            int steps,
            Faults faults) {
  std::cout << "seed " << seed << std::endl;
  PacketScenarioOptions options;
  options.fleet.binary = binary;
  options.fleet.folder = folder + "/seed-" + std::to_string(seed);
  const char* network = std::getenv("ACACIAHOLD_TEST_NETWORK");
  options.fleet.network = network ? std::atoi(network) : 22;
  options.fleet.has_proxies = faults != Faults::kOfHosts;
  options.seed = seed;
  PacketScenario scenario(options);
  Soak soak(scenario, seed, faults);
  soak.Run(steps);
  return soak.faults();
}

}  // namespace
}  // namespace acaciahold::standins

// Words: the binary, a folder for files, the first seed, how many seeds, steps,
// and the faults to draw from: hosts, all or bridges.
int main(int argc, char** argv) {
  using acaciahold::standins::Faults;
  const std::map<std::string, Faults> kinds{{"hosts", Faults::kOfHosts},
                                            {"all", Faults::kAll},
                                            {"bridges", Faults::kBridges}};
  auto kind = kinds.find(argc == 7 ? argv[6] : "");
  if (kind == kinds.end()) {
    std::cerr << "usage: acaciahold_soak BINARY FOLDER SEED SEEDS STEPS "
                 "hosts|all|bridges\n";
    return 2;
  }
  // A full disk is a failed write, here and in the hosts.
  std::signal(SIGXFSZ, SIG_IGN);
  int found = 0;
  uint64_t first = std::strtoull(argv[3], nullptr, 10);
  uint64_t seeds = std::strtoull(argv[4], nullptr, 10);
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    found += acaciahold::standins::RunSeed(argv[1], argv[2], seed,
                                           std::atoi(argv[5]), kind->second);
  }
  std::cout << seeds << " seeds, " << found << " faults\n";
  return found == 0 ? 0 : 1;
}
