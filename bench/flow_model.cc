// The model's hosts, network, flows and upstreams.

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

constexpr Duration kStep = std::chrono::milliseconds(5);
constexpr Duration kAnnounceInterval = std::chrono::seconds(1);
constexpr Duration kPacketInterval = std::chrono::seconds(2);
constexpr Duration kResendInterval = std::chrono::milliseconds(400);
constexpr Duration kSynInterval = std::chrono::seconds(1);
constexpr Duration kStallTimeout = std::chrono::seconds(8);
constexpr Duration kHostDownTime = std::chrono::seconds(2);
constexpr Duration kUpstreamWarmTime = std::chrono::seconds(3);
constexpr Duration kBaselineViewDelay = std::chrono::seconds(1);
constexpr uint32_t kIdleSeconds = 60;
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

DeploymentSpec Inyange(double load) {
  return MakeSpec("Inyange", 8, 4, std::chrono::milliseconds(1), load);
}

DeploymentSpec Kitami(double load) {
  return MakeSpec("Kitami", 6, 3, std::chrono::microseconds(500), load);
}

FlowModel::FlowModel(const DeploymentSpec& spec, Method method, uint64_t seed)
    : spec_(spec),
      method_(method),
      random_(seed),
      now_(FromUnixMillis(1'700'000'000'000)),
      started_(now_) {
  for (int i = 0; i < spec.failure_domains; ++i) {
    weights_[DomainName(i)] = 100;
  }
  ApplyTable();
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
    host.bytes_carried += host.core->counters.control_bytes_sent +
                          host.core->counters.control_bytes_received;
  }
  host.record.incarnation = static_cast<uint64_t>(ToUnixMillis(now_));
  entry::EntryOptions options;
  options.self = host.record;
  for (const auto& other : hosts_) {
    if (other.record.id != host.record.id &&
        (other.is_up || started_ == now_)) {
      options.seeds.push_back(other.record);
      options.seeds.back().incarnation = 0;
    }
  }
  options.seed = random_();
  options.max_flows = 1'000'000;
  host.core = entry::MakeEntry(options, now_);
  host.is_up = true;
  host.flow_table.clear();
  if (started_ == now_) {
    entry::OnTable(*host.core, table_, now_);
  }
}

size_t FlowModel::AddUpstream(size_t service, int domain) {
  size_t index = upstreams_.size();
  Upstream upstream;
  upstream.service = service;
  auto n = static_cast<uint32_t>(index + 1);
  upstream.said = {spec_.services[service].name,
                   {(10U << 24U) | (50U << 16U) | n, 7000},
                   DomainName(domain),
                   0,
                   0,
                   static_cast<uint64_t>(ToUnixMillis(now_)) + 1,
                   upstream::Phase::kServing};
  upstream.warm_at = now_ + kUpstreamWarmTime;
  upstream_at_[upstream.said.endpoint] = index;
  upstreams_.push_back(upstream);
  return index;
}

void FlowModel::ApplyTable() {
  ++table_.revision;
  table_.rows.clear();
  for (const auto& service : spec_.services) {
    table::VersionedRow row;
    row.revision = table_.revision;
    row.service.name = service.name;
    row.service.address = service.address;
    row.service.limits = {3, service.connections, service.cold};
    row.service.idle_seconds = kIdleSeconds;
    for (const auto& [domain, weight] : weights_) {
      if (!out_domains_.contains(domain)) {
        row.service.failure_domains.push_back({domain, weight});
      }
    }
    table_.rows.push_back(row);
  }
  std::sort(table_.rows.begin(), table_.rows.end(),
            [](const auto& a, const auto& b) {
              return a.service.name < b.service.name;
            });
  // One host hears of it from a control host; the others hear from peers.
  auto up = UpHosts();
  if (!up.empty()) {
    size_t first = up[random_() % up.size()];
    entry::OnTable(*hosts_[first].core, table_, now_);
  }
}

