// A deployment with a flow service and a request service, as most end-to-end
// tests need it.

#ifndef ACACIAHOLD_TEST_END_TO_END_SCENARIO_H_
#define ACACIAHOLD_TEST_END_TO_END_SCENARIO_H_

#include <memory>
#include <string>

#include "deployment.h"
#include "flow_lab.h"
#include "packet_scenario.h"
#include "upstream_fleet.h"

namespace acaciahold::standins {

inline constexpr Endpoint kFeed{(10U << 24U) | (9U << 16U) | 1U, 7000};
inline constexpr Endpoint kPhones{(10U << 24U) | (9U << 16U) | 4U, 7100};

struct ScenarioOptions {
  Layout layout;
  int flow_upstreams = 4;
  int order_upstreams = 0;
  std::chrono::milliseconds service_time{5};
  uint64_t seed = 1;
};

// The rows feed, phones (flows) and orders (requests) in these domains.
std::string ScenarioTable(const std::string& domains);

class Scenario {
 public:
  // Starts everything and waits until it serves; throws if it does not.
  explicit Scenario(const std::string& name, const ScenarioOptions& options);

  std::vector<Endpoint> RequestEndpoints();

  std::unique_ptr<Deployment> deployment;
  std::unique_ptr<UpstreamFleet> fleet;
  std::unique_ptr<FlowLab> lab;
};

// A deployment of hosts that find their group from seeds, in the network that
// ACACIAHOLD_TEST_NETWORK names.
PacketScenarioOptions MakePacketOptions(const std::string& name);

// The acaciahold binary under test.
std::string BinaryPath();
// A folder for this test's files.
std::string TestFolder(const std::string& name);

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_END_TO_END_SCENARIO_H_
