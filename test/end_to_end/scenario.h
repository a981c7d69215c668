// Sets up a deployment with two flow services and a request service for the
// end-to-end tests.

#ifndef ACACIAHOLD_TEST_END_TO_END_SCENARIO_H_
#define ACACIAHOLD_TEST_END_TO_END_SCENARIO_H_

#include <memory>
#include <string>

#include "deployment.h"
#include "flow_lab.h"
#include "packet_scenario.h"
#include "upstream_fleet.h"

namespace acaciahold::standins {

// Service endpoints of the flow services `feed` and `phones`.
inline constexpr Endpoint kFeedService{(10U << 24U) | (9U << 16U) | 1U, 7000};
inline constexpr Endpoint kPhonesService{(10U << 24U) | (9U << 16U) | 4U, 7100};

struct ScenarioOptions {
  DeploymentOptions deployment;
  int upstreams_per_flow_service = 4;
  int order_upstream_count = 0;
  std::chrono::milliseconds service_time{5};
  uint64_t seed = 1;
};

// Returns a table with the flow services feed and phones and the request
// service orders. `domains` is a comma-separated list of failure domains.
std::string ScenarioTableYaml(const std::string& domains);

class Scenario {
 public:
  // Starts the hosts and upstreams, applies the table and waits until all entry
  // hosts know the upstreams. Throws std::runtime_error on timeout.
  explicit Scenario(const std::string& name, const ScenarioOptions& options);

  // Returns where the entry hosts accept requests.
  std::vector<Endpoint> RequestEndpoints();

  std::unique_ptr<Deployment> deployment;
  std::unique_ptr<UpstreamFleet> fleet;
  std::unique_ptr<FlowSimulator> flow_simulator;
};

// Returns options for a deployment whose hosts discover their group from seed
// endpoints, with addresses in 127.N.0.0/16 where N is ACACIAHOLD_TEST_NETWORK.
PacketScenarioOptions MakePacketOptions(const std::string& name);

// Returns the path of the acaciahold binary under test.
std::string BinaryPath();
// Returns the path of a temporary folder for the files of this test process.
std::string TestFolder(const std::string& name);

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_END_TO_END_SCENARIO_H_
