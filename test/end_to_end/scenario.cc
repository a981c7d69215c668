// Starts the deployment of the end-to-end tests.

#include "scenario.h"

#include <cstdlib>
#include <filesystem>
#include <stdexcept>

#include <unistd.h>

namespace acaciahold::standins {
namespace {

constexpr uint16_t kUpstreamPort = 7000;
constexpr std::chrono::seconds kStartTimeout{20};

void ThrowUnless(bool condition, const std::string& error) {
  if (!condition) {
    throw std::runtime_error(error);
  }
}

std::string ServiceYaml(const std::string& name,
                        const std::string& kind,
                        Endpoint address,
                        const std::string& domains) {
  return "  - name: " + name + "\n    kind: " + kind + "\n    address: \"" +
         FormatEndpoint(address) +
         "\"\n    limits: {slots: 3, connections: 2000, cold: 100}\n"
         "    failure_domains: [" +
         domains + "]\n    idle_seconds: 30\n";
}

}  // namespace

PacketScenarioOptions MakePacketOptions(const std::string& name) {
  PacketScenarioOptions options;
  options.fleet.binary = BinaryPath();
  options.fleet.folder = TestFolder(name);
  if (const char* network = std::getenv("ACACIAHOLD_TEST_NETWORK")) {
    options.fleet.network = std::atoi(network);
  }
  return options;
}

std::string BinaryPath() {
  return ACACIAHOLD_BINARY;
}

std::string TestFolder(const std::string& name) {
  return (std::filesystem::temp_directory_path() /
          ("acaciahold-" + name + "-" + std::to_string(::getpid())))
      .string();
}

std::string ScenarioTableYaml(const std::string& domains) {
  return "services:\n" + ServiceYaml("feed", "flow", kFeedService, domains) +
         ServiceYaml("phones", "flow", kPhonesService, domains) +
         ServiceYaml("orders", "request", {(10U << 24U) | 2U, 80}, domains);
}

Scenario::Scenario(const std::string& name, const ScenarioOptions& options)
    : deployment(std::make_unique<Deployment>(BinaryPath(),
                                              TestFolder(name),
                                              options.deployment)) {
  deployment->StartAll();
  auto hosts = static_cast<size_t>(options.deployment.entry_host_count);
  ThrowUnless(deployment->AwaitSettled(0, hosts, kStartTimeout),
              "the entry hosts did not discover each other within 20 s");
  std::string domains;
  for (int i = 0; i < options.deployment.failure_domain_count; ++i) {
    domains += (i ? ", " : "") + deployment->FailureDomainName(i);
  }
  ThrowUnless(AwaitCondition(
                  [&] {
                    return deployment->ApplyTable(ScenarioTableYaml(domains)) ==
                           0;
                  },
                  kStartTimeout),
              "the first table was not accepted within 20 s");
  ThrowUnless(
      deployment->AwaitRevision(1, kStartTimeout),
      "the first table did not take effect on all entry hosts within 20 s");
  std::map<std::string, std::vector<Endpoint>> announce_to;
  std::vector<Endpoint> packet_endpoints;
  for (const auto& host : deployment->entry_hosts()) {
    announce_to[host.failure_domain].push_back(host.admin_endpoint);
    packet_endpoints.push_back(host.packet_endpoint);
  }
  fleet = std::make_unique<UpstreamFleet>(announce_to, 2);
  flow_simulator = std::make_unique<FlowSimulator>(
      packet_endpoints, deployment->LoopbackEndpoint(3, 250, 6000),
      options.seed);
  int domain_count = options.deployment.failure_domain_count;
  for (int i = 0; i < options.upstreams_per_flow_service; ++i) {
    auto domain = deployment->FailureDomainName(i % domain_count);
    auto feed = deployment->LoopbackEndpoint(4, i + 1, kUpstreamPort);
    auto phones = deployment->LoopbackEndpoint(6, i + 1, kUpstreamPort);
    flow_simulator->AddUpstream({"feed", kFeedService, feed, domain});
    flow_simulator->AddUpstream({"phones", kPhonesService, phones, domain});
    fleet->Add({"feed", domain, feed});
    fleet->Add({"phones", domain, phones});
  }
  for (int i = 0; i < options.order_upstream_count; ++i) {
    fleet->Add({"orders", deployment->FailureDomainName(i % domain_count),
                deployment->LoopbackEndpoint(5, i + 1, kUpstreamPort), 3, 1,
                options.service_time, std::chrono::milliseconds(500)});
  }
  auto upstreams = static_cast<size_t>(options.upstreams_per_flow_service) * 2 +
                   static_cast<size_t>(options.order_upstream_count);
  ThrowUnless(deployment->AwaitSettled(upstreams, hosts, kStartTimeout),
              "not all entry hosts learned of the upstreams within 20 s");
}

std::vector<Endpoint> Scenario::RequestEndpoints() {
  std::vector<Endpoint> endpoints;
  for (const auto& host : deployment->entry_hosts()) {
    endpoints.push_back(host.request_endpoint);
  }
  return endpoints;
}

}  // namespace acaciahold::standins
