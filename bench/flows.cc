// Measures broken flows, load imbalance and control traffic of two simulated
// deployments under planned changes and faults. Some scenarios also run with
// three baseline algorithms for comparison.
//
// Use: bench_flows [SCENARIO [SEED]], where SCENARIO is `all` (the default),
// one of the names in Main, or `single-` and one of the names in
// RunSingleChange. The seed is 1 by default.

#include <cstdio>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

#include "flow_model.h"

namespace acaciahold::bench {
namespace {

using std::chrono::seconds;

constexpr double kFullLoad = 0.95;
constexpr double kSteadyLoad = 0.8;

struct NamedMethod {
  Method method;
  const char* name;
};

constexpr NamedMethod kMethods[] = {{Method::kAcaciahold, "acaciahold"},
                                    {Method::kModulo, "modulo"},
                                    {Method::kRendezvous, "rendezvous"},
                                    {Method::kLocalTable, "local-table"}};

void PrintStats(const std::string& scenario,
                const std::string& deployment,
                const char* method,
                uint64_t seed,
                uint64_t open,
                RunStats stats) {
  std::printf(
      "%-22s %-8s %-11s seed %-3llu open %6llu  broken %6llu (moved %llu reset "
      "%llu stalled %llu) wrong-service %llu lost %llu refused %llu over-limit "
      "%llu  control B/s mean %.0f worst second %.0f\n",
      scenario.c_str(), deployment.c_str(), method,
      static_cast<unsigned long long>(seed),
      static_cast<unsigned long long>(open),
      static_cast<unsigned long long>(stats.BrokenFlows()),
      static_cast<unsigned long long>(stats.moved),
      static_cast<unsigned long long>(stats.reset),
      static_cast<unsigned long long>(stats.stalled),
      static_cast<unsigned long long>(stats.wrong_service_packets),
      static_cast<unsigned long long>(stats.lost),
      static_cast<unsigned long long>(stats.refused_openings),
      static_cast<unsigned long long>(stats.over_limit),
      stats.control_bytes_per_second_mean, stats.control_bytes_per_second_max);
  std::fflush(stdout);
}

// Runs a scenario with acaciahold and, if `with_baselines`, with each baseline.
void RunForMethods(const std::string& name,
                   const DeploymentSpec& spec,
                   uint64_t seed,
                   bool with_baselines,
                   const std::function<void(FlowModel&)>& scenario) {
  for (const auto& method : kMethods) {
    if (method.method != Method::kAcaciahold && !with_baselines) {
      continue;
    }
    FlowModel model(spec, method.method, seed);
    model.EstablishFlows();
    model.ResetStats();
    scenario(model);
    PrintStats(name, spec.name, method.name, seed, model.CountOpenFlows(),
               model.CollectStats());
  }
}

void RunThirtyPlannedChanges(FlowModel& model) {
  for (uint64_t i = 0; i < 30; ++i) {
    model.ApplyPlannedChange(i);
    model.Run(seconds(4));
  }
  model.Run(seconds(10));
}

void RunManyPlannedChanges(FlowModel& model) {
  for (uint64_t i = 0; i < 300; ++i) {
    // Only the three changes that leave the hosts up. One host is restarted at
    // the end.
    model.ApplyPlannedChange(i % 3);
    model.Run(seconds(1));
  }
  model.RestartHost();
  model.Run(seconds(20));
}

void RunHostCrash(FlowModel& model) {
  for (uint64_t i = 0; i < 10; ++i) {
    model.ApplyPlannedChange(i);
    model.Run(seconds(2));
  }
  model.CrashHost();
  model.Run(seconds(20));
}

void RunSecondHostCrash(FlowModel& model) {
  for (uint64_t i = 0; i < 10; ++i) {
    model.ApplyPlannedChange(i % 3);
    model.Run(seconds(2));
  }
  size_t first = model.CrashHost();
  model.Run(seconds(5));
  model.RestartCrashedHost(first);
  model.Run(seconds(2));
  model.CrashHost();
  model.Run(seconds(20));
}

void RunPartition(FlowModel& model) {
  model.SetDomainPartitioned("fd1", true);
  for (uint64_t i = 0; i < 12; ++i) {
    model.ApplyPlannedChange(i % 3);
    model.Run(seconds(5));
  }
  model.SetDomainPartitioned("fd1", false);
  model.Run(seconds(20));
}

void RunLimitsUnderFaults(FlowModel& model) {
  model.CrashHost();
  model.Run(seconds(5));
  model.AddColdUpstream();
  model.Run(seconds(5));
  model.CrashHost();
  model.SetDomainPartitioned("fd2", true);
  model.Run(seconds(20));
  model.AddColdUpstream();
  model.SetDomainPartitioned("fd2", false);
  model.Run(seconds(20));
}

void MeasureSteadyLoad(const DeploymentSpec& spec, uint64_t seed) {
  FlowModel model(spec, Method::kAcaciahold, seed);
  model.EstablishFlows();
  model.ResetStats();
  double max_imbalance[2] = {0, 0};
  for (int i = 0; i < 120; ++i) {
    model.Run(seconds(1));
    for (size_t s = 0; s < 2; ++s) {
      max_imbalance[s] = std::max(max_imbalance[s], model.Imbalance(s));
    }
  }
  std::printf(
      "steady %-8s seed %llu: open %llu, worst peak over mean of open flows: "
      "main %.3f archive %.3f\n",
      spec.name.c_str(), static_cast<unsigned long long>(seed),
      static_cast<unsigned long long>(model.CountOpenFlows()), max_imbalance[0],
      max_imbalance[1]);
  PrintStats("steady", spec.name, "acaciahold", seed, model.CountOpenFlows(),
             model.CollectStats());
}

void MeasureImbalanceOverChanges(const DeploymentSpec& spec, uint64_t seed) {
  FlowModel model(spec, Method::kAcaciahold, seed);
  model.EstablishFlows();
  auto print_imbalance = [&](const char* label) {
    std::printf("course %-8s %-16s peak over mean %.3f open %llu\n",
                spec.name.c_str(), label, model.Imbalance(0),
                static_cast<unsigned long long>(model.CountOpenFlows()));
  };
  print_imbalance("start");
  model.DrainUpstream();
  model.Run(seconds(30));
  print_imbalance("drain +30 s");
  model.AddColdUpstream();
  model.Run(seconds(30));
  print_imbalance("cold join +30 s");
  model.Run(seconds(60));
  print_imbalance("cold join +90 s");
  model.SetDomainOutOfService("fd2", true);
  model.Run(seconds(10));
  print_imbalance("fd2 out +10 s");
  model.SetDomainOutOfService("fd2", false);
  model.Run(seconds(30));
  print_imbalance("fd2 back +30 s");
}

// Applies a single change and prints why each host dropped or refused packets,
// to find the cause of broken flows.
void RunSingleChange(const std::string& change, uint64_t seed) {
  FlowModel model(KitamiSpec(kSteadyLoad / 4), Method::kAcaciahold, seed);
  model.EstablishFlows();
  model.ResetStats();
  if (change == "drain") {
    model.DrainUpstream();
  } else if (change == "join") {
    model.AddColdUpstream();
  } else if (change == "weight") {
    model.ChangeWeight();
  } else if (change == "restart") {
    model.RestartHost();
  } else if (change == "replace") {
    model.ReplaceHost();
  } else if (change == "kill") {
    model.CrashHost();
  }
  model.Run(seconds(20));
  PrintStats("single " + change, "Kitami/4", "acaciahold", seed,
             model.CountOpenFlows(), model.CollectStats());
  model.PrintHostCounters();
}

int Main(int argc, char** argv) {
  uint64_t seed = argc > 2 ? std::stoull(argv[2]) : 1;
  if (argc > 1 && std::string(argv[1]).starts_with("single-")) {
    RunSingleChange(std::string(argv[1]).substr(7), seed);
    return 0;
  }
  std::string selected = argc > 1 ? argv[1] : "all";
  bool is_all = selected == "all";
  for (const auto& make_spec : {InyangeSpec, KitamiSpec}) {
    if (is_all || selected == "steady") {
      MeasureSteadyLoad(make_spec(kSteadyLoad), seed);
    }
    if (is_all || selected == "course") {
      MeasureImbalanceOverChanges(make_spec(kSteadyLoad), seed);
    }
    if (is_all || selected == "changes") {
      RunForMethods("30-changes", make_spec(kFullLoad), seed, true,
                    RunThirtyPlannedChanges);
    }
    if (is_all || selected == "many") {
      RunForMethods("300-changes", make_spec(kFullLoad), seed, false,
                    RunManyPlannedChanges);
    }
    if (is_all || selected == "lost") {
      RunForMethods("one-host-lost", make_spec(kFullLoad), seed, true,
                    RunHostCrash);
    }
    if (is_all || selected == "second") {
      RunForMethods("second-host-lost", make_spec(kFullLoad), seed, true,
                    RunSecondHostCrash);
    }
    if (is_all || selected == "partition") {
      RunForMethods("partition-60s", make_spec(kSteadyLoad), seed, true,
                    RunPartition);
    }
    if (is_all || selected == "limits") {
      RunForMethods("limits-under-faults", make_spec(kFullLoad), seed, false,
                    RunLimitsUnderFaults);
    }
  }
  return 0;
}

}  // namespace
}  // namespace acaciahold::bench

int main(int argc, char** argv) {
  return acaciahold::bench::Main(argc, argv);
}
