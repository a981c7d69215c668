// Two zones lose power one after the other, a configuration is acknowledged by
// those that still run, and then as many machines as the fault tolerance allows
// lose their disks. When all machines are back, the configuration must be there.
//
// Exit code: 0 the rule held, 1 it was broken, 2 the case could not run.

#include <string>
#include <vector>

#include "fleet.hpp"

namespace {

using review::Clock;
using review::SleepMs;
using std::chrono::seconds;

// As on the sheet of the deployment kitami-sos-grown.
constexpr int kZones = 4;
constexpr int kControlsPerZone = 2;
constexpr int kLeadMs = 14'000;       // Before traffic, as in lead_s.
constexpr seconds kAckTime{6};        // bounds.ackMs
constexpr seconds kRecoveryTime{15};  // bounds.recoveryS
constexpr seconds kStableTime{5};     // bounds.stableMs

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
  for (int i = 0; i < kZones * kControlsPerZone; ++i) {
    controls.push_back(fleet.Add(true, "zone" + std::to_string(i % kZones + 1)));
  }
  int edge = fleet.Add(false, "zone1");
  fleet.SetSeeds();
  for (size_t i = 0; i < fleet.size(); ++i) {
    fleet.Start(static_cast<int>(i));
  }
  review::Operator operator_(fleet, controls, record);
  SleepMs(1'500);
  if (operator_.Put(review::MakeConfig(1, 8), Clock::now() + seconds(10)) !=
      200) {
    record.Line("the first configuration was not accepted");
    return 2;
  }
  SleepMs(kLeadMs);

  auto in_zone = [&](int zone) {
    std::vector<int> hosts;
    for (int it : controls) {
      if (it % kZones == zone) {
        hosts.push_back(it);
      }
    }
    return hosts;
  };
  std::vector<int> down;
  if (has_trouble) {
    for (int zone : {3, 2}) {
      record.Line("zone" + std::to_string(zone + 1) + " loses power");
      for (int it : in_zone(zone)) {
        fleet.Kill(it);
        down.push_back(it);
      }
      SleepMs(5'000);
    }
  } else {
    SleepMs(10'000);
  }

  std::string by;
  int status = operator_.Put(review::MakeConfig(2, 8), Clock::now() + kAckTime,
                             &by);
  if (status != 200) {
    record.Line("service was suspended before the disks were lost, which the "
                "pages allow: the case can't run");
    return has_trouble ? 2 : 1;
  }

  if (has_trouble) {
    std::vector<int> wiped;
    for (int it : controls) {
      if (fleet.ControlEndpoint(it) == by) {
        wiped.push_back(it);
      }
    }
    for (int it : in_zone(0)) {
      if (wiped.size() < 2 && fleet.ControlEndpoint(it) != by) {
        wiped.push_back(it);
      }
    }
    for (int it : wiped) {
      fleet.Kill(it);
      fleet.WipeDisk(it);
    }
    SleepMs(1'000);
    for (int it : wiped) {
      fleet.Start(it);
    }
    SleepMs(2'000);
    for (int it : down) {
      fleet.Start(it);
    }
  }
  record.Line("all machines are back");

  // The operator asks repeatedly until recoveryS and stableMs after that.
  auto deadline = Clock::now() + kRecoveryTime + kStableTime;
  uint64_t version = 0;
  while (Clock::now() < deadline) {
    for (int it : controls) {
      auto answer = operator_.Get(it);
      auto read = answer.status == 200 ? review::VersionOf(answer.body) : 0;
      version = std::max(version, read);
    }
    SleepMs(500);
  }
  std::string statuses;
  for (int it : controls) {
    auto answer = operator_.Get(it);
    auto read = answer.status == 200 ? review::VersionOf(answer.body) : 0;
    version = std::max(version, read);
    statuses += " " + fleet.host(it).name + "=" +
                std::to_string(answer.status) + "/" + std::to_string(read);
  }
  record.Line("read back (host=status/version):" + statuses);
  int later = operator_.Put(review::MakeConfig(3, 8), Clock::now() + kAckTime);
  auto ready = review::Fetch(fleet.ReadyEndpoint(edge), "GET", "/-/readyz", "",
                             std::chrono::milliseconds(1'000));
  record.Line("readyz of the entry host: " + std::to_string(ready.status));
  bool is_broken = version < 2 || later != 200;
  record.Line(is_broken
                  ? "BROKEN: version 2 was acknowledged; newest read back is " +
                        std::to_string(version) + ", version 3 got " +
                        std::to_string(later)
                  : "held: version 2 was read back, version 3 acknowledged");
  return is_broken ? 1 : 0;
}