void FlowModel::Open() {
  for (size_t s = 0; s < spec_.services.size(); ++s) {
    for (int i = 0; i < spec_.services[s].upstreams; ++i) {
      AddUpstream(s, i % spec_.failure_domains);
    }
  }
  Run(std::chrono::seconds(12));
  constexpr Duration kOpenTime = std::chrono::seconds(60);
  for (size_t s = 0; s < spec_.services.size(); ++s) {
    const auto& service = spec_.services[s];
    auto count = static_cast<uint64_t>(service.upstreams * service.connections *
                                       service.load);
    for (uint64_t i = 0; i < count; ++i) {
      AddFlow(s, now_ + kOpenTime * i / count);
    }
  }
  Run(kOpenTime + std::chrono::seconds(10));
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
  schedule_.emplace(send_at, index);
  return index;
}

void FlowModel::Run(Duration time) {
  for (Instant end = now_ + time; now_ < end;) {
    Step();
  }
}

void FlowModel::Step() {
  now_ += kStep;
  while (!queue_.empty() && queue_.top().at <= now_) {
    auto action = queue_.top().action;
    queue_.pop();
    action();
  }
  for (size_t i = 0; i < hosts_.size(); ++i) {
    if (hosts_[i].is_up && method_ == Method::kAcaciahold) {
      Perform(i, entry::OnTick(*hosts_[i].core, now_));
    }
  }
  if (now_ >= announce_at_) {
    announce_at_ = now_ + kAnnounceInterval;
    Announce();
  }
  if (now_ >= second_at_) {
    second_at_ = now_ + std::chrono::seconds(1);
    CountControl();
  }
  SendFlows();
  CloseSome();
}

void FlowModel::Announce() {
  for (const auto& upstream : upstreams_) {
    if (!upstream.is_up) {
      continue;
    }
    std::vector<size_t> near;
    for (size_t i : UpHosts()) {
      if (hosts_[i].record.failure_domain == upstream.said.failure_domain) {
        near.push_back(i);
      }
    }
    if (!near.empty()) {
      size_t i = near[random_() % near.size()];
      Perform(i, entry::OnAnnouncement(*hosts_[i].core, upstream.said, now_));
    }
  }
}

void FlowModel::SendFlows() {
  due_.clear();
  auto end = schedule_.upper_bound(now_);
  for (auto it = schedule_.begin(); it != end; ++it) {
    due_.push_back(it->second);
  }
  schedule_.erase(schedule_.begin(), end);
  for (size_t index : due_) {
    auto& flow = flows_[index];
    if (flow.is_ended) {
      continue;
    }
    bool is_open = flow.home >= 0;
    if (is_open && now_ >= flow.arrived_at + kStallTimeout) {
      EndFlow(flow, &tally_.stalled);
      continue;
    }
    Duration wait = is_open ? kPacketInterval : kSynInterval;
    if (is_open && flow.is_waiting) {
      wait = kResendInterval;
    }
    flow.is_waiting = true;
    schedule_.emplace(now_ + wait, index);
    SendPacket(index);
  }
}

void FlowModel::SendPacket(size_t flow_index) {
  auto up = UpHosts();
  if (up.empty()) {
    return;
  }
  ++tally_.packets;
  size_t host = up[random_() % up.size()];
  if (method_ != Method::kAcaciahold) {
    SteerByBaseline(host, flow_index);
    return;
  }
  auto& flow = flows_[flow_index];
  const auto& bytes = flow.home >= 0 ? flow.data : flow.syn;
  Perform(host,
          entry::OnFabricPacket(*hosts_[host].core, bytes, kFabric, now_));
}

std::vector<size_t> FlowModel::Serving(size_t service) const {
  std::vector<size_t> serving;
  for (size_t i = 0; i < upstreams_.size(); ++i) {
    const auto& upstream = upstreams_[i];
    bool is_in = upstream.service == service && upstream.is_up &&
                 upstream.said.phase == upstream::Phase::kServing &&
                 !out_domains_.contains(upstream.said.failure_domain);
    if (is_in) {
      serving.push_back(i);
    }
  }
  return serving;
}

