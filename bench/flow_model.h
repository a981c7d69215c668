// Simulates a deployment in one process and in virtual time. The entry hosts
// run the production decision code (entry::Entry); the network, the callers and
// the upstreams are simulated. A run is deterministic for a given seed.

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

// How packets are steered: by entry::Entry, or by a baseline algorithm.
enum class Method {
  kAcaciahold,
  kModulo,      // Fingerprint modulo the number of serving upstreams.
  kRendezvous,  // Rendezvous hashing without a flow table.
  kLocalTable,  // Rendezvous hashing with a flow table that hosts don't share.
};

struct ServiceSpec {
  std::string name;
  Endpoint address;
  int upstreams = 0;
  uint32_t max_connections = 2'000;    // Open flows per upstream.
  uint32_t max_connections_cold = 50;  // Per upstream during its cold start.
  // Open flows as a fraction of the connections of all upstreams.
  double load = 0.8;
};

struct DeploymentSpec {
  std::string name;
  int hosts = 0;
  int failure_domains = 0;
  Duration latency{};  // One way, between any two nodes.
  std::vector<ServiceSpec> services;
  // Fraction of the open flows that callers close and replace per second.
  double churn_per_second = 0.0013;
};

DeploymentSpec InyangeSpec(double load);
DeploymentSpec KitamiSpec(double load);

struct RunStats {
  uint64_t opened = 0;   // Flows whose first packet reached an upstream.
  uint64_t packets = 0;  // Packets sent by callers, but for closing packets.
  uint64_t moved = 0;    // Flows with a packet delivered to another upstream.
  uint64_t reset = 0;    // Open flows that an entry host refused.
  uint64_t stalled = 0;  // Open flows without a delivered packet for 8 s.
  // Packets delivered to an upstream of another service.
  uint64_t wrong_service_packets = 0;
  uint64_t refused_openings = 0;  // Opening packets that were refused.
  // Flows that broke because their upstream stopped or its failure domain was
  // taken out of service. Not counted as broken.
  uint64_t lost = 0;
  // Openings that took an upstream above its connection limit.
  uint64_t over_limit = 0;
  // Control bytes sent and received per host: the mean over hosts and time, and
  // the highest one-second sample of any host.
  double control_bytes_per_second_mean = 0;
  double control_bytes_per_second_max = 0;

  uint64_t BrokenFlows() const { return moved + reset + stalled; }
};

class FlowModel {
 public:
  // Starts the hosts.
  FlowModel(const DeploymentSpec& spec, Method method, uint64_t seed);

  // Starts the upstreams, waits until they have warmed up, and opens flows up
  // to the load of each service. Takes 82 s of virtual time.
  void EstablishFlows();
  void Run(Duration duration);

  // Planned changes. Upstreams are changed in the first service only.

  // Drains a random upstream if more than four serve.
  void DrainUpstream();
  void AddColdUpstream();
  // Toggles the weight of a random failure domain between 100 and 80.
  void ChangeWeight();
  // A random host leaves, stops 0.5 s later and starts again after another 1 s.
  void RestartHost();
  // As RestartHost, but a new host starts in the same failure domain.
  void ReplaceHost();
  // Applies the change number `change_index` modulo 5, in the order above.
  void ApplyPlannedChange(uint64_t change_index);

  // Faults.
  // Stops a random host without notice to its peers. Returns its index.
  size_t CrashHost();
  // Starts the host again without its former state.
  void RestartCrashedHost(size_t host);
  // Cuts the hosts and upstreams of all partitioned domains off from those of
  // the other domains. Callers still reach every host.
  void SetDomainPartitioned(const std::string& domain, bool is_partitioned);
  void SetDomainOutOfService(const std::string& domain, bool is_out_of_service);

  // Returns the ratio of the highest to the mean number of open flows per unit
  // of weight, over the serving upstreams of the service.
  double Imbalance(size_t service) const;
  uint64_t CountOpenFlows() const;
  // Returns the statistics since the last ResetStats.
  RunStats CollectStats();
  void ResetStats();
  // Prints each host's packet counters with its drop and refusal reasons.
  void PrintHostCounters() const;
  Instant now() const { return now_; }
  std::string DomainName(int i) const { return "fd" + std::to_string(i + 1); }
  uint64_t random() { return random_(); }

