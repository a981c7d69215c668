// Stand-ins around the entry hosts for flows: callers that hold flows open, the
// fabric that sprays their packets, and upstreams that see what arrives. The
// lab knows for each flow where it was opened, and so which ones broke.

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

// A flow that has been silent at its upstream for so long is broken.
inline constexpr std::chrono::seconds kStallTimeout{8};
inline constexpr std::chrono::milliseconds kPacketInterval{500};
inline constexpr std::chrono::milliseconds kSynInterval{1'000};

struct LabUpstream {
  std::string service_name;
  Endpoint service;
  Endpoint at;
  std::string failure_domain;
};

struct FlowReport {
  uint64_t opened = 0;
  uint64_t open = 0;
  uint64_t broken_moved = 0;    // A packet came to another upstream.
  uint64_t broken_reset = 0;    // The caller was refused in mid-flow.
  uint64_t broken_stalled = 0;  // Nothing arrived for kStallTimeout.
  uint64_t wrong_service = 0;   // Packets at an upstream of another service.
  uint64_t changed = 0;         // Packets that did not arrive as sent.
  uint64_t refused = 0;         // Opening packets that were refused.
  uint64_t given_up = 0;        // Ended with their failure domain.
  std::map<std::string, std::map<std::string, uint64_t>> open_by_upstream;

  uint64_t Broken() const {
    return broken_moved + broken_reset + broken_stalled;
  }
};

class FlowLab {
 public:
  FlowLab(std::vector<Endpoint> entry_packets, Endpoint fabric, uint64_t seed);
  ~FlowLab();

  void AddUpstream(const LabUpstream& upstream);

  // Opens flows to the service, spread over the time.
  void AddFlows(const std::string& service_name,
                Endpoint service,
                int count,
                std::chrono::milliseconds over);

  // The fabric sends nothing more to this entry host.
  void RemoveEntry(Endpoint packets);
  void AddEntry(Endpoint packets);

  // Flows at upstreams of the failure domain are given up from now on: they go
  // on sending, and count neither as open nor as broken.
  void GiveUpDomain(const std::string& failure_domain);

  // Packets that arrived in the failure domain since the last call.
  uint64_t TakeArrivals(const std::string& failure_domain);

  // Raw bytes by way of the fabric.
  void SendRaw(Endpoint entry, std::span<const std::byte> bytes);

  FlowReport Report();

 private:
  struct Flow {
    Endpoint caller;
    Endpoint service;
    std::string service_name;
    std::vector<std::byte> syn;
    std::vector<std::byte> data;
    int home = -1;  // Index of the upstream, once opened.
    bool is_ended = false;
    bool is_given_up = false;
    Instant next_send;
    Instant arrived_at;
  };

  void Tick();
  void Schedule();
  void OnArrival(size_t upstream, std::span<const std::byte> bytes);
  void OnReturned(std::span<const std::byte> bytes);
  void End(Flow& flow, uint64_t& counter);

  boost::asio::io_context io_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<host::UdpSocket> fabric_;
  std::vector<std::shared_ptr<host::UdpSocket>> sockets_;
  std::mutex mutex_;
  // Guarded by mutex_:
  std::mt19937_64 random_;
  std::vector<Endpoint> entries_;
  std::vector<LabUpstream> upstreams_;
  std::vector<Flow> flows_;
  std::map<Endpoint, size_t> by_caller_;
  std::map<std::string, uint64_t> arrivals_;
  FlowReport report_;

  std::thread thread_;
};

// A TCP packet as a caller sends it.
std::vector<std::byte> BuildTcp(Endpoint caller, Endpoint service, bool is_syn);
std::vector<std::byte> BuildUdp(Endpoint caller, Endpoint service);

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_FLOW_LAB_H_
