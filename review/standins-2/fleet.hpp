// Starts control and entry hosts as the deploy file says, on loopback
// addresses, and plays the platform and the operator for them. POSIX only.
//
// A host's settings are the project's own template, filled in with the values
// of a small deployment. Every process is a child of this one and is killed
// when the fleet goes out of scope.

#ifndef REVIEW_STANDINS_2_FLEET_HPP_
#define REVIEW_STANDINS_2_FLEET_HPP_

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace review {

using Clock = std::chrono::steady_clock;

// A response of a host. The status is 0 if none came in time.
struct Answer {
  int status = 0;
  std::string body;
  std::string location;
};

// Sends one HTTP/1.1 request on a connection of its own and reads the response.
Answer Fetch(const std::string& endpoint, const std::string& method,
             const std::string& path, const std::string& body,
             std::chrono::milliseconds timeout);

// Writes a line with the time since the start of the run to record.txt.
class Record {
 public:
  explicit Record(const std::string& path);
  ~Record();
  void Line(const std::string& text);
  double Seconds() const;

 private:
  std::FILE* file_;
  Clock::time_point start_ = Clock::now();
};

struct Host {
  std::string name;
  std::string zone;
  std::string address;   // Loopback address of its own.
  bool is_control = false;
  bool bootstrap = true;  // Until its disk is lost.
  pid_t pid = -1;
};

struct FleetOptions {
  std::string binary;    // target/tools/acaciahold/acaciahold
  std::string template_folder;  // deploy/
  std::string folder;    // Temporary files and disks.
  int network = 0;       // Hosts use 127.NETWORK.0.0/16.
  int heartbeat_ms = 1200;
  std::string link_mbps = "1000.0";
};

class Fleet {
 public:
  Fleet(FleetOptions options, Record& record);
  ~Fleet();

  // Adds a host; returns its index.
  int Add(bool is_control, const std::string& zone);
  // Adds an empty machine while the system runs: no bootstrap.
  int AddLate(bool is_control, const std::string& zone);
  // Fixes the seeds: the first three control hosts.
  void SetSeeds();
  void Start(int host);
  // Loss of power or a kill: the process ends at once, its disk is kept.
  void Kill(int host);
  // The machine's disk is gone; it comes back with an empty one.
  void WipeDisk(int host);
  void Signal(int host, int number);
  bool HasEnded(int host);

  const Host& host(int index) const { return hosts_[index]; }
  size_t size() const { return hosts_.size(); }
  std::string ControlEndpoint(int host) const;
  std::string ReadyEndpoint(int host) const;
  std::string PacketAddress(int host) const { return hosts_[host].address; }

 private:
  std::string Fill(const Host& host) const;

  FleetOptions options_;
  Record& record_;
  std::vector<Host> hosts_;
  std::vector<std::string> seeds_;
};

// The operator. It tries one control host after the other, follows a 307
// twice, and repeats the same request until it is answered clearly.
class Operator {
 public:
  Operator(const Fleet& fleet, std::vector<int> hosts, Record& record)
      : fleet_(fleet), hosts_(std::move(hosts)), record_(record) {}

  // Sends the configuration until it is acknowledged or refused, or until the
  // deadline. Returns the last status; `by` is the host that answered.
  int Put(const std::string& config, Clock::time_point deadline,
          std::string* by = nullptr);
  // Reads the configuration at one host, with redirects.
  Answer Get(int host);

 private:
  Answer Call(const std::string& endpoint, const std::string& method,
              const std::string& path, const std::string& body,
              std::string* by);

  const Fleet& fleet_;
  std::vector<int> hosts_;
  Record& record_;
  size_t next_ = 0;
};

// A configuration in the form of the pages, with `routes` idle routes.
std::string MakeConfig(uint64_t version, int routes);

// Returns the number after `"version":`, or 0.
uint64_t VersionOf(const std::string& config);

// Returns the value of an environment variable, or the default.
std::string Variable(const char* name, const std::string& fallback);

void SleepMs(int ms);

// Returns the second octet of loopback addresses that no other run uses now.
int FreeNetwork();

}  // namespace review

#endif  // REVIEW_STANDINS_2_FLEET_HPP_