 private:
  struct Upstream {
    size_t service = 0;
    upstream::Announcement announcement;
    bool is_up = true;
    uint32_t open_flows = 0;
    uint32_t connection_limit = 0;  // Unused.
    // The limit during a cold start holds until then, by the upstream's clock.
    Instant warm_up_end;
  };
  struct Flow {
    size_t service = 0;
    Endpoint caller;
    std::vector<std::byte> syn;
    std::vector<std::byte> data;
    uint64_t fingerprint = 0;
    int upstream_index = -1;  // -1 until the first packet is delivered.
    bool is_closed = false;
    // The last packet sent has not been delivered yet.
    bool is_awaiting_arrival = false;
    Instant next_send;
    Instant last_arrival;  // When an upstream last received a packet.
  };
  struct Host {
    membership::HostRecord record;
    std::unique_ptr<entry::Entry> core;
    bool is_up = false;
    Instant start_at;
    // Total control bytes at the last sample.
    uint64_t sampled_control_bytes = 0;
    // Control bytes of the incarnations before the current one.
    uint64_t previous_control_bytes = 0;
    uint64_t max_control_bytes_per_second = 0;
    // Upstream index by flow fingerprint, for Method::kLocalTable.
    std::map<uint64_t, int> flow_table;
    // For the baselines: upstreams that served at the last refresh.
    std::vector<size_t> known_upstreams;
    Instant next_refresh;
  };
  struct ScheduledEvent {
    Instant at;
    uint64_t sequence = 0;  // Orders events of the same instant.
    std::function<void()> action;
    // Reversed, so that std::priority_queue returns the earliest event first.
    bool operator<(const ScheduledEvent& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  void AdvanceOneStep();
  void SendDuePackets();
  void SendPacket(size_t flow_index);
  void SteerByBaseline(size_t host, size_t flow_index);
  void PerformActions(size_t host, entry::Actions actions);
  void ScheduleAfter(Duration delay, std::function<void()> action);
  void OnUpstreamPacket(Endpoint upstream, std::span<const std::byte> bytes);
  void DeliverToUpstream(int upstream, size_t flow_index);
  void OnRefusalPacket(std::span<const std::byte> bytes);
  // Increments `counter`, or the lost flows instead if the upstream is down or
  // out of service. `counter` is null when the caller closes the flow.
  void CloseFlow(Flow& flow, uint64_t* counter);
  void ChurnFlows();
  size_t AddFlow(size_t service, Instant send_at);
  size_t AddHost(int domain);
  void StartHost(size_t host);
  size_t AddUpstream(size_t service, int domain);
  void SendAnnouncements();
  void PublishTable();
  void SampleControlBytes();
  bool CanReach(size_t a, size_t b) const;
  std::vector<size_t> UpHosts() const;
  std::vector<size_t> ServingUpstreams(size_t service) const;
  int FindUpstream(Endpoint at) const;

  DeploymentSpec spec_;
  Method method_;
  std::mt19937_64 random_;
  Instant now_;
  Instant start_time_;
  std::priority_queue<ScheduledEvent> event_queue_;
  uint64_t next_sequence_ = 0;
  std::vector<Host> hosts_;
  std::vector<Upstream> upstreams_;
  std::map<Endpoint, size_t> upstream_at_;
  std::vector<Flow> flows_;
  std::map<Endpoint, size_t> flow_of_caller_;
  std::vector<size_t> due_flows_;
  std::multimap<Instant, size_t> send_schedule_;
  table::ServiceTable table_;
  std::set<std::string> partitioned_domains_;
  std::set<std::string> out_of_service_domains_;
  std::map<std::string, uint32_t> weights_;
  Instant next_announcement_;
  Instant next_control_sample_;
  Instant stats_start_;
  double pending_closes_ = 0;  // Flows that ChurnFlows has yet to close.
  RunStats stats_;
};

}  // namespace acaciahold::bench

#endif  // ACACIAHOLD_BENCH_FLOW_MODEL_H_
