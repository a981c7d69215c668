// Callers, fabric and flow upstreams in one thread.

#include "flow_lab.h"

#include <algorithm>
#include <stdexcept>

#include <boost/asio/post.hpp>
#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>
#include <tins/udp.h>

#include "acaciahold/Packet/inner_packet.h"

namespace acaciahold::standins {
namespace {

constexpr std::chrono::milliseconds kTick{5};
constexpr uint32_t kFirstCaller = (10U << 24U) | (200U << 16U) | 1U;
constexpr uint16_t kFirstPort = 10'000;
constexpr uint16_t kPortsPerCaller = 40'000;

std::shared_ptr<host::UdpSocket> Bind(boost::asio::io_context& io,
                                      Endpoint at) {
  auto socket = host::UdpSocket::Bind(io, at, false);
  if (!socket) {
    throw std::runtime_error("can't bind " + FormatEndpoint(at));
  }
  return *socket;
}

std::vector<std::byte> Serialize(Tins::IP packet) {
  auto buf = packet.serialize();
  const auto* begin = reinterpret_cast<const std::byte*>(buf.data());
  return {begin, begin + buf.size()};
}

}  // namespace

std::vector<std::byte> BuildTcp(Endpoint caller,
                                Endpoint service,
                                bool is_syn) {
  Tins::TCP tcp(service.port, caller.port);
  tcp.flags(is_syn ? Tins::TCP::SYN : Tins::TCP::ACK);
  Tins::IP ip(FormatAddress(service.address), FormatAddress(caller.address));
  if (is_syn) {
    return Serialize(ip / tcp);
  }
  return Serialize(ip / tcp / Tins::RawPDU("stock level 12, price 3"));
}

std::vector<std::byte> BuildUdp(Endpoint caller, Endpoint service) {
  Tins::IP ip(FormatAddress(service.address), FormatAddress(caller.address));
  return Serialize(ip / Tins::UDP(service.port, caller.port) /
                   Tins::RawPDU("line up"));
}

FlowLab::FlowLab(std::vector<Endpoint> entry_packets,
                 Endpoint fabric,
                 uint64_t seed)
    : timer_(io_), random_(seed), entries_(std::move(entry_packets)) {
  fabric_ = Bind(io_, fabric);
  fabric_->Start([this](std::span<const std::byte> bytes, Endpoint) {
    OnReturned(bytes);
  });
  Schedule();
  thread_ = std::thread([this] { io_.run(); });
}

FlowLab::~FlowLab() {
  io_.stop();
  thread_.join();
}

void FlowLab::AddUpstream(const LabUpstream& upstream) {
  auto socket = Bind(io_, upstream.at);
  size_t index = 0;
  {
    std::lock_guard lock(mutex_);
    index = upstreams_.size();
    upstreams_.push_back(upstream);
    sockets_.push_back(socket);
  }
  socket->Start([this, index](std::span<const std::byte> bytes, Endpoint) {
    OnArrival(index, bytes);
  });
}

void FlowLab::AddFlows(const std::string& service_name,
                       Endpoint service,
                       int count,
                       std::chrono::milliseconds over) {
  std::lock_guard lock(mutex_);
  Instant now = ReadClock();
  for (int i = 0; i < count; ++i) {
    Flow flow;
    auto n = static_cast<uint32_t>(flows_.size());
    flow.caller = {kFirstCaller + n / kPortsPerCaller,
                   static_cast<uint16_t>(kFirstPort + n % kPortsPerCaller)};
    flow.service = service;
    flow.service_name = service_name;
    flow.syn = BuildTcp(flow.caller, service, true);
    flow.data = BuildTcp(flow.caller, service, false);
    flow.next_send = now + Duration(over) * i / count;
    by_caller_[flow.caller] = flows_.size();
    flows_.push_back(std::move(flow));
  }
}

void FlowLab::RemoveEntry(Endpoint packets) {
  std::lock_guard lock(mutex_);
  std::erase(entries_, packets);
}

void FlowLab::AddEntry(Endpoint packets) {
  std::lock_guard lock(mutex_);
  entries_.push_back(packets);
}

void FlowLab::GiveUpDomain(const std::string& failure_domain) {
  std::lock_guard lock(mutex_);
  for (auto& flow : flows_) {
    bool is_there = flow.home >= 0 && !flow.is_ended &&
                    upstreams_[flow.home].failure_domain == failure_domain;
    if (is_there) {
      flow.is_given_up = true;
      ++report_.given_up;
    }
  }
}

uint64_t FlowLab::TakeArrivals(const std::string& failure_domain) {
  std::lock_guard lock(mutex_);
  return std::exchange(arrivals_[failure_domain], 0);
}

void FlowLab::SendRaw(Endpoint entry, std::span<const std::byte> bytes) {
  fabric_->Send(entry, bytes);
}

FlowReport FlowLab::Report() {
  std::lock_guard lock(mutex_);
  FlowReport report = report_;
  for (const auto& upstream : upstreams_) {
    report
        .open_by_upstream[upstream.service_name][FormatEndpoint(upstream.at)] =
        0;
  }
  for (const auto& flow : flows_) {
    if (flow.home < 0 || flow.is_ended || flow.is_given_up) {
      continue;
    }
    ++report.open;
    const auto& upstream = upstreams_[flow.home];
    ++report
          .open_by_upstream[upstream.service_name][FormatEndpoint(upstream.at)];
  }
  return report;
}

void FlowLab::End(Flow& flow, uint64_t& counter) {
  flow.is_ended = true;
  counter += flow.is_given_up ? 0 : 1;
}

void FlowLab::Schedule() {
  timer_.expires_after(kTick);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      Tick();
      Schedule();
    }
  });
}

