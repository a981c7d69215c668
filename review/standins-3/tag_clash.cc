// Long flows are open at the upstreams of one service. Then another service
// gets one more upstream. Upstreams take ids of 16 digits: their address and
// the second of their start. With TROUBLE the new upstream's address and second
// differ from those of an older upstream by the same bits, without TROUBLE they
// don't. Checks that no open flow gets a reset that its own upstream didn't
// send. Exit codes: 1 the rule was broken, 0 it held, 2 the case couldn't run.

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <exception>

#include <arpa/inet.h>

#include "lab.h"

namespace {

constexpr double kFlowTtlMs = 60'000;
constexpr double kStableMs = 4'000;

uint32_t AddressOf(const std::string& ip) {
  in_addr a{};
  inet_pton(AF_INET, ip.c_str(), &a);
  return ntohl(a.s_addr);
}

uint32_t UnixSecond() {
  return static_cast<uint32_t>(
      std::chrono::duration_cast<std::chrono::seconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count());
}

std::string MakeId(uint32_t address, uint32_t second) {
  char id[32];
  std::snprintf(id, sizeof id, "i-%08x%08x", address, second);
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
  int number = 0;
  auto add = [&](const std::string& service, int host_number) -> auto& {
    auto address = AddressOf(world.Ip(3, host_number));
    return world.AddUpstream(service, options.zones[number++ % 3], 15, 2.0,
                             false, MakeId(address, UnixSecond()), host_number);
  };
  // Every fourth address, since an address is not used by two at a time.
  constexpr int kFirstHost = 4;
  std::vector<uint32_t> seconds;
  for (int i = 0; i < 8; ++i) {
    seconds.push_back(UnixSecond());
    add(i < 6 ? "huvo11a" : "wuno96b", kFirstHost + 4 * i);
  }
  if (world.Order("PUT", "/-/config",
                  lab::MakeConfig(7, routes, services), 15'000) != 200) {
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
  lab::Sleep(6'000);
  // A second that differs from that of the first upstream in the lowest two
  // bits only, which is so for three of four adjacent seconds.
  double planned = lab::Now();
  uint32_t second = UnixSecond();
  uint32_t difference = second ^ seconds[0];
  int host_number = kFirstHost ^ static_cast<int>(difference & 0xffU);
  bool can_clash = difference < 0x100 && host_number > 0 && host_number < 255 &&
                   host_number % 4 != 0;
  while (!can_clash && lab::Now() < planned + 8'000) {
    lab::Sleep(100);
    second = UnixSecond();
    difference = second ^ seconds[0];
    host_number = kFirstHost ^ static_cast<int>(difference & 0xffU);
    can_clash = difference < 0x100 && host_number > 0 && host_number < 255 &&
                host_number % 4 != 0;
  }
  if (!can_clash) {
    return 2;
  }
  if (!has_trouble) {
    host_number += host_number % 4 == 3 ? -1 : 1;
  }
  auto address = AddressOf(world.Ip(3, host_number));
  double added_at = lab::Now();
  world.AddUpstream("wuno96b", "nayoro", 15, 2.0, false,
                    MakeId(address, second), host_number);
  lab::Sleep(12'000);
  world.StopCallers();
  lab::Sleep(3'500);
  int ended = world.CountEnded();
  auto counts = world.counts();
  std::lock_guard lock(world.mutex());
  world.Record("callers: %lu requests, %lu flows opened, %lu answered, "
               "%lu refused, %lu reset by the system, %lu timed out; %d "
               "processes ended by themselves",
               counts.attempts, counts.opened, counts.answered, counts.refused,
               counts.reset, counts.timed_out, ended);
  for (const auto& it : world.upstreams()) {
    world.Record("upstream %s of %s: ran %lu requests, got %lu packets of "
                 "flows of others",
                 it.id.c_str(), it.service.c_str(), it.runs,
                 it.foreign_packets);
  }
  size_t foreign = 0;
  for (const auto& it : world.resets()) {
    bool is_foreign =
        it.sender != it.owner && it.owner_lives && it.was_held &&
                      it.age_ms < kFlowTtlMs;
    foreign += is_foreign ? 1 : 0;
    world.Record("at %.1f the %s flow of %s to %s at %s got a reset from "
                 "%s%s",
                 it.at_ms, it.was_held ? "open" : "opening", it.flow.c_str(),
                 it.service.c_str(), it.owner.c_str(), it.sender.c_str(),
                 is_foreign ? ": FLOW broken" : "");
  }
  if (counts.opened < 200 || added_at < kStableMs) {
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
