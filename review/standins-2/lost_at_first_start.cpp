// One of three control machines is lost for good while the system starts for
// the first time, and an empty one replaces it at another address. The group
// must still be formed: the loss of one machine is within the tolerance.
//
// Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

#include <string>
#include <vector>

#include "fleet.hpp"

namespace {

using review::Clock;
using review::SleepMs;
using std::chrono::seconds;

constexpr int kControls = 3;
constexpr int kLostAfterMs = 20;
constexpr int kReplacedAfterMs = 1'000;
// recoveryS + stableMs + ackMs of the small deployments are 21 s together.
constexpr seconds kPatience{40};

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
  options.network = review::FreeNetwork();
  review::Fleet fleet(options, record);
  std::vector<int> controls;
  for (int i = 0; i < kControls; ++i) {
    controls.push_back(fleet.Add(true, "zone" + std::to_string(i + 1)));
  }
  int edge = fleet.Add(false, "zone1");
  fleet.SetSeeds();
  for (size_t i = 0; i < fleet.size(); ++i) {
    fleet.Start(static_cast<int>(i));
  }
  if (has_trouble) {
    SleepMs(kLostAfterMs);
    int lost = controls.back();
    fleet.Kill(lost);
    controls.pop_back();
    SleepMs(kReplacedAfterMs);
    int added = fleet.AddLate(true, "zone3");
    fleet.Start(added);
    controls.push_back(added);
  }
  review::Operator operator_(fleet, controls, record);
  int status = operator_.Put(review::MakeConfig(1, 8), Clock::now() + kPatience);
  SleepMs(1'000);
  auto ready = review::Fetch(fleet.ReadyEndpoint(edge), "GET", "/-/readyz", "",
                             std::chrono::milliseconds(1'000));
  record.Line("readyz of the entry host: " + std::to_string(ready.status));
  bool is_broken = status != 200;
  record.Line(is_broken ? "BROKEN: the first configuration was not accepted "
                          "within 40 s, with three control hosts running"
                        : "held: the first configuration was accepted");
  return is_broken ? 1 : 0;
}
