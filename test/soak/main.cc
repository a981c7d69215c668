// Randomized soak test: injects faults into real processes and checks what
// callers, upstreams and the operator observe. The seed of a run determines its
// faults; their exact timing depends on the machine.
//
// Faults: entry and control hosts are terminated, suspended, killed and
// restarted; control hosts lose their data or get a full disk; a proxy delays,
// resets or blackholes the links to a control host, blocks one direction of
// them, or blocks the links between two control hosts while the third reaches
// both; upstreams drain, crash and restart with the same id; operator requests
// are sent meanwhile. Faults overlap.

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

constexpr int kHostCount = 3;  // Number of hosts of each kind.
constexpr milliseconds kStepTime{700};
constexpr milliseconds kOperatorRequestTimeout{8'000};
// Operator requests wait for the control group to have a leader, so this is
// well above the duration of an election.
constexpr milliseconds kSettleTime{6'000};
constexpr milliseconds kDrainPropagationBound{3'000};

// The set of faults that a run chooses from. kAll adds link and disk faults to
// kHostFaults; kBridges adds blocked links between two control hosts to kAll.
// New faults were added as new sets so that seeds that had failed before still
// give the same run.
enum class FaultSet { kHostFaults, kAll, kBridges };

// Returns the number of step kinds that RunStep chooses from.
int CountStepKinds(FaultSet fault_set) {
  switch (fault_set) {
    case FaultSet::kHostFaults:
      return 6;
    case FaultSet::kAll:
      return 8;
    case FaultSet::kBridges:
      return 10;
  }
  return 0;
}

class Soak {
 public:
  Soak(PacketScenario& scenario, uint64_t seed, FaultSet fault_set)
      : scenario_(scenario),
        fleet_(*scenario.fleet),
        random_(seed),
        step_kind_count_(CountStepKinds(fault_set)) {}

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      RunStep();
      fleet_.RunFor(kStepTime);
      EndExpiredFaults();
    }
    EndAllFaults();
    fleet_.RunFor(kSettleTime);
    CheckResults();
  }

  int failed_checks() const { return failed_checks_; }

 private:
  enum class FaultKind { kStopped, kPaused, kLinks, kFullDisk, kBridgeBlock };
  struct ActiveFault {
    Kind kind = Kind::kEntry;
    int index = 0;
    FaultKind fault = FaultKind::kStopped;
    int steps_left = 0;
  };

  int RandomBelow(int n) { return static_cast<int>(random_() % n); }

  void LogStep(const std::string& text) {
    std::cout << "  " << text << std::endl;
  }

  bool HasActiveFault(Kind kind, int index) const {
    for (const auto& it : active_faults_) {
      if (it.kind == kind && it.index == index) {
        return true;
      }
    }
    return false;
  }

  int CountActiveFaults(Kind kind) const {
    int n = 0;
    for (const auto& it : active_faults_) {
      n += it.kind == kind ? 1 : 0;
    }
    return n;
  }

  void RunStep() {
    switch (RandomBelow(step_kind_count_)) {
      case 0:
      case 1:
        InjectHostFault(Kind::kEntry, RandomBelow(kHostCount));
        break;
      case 2:
      case 3:
        InjectHostFault(Kind::kControl, RandomBelow(kHostCount));
        break;
      case 4:
        InjectUpstreamFault();
        break;
      case 6:
        InjectLinkFault(RandomBelow(kHostCount));
        break;
      case 7:
        FillDisk(RandomBelow(kHostCount));
        break;
      case 8:
      case 9:
        BlockLinksToNextHost(RandomBelow(kHostCount));
        break;
      default:
        ChangeConfig();
    }
  }

  // Does nothing while a host of this kind has a fault: a deployment must
  // tolerate one faulty host of each kind at a time.
  void InjectHostFault(Kind kind, int index) {
    if (CountActiveFaults(kind) > 0) {
      return;
    }
    std::string name =
        (kind == Kind::kEntry ? "entry " : "control ") + std::to_string(index);
    int variant = RandomBelow(kind == Kind::kEntry ? 3 : 4);
    if (variant == 0) {
      LogStep("pause " + name);
      fleet_.Signal(kind, index, SIGSTOP);
      active_faults_.push_back(
          {kind, index, FaultKind::kPaused, 1 + RandomBelow(4)});
      return;
    }
    bool is_term = variant == 1;
    LogStep((is_term ? "terminate " : "kill ") + name);
    fleet_.Signal(kind, index, is_term ? SIGTERM : SIGKILL);
    if (is_term) {
      fleet_.RunFor(milliseconds(2'600));  // It serves until it has shut down.
    }
    fleet_.AwaitExit(kind, index);
    if (variant == 3 && steps_until_next_data_loss_ == 0) {
      LogStep("delete the data folder of " + name);
      fleet_.DeleteDataFolder(index);
      // The next host loses its data only once this one is back.
      steps_until_next_data_loss_ = 10;
    }
    active_faults_.push_back(
        {kind, index, FaultKind::kStopped, 1 + RandomBelow(3)});
  }

  // At most one control host is down or unreachable for the others at a time.
  void InjectLinkFault(int index) {
    auto& proxy = fleet_.ProxyFor(index);
    std::string name = "the links of control " + std::to_string(index);
    int variant = RandomBelow(5);
    if (variant == 0) {
      LogStep("reset " + name);
      proxy.ResetConnections();
    } else if (variant == 1) {
      LogStep("blackhole " + name);
      proxy.BlackholeConnections();
    } else if (variant == 2) {
      LogStep("delay " + name);
      proxy.SetDelay(milliseconds(10 + RandomBelow(60)));
      active_faults_.push_back(
          {Kind::kControl, index, FaultKind::kLinks, 1 + RandomBelow(4)});
    } else if (CountActiveFaults(Kind::kControl) == 0) {
      LogStep((variant == 3 ? "block traffic to " : "block traffic from ") +
              name);
      variant == 3 ? proxy.BlockToTarget() : proxy.BlockFromTarget();
      active_faults_.push_back(
          {Kind::kControl, index, FaultKind::kLinks, 1 + RandomBelow(4)});
    }
  }

  void FillDisk(int index) {
    if (CountActiveFaults(Kind::kControl) == 0) {
      LogStep("fill the disk of control " + std::to_string(index));
      fleet_.LimitFileSize(index, 0);
      active_faults_.push_back(
          {Kind::kControl, index, FaultKind::kFullDisk, 1 + RandomBelow(4)});
    }
  }

  // Blocks the links between this control host and the next one.
  void BlockLinksToNextHost(int index) {
    if (CountActiveFaults(Kind::kControl) == 0) {
      LogStep("block the links between control " + std::to_string(index) +
              " and the next");
      fleet_.BlockLinksBetween(index, (index + 1) % kHostCount);
      active_faults_.push_back(
          {Kind::kControl, index, FaultKind::kBridgeBlock, 2 + RandomBelow(6)});
    }
  }

  void InjectUpstreamFault() {
    PacketUpstream* chosen = nullptr;
    for (auto& upstream : scenario_.upstreams) {
      if (upstream.is_running() && (!chosen || RandomBelow(3) == 0)) {
        chosen = &upstream;
      }
    }
    if (RandomBelow(2) == 0) {
      LogStep("drain an upstream");
      chosen->Drain();
      scenario_.AddUpstream(RandomBelow(3));
      return;
    }
    LogStep("crash an upstream");
    ++upstream_crashes_;
    chosen->Crash();
    scenario_.RestartUpstream(*chosen);
  }

  void ChangeConfig() {
    auto status = fleet_.SendOperatorRequest(
        http::Verb::put, "/-/config",
        MakeConfig(scenario_.version() + 1, {}).substr(0, 40),
        kOperatorRequestTimeout);
    Expect(!status || *status == 400U, "an invalid order is not refused");
    if (!scenario_.ChangeConfig(RandomBelow(5))) {
      LogStep("a configuration change was not acknowledged");
      ++unacknowledged_changes_;
    }
  }

  void EndExpiredFaults() {
    steps_until_next_data_loss_ = std::max(0, steps_until_next_data_loss_ - 1);
    std::erase_if(active_faults_, [&](ActiveFault& it) {
      if (--it.steps_left > 0) {
        return false;
      }
      EndFault(it);
      return true;
    });
  }

  void EndFault(const ActiveFault& it) {
    switch (it.fault) {
      case FaultKind::kStopped:
        fleet_.StartHost(it.kind, it.index);
        break;
      case FaultKind::kPaused:
        fleet_.Signal(it.kind, it.index, SIGCONT);
        break;
      case FaultKind::kLinks:
        fleet_.ProxyFor(it.index).ClearFaults();
        break;
      case FaultKind::kBridgeBlock:
        fleet_.ProxyFor(it.index).ClearFaults();
        fleet_.ProxyFor((it.index + 1) % kHostCount).ClearFaults();
        break;
      case FaultKind::kFullDisk:
        fleet_.LimitFileSize(it.index, RLIM_INFINITY);
        break;
    }
  }

  void EndAllFaults() {
    for (const auto& it : active_faults_) {
      EndFault(it);
    }
    active_faults_.clear();
  }

  void CheckResults() {
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
      Expect(upstream.misdirected_packets() == 0,
             "a packet went to another upstream");
      Expect(upstream.OpeningsAfterDrain(Duration(kDrainPropagationBound)) == 0,
             "a leaving upstream got new flows:" +
                 upstream.DescribeOpeningsAfterDrain(
                     Duration(kDrainPropagationBound)));
      Expect(upstream_crashes_ > 0 || upstream.unknown_flow_packets() == 0,
             "a flow went to an upstream that does not hold it");
    }
    auto config = fleet_.ReadConfig(kOperatorRequestTimeout);
    Expect(config.has_value(), "the table can't be read");
    // A change that was not acknowledged may or may not have taken effect.
    Expect(
        !config || unacknowledged_changes_ > 0 || *config == scenario_.config(),
        "the table is not what was acknowledged");
  }

  void Expect(bool condition, const std::string& violation) {
    if (!condition) {
      ++failed_checks_;
      std::cout << "  FAULT: " << violation << std::endl;
    }
  }

  PacketScenario& scenario_;
  NodeFleet& fleet_;
  std::mt19937_64 random_;
  int step_kind_count_;
  std::vector<ActiveFault> active_faults_;
  int steps_until_next_data_loss_ = 0;
  int upstream_crashes_ = 0;
  int unacknowledged_changes_ = 0;
  int failed_checks_ = 0;
};

int RunSeed(const std::string& binary,
            const std::string& folder,
            uint64_t seed,
            int steps,
            FaultSet fault_set) {
  std::cout << "seed " << seed << std::endl;
  PacketScenarioOptions options;
  options.fleet.binary = binary;
  options.fleet.folder = folder + "/seed-" + std::to_string(seed);
  const char* network = std::getenv("ACACIAHOLD_TEST_NETWORK");
  options.fleet.network = network ? std::atoi(network) : 22;
  options.fleet.has_proxies = fault_set != FaultSet::kHostFaults;
  options.seed = seed;
  PacketScenario scenario(options);
  Soak soak(scenario, seed, fault_set);
  soak.Run(steps);
  return soak.failed_checks();
}

}  // namespace
}  // namespace acaciahold::standins

