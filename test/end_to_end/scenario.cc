// Starting of the usual deployment.

#include "scenario.h"

#include <cstdlib>
#include <filesystem>
#include <stdexcept>

#include <unistd.h>

namespace acaciahold::standins {
namespace {

constexpr uint16_t kUpstreamPort = 7000;
constexpr std::chrono::seconds kStartTimeout{20};

void Require(bool holds, const std::string& what) {
  if (!holds) {
    throw std::runtime_error(what);
  }
}

std::string Row(const std::string& name,
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

std::string ScenarioTable(const std::string& domains) {
  return "services:\n" + Row("feed", "flow", kFeed, domains) +
         Row("phones", "flow", kPhones, domains) +
         Row("orders", "request", {(10U << 24U) | 2U, 80}, domains);
}

Scenario::Scenario(const std::string& name, const ScenarioOptions& options)
    : deployment(std::make_unique<Deployment>(BinaryPath(),
                                              TestFolder(name),
                                              options.layout)) {
  deployment->StartAll();
  auto hosts = static_cast<size_t>(options.layout.entry_hosts);
  Require(deployment->AwaitSettled(0, hosts, kStartTimeout),
          "entry hosts find each other");
  std::string domains;
  for (int i = 0; i < options.layout.failure_domains; ++i) {
    domains += (i ? ", " : "") + deployment->DomainName(i);
  }
  Require(
      AwaitCondition(
          [&] { return deployment->ApplyTable(ScenarioTable(domains)) == 0; },
          kStartTimeout),
      "the first table is accepted");
  Require(deployment->AwaitRevision(1, kStartTimeout),
          "the first table is in force");
  std::map<std::string, std::vector<Endpoint>> announce_to;
  std::vector<Endpoint> packets;
  for (const auto& host : deployment->entries()) {
    announce_to[host.failure_domain].push_back(host.admin);
    packets.push_back(host.packets);
  }
  fleet = std::make_unique<UpstreamFleet>(announce_to, 2);
  lab = std::make_unique<FlowLab>(
      packets, deployment->StandinAddress(3, 250, 6000), options.seed);
  int domain_count = options.layout.failure_domains;
  for (int i = 0; i < options.flow_upstreams; ++i) {
    auto domain = deployment->DomainName(i % domain_count);
    auto feed = deployment->StandinAddress(4, i + 1, kUpstreamPort);
    auto phones = deployment->StandinAddress(6, i + 1, kUpstreamPort);
    lab->AddUpstream({"feed", kFeed, feed, domain});
    lab->AddUpstream({"phones", kPhones, phones, domain});
    fleet->Add({"feed", domain, feed});
    fleet->Add({"phones", domain, phones});
  }
  for (int i = 0; i < options.order_upstreams; ++i) {
    fleet->Add({"orders", deployment->DomainName(i % domain_count),
                deployment->StandinAddress(5, i + 1, kUpstreamPort), 3, 1,
                options.service_time, std::chrono::milliseconds(500)});
  }
  auto upstreams = static_cast<size_t>(options.flow_upstreams) * 2 +
                   static_cast<size_t>(options.order_upstreams);
  Require(deployment->AwaitSettled(upstreams, hosts, kStartTimeout),
          "upstreams are known everywhere");
}

std::vector<Endpoint> Scenario::RequestEndpoints() {
  std::vector<Endpoint> endpoints;
  for (const auto& host : deployment->entries()) {
    endpoints.push_back(host.requests);
  }
  return endpoints;
}

}  // namespace acaciahold::standins
