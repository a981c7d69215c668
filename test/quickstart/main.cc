// Starts a deployment on loopback, sends flows and requests through it, removes
// a failure domain and adds it again by editing the table, and prints the
// results. Exits with 0 if no flow broke, no packet reached a wrong service or
// the removed domain, every request was answered or reported as not run, none
// was run twice, and all hosts exited cleanly.

#include <algorithm>
#include <cstdio>
#include <iostream>
#include <string>
#include <thread>

#include "deployment.h"
#include "flow_lab.h"
#include "request_load.h"
#include "upstream_fleet.h"

namespace acaciahold::standins {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kFlowUpstreamCount = 14;
constexpr int kOrderUpstreamCount = 14;
constexpr int kReturnUpstreamCount = 4;
constexpr int kFlowCount = 1'400;
constexpr double kOrdersPerSecond = 200;
constexpr uint64_t kSeed = 7;
constexpr uint16_t kUpstreamPort = 7000;

const Endpoint kFeedService{(10U << 24U) | (9U << 16U) | 1U, 7000};

std::string TableYaml(const std::string& domains) {
  auto service_yaml = [&](const std::string& name, const std::string& kind,
                          const std::string& address,
                          const std::string& limits) {
    return "  - name: " + name + "\n    kind: " + kind + "\n    address: \"" +
           address + "\"\n    limits: " + limits + "\n    failure_domains: [" +
           domains + "]\n";
  };
  return "services:\n" +
         service_yaml("stock-feed", "flow", FormatEndpoint(kFeedService),
                      "{slots: 3, connections: 2000, cold: 50}") +
         service_yaml("orders", "request", "10.9.0.2:80",
                      "{slots: 3, connections: 2000, cold: 1}") +
         service_yaml("returns", "request", "10.9.0.3:80",
                      "{slots: 3, connections: 2000, cold: 1}");
}

double PeakOverMean(const std::map<std::string, uint64_t>& counts) {
  uint64_t peak = 0;
  uint64_t sum = 0;
  for (const auto& [name, n] : counts) {
    peak = std::max(peak, n);
    sum += n;
  }
  return sum == 0 ? 0
                  : static_cast<double>(peak) * counts.size() /
                        static_cast<double>(sum);
}

struct OrderCounts {
  uint64_t answered = 0;
  uint64_t refused = 0;
  uint64_t other = 0;
};

OrderCounts CountOutcomes(const std::vector<Order>& orders) {
  OrderCounts counts;
  for (const auto& order : orders) {
    if (order.outcome == OrderOutcome::kAnswered) {
      ++counts.answered;
    } else if (order.outcome == OrderOutcome::kRefused) {
      ++counts.refused;
    } else {
      ++counts.other;
    }
  }
  return counts;
}

void Sleep(seconds duration) {
  std::this_thread::sleep_for(duration);
}

int Fail(const std::string& error) {
  std::cout << "FAILED: " << error << "\n";
  return 1;
}

int Main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: acaciahold_quickstart BINARY FOLDER\n";
    return 2;
  }
  Deployment deployment(argv[1], argv[2], {.enable_tracing = true});
  deployment.StartAll();
  std::cout << "started 6 entry hosts and 3 control hosts in 4 failure "
               "domains; logs and traces are in "
            << argv[2] << "\n";
  if (!deployment.AwaitSettled(0, 6, seconds(15))) {
    return Fail("the entry hosts did not find each other");
  }
  int exit_code = 1;
  AwaitCondition(
      [&] {
        return (exit_code = deployment.ApplyTable(
                    TableYaml("fd1, fd2, fd3, fd4"))) == 0;
      },
      seconds(15));
  if (exit_code != 0 || !deployment.AwaitRevision(1, seconds(8))) {
    return Fail("the table did not come into force");
  }

  std::map<std::string, std::vector<Endpoint>> announce_to;
  std::vector<Endpoint> packet_endpoints;
  std::vector<Endpoint> request_endpoints;
  for (const auto& host : deployment.entry_hosts()) {
    announce_to[host.failure_domain].push_back(host.admin_endpoint);
    packet_endpoints.push_back(host.packet_endpoint);
    request_endpoints.push_back(host.request_endpoint);
  }
  UpstreamFleet fleet(announce_to, 2);
  FlowSimulator flow_simulator(
      packet_endpoints, deployment.LoopbackEndpoint(3, 250, 6000), kSeed);
  for (int i = 0; i < kFlowUpstreamCount; ++i) {
    auto upstream_endpoint =
        deployment.LoopbackEndpoint(4, i + 1, kUpstreamPort);
    auto domain = deployment.FailureDomainName(i % 4);
    flow_simulator.AddUpstream(
        {"stock-feed", kFeedService, upstream_endpoint, domain});
    fleet.Add({"stock-feed", domain, upstream_endpoint});
  }
  for (int i = 0; i < kOrderUpstreamCount + kReturnUpstreamCount; ++i) {
    bool is_order = i < kOrderUpstreamCount;
    auto upstream_endpoint =
        deployment.LoopbackEndpoint(5, i + 1, kUpstreamPort);
    fleet.Add({is_order ? "orders" : "returns",
               deployment.FailureDomainName(i % 4), upstream_endpoint, 3, 1,
               milliseconds(5), milliseconds(1000)});
  }
  size_t upstreams =
      kFlowUpstreamCount + kOrderUpstreamCount + kReturnUpstreamCount;
  if (!deployment.AwaitSettled(upstreams, 6, seconds(15))) {
    return Fail("the upstreams did not become known everywhere");
  }

  flow_simulator.AddFlows("stock-feed", kFeedService, kFlowCount,
                          milliseconds(8'000));
  bool are_open =
      AwaitCondition([&] { return flow_simulator.Report().open >= kFlowCount; },
                     milliseconds(30'000));
  std::cout << "opened " << flow_simulator.Report().open << " flows\n";
  if (!are_open) {
    return Fail("not every flow could be opened");
  }
  RequestLoad orders(request_endpoints, "/orders/new", kSeed);
  RequestLoad returns(request_endpoints, "/returns/batch", kSeed + 1);
  orders.Start(kOrdersPerSecond, milliseconds(10'000), true);
  returns.Start(kOrdersPerSecond / 10, milliseconds(10'000), true);
  Sleep(seconds(3));
  auto steady = flow_simulator.Report();
  double flow_imbalance = PeakOverMean(steady.open_by_upstream["stock-feed"]);

  std::cout << "taking fd4 out of service\n";
  flow_simulator.ExcludeDomain("fd4");
  if (deployment.ApplyTable(TableYaml("fd1, fd2, fd3")) != 0) {
    return Fail("the edit did not come into force in time");
  }
  Sleep(seconds(1));
  flow_simulator.TakeArrivalCount("fd4");
  Sleep(seconds(2));
  uint64_t packets_after_removal = flow_simulator.TakeArrivalCount("fd4");
  std::cout << "taking fd4 back into service\n";
  if (deployment.ApplyTable(TableYaml("fd1, fd2, fd3, fd4")) != 0) {
    return Fail("the edit did not come into force in time");
  }
  orders.AwaitCompletion();
  returns.AwaitCompletion();
  auto counts = CountOutcomes(orders.Orders());
  auto return_counts = CountOutcomes(returns.Orders());
  auto report = flow_simulator.Report();
  auto runs = fleet.CountRunsByUpstream("orders");
  std::map<std::string, uint64_t> by_upstream;
  for (size_t i = 0; i < runs.size(); ++i) {
    by_upstream[std::to_string(i)] = runs[i];
  }
  auto fleet_report = fleet.Report();
  unsigned long long refused = counts.refused;
  refused += return_counts.refused;
  unsigned long long other = counts.other;
  other += return_counts.other;
  std::printf("\nmeasures (seed %llu)\n",
              static_cast<unsigned long long>(kSeed));
  std::printf(
      "  broken flows           %llu of %llu (moved %llu, reset %llu, stalled "
      "%llu); %llu given up with fd4\n",
      static_cast<unsigned long long>(report.Broken()),
      static_cast<unsigned long long>(report.opened),
      static_cast<unsigned long long>(report.broken_moved),
      static_cast<unsigned long long>(report.broken_reset),
      static_cast<unsigned long long>(report.broken_stalled),
      static_cast<unsigned long long>(report.excluded));
  std::printf("  packets at a wrong service  %llu, changed on the way %llu\n",
              static_cast<unsigned long long>(report.wrong_service),
              static_cast<unsigned long long>(report.corrupted));
  std::printf(
      "  imbalance, peak over mean   open flows %.3f, orders run %.3f\n",
      flow_imbalance, PeakOverMean(by_upstream));
  std::printf(
      "  service while fd4 left and returned: %llu orders and %llu returns "
      "answered, %llu refused, %llu otherwise; packets in fd4 after it left "
      "%llu\n",
      static_cast<unsigned long long>(counts.answered),
      static_cast<unsigned long long>(return_counts.answered), refused, other,
      static_cast<unsigned long long>(packets_after_removal));
  std::printf(
      "  requests run twice %llu, beyond an upstream's slots %llu\n",
      static_cast<unsigned long long>(fleet_report.requests_run_twice),
      static_cast<unsigned long long>(fleet_report.requests_over_capacity));
  for (auto& host : deployment.entry_hosts()) {
    host.process->Signal(SIGTERM);
  }
  int unclean_exits = 0;
  for (auto& host : deployment.entry_hosts()) {
    unclean_exits += host.process->Wait() != 0;
  }
  for (auto& host : deployment.control_hosts()) {
    host.process->Signal(SIGTERM);
    unclean_exits += host.process->Wait() != 0;
  }
  std::printf("  hosts that did not exit cleanly %d\n", unclean_exits);
  bool passed = report.Broken() == 0 && report.wrong_service == 0 &&
                packets_after_removal == 0 &&
                counts.other + return_counts.other == 0 &&
                fleet_report.requests_run_twice == 0 && unclean_exits == 0;
  std::cout << (passed ? "all promises held\n" : "FAILED\n");
  return passed ? 0 : 1;
}

}  // namespace
}  // namespace acaciahold::standins

int main(int argc, char** argv) {
  return acaciahold::standins::Main(argc, argv);
}
