// Setting up a deployment on loopback.

#include "packet_scenario.h"

#include <stdexcept>

namespace acaciahold::standins {
namespace {

using std::chrono::milliseconds;

constexpr int kCallerGroup = 2;
constexpr int kUpstreamGroup = 3;
constexpr uint16_t kUpstreamPort = 8'080;
constexpr Endpoint kListener{(198U << 24U) | (18U << 16U) | 1U, 443};
constexpr const char* kService = "orders";
// As the platform asks for: an order has its acknowledgement within this.
constexpr milliseconds kAcknowledgeTimeout{5'000};

}  // namespace

PacketScenario::PacketScenario(PacketScenarioOptions options)
    : fleet(std::make_unique<NodeFleet>(io, options.fleet)),
      options_(std::move(options)) {
  fabric = std::make_unique<Fabric>(io, fleet->client(), fleet->EntryHosts(),
                                    options_.seed);
  fleet->StartAll();
  fabric->Start();
  for (int i = 0; i < options_.upstreams; ++i) {
    AddUpstream(i);
  }
  bool is_up = false;
  for (int i = 0; i < 3 && !is_up; ++i) {
    is_up = ChangeConfig(0);
  }
  size_t entries = fleet->EntryHosts().size();
  is_up = is_up && Await(milliseconds(10'000),
                         [&] { return fabric->CountReady() == entries; });
  if (!is_up) {
    throw std::runtime_error("the fleet does not get ready");
  }
  PacketCallers::Options callers_options;
  callers_options.own = fleet->At(kCallerGroup, 1, fleet->callers_port());
  callers_options.listener = kListener;
  callers_options.long_flows = options_.long_flows;
  callers_options.short_flows = options_.short_flows;
  callers_options.request_timeout = options_.request_timeout;
  callers_options.seed = options_.seed;
  callers = std::make_unique<PacketCallers>(io, *fabric, callers_options);
  callers->Start();
}

PacketUpstream& PacketScenario::Add(uint64_t id,
                                    int domain,
                                    Endpoint endpoint) {
  PacketUpstream::Options options;
  options.id = id;
  options.service = kService;
  options.failure_domain = "fd" + std::to_string(domain % 3 + 1);
  options.endpoint = endpoint;
  options.callers_port = fleet->callers_port();
  options.born_ms = next_born_ms_++;
  options.control = fleet->ControlEndpoints();
  auto& upstream = upstreams.emplace_back(io, fleet->client(), options);
  upstream.Start();
  return upstream;
}

PacketUpstream& PacketScenario::AddUpstream(int domain) {
  return Add(
      next_id_++, domain,
      fleet->At(kUpstreamGroup, next_upstream_address_++, kUpstreamPort));
}

PacketUpstream& PacketScenario::Restart(const PacketUpstream& old) {
  int domain = old.options().failure_domain.back() - '1';
  return Add(old.options().id, domain, old.options().endpoint);
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

bool PacketScenario::ChangeConfig(int further_listeners) {
  std::vector<std::pair<Endpoint, std::string>> listeners{
      {kListener, kService}};
  for (int i = 0; i < further_listeners; ++i) {
    listeners.emplace_back(
        Endpoint{kListener.address, static_cast<uint16_t>(1'000 + i)},
        kService);
  }
  auto config = MakeConfig(++version_, listeners);
  auto status =
      fleet->Order(http::Verb::put, "/-/config", config, kAcknowledgeTimeout);
  bool is_acknowledged = status == 200U;
  if (is_acknowledged) {
    config_ = config;
  }
  return is_acknowledged;
}

}  // namespace acaciahold::standins
