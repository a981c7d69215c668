// Simulates the hosts, network, flows and upstreams of FlowModel.

#include "flow_model.h"

#include <algorithm>
#include <cstdio>

#include <tins/ip.h>
#include <tins/rawpdu.h>
#include <tins/tcp.h>

#include "acaciahold/Packet/inner_packet.h"
#include "acaciahold/Support/hash.h"

namespace acaciahold::bench {
namespace {

constexpr Duration kTimeStep = std::chrono::milliseconds(5);
constexpr Duration kAnnouncementInterval = std::chrono::seconds(1);
constexpr Duration kDataPacketInterval = std::chrono::seconds(2);
constexpr Duration kRetransmitInterval = std::chrono::milliseconds(400);
constexpr Duration kSynRetransmitInterval = std::chrono::seconds(1);
constexpr Duration kStallTimeout = std::chrono::seconds(8);
constexpr Duration kHostDownTime = std::chrono::seconds(2);
constexpr Duration kUpstreamWarmUpTime = std::chrono::seconds(3);
constexpr Duration kMaxBaselineRefreshDelay = std::chrono::seconds(1);
constexpr uint32_t kIdleTimeoutSeconds = 60;
const Endpoint kFabric{(10U << 24U) | 99U, 1};

std::vector<std::byte> BuildPacket(Endpoint caller,
                                   Endpoint service,
                                   bool is_syn) {
  Tins::TCP tcp(service.port, caller.port);
  tcp.flags(is_syn ? Tins::TCP::SYN : Tins::TCP::ACK);
  Tins::IP ip(FormatAddress(service.address), FormatAddress(caller.address));
  Tins::IP packet = ip / tcp;
  auto buf = packet.serialize();
  const auto* begin = reinterpret_cast<const std::byte*>(buf.data());
  return {begin, begin + buf.size()};
}

DeploymentSpec MakeSpec(const std::string& name,
                        int hosts,
                        int domains,
                        Duration latency,
                        double load) {
  Endpoint first{(10U << 24U) | (9U << 16U) | 1U, 7000};
  Endpoint second{(10U << 24U) | (9U << 16U) | 2U, 7000};
  return {name,
          hosts,
          domains,
          latency,
          {{"main", first, 14, 2'000, 50, load},
           {"archive", second, 4, 2'000, 50, load}},
          0.0013};
}

}  // namespace

DeploymentSpec InyangeSpec(double load) {
  return MakeSpec("Inyange", 8, 4, std::chrono::milliseconds(1), load);
}

DeploymentSpec KitamiSpec(double load) {
  return MakeSpec("Kitami", 6, 3, std::chrono::microseconds(500), load);
}

FlowModel::FlowModel(const DeploymentSpec& spec, Method method, uint64_t seed)
    : spec_(spec),
      method_(method),
      random_(seed),
      now_(FromUnixMillis(1'700'000'000'000)),
      start_time_(now_) {
  for (int i = 0; i < spec.failure_domains; ++i) {
    weights_[DomainName(i)] = 100;
  }
  PublishTable();
  for (int i = 0; i < spec.hosts; ++i) {
    AddHost(i % spec.failure_domains);
  }
  for (size_t i = 0; i < hosts_.size(); ++i) {
    StartHost(i);
  }
}

size_t FlowModel::AddHost(int domain) {
  size_t index = hosts_.size();
  Host host;
  std::string name = "entry-" + std::to_string(index + 1);
  auto n = static_cast<uint32_t>(index + 1);
  host.record = {membership::MakeHostId(name),
                 name,
                 DomainName(domain),
                 {n, 1},
                 {n, 2},
                 0};
  hosts_.push_back(std::move(host));
  return index;
}

void FlowModel::StartHost(size_t index) {
  auto& host = hosts_[index];
  if (host.core) {
    host.previous_control_bytes += host.core->counters.control_bytes_sent +
                                   host.core->counters.control_bytes_received;
  }
  host.record.incarnation = static_cast<uint64_t>(ToUnixMillis(now_));
  entry::EntryOptions options;
  options.self = host.record;
  for (const auto& other : hosts_) {
    if (other.record.id != host.record.id &&
        (other.is_up || start_time_ == now_)) {
      options.seeds.push_back(other.record);
      options.seeds.back().incarnation = 0;
    }
  }
  options.seed = random_();
  options.max_flows = 1'000'000;
  host.core = entry::MakeEntry(options, now_);
  host.is_up = true;
  host.flow_table.clear();
  if (start_time_ == now_) {
    entry::OnTable(*host.core, table_, now_);
  }
}

size_t FlowModel::AddUpstream(size_t service, int domain) {
  size_t index = upstreams_.size();
  Upstream upstream;
  upstream.service = service;
  auto n = static_cast<uint32_t>(index + 1);
  upstream.announcement = {spec_.services[service].name,
                           {(10U << 24U) | (50U << 16U) | n, 7000},
                           DomainName(domain),
                           0,
                           0,
                           static_cast<uint64_t>(ToUnixMillis(now_)) + 1,
                           upstream::Phase::kServing};
  upstream.warm_up_end = now_ + kUpstreamWarmUpTime;
  upstream_at_[upstream.announcement.endpoint] = index;
  upstreams_.push_back(upstream);
  return index;
}

void FlowModel::PublishTable() {
  ++table_.revision;
  table_.rows.clear();
  for (const auto& service : spec_.services) {
    table::VersionedRow row;
    row.revision = table_.revision;
    row.service.name = service.name;
    row.service.address = service.address;
    row.service.limits = {3, service.max_connections,
                          service.max_connections_cold};
    row.service.idle_seconds = kIdleTimeoutSeconds;
    for (const auto& [domain, weight] : weights_) {
      if (!out_of_service_domains_.contains(domain)) {
        row.service.failure_domains.push_back({domain, weight});
      }
    }
    table_.rows.push_back(row);
  }
  std::sort(table_.rows.begin(), table_.rows.end(),
            [](const auto& a, const auto& b) {
              return a.service.name < b.service.name;
            });
  // One host receives the table, as from a control host; the other hosts get
  // it from their peers.
  auto up = UpHosts();
  if (!up.empty()) {
    size_t first = up[random_() % up.size()];
    entry::OnTable(*hosts_[first].core, table_, now_);
  }
}

void FlowModel::EstablishFlows() {
  for (size_t s = 0; s < spec_.services.size(); ++s) {
    for (int i = 0; i < spec_.services[s].upstreams; ++i) {
      AddUpstream(s, i % spec_.failure_domains);
    }
  }
  Run(std::chrono::seconds(12));
  constexpr Duration kEstablishTime = std::chrono::seconds(60);
  for (size_t s = 0; s < spec_.services.size(); ++s) {
    const auto& service = spec_.services[s];
    auto count = static_cast<uint64_t>(service.upstreams *
                                       service.max_connections * service.load);
    for (uint64_t i = 0; i < count; ++i) {
      AddFlow(s, now_ + kEstablishTime * i / count);
    }
  }
  Run(kEstablishTime + std::chrono::seconds(10));
}

size_t FlowModel::AddFlow(size_t service, Instant send_at) {
  size_t index = flows_.size();
  Flow flow;
  flow.service = service;
  auto n = static_cast<uint32_t>(index);
  flow.caller = {(10U << 24U) | (200U << 16U) | (n / 40'000 + 1),
                 static_cast<uint16_t>(10'000 + n % 40'000)};
  Endpoint address = spec_.services[service].address;
  flow.syn = BuildPacket(flow.caller, address, true);
  flow.data = BuildPacket(flow.caller, address, false);
  flow.fingerprint =
      packet::Fingerprint({packet::Protocol::kTcp, flow.caller, address});
  flow_of_caller_[flow.caller] = index;
  flows_.push_back(std::move(flow));
  send_schedule_.emplace(send_at, index);
  return index;
}

void FlowModel::Run(Duration duration) {
  for (Instant end = now_ + duration; now_ < end;) {
    AdvanceOneStep();
  }
}

void FlowModel::AdvanceOneStep() {
  now_ += kTimeStep;
  while (!event_queue_.empty() && event_queue_.top().at <= now_) {
    auto action = event_queue_.top().action;
    event_queue_.pop();
    action();
  }
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].is_up && method_ == Method::kAcaciahold) {
      PerformActions(i, entry::OnTick(*hosts_[i].core, now_));
    }
  }
  if (now_ >= next_announcement_) {
    next_announcement_ = now_ + kAnnouncementInterval;
    SendAnnouncements();
  }
  if (now_ >= next_control_sample_) {
    next_control_sample_ = now_ + std::chrono::seconds(1);
    SampleControlBytes();
  }
  SendDuePackets();
  ChurnFlows();
}

void FlowModel::SendAnnouncements() {
  for (const auto& upstream : upstreams_) {
    if (!upstream.is_up) {
      continue;
    }
    std::vector<size_t> local_hosts;
    for (size_t i : UpHosts()) {
      if (hosts_[i].record.failure_domain ==
          upstream.announcement.failure_domain) {
        local_hosts.push_back(i);
      }
    }
    if (!local_hosts.empty()) {
      size_t i = local_hosts[random_() % local_hosts.size()];
      PerformActions(i, entry::OnAnnouncement(*hosts_[i].core,
                                              upstream.announcement, now_));
    }
  }
}

void FlowModel::SendDuePackets() {
  due_flows_.clear();
  auto end = send_schedule_.upper_bound(now_);
  for (auto it = send_schedule_.begin(); it != end; ++it) {
    due_flows_.push_back(it->second);
  }
  send_schedule_.erase(send_schedule_.begin(), end);
  for (size_t index : due_flows_) {
    auto& flow = flows_[index];
    if (flow.is_closed) {
      continue;
    }
    bool is_open = flow.upstream_index >= 0;
    if (is_open && now_ >= flow.last_arrival + kStallTimeout) {
      CloseFlow(flow, &stats_.stalled);
      continue;
    }
    Duration wait = is_open ? kDataPacketInterval : kSynRetransmitInterval;
    if (is_open && flow.is_awaiting_arrival) {
      wait = kRetransmitInterval;
    }
    flow.is_awaiting_arrival = true;
    send_schedule_.emplace(now_ + wait, index);
    SendPacket(index);
  }
}

void FlowModel::SendPacket(size_t flow_index) {
  auto up = UpHosts();
  if (up.empty()) {
    return;
  }
  ++stats_.packets;
  size_t host = up[random_() % up.size()];
  if (method_ != Method::kAcaciahold) {
    SteerByBaseline(host, flow_index);
    return;
  }
  auto& flow = flows_[flow_index];
  const auto& bytes = flow.upstream_index >= 0 ? flow.data : flow.syn;
  PerformActions(
      host, entry::OnFabricPacket(*hosts_[host].core, bytes, kFabric, now_));
}

std::vector<size_t> FlowModel::ServingUpstreams(size_t service) const {
  std::vector<size_t> serving;
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    const auto& upstream = upstreams_[i];
    bool is_serving =
        upstream.service == service && upstream.is_up &&
        upstream.announcement.phase == upstream::Phase::kServing &&
        !out_of_service_domains_.contains(upstream.announcement.failure_domain);
    if (is_serving) {
      serving.push_back(i);
    }
  }
  return serving;
}

void FlowModel::SteerByBaseline(size_t host_index, size_t flow_index) {
  auto& host = hosts_[host_index];
  auto& flow = flows_[flow_index];
  if (now_ >= host.next_refresh) {
    host.known_upstreams.clear();
    for (size_t s = 0; s < spec_.services.size(); ++s) {
      auto serving = ServingUpstreams(s);
      host.known_upstreams.insert(host.known_upstreams.end(), serving.begin(),
                                  serving.end());
    }
    host.next_refresh =
        now_ + Duration(random_() % kMaxBaselineRefreshDelay.count());
  }
  std::vector<size_t> candidates;
  for (size_t i : host.known_upstreams) {
    if (upstreams_[i].service == flow.service) {
      candidates.push_back(i);
    }
  }
  auto known = host.flow_table.find(flow.fingerprint);
  int chosen = -1;
  if (method_ == Method::kLocalTable && known != host.flow_table.end()) {
    chosen = known->second;
  } else if (candidates.empty()) {
    return;
  } else if (method_ == Method::kModulo) {
    chosen = static_cast<int>(candidates[flow.fingerprint % candidates.size()]);
  } else {
    chosen = static_cast<int>(*std::max_element(
        candidates.begin(), candidates.end(), [&](size_t a, size_t b) {
          return CombineHashes(flow.fingerprint, a) <
                 CombineHashes(flow.fingerprint, b);
        }));
  }
  if (method_ == Method::kLocalTable) {
    host.flow_table[flow.fingerprint] = chosen;
  }
  ScheduleAfter(spec_.latency, [this, chosen, flow_index] {
    DeliverToUpstream(chosen, flow_index);
  });
}

void FlowModel::ScheduleAfter(Duration delay, std::function<void()> action) {
  event_queue_.push({now_ + delay, next_sequence_++, std::move(action)});
}

bool FlowModel::CanReach(size_t a, size_t b) const {
  return partitioned_domains_.contains(hosts_[a].record.failure_domain) ==
         partitioned_domains_.contains(hosts_[b].record.failure_domain);
}

void FlowModel::PerformActions(size_t from, entry::Actions actions) {
  for (auto& it : actions.datagrams) {
    size_t to = it.to.address - 1;
    ScheduleAfter(spec_.latency, [this, from, to, bytes = std::move(it.bytes)] {
      if (hosts_[to].is_up && CanReach(from, to)) {
        PerformActions(to,
                       entry::OnPeerDatagram(*hosts_[to].core,
                                             std::as_bytes(std::span(bytes)),
                                             hosts_[from].record.peer, now_));
      }
    });
  }
  for (auto& it : actions.inner) {
    if (it.to == kFabric) {
      OnRefusalPacket(it.bytes);
      continue;
    }
    int upstream = FindUpstream(it.to);
    bool is_partitioned =
        upstream >= 0 &&
        partitioned_domains_.contains(
            upstreams_[upstream].announcement.failure_domain) !=
            partitioned_domains_.contains(hosts_[from].record.failure_domain);
    if (!is_partitioned) {
      ScheduleAfter(spec_.latency,
                    [this, to = it.to, bytes = std::move(it.bytes)] {
                      OnUpstreamPacket(to, bytes);
                    });
    }
  }
  for (const auto& pull : actions.pull_handoffs) {
    size_t to = pull.admin.address - 1;
    ScheduleAfter(spec_.latency * 3, [this, from, to, pull] {
      if (!hosts_[to].is_up || !hosts_[from].is_up || !CanReach(from, to)) {
        return;
      }
      auto handoff = entry::MakeHandoff(
          *hosts_[to].core,
          {hosts_[from].record.id,
           hosts_[from].core->control.membership.self.incarnation, pull.view,
           pull.known_view},
          now_);
      if (handoff) {
        auto bytes = wire::EncodeHandoff(*handoff).size();
        hosts_[to].core->counters.control_bytes_sent += bytes;
        hosts_[from].core->counters.control_bytes_received += bytes;
      }
      entry::OnHandoff(*hosts_[from].core, pull.peer, handoff, now_);
    });
  }
  for (const auto& admin : actions.pull_registries) {
    size_t to = admin.address - 1;
    if (hosts_[to].is_up && CanReach(from, to)) {
      auto records = upstream::Snapshot(hosts_[to].core->control.registry);
      hosts_[to].core->counters.control_bytes_sent += records.size() * 200;
      entry::OnRegistry(*hosts_[from].core, records, now_);
    }
  }
  for (const auto& admin : actions.pull_tables) {
    size_t to = admin.address - 1;
    if (hosts_[to].is_up && CanReach(from, to)) {
      auto table = entry::TableOf(*hosts_[to].core);
      entry::OnTable(*hosts_[from].core, table, now_);
    }
  }
}

int FlowModel::FindUpstream(Endpoint at) const {
  auto it = upstream_at_.find(at);
  return it == upstream_at_.end() ? -1 : static_cast<int>(it->second);
}

void FlowModel::OnUpstreamPacket(Endpoint at,
                                 std::span<const std::byte> bytes) {
  auto parsed = packet::ParseInner(bytes);
  const auto* fields = std::get_if<packet::InnerPacket>(&parsed);
  int upstream = FindUpstream(at);
  if (!fields || upstream < 0) {
    return;
  }
  auto it = flow_of_caller_.find(fields->key.caller);
  if (it != flow_of_caller_.end()) {
    DeliverToUpstream(upstream, it->second);
  }
}

void FlowModel::DeliverToUpstream(int index, size_t flow_index) {
  auto& flow = flows_[flow_index];
  auto& upstream = upstreams_[index];
  if (flow.is_closed || !upstream.is_up) {
    return;
  }
  if (upstream.service != flow.service) {
    ++stats_.wrong_service_packets;
    return;
  }
  if (flow.upstream_index < 0) {
    flow.upstream_index = index;
    ++stats_.opened;
    ++upstream.open_flows;
    const auto& spec = spec_.services[upstream.service];
    bool is_cold = now_ < upstream.warm_up_end;
    uint32_t connection_limit =
        is_cold ? spec.max_connections_cold : spec.max_connections;
    stats_.over_limit += upstream.open_flows > connection_limit;
    // The caller sends its next packet as soon as the upstream's answer
    // arrives.
    send_schedule_.emplace(now_ + spec_.latency, flow_index);
  }
  if (flow.upstream_index != index) {
    CloseFlow(flow, &stats_.moved);
    return;
  }
  flow.last_arrival = now_;
  flow.is_awaiting_arrival = false;
}

void FlowModel::OnRefusalPacket(std::span<const std::byte> bytes) {
  auto parsed = packet::ParseInner(bytes);
  const auto* fields = std::get_if<packet::InnerPacket>(&parsed);
  if (!fields) {
    return;
  }
  auto it = flow_of_caller_.find(fields->key.service);
  if (it == flow_of_caller_.end() || flows_[it->second].is_closed) {
    return;
  }
  auto& flow = flows_[it->second];
  if (flow.upstream_index < 0) {
    ++stats_.refused_openings;
    return;
  }
  CloseFlow(flow, &stats_.reset);
}

void FlowModel::CloseFlow(Flow& flow, uint64_t* counter) {
  if (flow.upstream_index >= 0) {
    auto& upstream = upstreams_[flow.upstream_index];
    --upstream.open_flows;
    bool is_upstream_lost =
        !upstream.is_up ||
        out_of_service_domains_.contains(upstream.announcement.failure_domain);
    if (is_upstream_lost && counter) {
      counter = &stats_.lost;
    }
  }
  flow.is_closed = true;
  if (counter) {
    ++*counter;
  }
}

// Closes randomly chosen flows at the churn rate and opens a new flow for each.
void FlowModel::ChurnFlows() {
  std::chrono::duration<double> step = kTimeStep;
  pending_closes_ += spec_.churn_per_second *
                     static_cast<double>(flows_.size()) * step.count();
  for (; pending_closes_ >= 1; --pending_closes_) {
    auto& flow = flows_[random_() % flows_.size()];
    if (flow.is_closed || flow.upstream_index < 0) {
      continue;
    }
    size_t service = flow.service;
    CloseFlow(flow, nullptr);
    if (method_ == Method::kAcaciahold) {
      auto bytes = flow.data;
      Tins::IP ip(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
      ip.find_pdu<Tins::TCP>()->flags(Tins::TCP::FIN | Tins::TCP::ACK);
      auto buf = ip.serialize();
      auto up = UpHosts();
      if (!up.empty()) {
        size_t host = up[random_() % up.size()];
        PerformActions(host, entry::OnFabricPacket(
                                 *hosts_[host].core,
                                 std::as_bytes(std::span(buf)), kFabric, now_));
      }
    }
    AddFlow(service, now_ + Duration(random_() % 1'000'000'000));
  }
}

void FlowModel::SampleControlBytes() {
  for (auto& host : hosts_) {
    if (!host.core) {
      continue;
    }
    uint64_t bytes = host.previous_control_bytes +
                     host.core->counters.control_bytes_sent +
                     host.core->counters.control_bytes_received;
    host.max_control_bytes_per_second = std::max(
        host.max_control_bytes_per_second, bytes - host.sampled_control_bytes);
    host.sampled_control_bytes = bytes;
  }
}

void FlowModel::ResetStats() {
  SampleControlBytes();
  stats_start_ = now_;
  for (auto& host : hosts_) {
    host.max_control_bytes_per_second = 0;
    if (host.core) {
      host.previous_control_bytes = 0;
      host.core->counters.control_bytes_sent = 0;
      host.core->counters.control_bytes_received = 0;
    }
    host.sampled_control_bytes = 0;
  }
  stats_ = {};
}

void FlowModel::PrintHostCounters() const {
  for (const auto& host : hosts_) {
    const auto& c = host.core->counters;
    std::printf("  %s %s: forwarded %llu passed %llu parked %llu",
                host.record.name.c_str(), host.is_up ? "up" : "down",
                static_cast<unsigned long long>(c.forwarded),
                static_cast<unsigned long long>(c.passed),
                static_cast<unsigned long long>(c.parked));
    for (size_t i = 0; i <= static_cast<size_t>(steering::Reason::kTableFull);
         ++i) {
      auto name = steering::ReasonName(static_cast<steering::Reason>(i));
      if (c.dropped[i] + c.refused[i] > 0) {
        std::printf(" %.*s %llu/%llu", static_cast<int>(name.size()),
                    name.data(), static_cast<unsigned long long>(c.dropped[i]),
                    static_cast<unsigned long long>(c.refused[i]));
      }
    }
    unsigned long long control = c.control_bytes_sent;
    control += c.control_bytes_received;
    std::printf(" control %llu\n", control);
  }
}

RunStats FlowModel::CollectStats() {
  SampleControlBytes();
  std::chrono::duration<double> time = now_ - stats_start_;
  RunStats stats = stats_;
  double sum = 0;
  for (const auto& host : hosts_) {
    sum += static_cast<double>(host.sampled_control_bytes);
    stats.control_bytes_per_second_max =
        std::max(stats.control_bytes_per_second_max,
                 static_cast<double>(host.max_control_bytes_per_second));
  }
  stats.control_bytes_per_second_mean = sum / time.count() / spec_.hosts;
  return stats;
}

std::vector<size_t> FlowModel::UpHosts() const {
  std::vector<size_t> up;
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].is_up) {
      up.push_back(i);
    }
  }
  return up;
}

uint64_t FlowModel::CountOpenFlows() const {
  uint64_t open_flows = 0;
  for (const auto& upstream : upstreams_) {
    open_flows += upstream.open_flows;
  }
  return open_flows;
}

double FlowModel::Imbalance(size_t service) const {
  double peak = 0;
  double sum = 0;
  auto serving = ServingUpstreams(service);
  for (size_t i : serving) {
    const auto& upstream = upstreams_[i];
    double load = static_cast<double>(upstream.open_flows) /
                  weights_.at(upstream.announcement.failure_domain);
    peak = std::max(peak, load);
    sum += load;
  }
  return sum == 0 ? 0 : peak * static_cast<double>(serving.size()) / sum;
}

}  // namespace acaciahold::bench
