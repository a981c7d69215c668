// Simulates upstreams. They announce themselves to entry hosts, and those of
// request services answer over HTTP: they have a limited number of slots, fewer
// while cold, respond with 503 beyond these, and notice cancellation. The fleet
// counts the requests that were run.

#ifndef ACACIAHOLD_TEST_STANDINS_UPSTREAM_FLEET_H_
#define ACACIAHOLD_TEST_STANDINS_UPSTREAM_FLEET_H_

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "acaciahold/Http/client.h"
#include "acaciahold/Http/server.h"
#include "acaciahold/Support/address.h"

namespace acaciahold::standins {

struct FleetUpstream {
  std::string service;
  std::string failure_domain;
  Endpoint endpoint;
  uint32_t slots = 0;  // 0 for a flow upstream, which only announces itself.
  uint32_t cold_slots = 0;  // Concurrent requests that it accepts while cold.
  std::chrono::milliseconds service_time{5};
  std::chrono::milliseconds warmup_time{2'000};
};

struct FleetReport {
  uint64_t requests_run = 0;
  uint64_t requests_run_twice = 0;  // Distinct bodies run more than once.
  uint64_t requests_shed = 0;
  // Requests that arrived while no slot was free.
  uint64_t requests_over_capacity = 0;
  uint64_t requests_canceled = 0;
};

class UpstreamFleet {
 public:
  // `announce_to` holds the admin endpoints of entry hosts by failure domain.
  UpstreamFleet(std::map<std::string, std::vector<Endpoint>> announce_to,
                int threads);
  ~UpstreamFleet();

  // Adds an upstream and starts announcing it. Returns its index. Throws
  // std::runtime_error if it can't listen.
  size_t Add(const FleetUpstream& upstream);

  // Sets the phase that the upstream announces: serving, draining or gone.
  void SetPhase(size_t i, const std::string& phase);

  // Stops the announcements of the upstream.
  void StopAnnouncing(size_t i);

  // Makes the upstream cold again, as after a restart. With
  // `use_new_incarnation` its announcements carry a new incarnation; otherwise
  // hosts learn of the restart only from its behavior.
  void Restart(size_t i, bool use_new_incarnation);

  FleetReport Report();
  uint64_t CountRuns(const std::string& body);
  std::vector<uint64_t> CountRunsByUpstream(const std::string& service);

 private:
  struct Instance;

  boost::asio::awaitable<void> Announce(std::shared_ptr<Instance> instance);
  boost::asio::awaitable<http::Response> HandleRequest(
      std::shared_ptr<Instance> instance,
      http::Request request);

  std::map<std::string, std::vector<Endpoint>> announce_to_;
  boost::asio::io_context io_;
  http::Client client_;
  std::vector<std::shared_ptr<Instance>> instances_;
  std::mutex mutex_;
  // Guarded by mutex_:
  std::map<std::string, uint64_t> runs_by_body_;
  FleetReport report_;
  std::vector<std::thread> threads_;
};

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_UPSTREAM_FLEET_H_
