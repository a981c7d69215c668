// A small deployment of acaciahold on loopback addresses: its processes, and
// stand-ins for the fabric, callers, upstreams and the operator. They speak
// what PROTOCOL.md says and depend on the C++ library only.

#ifndef REVIEW_STANDINS_3_LAB_H_
#define REVIEW_STANDINS_3_LAB_H_

#include <atomic>
#include <cstdint>
#include <cstdio>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <sys/types.h>

namespace lab {

// Milliseconds of the steady clock since the program began.
double Now();
void Sleep(double ms);

struct Answer {
  int status = 0;  // 0: no response within the time limit.
  std::string body;
  std::string location;
};

// Sends one HTTP request and waits for the response.
Answer Call(const std::string& ip,
            int port,
            const std::string& method,
            const std::string& path,
            const std::string& body,
            double timeout_ms);

// A service of the configuration.
struct Service {
  std::string name;
  double warmup_s = 2.0;
  double warmup_per_s = 0.0;
};

// A route of the configuration.
struct Route {
  std::string name;
  std::string host;
  int port = 0;
  std::string kind;
  std::string service;
  int timeout_ms = 1'000;
  // Flows stay open and send requests one after the other.
  bool has_long_flows = false;
  // With has_long_flows: how many flows the callers of a zone keep open, and
  // the pause between two requests of a flow.
  int flows_per_zone = 100;
  double pause_ms = 150;
  int goal_ms = 150;
  // The zone whose callers use the route; -1: all zones.
  int zone = -1;
  // Of this many flows that callers could open, they open one.
  int one_in = 1;
};

std::string MakeConfig(uint64_t version,
                       const std::vector<Route>& routes,
                       const std::vector<Service>& services);

// An opening packet that an upstream took.
struct Opening {
  double sent_ms = 0;     // When the caller sent this copy.
  double arrived_ms = 0;  // When the upstream received it.
  std::string from;       // Address of the entry host.
};

struct Upstream {
  std::string id;  // "i-" and 8 hex digits.
  std::string service;
  std::string zone;
  std::string ip;
  double work_ms = 20;
  double long_work_ms = 1'000;  // Of a long request.
  double slots_free_ms[2] = {0, 0};
  double warmup_s = 2.0;  // How long it is cold after a start under traffic.
  bool starts_cold = false;
  double started_ms = 0;
  int64_t born_ms = 0;
  int fd = -1;
  std::atomic<bool> is_running{false};
  std::thread heartbeats;
  std::vector<Opening> openings;
  uint64_t runs = 0;  // Requests that it ran.
  // The highest sequence number that it has seen, by flow.
  std::map<std::pair<uint32_t, uint16_t>, uint32_t> flows;
  // Packets of flows that it doesn't hold and never held.
  uint64_t foreign_packets = 0;
  std::set<std::pair<uint32_t, uint16_t>> ended_flows;

  // Whether it was cold at this time.
  bool IsCold(double at) const {
    return starts_cold && at < started_ms + warmup_s * 1e3;
  }
};

// An open flow that got a reset, and who sent the reset.
struct Reset {
  double at_ms = 0;
  double age_ms = 0;    // Of the flow.
  std::string flow;     // Address and port of the caller.
  std::string service;  // Of the flow's route.
  std::string owner;    // The upstream at which the flow is open.
  std::string sender;   // An upstream, or "the system".
  bool owner_lives = false;
  bool was_held = false;  // The owner had the end of the handshake.
};

struct Counts {
  uint64_t attempts = 0;  // Flows that callers opened.
  uint64_t opened = 0;
  uint64_t answered = 0;
  uint64_t refused = 0;  // Reset by the system before they opened.
  uint64_t reset = 0;    // Open flows that the system reset.
  uint64_t timed_out = 0;
};

struct Options {
  std::string name;  // Of the case, for the folder.
  std::vector<std::string> zones;
  int control_hosts = 3;
  int entry_hosts_per_zone = 3;
  int heartbeat_ms = 770;
};

class Lab {
 public:
  explicit Lab(Options options);
  ~Lab();

  // Writes a line to record.txt.
  void Record(const char* format, ...) __attribute__((format(printf, 2, 3)));

