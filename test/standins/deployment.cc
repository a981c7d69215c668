// Settings, processes and waiting for a deployment.

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
constexpr uint8_t kEntryGroup = 1;
constexpr uint8_t kControlGroup = 2;
constexpr std::chrono::milliseconds kPoll{50};
constexpr std::chrono::seconds kGetTimeout{2};

// The second byte of all addresses: the test's own number, or one from the
// process's number for a run by hand.
uint8_t NetworkNumber() {
  constexpr int kNetworks = 250;
  const char* number = std::getenv("ACACIAHOLD_TEST_NETWORK");
  int n = number ? std::atoi(number) : ::getpid();
  return static_cast<uint8_t>(1 + n % kNetworks);
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
                       const Layout& layout)
    : binary_(std::move(binary)),
      folder_(std::move(folder)),
      layout_(layout),
      second_byte_(NetworkNumber()) {
  std::filesystem::remove_all(folder_);
  std::filesystem::create_directories(folder_);
  for (int i = 0; i < layout.entry_hosts; ++i) {
    EntryHost host;
    host.name = "entry-" + std::to_string(i + 1);
    host.failure_domain = DomainName(i % layout.failure_domains);
    host.packets = StandinAddress(kEntryGroup, i + 1, kPacketsPort);
    host.peer = StandinAddress(kEntryGroup, i + 1, kPeerPort);
    host.requests = StandinAddress(kEntryGroup, i + 1, kRequestsPort);
    host.admin = StandinAddress(kEntryGroup, i + 1, kAdminPort);
    host.config = folder_ + "/" + host.name + ".yaml";
    entries_.push_back(std::move(host));
  }
  for (int i = 0; i < layout.control_hosts; ++i) {
    ControlHost host;
    host.replica_id = static_cast<uint32_t>(i + 1);
    host.admin = StandinAddress(kControlGroup, i + 1, kAdminPort);
    host.config = folder_ + "/control-" + std::to_string(i + 1) + ".yaml";
    host.data_folder = folder_ + "/data-" + std::to_string(i + 1);
    controls_.push_back(std::move(host));
  }
  for (auto& host : entries_) {
    WriteEntrySettings(host);
  }
  for (auto& host : controls_) {
    std::filesystem::create_directories(host.data_folder);
    WriteControlSettings(host);
    RunChild({binary_, "init", "--config", host.config}, folder_ + "/init.log");
  }
}

std::string Deployment::DomainName(int i) const {
  return "fd" + std::to_string(i + 1);
}

Endpoint Deployment::StandinAddress(int group,
                                    int number,
                                    uint16_t port) const {
  uint32_t address = (127U << 24U) | (uint32_t{second_byte_} << 16U) |
                     (static_cast<uint32_t>(group) << 8U) |
                     static_cast<uint32_t>(number);
  return {address, port};
}

std::string Deployment::PeersText() const {
  std::string text = "entry_hosts:\n";
  for (const auto& host : entries_) {
    text += "  - {name: " + host.name +
            ", failure_domain: " + host.failure_domain + ", peer: \"" +
            FormatEndpoint(host.peer) + "\", admin: \"" +
            FormatEndpoint(host.admin) + "\"}\n";
  }
  text += "control_hosts:\n";
  for (const auto& host : controls_) {
    text += "  - {replica_id: " + std::to_string(host.replica_id) +
            ", admin: \"" + FormatEndpoint(host.admin) + "\"}\n";
  }
  return text;
}

void Deployment::WriteEntrySettings(EntryHost& host) const {
  std::ofstream out(host.config);
  out << "name: " << host.name << "\n"
      << "failure_domain: " << host.failure_domain << "\n"
      << "admin: \"" << FormatEndpoint(host.admin) << "\"\n"
      << "roles: [entry]\n"
      << "threads: 2\n"
      << "entry:\n"
      << "  packets: \"" << FormatEndpoint(host.packets) << "\"\n"
      << "  peer: \"" << FormatEndpoint(host.peer) << "\"\n"
      << "  requests: \"" << FormatEndpoint(host.requests) << "\"\n"
      << "  max_body_bytes: " << layout_.max_body_bytes << "\n";
  if (layout_.traces) {
    out << "trace_file: \"" << folder_ << "/" << host.name << ".trace\"\n";
  }
  out << PeersText();
}

void Deployment::WriteControlSettings(ControlHost& host) const {
  std::ofstream out(host.config);
  out << "name: control-" << host.replica_id << "\n"
      << "failure_domain: "
      << DomainName(static_cast<int>(host.replica_id - 1) %
                    layout_.failure_domains)
      << "\n"
      << "admin: \"" << FormatEndpoint(host.admin) << "\"\n"
      << "roles: [control]\n"
      << "threads: 2\n"
      << "control: {replica_id: " << host.replica_id << ", data_folder: \""
      << host.data_folder << "\"}\n"
      << PeersText();
}

void Deployment::StartEntry(size_t i) {
  auto& host = entries_[i];
  host.process.emplace(
      std::vector<std::string>{binary_, "run", "--config", host.config},
      folder_ + "/" + host.name + ".log");
}

void Deployment::StartControl(size_t i) {
  auto& host = controls_[i];
  host.process.emplace(
      std::vector<std::string>{binary_, "run", "--config", host.config},
      folder_ + "/control-" + std::to_string(host.replica_id) + ".log");
}

void Deployment::StartAll() {
  for (size_t i = 0; i < controls_.size(); ++i) {
    StartControl(i);
  }
  for (size_t i = 0; i < entries_.size(); ++i) {
    StartEntry(i);
  }
}

int Deployment::ApplyTable(const std::string& yaml) {
  std::string path = folder_ + "/table.yaml";
  std::ofstream(path) << yaml;
  std::string control;
  for (const auto& host : controls_) {
    control += (control.empty() ? "" : ",") + FormatEndpoint(host.admin);
  }
  return RunChild({binary_, "table", "apply", path, "--control", control},
                  folder_ + "/apply.log");
}

bool Deployment::AwaitRevision(uint64_t revision,
                               std::chrono::seconds timeout) {
  return AwaitCondition(
      [&] {
        for (const auto& host : entries_) {
          if (!host.process || !host.process->is_running()) {
            continue;
          }
          auto status = GetJson(host.admin, "/v1/status");
          if (!status.is_object() ||
              status.at("table_revision").to_number<uint64_t>() < revision) {
            return false;
          }
        }
        return true;
      },
      timeout);
}

bool Deployment::AwaitSettled(size_t upstreams,
                              size_t hosts,
                              std::chrono::seconds timeout) {
  return AwaitCondition(
      [&] {
        for (const auto& host : entries_) {
          if (!host.process || !host.process->is_running()) {
            continue;
          }
          auto status = GetJson(host.admin, "/v1/status");
          if (!status.is_object() || !status.at("is_settled").as_bool() ||
              status.at("upstreams").to_number<size_t>() < upstreams) {
            return false;
          }
          size_t alive = 0;
          for (const auto& it : status.at("members").as_array()) {
            alive += it.at("state").as_string() == "alive";
          }
          if (alive < hosts) {
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
  return result.end == http::FetchOutcome::kAnswer ? result.response.body()
                                                   : "";
}

bool AwaitCondition(const std::function<bool()>& condition,
                    std::chrono::milliseconds timeout) {
  auto deadline = std::chrono::steady_clock::now() + timeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= deadline) {
      return false;
    }
    std::this_thread::sleep_for(kPoll);
  }
  return true;
}

}  // namespace acaciahold::standins
