// Starts the processes of a fleet with their settings and sends operator
// requests to them.

#include "node_fleet.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>
#include <stdexcept>

#include <boost/asio/co_spawn.hpp>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

namespace acaciahold::standins {
namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

// The third octet of addresses, by role.
constexpr int kEntrySubnet = 1;
constexpr int kControlSubnet = 4;
constexpr int kBehindProxySubnet = 5;

constexpr uint16_t kPacketsPort = 8'172;
constexpr uint16_t kReadyPort = 8'167;
constexpr uint16_t kAdminPort = 8'166;
constexpr uint16_t kPeerLinkPort = 7'720;
constexpr milliseconds kHttpTimeout{1'000};
constexpr int kMaxRedirects = 2;

std::string FailureDomainOf(int index) {
  return "fd" + std::to_string(index % 3 + 1);
}

std::string NameOf(NodeFleet::Kind kind, int index) {
  bool is_entry = kind == NodeFleet::Kind::kEntry;
  return (is_entry ? "entry-" : "control-") + std::to_string(index);
}

std::optional<Endpoint> ParseRedirectEndpoint(const http::Response& response) {
  auto it = response.find(http::Field::location);
  constexpr std::string_view kScheme = "http://";
  if (it == response.end()) {
    return std::nullopt;
  }
  std::string location(it->value());
  location = location.substr(kScheme.size());
  auto endpoint = ParseEndpoint(location.substr(0, location.find('/')));
  return endpoint ? std::optional(*endpoint) : std::nullopt;
}

}  // namespace

NodeFleet::NodeFleet(asio::io_context& io, FleetOptions options)
    : io_(io), options_(std::move(options)), client_(io) {
  std::filesystem::remove_all(options_.folder);
  std::filesystem::create_directories(options_.folder);
  for (int i = 0; i < options_.control_host_count; ++i) {
    hosts_.push_back(
        {Kind::kControl, i, ++next_last_octet_, true, false, nullptr, nullptr});
  }
  for (int i = 0; i < options_.entry_host_count; ++i) {
    hosts_.push_back(
        {Kind::kEntry, i, ++next_last_octet_, false, false, nullptr, nullptr});
  }
  if (options_.has_unread_logs && ::pipe2(log_pipe_.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("can't create the log pipe");
  }
  UpdateSeeds();
}

void NodeFleet::UpdateSeeds() {
  constexpr size_t kSeeds = 3;
  seeds_ = ControlEndpoints();
  seeds_.resize(std::min(seeds_.size(), kSeeds));
}

NodeFleet::~NodeFleet() {
  for (int fd : log_pipe_) {
    if (fd >= 0) {
      ::close(fd);
    }
  }
}

Endpoint NodeFleet::LoopbackEndpoint(int subnet,
                                     int host_number,
                                     uint16_t port) const {
  return {(127U << 24U) | (static_cast<uint32_t>(options_.network) << 16U) |
              (static_cast<uint32_t>(subnet) << 8U) |
              static_cast<uint32_t>(host_number),
          port};
}

uint16_t NodeFleet::caller_port() const {
  return kPacketsPort;
}

NodeFleet::Host& NodeFleet::FindHost(Kind kind, int index) {
  for (auto& host : hosts_) {
    if (host.kind == kind && host.index == index) {
      return host;
    }
  }
  throw std::out_of_range("the fleet has no host of this kind and index");
}

const NodeFleet::Host& NodeFleet::FindHost(Kind kind, int index) const {
  return const_cast<NodeFleet*>(this)->FindHost(kind, index);
}

std::string NodeFleet::DataFolderOf(const Host& host) const {
  return options_.folder + "/disk-" + std::to_string(host.index);
}

std::string NodeFleet::FormatSettingsYaml(const Host& host) const {
  bool is_entry = host.kind == Kind::kEntry;
  int subnet = is_entry ? kEntrySubnet : kControlSubnet;
  auto at = [&](uint16_t port) {
    return FormatEndpoint(LoopbackEndpoint(subnet, host.last_octet, port));
  };
  std::string text =
      "node:\n  name: " + NameOf(host.kind, host.index) +
      "\n  role: " + (is_entry ? "entry" : "control") +
      "\n  failure_domain: " + FailureDomainOf(host.index) + "\n  address: " +
      FormatAddress(LoopbackEndpoint(subnet, host.last_octet, 0).address) +
      "\n  link_port: " + std::to_string(kPeerLinkPort) + "\n  seeds:\n";
  for (const auto& seed : seeds_) {
    text += "    - " + FormatEndpoint(seed) + "\n";
  }
  text += "  announcement_interval_ms: 300\n  grace_ms: 6000\n";
  if (is_entry) {
    return text + "  packets: " + at(kPacketsPort) +
           "\n  ready: " + at(kReadyPort) + "\n";
  }
  if (options_.has_proxies) {
    text +=
        "  bind_address: " +
        FormatAddress(
            LoopbackEndpoint(kBehindProxySubnet, host.last_octet, 0).address) +
        "\n";
  }
  if (options_.tolerated_disk_losses) {
    text += "  tolerated_disk_losses: " +
            std::to_string(*options_.tolerated_disk_losses) + "\n";
  }
  return text + "  admin: " + at(kAdminPort) +
         "\n  data_folder: " + DataFolderOf(host) +
         "\n  founds_group: " + (host.founds_group ? "true" : "false") + "\n";
}

void NodeFleet::StartAll() {
  for (auto& host : hosts_) {
    StartHost(host.kind, host.index);
  }
}

void NodeFleet::StartHost(Kind kind, int index) {
  auto& host = FindHost(kind, index);
  bool is_behind_proxy = options_.has_proxies && kind == Kind::kControl;
  if (is_behind_proxy && !host.proxy) {
    host.proxy = std::make_unique<FaultProxy>(
        io_, LoopbackEndpoint(kControlSubnet, host.last_octet, kPeerLinkPort),
        LoopbackEndpoint(kBehindProxySubnet, host.last_octet, kPeerLinkPort));
  }
  auto settings = PathOf(host, ".yaml");
  std::ofstream(settings) << FormatSettingsYaml(host);
  std::vector<std::string> arguments{options_.binary, "run", "--config",
                                     settings};
  host.process = options_.has_unread_logs
                     ? std::make_unique<Child>(arguments, log_pipe_[1])
                     : std::make_unique<Child>(arguments, PathOf(host, ".log"));
}

std::string NodeFleet::PathOf(const Host& host,
                              const std::string& suffix) const {
  return options_.folder + "/" + NameOf(host.kind, host.index) + suffix;
}

std::vector<std::string> NodeFleet::LogPaths() const {
  std::vector<std::string> paths;
  for (const auto& host : hosts_) {
    paths.push_back(PathOf(host, ".log"));
  }
  return paths;
}

size_t NodeFleet::ResidentBytes(Kind kind, int index) const {
  const auto& process = FindHost(kind, index).process;
  std::ifstream in("/proc/" + std::to_string(process->pid()) + "/statm");
  size_t total = 0;
  size_t resident = 0;
  in >> total >> resident;
  return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
}

std::optional<std::string> NodeFleet::FetchMetrics(Kind kind,
                                                   int index,
                                                   milliseconds timeout) {
  bool is_entry = kind == Kind::kEntry;
  auto at = LoopbackEndpoint(is_entry ? kEntrySubnet : kControlSubnet,
                             FindHost(kind, index).last_octet,
                             is_entry ? kReadyPort : kAdminPort);
  auto result = Fetch(at, http::Request(http::Verb::get, "/metrics", 11),
                      ReadClock() + Duration(timeout));
  return result.end == http::FetchOutcome::kResponse
             ? std::optional(result.response.body())
             : std::nullopt;
}

void NodeFleet::Signal(Kind kind, int index, int signal_number) {
  auto& host = FindHost(kind, index);
  if (host.process) {
    host.process->Signal(signal_number);
  }
}

void NodeFleet::AwaitExit(Kind kind, int index) {
  auto& host = FindHost(kind, index);
  if (host.process) {
    host.process->Wait();
    host.process.reset();
  }
}

bool NodeFleet::IsRunning(Kind kind, int index) const {
  return FindHost(kind, index).process != nullptr;
}

void NodeFleet::DeleteDataFolder(int index) {
  auto& host = FindHost(Kind::kControl, index);
  std::filesystem::remove_all(DataFolderOf(host));
  host.founds_group = false;
}

std::vector<int> NodeFleet::ControlHosts() const {
  std::vector<int> indexes;
  for (const auto& host : hosts_) {
    if (host.kind == Kind::kControl && !host.is_retired) {
      indexes.push_back(host.index);
    }
  }
  return indexes;
}

int NodeFleet::AddControlHost() {
  auto index = static_cast<int>(std::count_if(
      hosts_.begin(), hosts_.end(),
      [](const Host& host) { return host.kind == Kind::kControl; }));
  hosts_.push_back({Kind::kControl, index, ++next_last_octet_, false, false,
                    nullptr, nullptr});
  StartHost(Kind::kControl, index);
  return index;
}

void NodeFleet::RetireControlHost(int index) {
  FindHost(Kind::kControl, index).is_retired = true;
  UpdateSeeds();
}

void NodeFleet::ReplaceControlHost(int index) {
  DeleteDataFolder(index);
  auto& host = FindHost(Kind::kControl, index);
  host.last_octet = ++next_last_octet_;
  host.proxy.reset();
}

void NodeFleet::BlockLinksBetween(int control_index, int other_index) {
  ProxyFor(control_index).BlockInitiator(NameOf(Kind::kControl, other_index));
  ProxyFor(other_index).BlockInitiator(NameOf(Kind::kControl, control_index));
}

FaultProxy& NodeFleet::ProxyFor(int control_index) {
  return *FindHost(Kind::kControl, control_index).proxy;
}

void NodeFleet::LimitFileSize(int control_index, uint64_t bytes) {
  const auto& process = FindHost(Kind::kControl, control_index).process;
  if (process) {
    rlimit limit{bytes, RLIM_INFINITY};
    ::prlimit(process->pid(), RLIMIT_FSIZE, &limit, nullptr);
  }
}

std::vector<Fabric::EntryHost> NodeFleet::EntryHosts() const {
  std::vector<Fabric::EntryHost> entry_hosts;
  for (const auto& host : hosts_) {
    if (host.kind == Kind::kEntry) {
      entry_hosts.push_back(
          {LoopbackEndpoint(kEntrySubnet, host.last_octet, kPacketsPort),
           LoopbackEndpoint(kEntrySubnet, host.last_octet, kReadyPort)});
    }
  }
  return entry_hosts;
}

std::vector<Endpoint> NodeFleet::ControlEndpoints() const {
  std::vector<Endpoint> endpoints;
  for (const auto& host : hosts_) {
    if (host.kind == Kind::kControl && !host.is_retired) {
      endpoints.push_back(
          LoopbackEndpoint(kControlSubnet, host.last_octet, kAdminPort));
    }
  }
  return endpoints;
}

void NodeFleet::RunFor(milliseconds time) {
  io_.restart();
  io_.run_for(time);
}

http::FetchResult NodeFleet::Fetch(Endpoint to,
                                   http::Request request,
                                   Instant deadline) {
  std::optional<http::FetchResult> result;
  asio::co_spawn(
      io_, client_.Fetch(to, std::move(request), deadline),
      [&](std::exception_ptr, http::FetchResult r) { result = std::move(r); });
  while (!result) {
    RunFor(milliseconds(5));
  }
  return std::move(*result);
}

std::optional<http::Response> NodeFleet::FetchFromControlHosts(
    http::Verb verb,
    const std::string& target,
    const std::string& body,
    milliseconds timeout) {
  Instant deadline = ReadClock() + Duration(timeout);
  std::optional<Endpoint> redirect;
  int redirects = 0;
  while (ReadClock() < deadline) {
    auto endpoints = ControlEndpoints();
    auto to =
        redirect.value_or(endpoints[next_control_host_ % endpoints.size()]);
    http::Request request(verb, target, 11);
    request.body() = body;
    auto result =
        Fetch(to, std::move(request), ReadClock() + Duration(kHttpTimeout));
    redirect.reset();
    bool has_response = result.end == http::FetchOutcome::kResponse;
    if (has_response &&
        result.response.result() == http::Status::temporary_redirect) {
      redirect = ++redirects <= kMaxRedirects
                     ? ParseRedirectEndpoint(result.response)
                     : std::nullopt;
      if (redirect) {
        continue;
      }
    } else if (has_response && result.response.result_int() < 500) {
      return std::move(result.response);
    }
    redirects = 0;
    ++next_control_host_;
    RunFor(milliseconds(50));
  }
  return std::nullopt;
}

std::optional<unsigned> NodeFleet::SendOperatorRequest(
    http::Verb verb,
    const std::string& target,
    const std::string& body,
    milliseconds timeout) {
  auto response = FetchFromControlHosts(verb, target, body, timeout);
  return response ? std::optional(response->result_int()) : std::nullopt;
}

std::optional<std::string> NodeFleet::ReadConfig(milliseconds timeout) {
  auto response =
      FetchFromControlHosts(http::Verb::get, "/-/config", "", timeout);
  return response ? std::optional(response->body()) : std::nullopt;
}

std::string MakeConfig(uint64_t version,
                       const std::vector<RouteSpec>& listeners) {
  std::string routes;
  std::set<std::string> names;
  for (const auto& [endpoint, service, terms] : listeners) {
    names.insert(service);
    routes += (routes.empty() ? "" : ",") +
              (R"({"name":"r)" + std::to_string(endpoint.port)) +
              R"(","host":")" + FormatAddress(endpoint.address) +
              R"(","prefix":"/)" + std::to_string(endpoint.port) + R"(/",)" +
              terms + R"("service":")" + service + R"(","attempts":2})";
  }
  std::string services;
  for (const auto& name : names) {
    services += (services.empty() ? "" : ",") + (R"({"name":")" + name) +
                R"(","healthPath":"/h","maxConns":2000,"proto":"h1",)" +
                R"("tls":false,"warmupS":2.0,"warmupPerS":0.0})";
  }
  return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
         routes + R"(],"services":[)" + services +
         R"(],"limits":{"idleTimeoutMs":15000}})";
}

}  // namespace acaciahold::standins
