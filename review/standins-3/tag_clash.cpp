// Long flows are open at the upstreams of one service. Then another service
// gets one more upstream. An upstream's id has ten digits: two for its zone and
// eight for its number there. With TROUBLE the new upstream's zone and number
// differ from those of an older upstream by the same bits; without TROUBLE its
// number is the next one. Checks that no open flow gets a reset that its own
// upstream didn't send. Exit codes: 1 the rule was broken, 0 it held, 2 the
// case couldn't run.

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>

#include "lab.hpp"

namespace {

constexpr double kFlowTtlMs = 60'000;
constexpr int kNayoro = 1;  // Index of the zone that gets the new upstream.

// The zone with this index has the number `zone` + 1.
std::string MakeId(int zone, int number) {
  char id[32];
  std::snprintf(id, sizeof id, "i-%02x%08x", static_cast<unsigned>(zone + 1),
                static_cast<unsigned>(number));
  return id;
}

int Run(bool has_trouble) {
  lab::Options options;
  options.zones = {"asahikawa", "nayoro", "kitami"};
  options.entry_hosts_per_zone = 1;
  lab::Lab world(options);
  for (int i = 0; i < options.control_hosts; ++i) {
    world.StartControl(i);
  }
  world.StartEntries();
  std::vector<lab::Route> routes{
      {"r-1", "198.18.0.1", 8443, "safe", "huvo11a", 1'000, true},
      {"r-2", "198.18.0.2", 8443, "upload", "wuno96b", 3'000, false}};
  std::vector<lab::Service> services{{"huvo11a"}, {"wuno96b"}};
  // Two upstreams of the first service in each zone and one of the second, with
  // the numbers 4, 8 and 12: no two of these ids have the same tag.
  for (int number = 4; number <= 12; number += 4) {
    for (int zone = 0; zone < 3; ++zone) {
      world.AddUpstream(number <= 8 ? "huvo11a" : "wuno96b",
                        options.zones[static_cast<size_t>(zone)], 15, 2.0,
                        false, MakeId(zone, number));
    }
  }
  if (world.Order("PUT", "/-/config", lab::MakeConfig(7, routes, services),
                  15'000) != 200) {
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
  world.StartCallers(routes, 60);
  lab::Sleep(8'000);
  // 02 and 7 against 01 and 4, an upstream of the first service in asahikawa.
  world.AddUpstream("wuno96b", options.zones[kNayoro], 15, 2.0, false,
                    MakeId(kNayoro, has_trouble ? 7 : 16));
  lab::Sleep(12'000);
  world.StopCallers();
  lab::Sleep(3'500);
  int ended = world.CountEnded();
  auto counts = world.counts();
  std::lock_guard lock(world.mutex());
  world.Record(
      "callers: %lu requests, %lu flows opened, %lu answered, "
      "%lu refused, %lu reset by the system, %lu timed out; %d "
      "processes ended by themselves",
      counts.attempts, counts.opened, counts.answered, counts.refused,
      counts.reset, counts.timed_out, ended);
  for (const auto& it : world.upstreams()) {
    world.Record(
        "upstream %s of %s: ran %lu requests, got %lu packets of "
        "flows of others",
        it.id.c_str(), it.service.c_str(), it.runs, it.foreign_packets);
  }
  size_t foreign = 0;
  for (const auto& it : world.resets()) {
    bool is_foreign = it.sender != it.owner && it.owner_lives && it.was_held &&
                      it.age_ms < kFlowTtlMs;
    foreign += is_foreign ? 1 : 0;
    world.Record(
        "at %.1f the %s flow of %s to %s at %s got a reset from "
        "%s%s",
        it.at_ms, it.was_held ? "open" : "opening", it.flow.c_str(),
        it.service.c_str(), it.owner.c_str(), it.sender.c_str(),
        is_foreign ? ": FLOW broken" : "");
  }
  if (counts.opened < 200) {
    return 2;
  }
  std::printf(
      "%zu open flows got a reset that their upstream didn't send: "
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
