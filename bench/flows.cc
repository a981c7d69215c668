// Measures broken flows, imbalance and control traffic of both deployments
// under planned changes and faults, side by side with three baselines.

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

void Print(const std::string& scenario,
           const std::string& deployment,
           const char* method,
           uint64_t seed,
           uint64_t open,
           Tally tally) {
  std::printf(
      "%-22s %-8s %-11s seed %-3llu open %6llu  broken %6llu (moved %llu reset "
      "%llu stalled %llu) wrong-service %llu lost %llu refused %llu over-limit "
      "%llu  control B/s mean %.0f worst second %.0f\n",
      scenario.c_str(), deployment.c_str(), method,
      static_cast<unsigned long long>(seed),
      static_cast<unsigned long long>(open),
      static_cast<unsigned long long>(tally.Broken()),
      static_cast<unsigned long long>(tally.moved),
      static_cast<unsigned long long>(tally.reset),
      static_cast<unsigned long long>(tally.stalled),
      static_cast<unsigned long long>(tally.wrong_service),
      static_cast<unsigned long long>(tally.lost),
      static_cast<unsigned long long>(tally.refused),
      static_cast<unsigned long long>(tally.over_limit), tally.control_mean,
      tally.control_worst);
  std::fflush(stdout);
}

// Runs a scenario for every method.
void Compare(const std::string& name,
             const DeploymentSpec& spec,
             uint64_t seed,
             bool with_baselines,
             const std::function<void(FlowModel&)>& scenario) {
  for (const auto& method : kMethods) {
    if (method.method != Method::kAcaciahold && !with_baselines) {
      continue;
    }
    FlowModel model(spec, method.method, seed);
    model.Open();
    model.ResetControlBytes();
    scenario(model);
    Print(name, spec.name, method.name, seed, model.OpenFlows(),
          model.Totals());
  }
}

void ThirtyChanges(FlowModel& model) {
  for (uint64_t i = 0; i < 30; ++i) {
    model.PlannedChange(i);
    model.Run(seconds(4));
  }
  model.Run(seconds(10));
}

void ManyChanges(FlowModel& model) {
  for (uint64_t i = 0; i < 300; ++i) {
    // Hosts stay up; one is restarted only at the end.
    model.PlannedChange(i % 3);
    model.Run(seconds(1));
  }
  model.RestartHost();
  model.Run(seconds(20));
}

void OneLost(FlowModel& model) {
  for (uint64_t i = 0; i < 10; ++i) {
    model.PlannedChange(i);
    model.Run(seconds(2));
  }
  model.KillHost();
  model.Run(seconds(20));
}

void TwoLost(FlowModel& model) {
  for (uint64_t i = 0; i < 10; ++i) {
    model.PlannedChange(i % 3);
    model.Run(seconds(2));
  }
  size_t first = model.KillHost();
  model.Run(seconds(5));
  model.ReviveHost(first);
  model.Run(seconds(2));
  model.KillHost();
  model.Run(seconds(20));
}

void Partition(FlowModel& model) {
  model.CutDomain("fd1", true);
  for (uint64_t i = 0; i < 12; ++i) {
    model.PlannedChange(i % 3);
    model.Run(seconds(5));
  }
  model.CutDomain("fd1", false);
  model.Run(seconds(20));
}

void LimitsUnderFaults(FlowModel& model) {
  model.KillHost();
  model.Run(seconds(5));
  model.Join();
  model.Run(seconds(5));
  model.KillHost();
  model.CutDomain("fd2", true);
  model.Run(seconds(20));
  model.Join();
  model.CutDomain("fd2", false);
  model.Run(seconds(20));
}

void Steady(const DeploymentSpec& spec, uint64_t seed) {
  FlowModel model(spec, Method::kAcaciahold, seed);
  model.Open();
  model.ResetControlBytes();
  double worst[2] = {0, 0};
  for (int i = 0; i < 120; ++i) {
    model.Run(seconds(1));
    for (size_t s = 0; s < 2; ++s) {
      worst[s] = std::max(worst[s], model.Imbalance(s));
    }
  }
  std::printf(
      "steady %-8s seed %llu: open %llu, worst peak over mean of open flows: "
      "main %.3f archive %.3f\n",
      spec.name.c_str(), static_cast<unsigned long long>(seed),
      static_cast<unsigned long long>(model.OpenFlows()), worst[0], worst[1]);
  Print("steady", spec.name, "acaciahold", seed, model.OpenFlows(),
        model.Totals());
}

void Course(const DeploymentSpec& spec, uint64_t seed) {
  FlowModel model(spec, Method::kAcaciahold, seed);
  model.Open();
  auto show = [&](const char* what) {
    std::printf("course %-8s %-16s peak over mean %.3f open %llu\n",
                spec.name.c_str(), what, model.Imbalance(0),
                static_cast<unsigned long long>(model.OpenFlows()));
  };
  show("start");
  model.Drain();
  model.Run(seconds(30));
  show("drain +30 s");
  model.Join();
  model.Run(seconds(30));
  show("cold join +30 s");
  model.Run(seconds(60));
  show("cold join +90 s");
  model.TakeDomain("fd2", true);
  model.Run(seconds(10));
  show("fd2 out +10 s");
  model.TakeDomain("fd2", false);
  model.Run(seconds(30));
  show("fd2 back +30 s");
}

// One change alone, for finding causes: prints why packets were not forwarded.
void Single(const std::string& what, uint64_t seed) {
  FlowModel model(Kitami(kSteadyLoad / 4), Method::kAcaciahold, seed);
  model.Open();
  model.ResetControlBytes();
  if (what == "drain") {
    model.Drain();
  } else if (what == "join") {
    model.Join();
  } else if (what == "weight") {
    model.ChangeWeight();
  } else if (what == "restart") {
    model.RestartHost();
  } else if (what == "replace") {
    model.ReplaceHost();
  } else if (what == "kill") {
    model.KillHost();
  }
  model.Run(seconds(20));
  Print("single " + what, "Kitami/4", "acaciahold", seed, model.OpenFlows(),
        model.Totals());
  model.PrintReasons();
}

int Main(int argc, char** argv) {
  uint64_t seed = argc > 2 ? std::stoull(argv[2]) : 1;
  if (argc > 1 && std::string(argv[1]).starts_with("single-")) {
    Single(std::string(argv[1]).substr(7), seed);
    return 0;
  }
  std::string only = argc > 1 ? argv[1] : "all";
  bool is_all = only == "all";
  for (const auto& make : {Inyange, Kitami}) {
    if (is_all || only == "steady") {
      Steady(make(kSteadyLoad), seed);
    }
    if (is_all || only == "course") {
      Course(make(kSteadyLoad), seed);
    }
    if (is_all || only == "changes") {
      Compare("30-changes", make(kFullLoad), seed, true, ThirtyChanges);
    }
    if (is_all || only == "many") {
      Compare("300-changes", make(kFullLoad), seed, false, ManyChanges);
    }
    if (is_all || only == "lost") {
      Compare("one-host-lost", make(kFullLoad), seed, true, OneLost);
    }
    if (is_all || only == "second") {
      Compare("second-host-lost", make(kFullLoad), seed, true, TwoLost);
    }
    if (is_all || only == "partition") {
      Compare("partition-60s", make(kSteadyLoad), seed, true, Partition);
    }
    if (is_all || only == "limits") {
      Compare("limits-under-faults", make(kFullLoad), seed, false,
              LimitsUnderFaults);
    }
  }
  return 0;
}

}  // namespace
}  // namespace acaciahold::bench

int main(int argc, char** argv) {
  return acaciahold::bench::Main(argc, argv);
}
