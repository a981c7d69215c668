// Simulates the environment of the entry hosts for flows: callers that keep
// flows open, the network fabric that distributes their packets over random
// entry hosts, and upstreams that receive them. The simulator records the
// upstream that each flow was opened at, and so detects broken flows.

#ifndef ACACIAHOLD_TEST_STANDINS_FLOW_LAB_H_
#define ACACIAHOLD_TEST_STANDINS_FLOW_LAB_H_

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "acaciahold/Host/udp.h"
#include "acaciahold/Support/address.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::standins {

// A flow counts as broken if its upstream receives nothing for this long.
inline constexpr std::chrono::seconds kStallTimeout{8};
inline constexpr std::chrono::milliseconds kPacketInterval{500};
inline constexpr std::chrono::milliseconds kSynInterval{1'000};

struct FlowUpstream {
  std::string service_name;
  Endpoint service;
  Endpoint endpoint;
  std::string failure_domain;
};

struct FlowReport {
  uint64_t opened = 0;
  uint64_t open = 0;
  uint64_t broken_moved = 0;    // A packet arrived at another upstream.
  uint64_t broken_reset = 0;    // The caller got a reset on an open flow.
  uint64_t broken_stalled = 0;  // Nothing arrived for kStallTimeout.
  uint64_t wrong_service = 0;   // Packets at an upstream of another service.
  uint64_t corrupted = 0;       // Packets that arrived altered or unparsable.
  uint64_t refused = 0;         // Opening packets answered by a reset.
  uint64_t excluded = 0;        // Flows excluded by ExcludeDomain.
  std::map<std::string, std::map<std::string, uint64_t>> open_by_upstream;

  uint64_t Broken() const {
    return broken_moved + broken_reset + broken_stalled;
  }
};

class FlowSimulator {
 public:
  FlowSimulator(std::vector<Endpoint> entry_endpoints,
                Endpoint fabric_endpoint,
                uint64_t seed);
  ~FlowSimulator();

  void AddUpstream(const FlowUpstream& upstream);

  // Opens `count` flows to the service, evenly spread over `period`.
  void AddFlows(const std::string& service_name,
                Endpoint service,
                int count,
                std::chrono::milliseconds period);

  // Removes an entry host from the fabric's rotation, or adds it. `endpoint` is
  // where the host receives packets.
  void RemoveEntryHost(Endpoint endpoint);
  void AddEntryHost(Endpoint endpoint);

  // Excludes the flows at upstreams of the failure domain from the report:
  // their callers keep sending, but they count neither as open nor as broken.
  void ExcludeDomain(const std::string& failure_domain);

  // Returns how many packets upstreams of the failure domain received since the
  // last call.
  uint64_t TakeArrivalCount(const std::string& failure_domain);

  // Sends raw bytes from the fabric's socket.
  void SendRaw(Endpoint entry, std::span<const std::byte> bytes);

  FlowReport Report();

 private:
  struct Flow {
    Endpoint caller;
    Endpoint service;
    std::string service_name;
    std::vector<std::byte> syn;
    std::vector<std::byte> data;
    int upstream_index = -1;  // -1 until the flow is open.
    bool is_ended = false;
    bool is_excluded = false;
    Instant next_send_at;
    Instant last_arrival_at;
  };

  void SendDuePackets();
  void ScheduleTick();
  void OnArrival(size_t upstream, std::span<const std::byte> bytes);
  void OnReturnedPacket(std::span<const std::byte> bytes);
  void EndFlow(Flow& flow, uint64_t& counter);

  boost::asio::io_context io_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<host::UdpSocket> fabric_socket_;
  std::vector<std::shared_ptr<host::UdpSocket>> upstream_sockets_;
  std::mutex mutex_;
  // Guarded by mutex_:
  std::mt19937_64 random_;
  std::vector<Endpoint> entry_endpoints_;
  std::vector<FlowUpstream> upstreams_;
  std::vector<Flow> flows_;
  std::map<Endpoint, size_t> flow_index_by_caller_;
  std::map<std::string, uint64_t> arrivals_by_domain_;
  FlowReport report_;

  std::thread thread_;
};

// Builds an IPv4 packet from the caller to the service: a TCP SYN, or an ACK
// with data.
std::vector<std::byte> BuildTcp(Endpoint caller, Endpoint service, bool is_syn);
// Builds an IPv4 packet with UDP data from the caller to the service.
std::vector<std::byte> BuildUdp(Endpoint caller, Endpoint service);

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_FLOW_LAB_H_
