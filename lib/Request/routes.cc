// Routes of requests, and the choice between places.

#include "acaciahold/Request/routes.h"

#include <algorithm>

#include "acaciahold/Support/hash.h"

namespace acaciahold::request {
namespace {

uint32_t SlotLimit(const table::ServiceRow& row, const upstream::Record& r) {
  uint32_t full = row.limits.slots;
  if (r.announcement.slots > 0) {
    full = std::min(full, r.announcement.slots);
  }
  return upstream::LimitAtStep(full, row.limits.cold, r.ramp_step);
}

void AddRemote(ServiceRoutes& routes,
               const steering::PlanHost& host,
               uint32_t slots) {
  auto it = std::find_if(routes.remote.begin(), routes.remote.end(),
                         [&](const auto& r) { return r.host == host.id; });
  if (it == routes.remote.end()) {
    routes.remote.push_back({host.id, host.admin, 0, host.is_suspect});
    it = std::prev(routes.remote.end());
  }
  it->slots += slots;
}

ServiceRoutes BuildService(const table::ServiceRow& row,
                           const entry::ControlState& control) {
  ServiceRoutes routes;
  const auto& entries = control.registry.entries;
  const auto& self = control.membership.self;
  for (auto it = entries.lower_bound({row.name, 0});
       it != entries.end() && it->first.service == row.name; ++it) {
    const auto& record = it->second.record;
    bool takes_new =
        record.announcement.phase == upstream::Phase::kServing &&
        table::WeightOf(row, record.announcement.failure_domain) > 0;
    auto route = steering::RankHosts(
        control.plan->hosts, CombineHashes(HashText(row.name), it->first.id),
        record.announcement.failure_domain);
    if (!takes_new || route.owner == steering::kNoHost) {
      continue;
    }
    uint32_t limit = SlotLimit(row, record);
    const auto& owner = control.plan->hosts[route.owner];
    if (owner.id == self.id) {
      bool is_new = record.announcement.incarnation > self.incarnation;
      routes.local.push_back(
          {it->first, record.announcement.endpoint, limit, is_new});
      routes.local_slots += limit;
    } else {
      AddRemote(routes, owner, limit);
    }
  }
  return routes;
}

// Load of a place in requests for each slot.
double Load(uint32_t busy, uint32_t waiting, uint32_t slots) {
  return static_cast<double>(busy + waiting) / std::max(1U, slots);
}

struct Place {
  Choice choice;
  uint32_t slots = 0;
  double load = 0;
};

const Place& Draw(const std::vector<Place>& places,
                  uint64_t total,
                  std::mt19937_64& random) {
  std::uniform_int_distribution<uint64_t> spread(0, total - 1);
  uint64_t at = spread(random);
  for (const auto& place : places) {
    if (at < place.slots) {
      return place;
    }
    at -= place.slots;
  }
  return places.back();
}

}  // namespace

std::shared_ptr<const RequestRoutes> RefreshRoutes(
    entry::Entry& entry,
    std::shared_ptr<const RequestRoutes> known) {
  const auto& control = entry.control;
  std::lock_guard lock(control.mutex);
  if (!control.plan || (known && known->epoch == control.plan->epoch)) {
    return known;
  }
  auto routes = std::make_shared<RequestRoutes>();
  routes->epoch = control.plan->epoch;
  routes->self = control.membership.self.id;
  routes->hosts = control.plan->hosts;
  for (const auto& row : control.table.rows) {
    if (row.service.kind == table::ServiceKind::kRequest) {
      routes->services[row.service.name] = BuildService(row.service, control);
    }
  }
  return routes;
}

std::vector<KeyHost> RankKeyHosts(const RequestRoutes& routes,
                                  std::string_view service,
                                  std::string_view key) {
  uint64_t rank_key = CombineHashes(HashText(service), HashText(key));
  std::vector<std::pair<uint64_t, KeyHost>> ranked;
  for (const auto& host : routes.hosts) {
    if (host.is_leaving) {
      continue;
    }
    ranked.emplace_back(steering::RendezvousScore(rank_key, host.id),
                        KeyHost{host.id, host.admin, host.id == routes.self});
  }
  std::sort(ranked.begin(), ranked.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  std::vector<KeyHost> hosts;
  for (auto& [score, host] : ranked) {
    hosts.push_back(host);
  }
  return hosts;
}

std::optional<Choice> Choose(const RequestRoutes& routes,
                             const ServiceRoutes& service,
                             const DispatchLoad& local_load,
                             LoadTable& loads,
                             std::span<const membership::HostId> avoid,
                             std::mt19937_64& random) {
  auto is_avoided = [&](membership::HostId id) {
    return std::find(avoid.begin(), avoid.end(), id) != avoid.end();
  };
  std::vector<Place> places;
  uint64_t total = 0;
  if (local_load.slots > 0 && !is_avoided(routes.self)) {
    places.push_back(
        {{true, {}},
         local_load.slots,
         Load(local_load.busy, local_load.waiting, local_load.slots)});
    total += local_load.slots;
  }
  for (const auto& remote : service.remote) {
    if (remote.slots == 0 || remote.is_suspect || is_avoided(remote.host)) {
      continue;
    }
    const auto& known = loads[remote.host];
    places.push_back({{false, remote},
                      remote.slots,
                      Load(known.load.busy + known.sent_since,
                           known.load.waiting, remote.slots)});
    total += remote.slots;
  }
  if (places.empty()) {
    return std::nullopt;
  }
  const auto& a = Draw(places, total, random);
  const auto& b = Draw(places, total, random);
  return b.load < a.load ? b.choice : a.choice;
}

std::vector<SlotCandidate> CandidatesOf(const ServiceRoutes& service) {
  std::vector<SlotCandidate> candidates;
  for (const auto& target : service.local) {
    candidates.push_back({target.key.id, target.limit});
  }
  return candidates;
}

}  // namespace acaciahold::request
