// Writes the settings of a deployment, starts its processes and polls their
// status.

#include "deployment.h"

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json.hpp>
#include <unistd.h>

#include "acaciahold/Http/client.h"

namespace acaciahold::standins {
namespace {

constexpr uint16_t kPacketsPort = 5555;
constexpr uint16_t kPeerPort = 5556;
constexpr uint16_t kRequestsPort = 8080;
constexpr uint16_t kAdminPort = 9090;
constexpr uint8_t kEntrySubnet = 1;
constexpr uint8_t kControlSubnet = 2;
constexpr std::chrono::milliseconds kPollInterval{50};
constexpr std::chrono::seconds kGetTimeout{2};

// Returns the second octet of all addresses. It is derived from
// ACACIAHOLD_TEST_NETWORK, which CTest sets for each test, or from the process
// id if the variable is not set.
uint8_t NetworkNumber() {
  constexpr int kNetworkCount = 250;
  const char* number = std::getenv("ACACIAHOLD_TEST_NETWORK");
  int n = number ? std::atoi(number) : ::getpid();
  return static_cast<uint8_t>(1 + n % kNetworkCount);
}

http::FetchResult Get(Endpoint admin, const std::string& target) {
  boost::asio::io_context io;
  http::Client client(io);
  http::FetchResult result;
  boost::asio::co_spawn(io,
                        client.Fetch(admin, {http::Verb::get, target, 11},
                                     ReadClock() + Duration(kGetTimeout)),
                        [&](std::exception_ptr, http::FetchResult fetched) {
                          result = std::move(fetched);
                        });
  io.run();
  return result;
}

}  // namespace

Deployment::Deployment(std::string binary,
                       std::string folder,
                       const DeploymentOptions& options)
    : binary_(std::move(binary)),
      folder_(std::move(folder)),
      options_(options),
      network_number_(NetworkNumber()) {
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  for (int i = 0; i < options.entry_host_count; ++i) {
    EntryHost host;
    host.name = "entry-" + std::to_string(i + 1);
    host.failure_domain = FailureDomainName(i % options.failure_domain_count);
    host.packet_endpoint = LoopbackEndpoint(kEntrySubnet, i + 1, kPacketsPort);
    host.peer_endpoint = LoopbackEndpoint(kEntrySubnet, i + 1, kPeerPort);
    host.request_endpoint =
        LoopbackEndpoint(kEntrySubnet, i + 1, kRequestsPort);
    host.admin_endpoint = LoopbackEndpoint(kEntrySubnet, i + 1, kAdminPort);
    host.settings_path = folder_ + "/" + host.name + ".yaml";
    entry_hosts_.push_back(std::move(host));
  }
  for (int i = 0; i < options.control_host_count; ++i) {
    ControlHost host;
    host.replica_id = static_cast<uint32_t>(i + 1);
    host.admin_endpoint = LoopbackEndpoint(kControlSubnet, i + 1, kAdminPort);
    host.settings_path =
        folder_ + "/control-" + std::to_string(i + 1) + ".yaml";
    host.data_folder = folder_ + "/data-" + std::to_string(i + 1);
    control_hosts_.push_back(std::move(host));
  }
  for (auto& host : entry_hosts_) {
    WriteEntrySettings(host);
  }
  for (auto& host : control_hosts_) {
    std::filesystem::create_directories(host.data_folder);
    WriteControlSettings(host);
    RunChild({binary_, "init", "--config", host.settings_path},
             folder_ + "/init.log");
  }
}

std::string Deployment::FailureDomainName(int i) const {
  return "fd" + std::to_string(i + 1);
}

Endpoint Deployment::LoopbackEndpoint(int subnet,
                                      int host_number,
                                      uint16_t port) const {
  uint32_t address = (127U << 24U) | (uint32_t{network_number_} << 16U) |
                     (static_cast<uint32_t>(subnet) << 8U) |
                     static_cast<uint32_t>(host_number);
  return {address, port};
}

std::string Deployment::FormatHostListYaml() const {
  std::string text = "entry_hosts:\n";
  for (const auto& host : entry_hosts_) {
    text += "  - {name: " + host.name +
            ", failure_domain: " + host.failure_domain + ", peer: \"" +
            FormatEndpoint(host.peer_endpoint) + "\", admin: \"" +
            FormatEndpoint(host.admin_endpoint) + "\"}\n";
  }
  text += "control_hosts:\n";
  for (const auto& host : control_hosts_) {
    text += "  - {replica_id: " + std::to_string(host.replica_id) +
            ", admin: \"" + FormatEndpoint(host.admin_endpoint) + "\"}\n";
  }
  return text;
}

void Deployment::WriteEntrySettings(EntryHost& host) const {
  std::ofstream out(host.settings_path);
  out << "name: " << host.name << "\n"
      << "failure_domain: " << host.failure_domain << "\n"
      << "admin: \"" << FormatEndpoint(host.admin_endpoint) << "\"\n"
      << "roles: [entry]\n"
      << "threads: 2\n"
      << "entry:\n"
      << "  packets: \"" << FormatEndpoint(host.packet_endpoint) << "\"\n"
      << "  peer: \"" << FormatEndpoint(host.peer_endpoint) << "\"\n"
      << "  requests: \"" << FormatEndpoint(host.request_endpoint) << "\"\n"
      << "  max_body_bytes: " << options_.max_body_bytes << "\n";
  if (options_.enable_tracing) {
    out << "trace_file: \"" << folder_ << "/" << host.name << ".trace\"\n";
  }
  out << FormatHostListYaml();
}

void Deployment::WriteControlSettings(ControlHost& host) const {
  std::ofstream out(host.settings_path);
  out << "name: control-" << host.replica_id << "\n"
      << "failure_domain: "
      << FailureDomainName(static_cast<int>(host.replica_id - 1) %
                           options_.failure_domain_count)
      << "\n"
      << "admin: \"" << FormatEndpoint(host.admin_endpoint) << "\"\n"
      << "roles: [control]\n"
      << "threads: 2\n"
      << "control: {replica_id: " << host.replica_id << ", data_folder: \""
      << host.data_folder << "\"}\n"
      << FormatHostListYaml();
}

void Deployment::StartEntryHost(size_t i) {
  auto& host = entry_hosts_[i];
  host.process.emplace(
      std::vector<std::string>{binary_, "run", "--config", host.settings_path},
      folder_ + "/" + host.name + ".log");
}

void Deployment::StartControlHost(size_t i) {
  auto& host = control_hosts_[i];
  host.process.emplace(
      std::vector<std::string>{binary_, "run", "--config", host.settings_path},
      folder_ + "/control-" + std::to_string(host.replica_id) + ".log");
}

void Deployment::StartAll() {
  for (size_t i = 0; i < control_hosts_.size(); ++i) {
    StartControlHost(i);
  }
  for (size_t i = 0; i < entry_hosts_.size(); ++i) {
    StartEntryHost(i);
  }
}

int Deployment::ApplyTable(const std::string& yaml) {
  std::string path = folder_ + "/table.yaml";
  std::ofstream(path) << yaml;
  std::string control_endpoints;
  for (const auto& host : control_hosts_) {
    control_endpoints += (control_endpoints.empty() ? "" : ",") +
                         FormatEndpoint(host.admin_endpoint);
  }
  return RunChild(
      {binary_, "table", "apply", path, "--control", control_endpoints},
      folder_ + "/apply.log");
}

bool Deployment::AwaitRevision(uint64_t revision,
                               std::chrono::seconds timeout) {
  return AwaitCondition(
      [&] {
        for (const auto& host : entry_hosts_) {
          if (!host.process || !host.process->is_running()) {
            continue;
          }
          auto status = GetJson(host.admin_endpoint, "/v1/status");
          if (!status.is_object() ||
              status.at("table_revision").to_number<uint64_t>() < revision) {
            return false;
          }
        }
        return true;
      },
      timeout);
}

bool Deployment::AwaitSettled(size_t min_upstreams,
                              size_t min_alive_hosts,
                              std::chrono::seconds timeout) {
  return AwaitCondition(
      [&] {
        for (const auto& host : entry_hosts_) {
          if (!host.process || !host.process->is_running()) {
            continue;
          }
          auto status = GetJson(host.admin_endpoint, "/v1/status");
          if (!status.is_object() || !status.at("is_settled").as_bool() ||
              status.at("upstreams").to_number<size_t>() < min_upstreams) {
            return false;
          }
          size_t alive = 0;
          for (const auto& it : status.at("members").as_array()) {
            alive += it.at("state").as_string() == "alive";
          }
          if (alive < min_alive_hosts) {
            return false;
          }
        }
        return true;
      },
      timeout);
}

boost::json::value GetJson(Endpoint admin, const std::string& target) {
  boost::json::error_code ec;
  auto text = GetText(admin, target);
  auto value = boost::json::parse(text, ec);
  return ec ? boost::json::value() : value;
}

std::string GetText(Endpoint admin, const std::string& target) {
  auto result = Get(admin, target);
  return result.end == http::FetchEnd::kAnswer ? result.response.body() : "";
}

bool AwaitCondition(const std::function<bool()>& condition,
                    std::chrono::milliseconds timeout) {
  auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace acaciahold::standins
