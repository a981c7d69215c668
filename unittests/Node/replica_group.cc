// Runs a group of replicas in one process.

#include "replica_group.h"

#include <algorithm>
#include <filesystem>
#include <optional>

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <unistd.h>

namespace acaciahold::node {
namespace {

using std::chrono::milliseconds;

constexpr uint32_t kFirstAddress = (127U << 24U) | 1U;
constexpr uint16_t kLinkPort = 7'720;
constexpr milliseconds kJoinInterval{500};
constexpr milliseconds kPollInterval{10};

}  // namespace

ReplicaGroup::ReplicaGroup(std::string_view name,
                           size_t founders,
                           std::optional<uint32_t> tolerated_disk_losses)
    : join_timer_(io_),
      change_timer_(io_),
      read_timer_(io_),
      folder_(std::filesystem::temp_directory_path() /
              (std::string(name) + "-" + std::to_string(::getpid()))),
      tolerated_disk_losses_(tolerated_disk_losses) {
  std::filesystem::remove_all(folder_);
  for (size_t i = 0; i < founders; ++i) {
    AddHostRecord(true);
  }
  for (const auto& host : hosts_) {
    founders_.push_back(host.endpoint);
  }
  for (auto& host : hosts_) {
    StartHost(host);
  }
  SendJoinRequests();
}

ReplicaGroup::~ReplicaGroup() {
  hosts_.clear();
  std::filesystem::remove_all(folder_);
}

ReplicaGroup::Host& ReplicaGroup::AddHostRecord(bool is_founder) {
  Host host;
  host.endpoint = {kFirstAddress + static_cast<uint32_t>(hosts_.size()),
                   kLinkPort};
  host.folder = folder_ + "/" + std::to_string(hosts_.size() + 1);
  host.is_founder = is_founder;
  hosts_.push_back(std::move(host));
  return hosts_.back();
}

ReplicaGroup::Host& ReplicaGroup::AddHost() {
  auto& host = AddHostRecord(false);
  StartHost(host);
  return host;
}

void ReplicaGroup::StartHost(Host& host) {
  ReplicaDriver::Handlers handlers;
  handlers.send = [this, &host](const auto& message) {
    Deliver(host, message);
  };
  handlers.apply = [&host](const auto& entry) { host.applied = entry.payload; };
  handlers.restore = [&host](std::string_view data) { host.applied = data; };
  handlers.snapshot = [&host] { return host.applied; };
  handlers.load_notes = [](auto) {};
  handlers.on_member_change = [] {};
  ReplicaSettings settings{
      host.folder, host.endpoint, {}, tolerated_disk_losses_};
  if (host.is_founder) {
    settings.founders = founders_;
  }
  auto opened = ReplicaDriver::Open(io_, std::move(settings), handlers);
  BOOST_REQUIRE(opened);
  host.driver = std::move(*opened);
  host.driver->Start();
}

void ReplicaGroup::KillHost(Host& host) {
  host.driver.reset();
}

void ReplicaGroup::LoseDisk(Host& host) {
  std::filesystem::remove_all(host.folder);
  host.is_founder = false;
  host.applied.clear();
}

void ReplicaGroup::Deliver(const Host& from,
                           const consensus::Message& message) {
  if (from.is_cut_off) {
    return;
  }
  boost::asio::post(io_, [this, message] {
    for (auto& host : hosts_) {
      bool is_receiver = host.driver && !host.is_cut_off &&
                         host.driver->replica().id == message.to;
      if (is_receiver) {
        host.driver->OnMessage(message);
      }
    }
  });
}

void ReplicaGroup::SendJoinRequests() {
  auto* leader = Leader();
  for (const auto& host : hosts_) {
    bool needs_leader =
        host.driver && !host.is_cut_off && !host.driver->Leader();
    if (needs_leader && leader) {
      leader->driver->OnJoinRequest(host.driver->MakeJoinRequest());
    }
  }
  join_timer_.expires_after(kJoinInterval);
  join_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      SendJoinRequests();
    }
  });
}

void ReplicaGroup::RunFor(milliseconds time) {
  io_.restart();
  io_.run_for(time);
}

bool ReplicaGroup::RunUntil(const std::function<bool()>& condition,
                            milliseconds time) {
  auto deadline = ReadClock() + Duration(time);
  while (!condition()) {
    if (ReadClock() >= deadline) {
      return false;
    }
    RunFor(kPollInterval);
  }
  return true;
}

void ReplicaGroup::SetChangeInterval(milliseconds interval) {
  change_interval_ = interval;
  SendChange();
}

void ReplicaGroup::SetReadInterval(milliseconds interval) {
  read_interval_ = interval;
  SendRead();
}

void ReplicaGroup::SendChange() {
  if (change_interval_ == milliseconds(0)) {
    return;
  }
  if (auto* leader = Leader()) {
    leader->driver->Propose("change-" + std::to_string(next_change_++),
                            [](bool) {});
  }
  change_timer_.expires_after(change_interval_);
  change_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      SendChange();
    }
  });
}

void ReplicaGroup::SendRead() {
  if (read_interval_ == milliseconds(0)) {
    return;
  }
  if (auto* leader = Leader()) {
    leader->driver->ConfirmRead([](bool) {});
  }
  read_timer_.expires_after(read_interval_);
  read_timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      SendRead();
    }
  });
}

ReplicaGroup::Host* ReplicaGroup::Leader() {
  Host* leader = nullptr;
  for (auto& host : hosts_) {
    bool is_newest = host.driver && host.driver->is_leader() &&
                     (!leader || host.driver->replica().hard_state.term >
                                     leader->driver->replica().hard_state.term);
    if (is_newest) {
      leader = &host;
    }
  }
  return leader;
}

bool ReplicaGroup::HasVoters(const std::vector<const Host*>& hosts) {
  auto* leader = Leader();
  if (!leader) {
    return false;
  }
  std::vector<Endpoint> voters;
  for (const auto& member : leader->driver->members()) {
    if (member.is_voter) {
      voters.push_back(member.endpoint);
    }
  }
  return voters.size() == hosts.size() &&
         std::all_of(hosts.begin(), hosts.end(), [&](const Host* host) {
           return std::find(voters.begin(), voters.end(), host->endpoint) !=
                  voters.end();
         });
}

bool ReplicaGroup::CanChange(milliseconds time) {
  auto deadline = ReadClock() + Duration(time);
  while (ReadClock() < deadline) {
    auto outcome = std::make_shared<std::optional<bool>>();
    if (auto* leader = Leader()) {
      leader->driver->Propose(
          "change-" + std::to_string(next_change_++),
          [outcome](bool is_applied) { *outcome = is_applied; });
    }
    RunUntil([&] { return outcome->has_value(); }, milliseconds(200));
    if (outcome->value_or(false)) {
      return true;
    }
  }
  return false;
}

}  // namespace acaciahold::node
