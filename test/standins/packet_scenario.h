// Sets up a deployment on loopback with simulated callers, fabric and upstreams
// of the platform, for the end-to-end tests and the soak test.

#ifndef ACACIAHOLD_TEST_STANDINS_PACKET_SCENARIO_H_
#define ACACIAHOLD_TEST_STANDINS_PACKET_SCENARIO_H_

#include <list>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "node_fleet.h"
#include "packet_callers.h"
#include "packet_world.h"

namespace acaciahold::standins {

struct PacketScenarioOptions {
  FleetOptions fleet;
  int upstream_count = 6;  // Distributed over three failure domains.
  int long_flow_count = 30;
  int short_flow_count = 4;
  // See PacketCallers::Options.
  std::chrono::milliseconds request_timeout{8'000};
  std::string terms = RouteSpec().terms;  // Of the listener; see RouteSpec.
  // Adds three listeners of the same service, with few callers each: urgent
  // requests that may run once, less urgent ones that may be repeated, and one
  // that doesn't say whether requests may be repeated.
  bool has_other_classes = false;
  std::chrono::milliseconds response_delay{0};
  uint64_t seed = 1;
};

class PacketScenario {
 public:
  // Starts all hosts, sends the first configuration, waits until all entry
  // hosts are ready and starts the callers. Throws std::runtime_error on
  // timeout.
  explicit PacketScenario(PacketScenarioOptions options);

  // Starts an upstream with a new id and endpoint in a failure domain.
  PacketUpstream& AddUpstream(int domain_index);
  // Starts an upstream with the id, endpoint and failure domain of `old`, which
  // must have stopped.
  PacketUpstream& RestartUpstream(const PacketUpstream& old);

  // Runs the io_context until the condition holds. Returns false on timeout.
  bool Await(std::chrono::milliseconds timeout,
             const std::function<bool()>& condition);

  // Sends the next version of the configuration, with this many extra
  // listeners. Returns whether a control host acknowledged it within the time
  // limit of the platform.
  bool ChangeConfig(int extra_listener_count);

  uint64_t version() const { return version_; }
  const std::string& config() const { return config_; }

  boost::asio::io_context io;
  std::unique_ptr<NodeFleet> fleet;
  std::unique_ptr<Fabric> fabric;
  std::list<PacketUpstream> upstreams;  // Includes stopped ones.
  std::unique_ptr<PacketCallers> callers;
  // Of the listeners of has_other_classes; the first is at most once.
  std::vector<std::unique_ptr<PacketCallers>> other_callers;

 private:
  void StartCallersOfOtherClasses();
  PacketUpstream& Add(uint64_t id, int domain_index, Endpoint endpoint);

  PacketScenarioOptions options_;
  uint64_t next_upstream_number_ = 1'001;
  int next_upstream_host_number_ = 1;
  int64_t next_start_time_ms_ = 1;
  uint64_t version_ = 0;
  std::string config_;  // The last acknowledged one.
};

// Whether the upstream of the reset flow had crashed before the reset.
bool HasUpstreamCrashed(const PacketScenario& scenario,
                        const CallerReset& reset);

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_PACKET_SCENARIO_H_
