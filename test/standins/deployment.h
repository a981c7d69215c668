// Runs a deployment of acaciahold processes on loopback. Each host has its own
// address in 127.N.0.0/16, where N is the network number of the test, so that
// tests can run in parallel.

#ifndef ACACIAHOLD_TEST_STANDINS_DEPLOYMENT_H_
#define ACACIAHOLD_TEST_STANDINS_DEPLOYMENT_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <boost/json/value.hpp>

#include "acaciahold/Support/address.h"
#include "child.h"

namespace acaciahold::standins {

struct DeploymentOptions {
  int entry_host_count = 6;
  int control_host_count = 3;
  int failure_domain_count = 4;
  uint64_t max_body_bytes = 8U << 20U;
  bool enable_tracing = false;
};

struct EntryHost {
  std::string name;
  std::string failure_domain;
  Endpoint packet_endpoint;
  Endpoint peer_endpoint;
  Endpoint request_endpoint;
  Endpoint admin_endpoint;
  std::string settings_path;
  std::optional<Child> process;
};

struct ControlHost {
  uint32_t replica_id = 0;
  Endpoint admin_endpoint;
  std::string settings_path;
  std::string data_folder;
  std::optional<Child> process;
};

class Deployment {
 public:
  // Deletes `folder`, creates it again and writes the hosts' settings and data
  // folders into it.
  Deployment(std::string binary,
             std::string folder,
             const DeploymentOptions& options);

  void StartAll();
  void StartEntryHost(size_t i);
  void StartControlHost(size_t i);

  // Runs `acaciahold table apply` with this table; returns the exit code.
  int ApplyTable(const std::string& yaml);

  std::vector<EntryHost>& entry_hosts() { return entry_hosts_; }
  std::vector<ControlHost>& control_hosts() { return control_hosts_; }
  const std::string& folder() const { return folder_; }

  // Returns 127.N.`subnet`.`host_number`:`port`.
  Endpoint LoopbackEndpoint(int subnet, int host_number, uint16_t port) const;

  // Waits until every running entry host reports this table revision or a later
  // one. Returns false on timeout.
  bool AwaitRevision(uint64_t revision, std::chrono::seconds timeout);
  // Waits until every running entry host reports that it is settled, knows at
  // least `min_upstreams` upstreams and sees at least `min_alive_hosts` members
  // alive. Returns false on timeout.
  bool AwaitSettled(size_t min_upstreams,
                    size_t min_alive_hosts,
                    std::chrono::seconds timeout);

  std::string FailureDomainName(int i) const;

 private:
  void WriteEntrySettings(EntryHost& host) const;
  void WriteControlSettings(ControlHost& host) const;
  std::string FormatHostListYaml() const;

  std::string binary_;
  std::string folder_;
  DeploymentOptions options_;
  uint8_t network_number_ = 0;
  std::vector<EntryHost> entry_hosts_;
  std::vector<ControlHost> control_hosts_;
};

// Sends GET `target` to an admin endpoint and parses the response body as JSON.
// Returns null if no response or no valid JSON arrives.
boost::json::value GetJson(Endpoint admin, const std::string& target);
// Sends GET `target` to an admin endpoint and returns the response body, or an
// empty string if no response arrives.
std::string GetText(Endpoint admin, const std::string& target);

// Polls the condition until it holds or the timeout expires. Returns whether it
// held.
bool AwaitCondition(const std::function<bool()>& condition,
                    std::chrono::milliseconds timeout);

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_DEPLOYMENT_H_