void FlowModel::SteerByBaseline(size_t host_index, size_t flow_index) {
  auto& host = hosts_[host_index];
  auto& flow = flows_[flow_index];
  if (now_ >= host.view_at) {
    host.view.clear();
    for (size_t s = 0; s < spec_.services.size(); ++s) {
      auto serving = Serving(s);
      host.view.insert(host.view.end(), serving.begin(), serving.end());
    }
    host.view_at = now_ + Duration(random_() % kBaselineViewDelay.count());
  }
  std::vector<size_t> view;
  for (size_t i : host.view) {
    if (upstreams_[i].service == flow.service) {
      view.push_back(i);
    }
  }
  auto known = host.flow_table.find(flow.fingerprint);
  int chosen = -1;
  if (method_ == Method::kLocalTable && known != host.flow_table.end()) {
    chosen = known->second;
  } else if (view.empty()) {
    return;
  } else if (method_ == Method::kModulo) {
    chosen = static_cast<int>(view[flow.fingerprint % view.size()]);
  } else {
    chosen = static_cast<int>(
        *std::max_element(view.begin(), view.end(), [&](size_t a, size_t b) {
          return CombineHashes(flow.fingerprint, a) <
                 CombineHashes(flow.fingerprint, b);
        }));
  }
  if (method_ == Method::kLocalTable) {
    host.flow_table[flow.fingerprint] = chosen;
  }
  Post(spec_.latency,
       [this, chosen, flow_index] { Arrive(chosen, flow_index); });
}

void FlowModel::Post(Duration delay, std::function<void()> action) {
  queue_.push({now_ + delay, next_order_++, std::move(action)});
}

bool FlowModel::CanReach(size_t a, size_t b) const {
  return cut_domains_.contains(hosts_[a].record.failure_domain) ==
         cut_domains_.contains(hosts_[b].record.failure_domain);
}

