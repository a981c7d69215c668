// Processes, settings and orders of a fleet.

#include "node_fleet.h"

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

// The third part of addresses, by what is there.
constexpr int kEntryGroup = 1;
constexpr int kControlGroup = 4;
constexpr int kBehindProxyGroup = 5;

constexpr uint16_t kPacketsPort = 8'172;
constexpr uint16_t kReadyPort = 8'167;
constexpr uint16_t kAdminPort = 8'166;
constexpr uint16_t kLinkPort = 7'720;
constexpr milliseconds kCallTimeout{1'000};
constexpr int kMaxRedirects = 2;

std::string DomainOf(int index) {
  return "fd" + std::to_string(index % 3 + 1);
}

std::string NameOf(NodeFleet::Kind kind, int index) {
  bool is_entry = kind == NodeFleet::Kind::kEntry;
  return (is_entry ? "entry-" : "control-") + std::to_string(index);
}

std::optional<Endpoint> RedirectedTo(const http::Response& response) {
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
  for (int i = 0; i < options_.control_hosts; ++i) {
    hosts_.push_back(
        {Kind::kControl, i, ++next_address_, true, nullptr, nullptr});
  }
  for (int i = 0; i < options_.entry_hosts; ++i) {
    hosts_.push_back(
        {Kind::kEntry, i, ++next_address_, false, nullptr, nullptr});
  }
  if (options_.has_unread_logs && ::pipe2(log_pipe_.data(), O_CLOEXEC) != 0) {
    throw std::runtime_error("can't make a pipe");
  }
  seeds_ = ControlEndpoints();
  seeds_.resize(std::min<size_t>(seeds_.size(), 3));
}

NodeFleet::~NodeFleet() {
  for (int fd : log_pipe_) {
    if (fd >= 0) {
      ::close(fd);
    }
  }
}

Endpoint NodeFleet::At(int group, int index, uint16_t port) const {
  return {(127U << 24U) | (static_cast<uint32_t>(options_.network) << 16U) |
              (static_cast<uint32_t>(group) << 8U) |
              static_cast<uint32_t>(index),
          port};
}

uint16_t NodeFleet::callers_port() const {
  return kPacketsPort;
}

NodeFleet::Host& NodeFleet::Find(Kind kind, int index) {
  for (auto& host : hosts_) {
    if (host.kind == kind && host.index == index) {
      return host;
    }
  }
  throw std::out_of_range("no such host");
}

const NodeFleet::Host& NodeFleet::Find(Kind kind, int index) const {
  return const_cast<NodeFleet*>(this)->Find(kind, index);
}

std::string NodeFleet::DiskOf(const Host& host) const {
  return options_.folder + "/disk-" + std::to_string(host.index);
}

std::string NodeFleet::Settings(const Host& host) const {
  bool is_entry = host.kind == Kind::kEntry;
  int group = is_entry ? kEntryGroup : kControlGroup;
  auto at = [&](uint16_t port) {
    return FormatEndpoint(At(group, host.address, port));
  };
  std::string text =
      "node:\n  name: " + NameOf(host.kind, host.index) +
      "\n  role: " + (is_entry ? "entry" : "control") +
      "\n  failure_domain: " + DomainOf(host.index) +
      "\n  address: " + FormatAddress(At(group, host.address, 0).address) +
      "\n  link_port: " + std::to_string(kLinkPort) + "\n  seeds:\n";
  for (const auto& seed : seeds_) {
    text += "    - " + FormatEndpoint(seed) + "\n";
  }
  text += "  announcement_interval_ms: 300\n  grace_ms: 6000\n";
  if (is_entry) {
    return text + "  packets: " + at(kPacketsPort) +
           "\n  ready: " + at(kReadyPort) + "\n";
  }
  if (options_.has_proxies) {
    text += "  bind_address: " +
            FormatAddress(At(kBehindProxyGroup, host.address, 0).address) +
            "\n";
  }
  return text + "  admin: " + at(kAdminPort) +
         "\n  data_folder: " + DiskOf(host) +
         "\n  founds_group: " + (host.founds_group ? "true" : "false") + "\n";
}

void NodeFleet::StartAll() {
  for (auto& host : hosts_) {
    StartHost(host.kind, host.index);
  }
}

void NodeFleet::StartHost(Kind kind, int index) {
  auto& host = Find(kind, index);
  bool is_behind_proxy = options_.has_proxies && kind == Kind::kControl;
  if (is_behind_proxy && !host.proxy) {
    host.proxy = std::make_unique<FaultProxy>(
        io_, At(kControlGroup, host.address, kLinkPort),
        At(kBehindProxyGroup, host.address, kLinkPort));
  }
  auto settings = PathOf(host, ".yaml");
  std::ofstream(settings) << Settings(host);
  std::vector<std::string> words{options_.binary, "run", "--config", settings};
  host.process = options_.has_unread_logs
                     ? std::make_unique<Child>(words, log_pipe_[1])
                     : std::make_unique<Child>(words, PathOf(host, ".log"));
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

size_t NodeFleet::MemoryOf(Kind kind, int index) const {
  const auto& process = Find(kind, index).process;
  std::ifstream in("/proc/" + std::to_string(process->pid()) + "/statm");
  size_t total = 0;
  size_t resident = 0;
  in >> total >> resident;
  return resident * static_cast<size_t>(::sysconf(_SC_PAGESIZE));
}

std::optional<std::string> NodeFleet::Metrics(Kind kind,
                                              int index,
                                              milliseconds timeout) {
  bool is_entry = kind == Kind::kEntry;
  auto at = At(is_entry ? kEntryGroup : kControlGroup,
               Find(kind, index).address, is_entry ? kReadyPort : kAdminPort);
  auto result = Fetch(at, http::Request(http::Verb::get, "/metrics", 11),
                      ReadClock() + Duration(timeout));
  return result.end == http::FetchOutcome::kAnswer
             ? std::optional(result.response.body())
             : std::nullopt;
}

void NodeFleet::Signal(Kind kind, int index, int number) {
  auto& host = Find(kind, index);
  if (host.process) {
    host.process->Signal(number);
  }
}

void NodeFleet::AwaitEnd(Kind kind, int index) {
  auto& host = Find(kind, index);
  if (host.process) {
    host.process->Wait();
    host.process.reset();
  }
}

bool NodeFleet::IsRunning(Kind kind, int index) const {
  return Find(kind, index).process != nullptr;
}

void NodeFleet::WipeDisk(int index) {
  auto& host = Find(Kind::kControl, index);
  std::filesystem::remove_all(DiskOf(host));
  host.founds_group = false;
}

void NodeFleet::ReplaceControl(int index) {
  WipeDisk(index);
  auto& host = Find(Kind::kControl, index);
  host.address = ++next_address_;
  host.proxy.reset();
}

void NodeFleet::CutBetween(int control_index, int other_index) {
  ProxyOf(control_index).CutHost(NameOf(Kind::kControl, other_index));
  ProxyOf(other_index).CutHost(NameOf(Kind::kControl, control_index));
}

FaultProxy& NodeFleet::ProxyOf(int control_index) {
  return *Find(Kind::kControl, control_index).proxy;
}

void NodeFleet::LimitFiles(int control_index, uint64_t bytes) {
  const auto& process = Find(Kind::kControl, control_index).process;
  if (process) {
    rlimit limit{bytes, RLIM_INFINITY};
    ::prlimit(process->pid(), RLIMIT_FSIZE, &limit, nullptr);
  }
}

std::vector<Fabric::EntryHost> NodeFleet::EntryHosts() const {
  std::vector<Fabric::EntryHost> entries;
  for (const auto& host : hosts_) {
    if (host.kind == Kind::kEntry) {
      entries.push_back({At(kEntryGroup, host.address, kPacketsPort),
                         At(kEntryGroup, host.address, kReadyPort)});
    }
  }
  return entries;
}

std::vector<Endpoint> NodeFleet::ControlEndpoints() const {
  std::vector<Endpoint> endpoints;
  for (const auto& host : hosts_) {
    if (host.kind == Kind::kControl) {
      endpoints.push_back(At(kControlGroup, host.address, kAdminPort));
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

std::optional<http::Response> NodeFleet::Call(http::Verb verb,
                                              const std::string& target,
                                              const std::string& body,
                                              milliseconds timeout) {
  Instant deadline = ReadClock() + Duration(timeout);
  std::optional<Endpoint> redirect;
  int redirects = 0;
  while (ReadClock() < deadline) {
    auto controls = ControlEndpoints();
    auto to = redirect.value_or(controls[next_control_ % controls.size()]);
    http::Request request(verb, target, 11);
    request.body() = body;
    auto result =
        Fetch(to, std::move(request), ReadClock() + Duration(kCallTimeout));
    redirect.reset();
    bool is_answer = result.end == http::FetchOutcome::kAnswer;
    if (is_answer &&
        result.response.result() == http::Status::temporary_redirect) {
      redirect = ++redirects <= kMaxRedirects ? RedirectedTo(result.response)
                                              : std::nullopt;
      if (redirect) {
        continue;
      }
    } else if (is_answer && result.response.result_int() < 500) {
      return std::move(result.response);
    }
    redirects = 0;
    ++next_control_;
    RunFor(milliseconds(50));
  }
  return std::nullopt;
}

std::optional<unsigned> NodeFleet::Order(http::Verb verb,
                                         const std::string& target,
                                         const std::string& body,
                                         milliseconds timeout) {
  auto response = Call(verb, target, body, timeout);
  return response ? std::optional(response->result_int()) : std::nullopt;
}

std::optional<std::string> NodeFleet::ReadConfig(milliseconds timeout) {
  auto response = Call(http::Verb::get, "/-/config", "", timeout);
  return response ? std::optional(response->body()) : std::nullopt;
}

std::string MakeConfig(
    uint64_t version,
    const std::vector<std::pair<Endpoint, std::string>>& listeners) {
  std::string routes;
  std::set<std::string> names;
  for (const auto& [endpoint, service] : listeners) {
    names.insert(service);
    routes += (routes.empty() ? "" : ",") +
              (R"({"name":"r)" + std::to_string(endpoint.port)) +
              R"(","host":")" + FormatAddress(endpoint.address) +
              R"(","prefix":"/)" + std::to_string(endpoint.port) +
              R"(/","kind":"safe","timeoutMs":800,"goalMs":120,)" +
              R"("priority":2,"service":")" + service + R"(","attempts":2})";
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
