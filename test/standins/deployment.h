// A deployment of real processes on loopback addresses: each host has an
// address of its own, under a second byte that no other test uses.

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

struct Layout {
  int entry_hosts = 6;
  int control_hosts = 3;
  int failure_domains = 4;
  uint64_t max_body_bytes = 8U << 20U;
  bool traces = false;
};

struct EntryHost {
  std::string name;
  std::string failure_domain;
  Endpoint packets;
  Endpoint peer;
  Endpoint requests;
  Endpoint admin;
  std::string config;
  std::optional<Child> process;
};

struct ControlHost {
  uint32_t replica_id = 0;
  Endpoint admin;
  std::string config;
  std::string data_folder;
  std::optional<Child> process;
};

class Deployment {
 public:
  // Writes settings and data folders below `folder`, which is made anew.
  Deployment(std::string binary, std::string folder, const Layout& layout);

  void StartAll();
  void StartEntry(size_t i);
  void StartControl(size_t i);

  // Runs `acaciahold table apply` on the text; returns its exit code.
  int ApplyTable(const std::string& yaml);

  std::vector<EntryHost>& entries() { return entries_; }
  std::vector<ControlHost>& controls() { return controls_; }
  const std::string& folder() const { return folder_; }

  // The endpoint of a stand-in with this number.
  Endpoint StandinAddress(int group, int number, uint16_t port) const;

  // Waits until every running entry host shows the revision.
  bool AwaitRevision(uint64_t revision, std::chrono::seconds timeout);
  // Waits until every running entry host knows so many upstreams and hosts.
  bool AwaitSettled(size_t upstreams,
                    size_t hosts,
                    std::chrono::seconds timeout);

  std::string DomainName(int i) const;

 private:
  void WriteEntrySettings(EntryHost& host) const;
  void WriteControlSettings(ControlHost& host) const;
  std::string PeersText() const;

  std::string binary_;
  std::string folder_;
  Layout layout_;
  uint8_t second_byte_ = 0;
  std::vector<EntryHost> entries_;
  std::vector<ControlHost> controls_;
};

// GET of a path at an admin endpoint; null where nothing came.
boost::json::value GetJson(Endpoint admin, const std::string& target);
std::string GetText(Endpoint admin, const std::string& target);

// Waits until the condition holds, or the time is up; returns whether it held.
bool AwaitCondition(const std::function<bool()>& condition,
                    std::chrono::milliseconds timeout);

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_DEPLOYMENT_H_