void FlowModel::Perform(size_t from, entry::Actions actions) {
  for (auto& it : actions.datagrams) {
    size_t to = it.to.address - 1;
    Post(spec_.latency, [this, from, to, bytes = std::move(it.bytes)] {
      if (hosts_[to].is_up && CanReach(from, to)) {
        Perform(to, entry::OnPeerDatagram(*hosts_[to].core,
                                          std::as_bytes(std::span(bytes)),
                                          hosts_[from].record.peer, now_));
      }
    });
  }
  for (auto& it : actions.inner) {
    if (it.to == kFabric) {
      OnRefusal(it.bytes);
      continue;
    }
    int upstream = FindUpstream(it.to);
    bool is_cut =
        upstream >= 0 &&
        cut_domains_.contains(upstreams_[upstream].said.failure_domain) !=
            cut_domains_.contains(hosts_[from].record.failure_domain);
    if (!is_cut) {
      Post(spec_.latency, [this, to = it.to, bytes = std::move(it.bytes)] {
        OnArrival(to, bytes);
      });
    }
  }
  for (const auto& pull : actions.pull_handoffs) {
    size_t to = pull.admin.address - 1;
    Post(spec_.latency * 3, [this, from, to, pull] {
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
      auto table = entry::CopyServiceTable(*hosts_[to].core);
      entry::OnTable(*hosts_[from].core, table, now_);
    }
  }
}

int FlowModel::FindUpstream(Endpoint at) const {
  auto it = upstream_at_.find(at);
  return it == upstream_at_.end() ? -1 : static_cast<int>(it->second);
}

void FlowModel::OnArrival(Endpoint at, std::span<const std::byte> bytes) {
  auto parsed = packet::ParseInnerPacket(bytes);
  const auto* fields = std::get_if<packet::InnerPacket>(&parsed);
  int upstream = FindUpstream(at);
  if (!fields || upstream < 0) {
    return;
  }
  auto it = flow_of_caller_.find(fields->key.caller);
  if (it != flow_of_caller_.end()) {
    Arrive(upstream, it->second);
  }
}

void FlowModel::Arrive(int index, size_t flow_index) {
  auto& flow = flows_[flow_index];
  auto& upstream = upstreams_[index];
  if (flow.is_ended || !upstream.is_up) {
    return;
  }
  if (upstream.service != flow.service) {
    ++tally_.wrong_service;
    return;
  }
  if (flow.home < 0) {
    flow.home = index;
    ++tally_.opened;
    ++upstream.open;
    const auto& spec = spec_.services[upstream.service];
    bool is_cold = now_ < upstream.warm_at;
    uint32_t bears = is_cold ? spec.cold : spec.connections;
    tally_.over_limit += upstream.open > bears;
    // The upstream's answer brings the caller's next packet at once.
    schedule_.emplace(now_ + spec_.latency, flow_index);
  }
  if (flow.home != index) {
    EndFlow(flow, &tally_.moved);
    return;
  }
  flow.arrived_at = now_;
  flow.is_waiting = false;
}

void FlowModel::OnRefusal(std::span<const std::byte> bytes) {
  auto parsed = packet::ParseInnerPacket(bytes);
  const auto* fields = std::get_if<packet::InnerPacket>(&parsed);
  if (!fields) {
    return;
  }
  auto it = flow_of_caller_.find(fields->key.service);
  if (it == flow_of_caller_.end() || flows_[it->second].is_ended) {
    return;
  }
  auto& flow = flows_[it->second];
  if (flow.home < 0) {
    ++tally_.refused;
    return;
  }
  EndFlow(flow, &tally_.reset);
}

void FlowModel::EndFlow(Flow& flow, uint64_t* counter) {
  if (flow.home >= 0) {
    auto& home = upstreams_[flow.home];
    --home.open;
    bool is_given_up =
        !home.is_up || out_domains_.contains(home.said.failure_domain);
    if (is_given_up && counter) {
      counter = &tally_.lost;
    }
  }
  flow.is_ended = true;
  if (counter) {
    ++*counter;
  }
}

// Callers close some flows, and others open as many.
void FlowModel::CloseSome() {
  std::chrono::duration<double> step = kStep;
  churn_due_ += spec_.churn_per_second * static_cast<double>(flows_.size()) *
                step.count();
  for (; churn_due_ >= 1; --churn_due_) {
    auto& flow = flows_[random_() % flows_.size()];
    if (flow.is_ended || flow.home < 0) {
      continue;
    }
    size_t service = flow.service;
    EndFlow(flow, nullptr);
    if (method_ == Method::kAcaciahold) {
      auto bytes = flow.data;
      Tins::IP ip(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
      ip.find_pdu<Tins::TCP>()->flags(Tins::TCP::FIN | Tins::TCP::ACK);
      auto buf = ip.serialize();
      auto up = UpHosts();
      if (!up.empty()) {
        size_t host = up[random_() % up.size()];
        Perform(host, entry::OnFabricPacket(*hosts_[host].core,
                                            std::as_bytes(std::span(buf)),
                                            kFabric, now_));
      }
    }
    AddFlow(service, now_ + Duration(random_() % 1'000'000'000));
  }
}

void FlowModel::CountControl() {
  for (auto& host : hosts_) {
    if (!host.core) {
      continue;
    }
    uint64_t bytes = host.bytes_carried +
                     host.core->counters.control_bytes_sent +
                     host.core->counters.control_bytes_received;
    host.worst_second = std::max(host.worst_second, bytes - host.bytes_before);
    host.bytes_before = bytes;
  }
}

void FlowModel::ResetControlBytes() {
  CountControl();
  control_from_ = now_;
  for (auto& host : hosts_) {
    host.worst_second = 0;
    if (host.core) {
      host.bytes_carried = 0;
      host.core->counters.control_bytes_sent = 0;
      host.core->counters.control_bytes_received = 0;
    }
    host.bytes_before = 0;
  }
  tally_ = {};
}

void FlowModel::PrintReasons() const {
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

Tally FlowModel::Totals() {
  CountControl();
  std::chrono::duration<double> time = now_ - control_from_;
  Tally tally = tally_;
  double sum = 0;
  for (const auto& host : hosts_) {
    sum += static_cast<double>(host.bytes_before);
    tally.control_worst =
        std::max(tally.control_worst, static_cast<double>(host.worst_second));
  }
  tally.control_mean = sum / time.count() / spec_.hosts;
  return tally;
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

uint64_t FlowModel::OpenFlows() const {
  uint64_t open = 0;
  for (const auto& upstream : upstreams_) {
    open += upstream.open;
  }
  return open;
}

double FlowModel::Imbalance(size_t service) const {
  double peak = 0;
  double sum = 0;
  auto serving = Serving(service);
  for (size_t i : serving) {
    const auto& upstream = upstreams_[i];
    double load = static_cast<double>(upstream.open) /
                  weights_.at(upstream.said.failure_domain);
    peak = std::max(peak, load);
    sum += load;
  }
  return sum == 0 ? 0 : peak * static_cast<double>(serving.size()) / sum;
}

}  // namespace acaciahold::bench
