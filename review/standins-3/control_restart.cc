// Long flows send a long request each at about the same time, while the control
// host of one zone is stopped and started again. Checks that no open flow gets a
// reset that its own upstream didn't send. Exit codes: 1 the rule was broken, 0
// it held, 2 the case couldn't run.

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>

#include "lab.h"

namespace {

constexpr int kRestarts = 5;
constexpr double kFlowTtlMs = 60'000;
constexpr double kDownMs = 1'000;  // Until the platform starts it again.

int Run(bool has_trouble) {
  lab::Options options;
  options.zones = {"asahikawa", "nayoro", "kitami"};
  options.entry_hosts_per_zone = 1;
  options.heartbeat_ms = 1'200;
  lab::Lab world(options);
  for (int i = 0; i < options.control_hosts; ++i) {
    world.StartControl(i);
  }
  world.StartEntries();
  lab::Route reports{"r-1", "198.18.0.1", 8443, "safe", "huvo11a", 4'000, true};
  reports.zone = 0;
  reports.flows_per_zone = 12;
  reports.pause_ms = 1'500;
  reports.goal_ms = 1'500;
  lab::Route uploads{"r-2", "198.18.0.2", 8443, "upload", "wuno96b", 3'000};
  std::vector<lab::Route> routes{reports, uploads};
  for (int zone = 0; zone < 3; ++zone) {
    lab::Route orders{"r-" + std::to_string(3 + zone),
                      "198.18.0." + std::to_string(3 + zone), 8443, "unsafe",
                      "huvo11a", 2'000};
    orders.zone = zone;
    // Few in the zone whose callers also send long requests.
    orders.one_in = zone == 0 ? 8 : 1;
    routes.push_back(orders);
  }
  // The zones differ in their number of upstreams of the first service.
  const char* zones[] = {"asahikawa", "nayoro", "nayoro", "kitami",
                         "kitami",    "kitami", "nayoro"};
  for (const auto* zone : zones) {
    world.AddUpstream("huvo11a", zone, 15, 2.0, false);
  }
  for (const auto& zone : options.zones) {
    world.AddUpstream("wuno96b", zone, 5, 2.0, false);
  }
  auto config = lab::MakeConfig(7, routes, {{"huvo11a"}, {"wuno96b"}});
  if (world.Order("PUT", "/-/config", config, 15'000) != 200) {
    return 2;
  }
  double deadline = lab::Now() + 15'000;
  while (world.CountReadyEntries() < 3 && lab::Now() < deadline) {
    lab::Sleep(100);
  }
  if (world.CountReadyEntries() < 3) {
    return 2;
  }
  lab::Sleep(2'000);
  world.StartCallers(routes, 90);
  lab::Sleep(14'000);
  // One control host after the other, as `roll_term` does.
  for (int i = 0; i < kRestarts; ++i) {
    int stopped = options.control_hosts - 1 - i % options.control_hosts;
    if (has_trouble) {
      world.TerminateControl(stopped);
    }
    world.AskLongRequests("r-1");
    lab::Sleep(kDownMs);
    if (has_trouble) {
      world.StartControl(stopped);
    }
    lab::Sleep(9'500);
  }
  world.StopCallers();
  lab::Sleep(3'500);
  int ended = world.CountEnded();
  auto counts = world.counts();
  std::lock_guard lock(world.mutex());
  world.Record("callers: %lu requests, %lu flows opened, %lu answered, "
               "%lu refused, %lu open flows reset by the system, %lu timed "
               "out; %d processes ended by themselves",
               counts.attempts, counts.opened, counts.answered, counts.refused,
               counts.reset, counts.timed_out, ended);
  for (const auto& it : world.upstreams()) {
    world.Record("upstream %s of %s in %s: ran %lu requests", it.id.c_str(),
                 it.service.c_str(), it.zone.c_str(), it.runs);
  }
  size_t foreign = 0;
  for (const auto& it : world.resets()) {
    bool is_foreign = it.sender != it.owner && it.owner_lives && it.was_held &&
                      it.age_ms < kFlowTtlMs;
    foreign += is_foreign ? 1 : 0;
    world.Record("at %.1f the %s flow of %s to %s at %s got a reset from %s%s",
                 it.at_ms, it.was_held ? "open" : "opening", it.flow.c_str(),
                 it.service.c_str(), it.owner.c_str(), it.sender.c_str(),
                 is_foreign ? ": FLOW broken" : "");
  }
  if (counts.answered < 500) {
    return 2;
  }
  std::printf("%zu open flows got a reset that their upstream didn't send: "
              "FLOW %s\n",
              foreign, foreign > 0 ? "broken" : "held");
  world.Record("FLOW %s", foreign > 0 ? "broken" : "held");
  return foreign > 0 ? 1 : 0;
}

}  // namespace

int main() {
  const char* trouble = std::getenv("TROUBLE");
  try {
    return Run(!trouble || std::strcmp(trouble, "0") != 0);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "%s\n", e.what());
    return 2;
  }
}