// Arguments: the acaciahold binary, a folder for files, the first seed, the
// number of seeds, the number of steps per seed, and the set of faults to
// inject: hosts, all or bridges.
int main(int argc, char** argv) {
  using acaciahold::standins::FaultSet;
  const std::map<std::string, FaultSet> fault_sets{
      {"hosts", FaultSet::kHostFaults},
      {"all", FaultSet::kAll},
      {"bridges", FaultSet::kBridges}};
  auto kind = fault_sets.find(argc == 7 ? argv[6] : "");
  if (kind == fault_sets.end()) {
    std::cerr << "usage: acaciahold_soak BINARY FOLDER SEED SEEDS STEPS "
                 "hosts|all|bridges\n";
    return 2;
  }
  // Make writes beyond RLIMIT_FSIZE fail instead of killing the process, here
  // and in the hosts, which inherit this.
  std::signal(SIGXFSZ, SIG_IGN);
  int failed_checks = 0;
  uint64_t first = std::strtoull(argv[3], nullptr, 10);
  uint64_t seeds = std::strtoull(argv[4], nullptr, 10);
  for (uint64_t seed = first; seed < first + seeds; ++seed) {
    failed_checks += acaciahold::standins::RunSeed(
        argv[1], argv[2], seed, std::atoi(argv[5]), kind->second);
  }
  std::cout << seeds << " seeds, " << failed_checks << " faults\n";
  return failed_checks == 0 ? 0 : 1;
}
