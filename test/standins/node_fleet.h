// Entry and control hosts that find their group from seeds, as processes on
// loopback addresses, with an operator who sends orders as the platform does.

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
  int network = 21;  // 127.NETWORK.0.0/16.
  int entry_hosts = 3;
  int control_hosts = 3;
  // The output of all hosts goes to one pipe, which nobody reads.
  bool has_unread_logs = false;
  // Links to control hosts go through a FaultProxy each.
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
  // Signals the host's process; it is expected to end for SIGTERM and SIGKILL.
  void Signal(Kind kind, int index, int number);
  void AwaitEnd(Kind kind, int index);
  bool IsRunning(Kind kind, int index) const;
  // Empties a control host's data folder; the host has ended.
  void WipeDisk(int index);
  // Gives control host `index` another address, and an empty disk.
  void ReplaceControl(int index);

  // Of FleetOptions::has_proxies.
  FaultProxy& ProxyOf(int control_index);
  // Two control hosts lose each other; all other links go on.
  void CutBetween(int control_index, int other_index);
  // A control host's files take no more than so many bytes each from now on;
  // the parent ignores SIGXFSZ, and so do its children.
  void LimitFiles(int control_index, uint64_t bytes);

  // The logs of all hosts.
  std::vector<std::string> LogPaths() const;
  // The pipe of FleetOptions::has_unread_logs.
  int unread_logs() const { return log_pipe_[0]; }
  // Resident memory of a running host, in bytes.
  size_t MemoryOf(Kind kind, int index) const;
  // The metrics of a running host; nothing within the timeout.
  std::optional<std::string> Metrics(Kind kind,
                                     int index,
                                     std::chrono::milliseconds timeout);

  std::vector<Fabric::EntryHost> EntryHosts() const;
  std::vector<Endpoint> ControlEndpoints() const;
  uint16_t callers_port() const;
  Endpoint At(int group, int index, uint16_t port) const;

  // Runs the io_context for a while.
  void RunFor(std::chrono::milliseconds time);

  // One order: sent to control hosts in turn until one answers clearly, and
  // redirects followed. Returns the status, or nothing within the timeout.
  std::optional<unsigned> Order(http::Verb verb,
                                const std::string& target,
                                const std::string& body,
                                std::chrono::milliseconds timeout);
  // The configuration that is read back; nothing within the timeout.
  std::optional<std::string> ReadConfig(std::chrono::milliseconds timeout);

  http::Client& client() { return client_; }

 private:
  struct Host {
    Kind kind = Kind::kEntry;
    int index = 0;
    int address = 0;  // The last part.
    bool founds_group = false;
    std::unique_ptr<Child> process;
    std::unique_ptr<FaultProxy> proxy;
  };

  Host& Find(Kind kind, int index);
  const Host& Find(Kind kind, int index) const;
  std::string Settings(const Host& host) const;
  std::string PathOf(const Host& host, const std::string& suffix) const;
  std::string DiskOf(const Host& host) const;
  http::FetchResult Fetch(Endpoint to, http::Request request, Instant deadline);
  std::optional<http::Response> Call(http::Verb verb,
                                     const std::string& target,
                                     const std::string& body,
                                     std::chrono::milliseconds timeout);

  boost::asio::io_context& io_;
  FleetOptions options_;
  http::Client client_;
  std::vector<Host> hosts_;
  std::vector<Endpoint> seeds_;
  std::array<int, 2> log_pipe_{-1, -1};
  size_t next_control_ = 0;
  int next_address_ = 0;
};

// A configuration with a listener for each service, as the platform sends it.
std::string MakeConfig(
    uint64_t version,
    const std::vector<std::pair<Endpoint, std::string>>& listeners);

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_NODE_FLEET_H_
