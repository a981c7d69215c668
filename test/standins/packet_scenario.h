// A deployment on loopback with callers and upstreams of the platform, as the
// end-to-end tests and the soak use it.

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
  int upstreams = 6;  // Spread over three failure domains.
  int long_flows = 30;
  int short_flows = 4;
  // See PacketCallers::Options.
  std::chrono::milliseconds request_timeout{8'000};
  uint64_t seed = 1;
};

class PacketScenario {
 public:
  // Starts everything, sends the first configuration and waits until callers
  // may come. Throws std::runtime_error where that takes too long.
  explicit PacketScenario(PacketScenarioOptions options);

  // Adds an upstream with a new id, or with the id and endpoint of another.
  PacketUpstream& AddUpstream(int domain);
  PacketUpstream& Restart(const PacketUpstream& old);

  // Runs until the condition holds; false after the timeout.
  bool Await(std::chrono::milliseconds timeout,
             const std::function<bool()>& condition);

  // Sends the next version with so many further listeners; returns whether it
  // was acknowledged within the time in which it must be.
  bool ChangeConfig(int further_listeners);

  uint64_t version() const { return version_; }
  const std::string& config() const { return config_; }

  boost::asio::io_context io;
  std::unique_ptr<NodeFleet> fleet;
  std::unique_ptr<Fabric> fabric;
  std::list<PacketUpstream> upstreams;  // Also those that have ended.
  std::unique_ptr<PacketCallers> callers;

 private:
  PacketUpstream& Add(uint64_t id, int domain, Endpoint endpoint);

  PacketScenarioOptions options_;
  uint64_t next_id_ = 1'001;
  int next_upstream_address_ = 1;
  int64_t next_born_ms_ = 1;
  uint64_t version_ = 0;
  std::string config_;  // The last that was acknowledged.
};

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_PACKET_SCENARIO_H_