  // Hosts of the system. The index of a control host is its number; seeds are
  // the addresses of the first three that are not retired.
  int AddControlHost(bool bootstrap);
  void StartControl(int i);
  void StartEntries();
  // Sends SIGKILL and waits for the end.
  void KillControl(int i);
  // Sends SIGTERM and waits for the end. Returns how long that took, in ms.
  double TerminateControl(int i);
  // Deletes the disk of a control host that doesn't run.
  void WipeControl(int i);
  // The host is gone for good: no list names it any more.
  void RetireControl(int i);
  int entry_count() const { return static_cast<int>(entries_.size()); }
  size_t CountReadyEntries();
  // Number of system processes that have ended by themselves.
  int CountEnded();

  // The operator. Sends the order to control hosts in turn, follows redirects
  // twice, and repeats it until it is answered with less than 500 or the time
  // is up. Returns the last status.
  int Order(const std::string& method,
            const std::string& path,
            const std::string& body,
            double for_ms);

  // Returns 127.NETWORK.`subnet`.`number`.
  std::string Ip(int subnet, int number) const;

  // Upstreams and callers. An empty id and a host number of 0 are replaced by
  // others that are not in use.
  Upstream& AddUpstream(const std::string& service,
                        const std::string& zone,
                        double work_ms,
                        double warmup_s,
                        bool starts_cold,
                        const std::string& id = "",
                        int host_number = 0);
  // Opens flows with one request each on the route, spread over all zones.
  void StartCallers(const std::vector<Route>& routes, double flows_per_s);
  void StopCallers() { is_calling_ = false; }
  // From now on the next request of each flow of the route is a long one, once.
  void AskLongRequests(const std::string& route);
  Counts counts();
  const std::vector<Reset>& resets() const { return resets_; }
  std::mutex& mutex() { return mutex_; }
  std::list<Upstream>& upstreams() { return upstreams_; }

 private:
  struct Host {
    std::string name;
    std::string zone;
    std::string ip;
    bool bootstrap = false;
    bool is_retired = false;
    pid_t pid = -1;
    int failed_probes = 2;  // Of entry hosts.
    int started = 0;
  };
  struct Flow;

  std::vector<std::string> ControlIps();
  void WriteSettings(const Host& host, bool is_entry);
  void Start(Host& host, bool is_entry);
  void Heartbeats(Upstream& upstream);
  void Probes(size_t i);
  void Packets();
  void OnUpstreamPacket(Upstream& upstream);
  void OnCallerPacket(size_t zone);
  void SendToFabric(Flow& flow,
                    uint8_t flags,
                    uint32_t seq,
                    uint32_t ack,
                    uint16_t len);
  void StepFlows(double now);

  Options options_;
  std::string folder_;
  std::string binary_;
  int network_ = 0;
  std::FILE* record_ = nullptr;
  std::mutex mutex_;         // Guards what follows.
  std::mutex record_mutex_;  // Guards record_.
  std::vector<Host> controls_;
  std::vector<Host> entries_;
  std::list<Upstream> upstreams_;
  std::vector<int> caller_fds_;  // By zone.
  std::map<std::pair<uint32_t, uint16_t>, std::unique_ptr<Flow>> flows_;
  std::vector<Route> routes_;
  double flows_per_s_ = 0;
  double next_flow_ms_ = 0;
  uint64_t flow_number_ = 0;
  std::map<const Route*, uint64_t> turns_;
  Counts counts_;
  std::vector<Reset> resets_;
  // Who sent the last reset to a caller.
  std::map<std::pair<uint32_t, uint16_t>, Upstream*> reset_senders_;
  std::string long_route_;
  int long_round_ = 0;
  struct Delayed {
    Upstream* upstream;
    std::vector<uint8_t> packet;
    uint32_t to_ip;
  };
  std::multimap<double, Delayed> delayed_;
  std::atomic<bool> is_calling_{false};
  std::atomic<bool> is_over_{false};
  std::vector<std::thread> threads_;
};

}  // namespace lab

#endif  // REVIEW_STANDINS_3_LAB_H_