void FlowLab::Tick() {
  std::lock_guard lock(mutex_);
  Instant now = ReadClock();
  if (entries_.empty()) {
    return;
  }
  std::uniform_int_distribution<size_t> spread(0, entries_.size() - 1);
  for (auto& flow : flows_) {
    if (flow.is_ended || now < flow.next_send) {
      continue;
    }
    bool is_open = flow.home >= 0;
    if (is_open && !flow.is_given_up &&
        now >= flow.arrived_at + Duration(kStallTimeout)) {
      End(flow, report_.broken_stalled);
      continue;
    }
    flow.next_send =
        now + (is_open ? Duration(kPacketInterval) : Duration(kSynInterval));
    fabric_->Send(entries_[spread(random_)], is_open ? flow.data : flow.syn);
  }
}

void FlowLab::OnArrival(size_t upstream, std::span<const std::byte> bytes) {
  auto parsed = packet::ParseInnerPacket(bytes);
  const auto* fields = std::get_if<packet::InnerPacket>(&parsed);
  std::lock_guard lock(mutex_);
  ++arrivals_[upstreams_[upstream].failure_domain];
  if (!fields) {
    ++report_.changed;
    return;
  }
  if (fields->key.service != upstreams_[upstream].service) {
    ++report_.wrong_service;
  }
  auto it = by_caller_.find(fields->key.caller);
  if (it == by_caller_.end()) {
    return;
  }
  auto& flow = flows_[it->second];
  const auto& sent = fields->opens ? flow.syn : flow.data;
  if (!std::equal(bytes.begin(), bytes.end(), sent.begin(), sent.end())) {
    ++report_.changed;
  }
  if (flow.is_ended) {
    return;
  }
  if (flow.home < 0) {
    flow.home = static_cast<int>(upstream);
    ++report_.opened;
  }
  if (flow.is_given_up) {
    return;
  }
  if (flow.home != static_cast<int>(upstream)) {
    End(flow, report_.broken_moved);
    return;
  }
  flow.arrived_at = ReadClock();
}

void FlowLab::OnReturned(std::span<const std::byte> bytes) {
  auto parsed = packet::ParseInnerPacket(bytes);
  const auto* fields = std::get_if<packet::InnerPacket>(&parsed);
  if (!fields) {
    return;
  }
  std::lock_guard lock(mutex_);
  // A refusal goes from the service to the caller.
  auto it = by_caller_.find(fields->key.service);
  if (it == by_caller_.end()) {
    return;
  }
  auto& flow = flows_[it->second];
  if (flow.is_ended) {
    return;
  }
  if (flow.home < 0) {
    ++report_.refused;
    return;
  }
  // A caller whose flow was given up tries on, so that the tests see whether
  // anything of it still arrives.
  if (!flow.is_given_up) {
    End(flow, report_.broken_reset);
  }
}

}  // namespace acaciahold::standins
