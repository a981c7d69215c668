// A deployment in one process and in virtual time: the real entry cores over a
// modelled network, callers that hold flows open, and upstreams that see what
// arrives. A run is wholly given by its seed.

#ifndef ACACIAHOLD_BENCH_FLOW_MODEL_H_
#define ACACIAHOLD_BENCH_FLOW_MODEL_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "acaciahold/Entry/entry.h"

namespace acaciahold::bench {

// How packets are steered: by the entry cores, or by a baseline.
enum class Method {
  kAcaciahold,
  kModulo,      // Hash modulo the number of serving upstreams.
  kRendezvous,  // Consistent hashing without state.
  kLocalTable,  // Rendezvous, and a flow table at each host alone.
};

struct ServiceSpec {
  std::string name;
  Endpoint address;
  int upstreams = 0;
  uint32_t connections = 2'000;
  uint32_t cold = 50;
  double load = 0.8;  // Open flows, as a part of all connections.
};

struct DeploymentSpec {
  std::string name;
  int hosts = 0;
  int failure_domains = 0;
  Duration latency{};
  std::vector<ServiceSpec> services;
  double churn_per_second = 0.0013;  // Part of the open flows.
};

DeploymentSpec Inyange(double load);
DeploymentSpec Kitami(double load);

struct Tally {
  uint64_t opened = 0;
  uint64_t packets = 0;
  uint64_t moved = 0;          // Flows with a packet at another upstream.
  uint64_t reset = 0;          // Flows refused after they were open.
  uint64_t stalled = 0;        // Flows of which nothing arrived for 8 s.
  uint64_t wrong_service = 0;  // Packets.
  uint64_t refused = 0;        // Opening packets.
  uint64_t lost = 0;           // Flows whose upstream or domain was given up.
  uint64_t over_limit = 0;   // Times an upstream was given more than it bears.
  double control_mean = 0;   // Bytes a second for each host, out and in.
  double control_worst = 0;  // The worst host's worst second.

  uint64_t Broken() const { return moved + reset + stalled; }
};

class FlowModel {
 public:
  FlowModel(const DeploymentSpec& spec, Method method, uint64_t seed);

  // Starts hosts and upstreams, warms the upstreams and opens the flows.
  void Open();
  void Run(Duration time);

  // Planned changes.
  void Drain();
  void Join();
  void ChangeWeight();
  void RestartHost();
  void ReplaceHost();
  void PlannedChange(uint64_t turn);

  // Faults.
  size_t KillHost();             // Returns the host's index.
  void ReviveHost(size_t host);  // With nothing remembered.
  void CutDomain(const std::string& domain, bool is_cut);
  void TakeDomain(const std::string& domain, bool is_out);

  // Peak over mean of open flows for each unit of weight, over serving
  // upstreams of the service.
  double Imbalance(size_t service) const;
  uint64_t OpenFlows() const;
  Tally Totals();
  void ResetControlBytes();
  void PrintReasons() const;
  Instant now() const { return now_; }
  std::string DomainName(int i) const { return "fd" + std::to_string(i + 1); }
  uint64_t random() { return random_(); }

 private:
  struct Upstream {
    size_t service = 0;
    upstream::Announcement said;
    bool is_up = true;
    uint32_t open = 0;
    uint32_t bears = 0;  // Now; grows while it warms by its own clock.
    Instant warm_at;
  };
  struct Flow {
    size_t service = 0;
    Endpoint caller;
    std::vector<std::byte> syn;
    std::vector<std::byte> data;
    uint64_t fingerprint = 0;
    int home = -1;
    bool is_ended = false;
    bool is_waiting = false;  // For its last packet to arrive.
    Instant next_send;
    Instant arrived_at;
  };
  struct Host {
    membership::HostRecord record;
    std::unique_ptr<entry::Entry> core;
    bool is_up = false;
    Instant start_at;
    uint64_t bytes_before = 0;
    uint64_t bytes_carried = 0;  // Of earlier lives.
    uint64_t worst_second = 0;
    std::map<uint64_t, int> flow_table;  // kLocalTable.
    std::vector<size_t> view;            // Baselines: serving upstreams.
    Instant view_at;
  };
  struct Delivery {
    Instant at;
    uint64_t order = 0;
    std::function<void()> action;
    bool operator<(const Delivery& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  void Step();
  void SendFlows();
  void SendPacket(size_t flow_index);
  void SteerByBaseline(size_t host, size_t flow_index);
  void Perform(size_t host, entry::Actions actions);
  void Post(Duration delay, std::function<void()> action);
  void OnArrival(Endpoint upstream, std::span<const std::byte> bytes);
  void Arrive(int upstream, size_t flow_index);
  void OnRefusal(std::span<const std::byte> bytes);
  void EndFlow(Flow& flow, uint64_t* counter);
  void CloseSome();
  size_t AddFlow(size_t service, Instant send_at);
  size_t AddHost(int domain);
  void StartHost(size_t host);
  size_t AddUpstream(size_t service, int domain);
  void Announce();
  void ApplyTable();
  void CountControl();
  bool CanReach(size_t a, size_t b) const;
  std::vector<size_t> UpHosts() const;
  std::vector<size_t> Serving(size_t service) const;
  int FindUpstream(Endpoint at) const;

  DeploymentSpec spec_;
  Method method_;
  std::mt19937_64 random_;
  Instant now_;
  Instant started_;
  std::priority_queue<Delivery> queue_;
  uint64_t next_order_ = 0;
  std::vector<Host> hosts_;
  std::vector<Upstream> upstreams_;
  std::map<Endpoint, size_t> upstream_at_;
  std::vector<Flow> flows_;
  std::map<Endpoint, size_t> flow_of_caller_;
  std::vector<size_t> due_;
  std::multimap<Instant, size_t> schedule_;
  table::ServiceTable table_;
  std::set<std::string> cut_domains_;
  std::set<std::string> out_domains_;
  std::map<std::string, uint32_t> weights_;
  Instant announce_at_;
  Instant second_at_;
  Instant control_from_;
  double churn_due_ = 0;
  Tally tally_;
};

}  // namespace acaciahold::bench

#endif  // ACACIAHOLD_BENCH_FLOW_MODEL_H_
