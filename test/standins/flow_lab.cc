// Simulates callers, fabric and flow upstreams on one thread.

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

constexpr std::chrono::milliseconds kTickInterval{5};
constexpr uint32_t kFirstCallerAddress = (10U << 24U) | (200U << 16U) | 1U;
constexpr uint16_t kFirstPort = 10'000;
constexpr uint16_t kPortsPerCaller = 40'000;

std::shared_ptr<host::UdpSocket> Bind(boost::asio::io_context& io,
                                      Endpoint endpoint) {
  auto socket = host::UdpSocket::Bind(io, endpoint, false);
  if (!socket) {
    throw std::runtime_error("can't bind " + FormatEndpoint(endpoint));
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

FlowSimulator::FlowSimulator(std::vector<Endpoint> entry_endpoints,
                             Endpoint fabric_endpoint,
                             uint64_t seed)
    : timer_(io_), random_(seed), entry_endpoints_(std::move(entry_endpoints)) {
  fabric_socket_ = Bind(io_, fabric_endpoint);
  fabric_socket_->Start([this](std::span<const std::byte> bytes, Endpoint) {
    OnReturnedPacket(bytes);
  });
  ScheduleTick();
  thread_ = std::thread([this] { io_.run(); });
}

FlowSimulator::~FlowSimulator() {
  io_.stop();
  thread_.join();
}

void FlowSimulator::AddUpstream(const FlowUpstream& upstream) {
  auto socket = Bind(io_, upstream.endpoint);
  size_t index = 0;
  {
    std::lock_guard lock(mutex_);
    index = upstreams_.size();
    upstreams_.push_back(upstream);
    upstream_sockets_.push_back(socket);
  }
  socket->Start([this, index](std::span<const std::byte> bytes, Endpoint) {
    OnArrival(index, bytes);
  });
}

void FlowSimulator::AddFlows(const std::string& service_name,
                             Endpoint service,
                             int count,
                             std::chrono::milliseconds period) {
  std::lock_guard lock(mutex_);
  Instant now = ReadClock();
  for (int i = 0; i < count; ++i) {
    Flow flow;
    auto n = static_cast<uint32_t>(flows_.size());
    flow.caller = {kFirstCallerAddress + n / kPortsPerCaller,
                   static_cast<uint16_t>(kFirstPort + n % kPortsPerCaller)};
    flow.service = service;
    flow.service_name = service_name;
    flow.syn = BuildTcp(flow.caller, service, true);
    flow.data = BuildTcp(flow.caller, service, false);
    flow.next_send_at = now + Duration(period) * i / count;
    flow_index_by_caller_[flow.caller] = flows_.size();
    flows_.push_back(std::move(flow));
  }
}

void FlowSimulator::RemoveEntryHost(Endpoint endpoint) {
  std::lock_guard lock(mutex_);
  std::erase(entry_endpoints_, endpoint);
}

void FlowSimulator::AddEntryHost(Endpoint endpoint) {
  std::lock_guard lock(mutex_);
  entry_endpoints_.push_back(endpoint);
}

void FlowSimulator::ExcludeDomain(const std::string& failure_domain) {
  std::lock_guard lock(mutex_);
  for (auto& flow : flows_) {
    bool is_in_domain =
        flow.upstream_index >= 0 && !flow.is_ended &&
        upstreams_[flow.upstream_index].failure_domain == failure_domain;
    if (is_in_domain) {
      flow.is_excluded = true;
      ++report_.excluded;
    }
  }
}

uint64_t FlowSimulator::TakeArrivalCount(const std::string& failure_domain) {
  std::lock_guard lock(mutex_);
  return std::exchange(arrivals_by_domain_[failure_domain], 0);
}

void FlowSimulator::SendRaw(Endpoint entry, std::span<const std::byte> bytes) {
  fabric_socket_->Send(entry, bytes);
}

FlowReport FlowSimulator::Report() {
  std::lock_guard lock(mutex_);
  FlowReport report = report_;
  for (const auto& upstream : upstreams_) {
    report.open_by_upstream[upstream.service_name]
                           [FormatEndpoint(upstream.endpoint)] = 0;
  }
  for (const auto& flow : flows_) {
    if (flow.upstream_index < 0 || flow.is_ended || flow.is_excluded) {
      continue;
    }
    ++report.open;
    const auto& upstream = upstreams_[flow.upstream_index];
    ++report.open_by_upstream[upstream.service_name]
                             [FormatEndpoint(upstream.endpoint)];
  }
  return report;
}

void FlowSimulator::EndFlow(Flow& flow, uint64_t& counter) {
  flow.is_ended = true;
  counter += flow.is_excluded ? 0 : 1;
}

void FlowSimulator::ScheduleTick() {
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      SendDuePackets();
      ScheduleTick();
    }
  });
}

