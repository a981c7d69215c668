// At the first start one of the three control hosts is lost for good right
// after it has started, and an empty one takes its place 1 s later at another
// address. Checks that a request is served. Exit codes: 1 the rule was broken,
// 0 it held, 2 the case couldn't run.

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>

#include "lab.h"

namespace {

// Ten times ackMs. The deployment is left alone all that time.
constexpr double kOrderMs = 50'000;
constexpr double kTrafficMs = 8'000;

int Run(bool has_trouble) {
  lab::Options options;
  options.zones = {"asahikawa", "nayoro", "kitami"};
  options.entry_hosts_per_zone = 1;
  options.heartbeat_ms = 1'200;
  lab::Lab world(options);
  for (int i = 0; i < options.control_hosts; ++i) {
    world.StartControl(i);
  }
  if (has_trouble) {
    world.KillControl(2);
    world.RetireControl(2);
  }
  world.StartEntries();
  if (has_trouble) {
    lab::Sleep(1'000);
    world.StartControl(world.AddControlHost(false));
  }
  std::vector<lab::Route> routes{
      {"r-1", "198.18.0.1", 8443, "safe", "huvo11a", 1'000}};
  std::vector<lab::Service> services{{"huvo11a"}};
  for (int i = 0; i < 6; ++i) {
    world.AddUpstream("huvo11a", options.zones[i % 3], 15, 2.0, false);
  }
  double began = lab::Now();
  int status = world.Order("PUT", "/-/config",
                           lab::MakeConfig(7, routes, services), kOrderMs);
  double waited = lab::Now() - began;
  lab::Sleep(3'000);
  world.StartCallers(routes, 60);
  lab::Sleep(kTrafficMs);
  world.StopCallers();
  lab::Sleep(1'500);
  int ended = world.CountEnded();
  auto counts = world.counts();
  world.Record("configuration: last status %d after %.1f s; %d processes ended "
               "by themselves",
               status, waited / 1e3, ended);
  world.Record("callers: %lu flows, %lu opened, %lu answered, %lu refused, "
               "%lu reset, %lu timed out",
               counts.attempts, counts.opened, counts.answered, counts.refused,
               counts.reset, counts.timed_out);
  bool is_broken = status != 200 && counts.answered == 0;
  const char* verdict = is_broken ? "broken: no request is served" : "held";
  world.Record("Fault: %s", verdict);
  std::printf("last status %d after %.1f s, %lu of %lu flows answered: %s\n",
              status, waited / 1e3, counts.answered, counts.attempts, verdict);
  return is_broken ? 1 : status == 200 && counts.answered > 0 ? 0 : 2;
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
