// Stand-ins for upstreams' hosts: they announce themselves, and those of
// request services answer over HTTP with slots, cold starts, shedding, drain,
// cancellation and deadlines. Each keeps its own record of what it ran.

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
  Endpoint at;
  uint32_t slots = 0;  // 0: a flow upstream, which only announces itself.
  uint32_t cold = 0;   // Requests at once that it bears while cold.
  std::chrono::milliseconds service_time{5};
  std::chrono::milliseconds cold_time{2'000};
};

struct FleetReport {
  uint64_t ran = 0;
  uint64_t ran_twice = 0;  // Request bodies that were run more than once.
  uint64_t shed = 0;
  uint64_t overloaded = 0;  // Requests beyond what the upstream bore.
  uint64_t canceled = 0;
};

class UpstreamFleet {
 public:
  // `announce_to` names the admin endpoints of entry hosts by failure domain.
  UpstreamFleet(std::map<std::string, std::vector<Endpoint>> announce_to,
                int threads);
  ~UpstreamFleet();

  size_t Add(const FleetUpstream& upstream);

  // Changes what the upstream announces: serving, draining or gone.
  void SetPhase(size_t i, const std::string& phase);

  // The upstream stops announcing itself.
  void SetSilent(size_t i);

  // A new life, cold again; `announced` or only found out.
  void Restart(size_t i, bool announced);

  FleetReport Report();
  uint64_t RunsOf(const std::string& body);
  std::vector<uint64_t> RunsByUpstream(const std::string& service);

 private:
  struct Node;

  boost::asio::awaitable<void> Announce(std::shared_ptr<Node> node);
  boost::asio::awaitable<http::Response> Answer(std::shared_ptr<Node> node,
                                                http::Request request);

  std::map<std::string, std::vector<Endpoint>> announce_to_;
  boost::asio::io_context io_;
  http::Client client_;
  std::vector<std::shared_ptr<Node>> nodes_;
  std::mutex mutex_;
  // Guarded by mutex_:
  std::map<std::string, uint64_t> runs_;  // By request body.
  FleetReport report_;
  std::vector<std::thread> threads_;
};

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_UPSTREAM_FLEET_H_
