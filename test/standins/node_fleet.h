// Runs entry and control hosts as processes on loopback addresses, where they
// discover their group from seed endpoints, and sends operator requests to them
// as the platform does.

#ifndef ACACIAHOLD_TEST_STANDINS_NODE_FLEET_H_
#define ACACIAHOLD_TEST_STANDINS_NODE_FLEET_H_

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "acaciahold/Http/client.h"
#include "acaciahold/Support/address.h"
#include "child.h"
#include "fault_proxy.h"
#include "packet_world.h"

namespace acaciahold::standins {

struct FleetOptions {
  std::string binary;
  std::string folder;
  int network = 21;  // Hosts use 127.NETWORK.0.0/16.
  int entry_host_count = 3;
  int control_host_count = 3;
  // In the settings of the control hosts; nullopt: not said.
  std::optional<uint32_t> tolerated_disk_losses;
  // Sends the output of all hosts to one pipe, which is read only by a test
  // that uses unread_logs().
  bool has_unread_logs = false;
  // Puts a FaultProxy in front of each control host's link port.
  bool has_proxies = false;
};

class NodeFleet {
 public:
  enum class Kind { kEntry, kControl };

  NodeFleet(boost::asio::io_context& io, FleetOptions options);
  NodeFleet(const NodeFleet&) = delete;
  NodeFleet& operator=(const NodeFleet&) = delete;
  ~NodeFleet();

  void StartAll();
  void StartHost(Kind kind, int index);
  // Sends a signal to the host's process. Call AwaitExit after SIGTERM and
  // SIGKILL.
  void Signal(Kind kind, int index, int signal_number);
  void AwaitExit(Kind kind, int index);
  bool IsRunning(Kind kind, int index) const;
  // Deletes the data folder of a control host, which must not be running.
  void DeleteDataFolder(int index);
  // Returns the indexes of the control hosts that are not retired.
  std::vector<int> ControlHosts() const;
  // Adds and starts a control host with an empty data folder that joins the
  // group. Returns its index.
  int AddControlHost();
  // Forgets a control host that has stopped for good: the operator and the
  // seeds of hosts that start from now on no longer name it.
  void RetireControlHost(int index);
  // Gives control host `index` a new address and an empty data folder. The host
  // must not be running.
  void ReplaceControlHost(int index);

  // Returns the proxy of a control host; needs FleetOptions::has_proxies.
  FaultProxy& ProxyFor(int control_index);
  // Blocks the links between two control hosts. All other links keep working.
  void BlockLinksBetween(int control_index, int other_index);
  // Limits the size of each file that a control host writes (RLIMIT_FSIZE).
  // Child processes must inherit an ignored SIGXFSZ, so that a write beyond the
  // limit fails instead of killing the host.
  void LimitFileSize(int control_index, uint64_t bytes);

  // Returns the paths of all hosts' log files.
  std::vector<std::string> LogPaths() const;
  // Returns the read end of the pipe of FleetOptions::has_unread_logs.
  int unread_logs() const { return log_pipe_[0]; }
  // Returns the resident memory of a running host.
  size_t ResidentBytes(Kind kind, int index) const;
  // Returns the metrics page of a running host, or nullopt if it doesn't answer
  // within the timeout.
  std::optional<std::string> FetchMetrics(Kind kind,
                                          int index,
                                          std::chrono::milliseconds timeout);

  std::vector<Fabric::EntryHost> EntryHosts() const;
  std::vector<Endpoint> ControlEndpoints() const;
  // Returns the port at which callers receive packets; it is the same at every
  // caller address.
  uint16_t caller_port() const;
  // Returns 127.NETWORK.`subnet`.`host_number`:`port`.
  Endpoint LoopbackEndpoint(int subnet, int host_number, uint16_t port) const;

  // Runs the io_context for this time.
  void RunFor(std::chrono::milliseconds time);

  // Sends an operator request to the control hosts in turn, following
  // redirects, until one responds with a status below 500. Returns that status,
  // or nullopt on timeout.
  std::optional<unsigned> SendOperatorRequest(
      http::Verb verb,
      const std::string& target,
      const std::string& body,
      std::chrono::milliseconds timeout);
  // Reads the configuration from the control hosts. Returns nullopt on timeout.
  std::optional<std::string> ReadConfig(std::chrono::milliseconds timeout);

  http::Client& client() { return client_; }

 private:
  struct Host {
    Kind kind = Kind::kEntry;
    int index = 0;
    int last_octet = 0;  // Of the host's address.
    bool founds_group = false;
    bool is_retired = false;
    std::unique_ptr<Child> process;
    std::unique_ptr<FaultProxy> proxy;
  };

  void UpdateSeeds();
  Host& FindHost(Kind kind, int index);
  const Host& FindHost(Kind kind, int index) const;
  std::string FormatSettingsYaml(const Host& host) const;
  std::string PathOf(const Host& host, const std::string& suffix) const;
  std::string DataFolderOf(const Host& host) const;
  http::FetchResult Fetch(Endpoint to, http::Request request, Instant deadline);
  std::optional<http::Response> FetchFromControlHosts(
      http::Verb verb,
      const std::string& target,
      const std::string& body,
      std::chrono::milliseconds timeout);

  boost::asio::io_context& io_;
  FleetOptions options_;
  http::Client client_;
  std::vector<Host> hosts_;
  std::vector<Endpoint> seeds_;
  std::array<int, 2> log_pipe_{-1, -1};
  size_t next_control_host_ = 0;
  int next_last_octet_ = 0;
};

// A listener and what its callers need.
struct RouteSpec {
  Endpoint endpoint;
  std::string service;
  // Fields of the document; each is followed by a comma.
  std::string terms =
      R"("kind":"safe","timeoutMs":800,"goalMs":120,"priority":2,)";
};

// Builds a configuration document of the platform with one route for each spec.
std::string MakeConfig(uint64_t version,
                       const std::vector<RouteSpec>& listeners);

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_NODE_FLEET_H_
