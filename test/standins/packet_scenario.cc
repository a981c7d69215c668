// Starts a deployment on loopback and changes its configuration.

#include "packet_scenario.h"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace acaciahold::standins {
namespace {

using std::chrono::milliseconds;

constexpr int kCallerSubnet = 2;
constexpr int kUpstreamSubnet = 3;
constexpr uint16_t kUpstreamPort = 8'080;
constexpr Endpoint kListener{(198U << 24U) | (18U << 16U) | 1U, 443};
constexpr const char* kService = "orders";
// The listeners of has_other_classes have the ports that follow kListener's.
constexpr std::array kOtherTerms{
    R"("kind":"unsafe","timeoutMs":2000,"goalMs":250,"priority":0,)",
    R"("kind":"safe","timeoutMs":1500,"goalMs":300,"priority":5,)",
    R"("timeoutMs":2000,)",
};
// Few, so that all requests together keep a part of the slots busy.
constexpr int kOtherLongFlows = 4;
constexpr int kOtherShortFlows = 1;

Endpoint OtherListener(size_t i) {
  return {kListener.address, static_cast<uint16_t>(kListener.port + 1 + i)};
}
// The platform requires that a configuration change is acknowledged within this
// time.
constexpr milliseconds kAcknowledgeTimeout{5'000};

// Returns the id of an upstream. Its decimal digits, which are read as hex,
// have two equal halves of 8. Guards against flows that go to the wrong one of
// two upstreams whose ids have the same XOR of their halves: all of these have.
uint64_t MakeUpstreamId(uint64_t number) {
  constexpr uint64_t kHalf = 100'000'000;
  return number * kHalf + number;
}

}  // namespace

PacketScenario::PacketScenario(PacketScenarioOptions options)
    : fleet(std::make_unique<NodeFleet>(io, options.fleet)),
      options_(std::move(options)) {
  fabric = std::make_unique<Fabric>(io, fleet->client(), fleet->EntryHosts(),
                                    options_.seed);
  fleet->StartAll();
  fabric->Start();
  for (int i = 0; i < options_.upstream_count; ++i) {
    AddUpstream(i);
  }
  bool is_ready = false;
  for (int i = 0; i < 3 && !is_ready; ++i) {
    is_ready = ChangeConfig(0);
  }
  size_t entry_host_count = fleet->EntryHosts().size();
  is_ready = is_ready && Await(milliseconds(10'000), [&] {
               return fabric->CountReady() == entry_host_count;
             });
  if (!is_ready) {
    throw std::runtime_error(
        "the fleet did not acknowledge the first configuration, or its entry "
        "hosts did not become ready within 10 s");
  }
  PacketCallers::Options callers_options;
  callers_options.endpoint =
      fleet->LoopbackEndpoint(kCallerSubnet, 1, fleet->caller_port());
  callers_options.listener = kListener;
  callers_options.long_flow_count = options_.long_flow_count;
  callers_options.short_flow_count = options_.short_flow_count;
  callers_options.request_timeout = options_.request_timeout;
  callers_options.seed = options_.seed;
  callers = std::make_unique<PacketCallers>(io, *fabric, callers_options);
  callers->Start();
  StartCallersOfOtherClasses();
}

void PacketScenario::StartCallersOfOtherClasses() {
  for (size_t i = 0; options_.has_other_classes && i < kOtherTerms.size();
       ++i) {
    PacketCallers::Options options;
    options.endpoint = fleet->LoopbackEndpoint(
        kCallerSubnet, static_cast<int>(2 + i), fleet->caller_port());
    options.listener = OtherListener(i);
    options.long_flow_count = kOtherLongFlows;
    options.short_flow_count = kOtherShortFlows;
    options.request_timeout = options_.request_timeout;
    options.seed = options_.seed + i + 1;
    other_callers.push_back(
        std::make_unique<PacketCallers>(io, *fabric, options));
    other_callers.back()->Start();
  }
}

PacketUpstream& PacketScenario::Add(uint64_t id,
                                    int domain_index,
                                    Endpoint endpoint) {
  PacketUpstream::Options options;
  options.id = id;
  options.service = kService;
  options.failure_domain = "fd" + std::to_string(domain_index % 3 + 1);
  options.endpoint = endpoint;
  options.caller_port = fleet->caller_port();
  options.start_time_ms = next_start_time_ms_++;
  options.control_endpoints = fleet->ControlEndpoints();
  auto& upstream = upstreams.emplace_back(io, fleet->client(), options);
  upstream.SetResponseDelay(options_.response_delay);
  upstream.Start();
  return upstream;
}

PacketUpstream& PacketScenario::AddUpstream(int domain_index) {
  return Add(MakeUpstreamId(next_upstream_number_++), domain_index,
             fleet->LoopbackEndpoint(
                 kUpstreamSubnet, next_upstream_host_number_++, kUpstreamPort));
}

PacketUpstream& PacketScenario::RestartUpstream(const PacketUpstream& old) {
  int domain_index = old.options().failure_domain.back() - '1';
  return Add(old.options().id, domain_index, old.options().endpoint);
}

bool PacketScenario::Await(milliseconds timeout,
                           const std::function<bool()>& condition) {
  Instant deadline = ReadClock() + Duration(timeout);
  while (!condition()) {
    if (ReadClock() >= deadline) {
      return false;
    }
    fleet->RunFor(milliseconds(20));
  }
  return true;
}

bool PacketScenario::ChangeConfig(int extra_listener_count) {
  std::vector<RouteSpec> listeners{{kListener, kService, options_.terms}};
  for (size_t i = 0; options_.has_other_classes && i < kOtherTerms.size();
       ++i) {
    listeners.push_back({OtherListener(i), kService, kOtherTerms[i]});
  }
  for (int i = 0; i < extra_listener_count; ++i) {
    listeners.push_back(
        {Endpoint{kListener.address, static_cast<uint16_t>(1'000 + i)},
         kService});
  }
  auto config = MakeConfig(++version_, listeners);
  auto status = fleet->SendOperatorRequest(http::Verb::put, "/-/config", config,
                                           kAcknowledgeTimeout);
  bool is_acknowledged = status == 200U;
  if (is_acknowledged) {
    config_ = config;
  }
  return is_acknowledged;
}

bool HasUpstreamCrashed(const PacketScenario& scenario,
                        const CallerReset& reset) {
  return std::any_of(scenario.upstreams.begin(), scenario.upstreams.end(),
                     [&](const PacketUpstream& it) {
                       return it.HasOpened(reset.flow) && it.crashed_at() &&
                              *it.crashed_at() <= reset.at;
                     });
}

}  // namespace acaciahold::standins
