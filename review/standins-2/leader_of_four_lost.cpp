// A fourth control host is added. Then the leader is lost for good without
// SIGTERM, and 4.05 s later the new leader loses its disk. The group must bear
// both, as they are one loss at a time.
//
// Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

#include <string>
#include <vector>

#include "fleet.hpp"

namespace {

using review::Clock;
using review::SleepMs;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kSuccessorLeadMs = 4'500;  // Above syncS, 4 s.
constexpr int kNextLossMs = 4'050;       // The same, counted from the loss.
constexpr int kDiskBackMs = 1'000;
constexpr seconds kPatience{21};  // recoveryS, ackMs and stableMs together.

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    return 2;
  }
  bool has_trouble = review::Variable("TROUBLE", "1") != "0";
  review::Record record(argv[4]);
  review::FleetOptions options;
  options.binary = argv[1];
  options.template_folder = argv[2];
  options.folder = argv[3];
  options.network = std::stoi(review::Variable("NETWORK", "40"));
  review::Fleet fleet(options, record);
  std::vector<int> controls;
  for (int i = 0; i < 3; ++i) {
    controls.push_back(fleet.Add(true, "zone" + std::to_string(i + 1)));
  }
  fleet.SetSeeds();
  for (int it : controls) {
    fleet.Start(it);
  }
  review::Operator operator_(fleet, controls, record);
  SleepMs(1'000);
  if (operator_.Put(review::MakeConfig(1, 8), Clock::now() + seconds(10)) !=
      200) {
    return 2;
  }
  int successor = fleet.AddLate(true, "zone1");
  fleet.Start(successor);
  controls.push_back(successor);
  SleepMs(kSuccessorLeadMs);
  std::string leader_endpoint;
  if (operator_.Put(review::MakeConfig(2, 8), Clock::now() + seconds(5),
                    &leader_endpoint) != 200) {
    return 2;
  }

  std::vector<int> rest = controls;
  if (has_trouble) {
    int leader = controls.front();
    for (int it : controls) {
      leader = fleet.ControlEndpoint(it) == leader_endpoint ? it : leader;
    }
    std::erase(rest, leader);
    fleet.Kill(leader);
    SleepMs(kNextLossMs);
    int second = rest.front();
    for (int it : rest) {
      auto answer = review::Fetch(fleet.ControlEndpoint(it), "GET",
                                  "/-/config", "", milliseconds(200));
      second = answer.status == 200 ? it : second;
    }
    fleet.Kill(second);
    fleet.WipeDisk(second);
    SleepMs(kDiskBackMs);
    fleet.Start(second);
  }

  review::Operator reader(fleet, rest, record);
  uint64_t version = 0;
  for (auto end = Clock::now() + kPatience; version < 2 && Clock::now() < end;) {
    for (int it : rest) {
      auto answer = reader.Get(it);
      if (answer.status == 200) {
        version = review::VersionOf(answer.body);
      }
    }
    SleepMs(300);
  }
  bool is_broken = version < 2;
  record.Line(is_broken ? "BROKEN: the acknowledged version 2 can't be read"
                        : "held: version 2 was read back");
  return is_broken ? 1 : 0;
}