void FlowSimulator::SendDuePackets() {
  std::lock_guard lock(mutex_);
  Instant now = ReadClock();
  if (entry_endpoints_.empty()) {
    return;
  }
  std::uniform_int_distribution<size_t> distribution(
      0, entry_endpoints_.size() - 1);
  for (auto& flow : flows_) {
    if (flow.is_ended || now < flow.next_send_at) {
      continue;
    }
    bool is_open = flow.upstream_index >= 0;
    if (is_open && !flow.is_excluded &&
        now >= flow.last_arrival_at + Duration(kStallTimeout)) {
      EndFlow(flow, report_.broken_stalled);
      continue;
    }
    flow.next_send_at =
        now + (is_open ? Duration(kPacketInterval) : Duration(kSynInterval));
    fabric_socket_->Send(entry_endpoints_[distribution(random_)],
                         is_open ? flow.data : flow.syn);
  }
}

void FlowSimulator::OnArrival(size_t upstream,
                              std::span<const std::byte> bytes) {
  auto parsed = packet::ParseInner(bytes);
  const auto* fields = std::get_if<packet::InnerPacket>(&parsed);
  std::lock_guard lock(mutex_);
  ++arrivals_by_domain_[upstreams_[upstream].failure_domain];
  if (!fields) {
    ++report_.corrupted;
    return;
  }
  if (fields->key.service != upstreams_[upstream].service) {
    ++report_.wrong_service;
  }
  auto it = flow_index_by_caller_.find(fields->key.caller);
  if (it == flow_index_by_caller_.end()) {
    return;
  }
  auto& flow = flows_[it->second];
  const auto& sent = fields->opens ? flow.syn : flow.data;
  if (!std::equal(bytes.begin(), bytes.end(), sent.begin(), sent.end())) {
    ++report_.corrupted;
  }
  if (flow.is_ended) {
    return;
  }
  if (flow.upstream_index < 0) {
    flow.upstream_index = static_cast<int>(upstream);
    ++report_.opened;
  }
  if (flow.is_excluded) {
    return;
  }
  if (flow.upstream_index != static_cast<int>(upstream)) {
    EndFlow(flow, report_.broken_moved);
    return;
  }
  flow.last_arrival_at = ReadClock();
}

void FlowSimulator::OnReturnedPacket(std::span<const std::byte> bytes) {
  auto parsed = packet::ParseInner(bytes);
  const auto* fields = std::get_if<packet::InnerPacket>(&parsed);
  if (!fields) {
    return;
  }
  std::lock_guard lock(mutex_);
  // A reset is sent from the service to the caller, so the parsed "service" is
  // the caller.
  auto it = flow_index_by_caller_.find(fields->key.service);
  if (it == flow_index_by_caller_.end()) {
    return;
  }
  auto& flow = flows_[it->second];
  if (flow.is_ended) {
    return;
  }
  if (flow.upstream_index < 0) {
    ++report_.refused;
    return;
  }
  // The caller of an excluded flow keeps sending, so that tests can check
  // whether any of its packets still arrive.
  if (!flow.is_excluded) {
    EndFlow(flow, report_.broken_reset);
  }
}

}  // namespace acaciahold::standins
