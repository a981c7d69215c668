// Builds plans.

#include "acaciahold/Steering/plan.h"

#include <algorithm>

#include "acaciahold/Support/check.h"
#include "acaciahold/Support/hash.h"

namespace acaciahold::steering {
namespace {

// A step of the ramp halves the weight; the first step keeps a sixteenth, so
// that a cold upstream is given a little to warm up on.
uint32_t RampedWeight(uint32_t weight, uint32_t step) {
  constexpr uint32_t kScale = 16;
  uint32_t halvings =
      upstream::kLastRampStep - std::min(step, upstream::kLastRampStep);
  return std::max(1U, (weight * kScale) >> halvings);
}

Target MakeTarget(const table::ServiceRow& row,
                  const upstream::Record& record,
                  const Plan& plan,
                  CellMap& cells) {
  Target target;
  auto phase = record.announcement.phase;
  uint32_t weight = table::WeightOf(row, record.announcement.failure_domain);
  target.id = record.key().id;
  target.endpoint = record.announcement.endpoint;
  target.is_usable = weight > 0 && phase != upstream::Phase::kGone;
  target.takes_new = weight > 0 && phase == upstream::Phase::kServing;
  if (target.takes_new) {
    target.weight = RampedWeight(weight, record.ramp_step);
  }
  uint32_t full = row.limits.connections;
  if (record.announcement.connections > 0) {
    full = std::min(full, record.announcement.connections);
  }
  target.limit = upstream::LimitAtStep(full, row.limits.cold, record.ramp_step);
  target.is_warm = record.ramp_step >= upstream::kLastRampStep;
  auto route =
      RankHosts(plan.hosts, CombineHashes(HashText(row.name), target.id),
                record.announcement.failure_domain);
  target.coordinator = route.owner;
  target.backup_coordinator = route.backup;
  auto& cell = cells[record.key()];
  if (!cell) {
    cell = std::make_shared<admission::AdmissionState>();
  }
  target.cell = cell;
  return target;
}

std::shared_ptr<const ServicePlan> BuildService(const table::ServiceRow& row,
                                                const PlanInputs& inputs,
                                                const Plan& plan,
                                                CellMap& cells) {
  auto service = std::make_shared<ServicePlan>();
  service->name = row.name;
  service->id = HashText(row.name);
  service->idle_timeout = std::chrono::seconds(row.idle_seconds);
  const auto& entries = inputs.registry->entries;
  for (auto it = entries.lower_bound({row.name, 0});
       it != entries.end() && it->first.service == row.name; ++it) {
    service->targets.push_back(MakeTarget(row, it->second.record, plan, cells));
  }
  std::vector<Candidate> candidates;
  for (const auto& target : service->targets) {
    candidates.push_back({target.id, target.weight});
  }
  service->desired = AssignBuckets(service->id, candidates);
  for (uint32_t b = 0; b < kBucketsPerService; ++b) {
    service->routes.push_back(
        RankApart(plan.hosts, CombineHashes(service->id, b)));
  }
  return service;
}

}  // namespace

Route RankHosts(std::span<const PlanHost> hosts,
                uint64_t key,
                std::string_view failure_domain) {
  Route route;
  uint64_t best = 0;
  uint64_t second = 0;
  for (size_t i = 0; i < hosts.size(); ++i) {
    bool is_elsewhere =
        !failure_domain.empty() && hosts[i].failure_domain != failure_domain;
    if (is_elsewhere || hosts[i].is_leaving) {
      continue;
    }
    uint64_t score = RendezvousScore(key, hosts[i].id);
    auto index = static_cast<HostIndex>(i);
    if (route.owner == kNoHost || score > best) {
      route.backup = route.owner;
      second = best;
      route.owner = index;
      best = score;
    } else if (route.backup == kNoHost || score > second) {
      route.backup = index;
      second = score;
    }
  }
  return route;
}

Route RankApart(std::span<const PlanHost> hosts, uint64_t key) {
  Route route = RankHosts(hosts, key, "");
  if (route.owner == kNoHost) {
    return route;
  }
  uint64_t best = 0;
  bool has_other = false;
  for (size_t i = 0; i < hosts.size(); ++i) {
    bool is_near = hosts[i].failure_domain == hosts[route.owner].failure_domain;
    if (is_near || hosts[i].is_leaving) {
      continue;
    }
    uint64_t score = RendezvousScore(key, hosts[i].id);
    if (!has_other || score > best) {
      route.backup = static_cast<HostIndex>(i);
      best = score;
      has_other = true;
    }
  }
  return route;
}

std::shared_ptr<const Plan> BuildPlan(const PlanInputs& inputs,
                                      CellMap& cells,
                                      uint64_t epoch) {
  auto plan = std::make_shared<Plan>();
  plan->epoch = epoch;
  for (const auto& member : inputs.members) {
    bool is_here = member.state == membership::MemberState::kAlive ||
                   member.state == membership::MemberState::kSuspect;
    if (!is_here && member.host.id != inputs.self) {
      continue;
    }
    plan->hosts.push_back({member.host.id, member.host.failure_domain,
                           member.host.peer, member.host.admin,
                           member.state == membership::MemberState::kSuspect,
                           inputs.is_leaving && member.host.id == inputs.self});
  }
  std::sort(plan->hosts.begin(), plan->hosts.end(),
            [](const auto& a, const auto& b) { return a.id < b.id; });
  for (size_t i = 0; i < plan->hosts.size(); ++i) {
    if (plan->hosts[i].id == inputs.self) {
      plan->self = static_cast<HostIndex>(i);
    }
  }
  AssertInvariant(plan->self != kNoHost, "a plan holds its own host");
  for (const auto& host : plan->hosts) {
    if (!host.is_leaving) {
      plan->view = CombineHashes(plan->view, host.id);
    }
  }
  size_t lost = std::count_if(
      inputs.members.begin(), inputs.members.end(), [](const auto& member) {
        return member.state == membership::MemberState::kDead;
      });
  plan->is_minority = lost > plan->hosts.size();
  for (const auto& row : inputs.table->rows) {
    if (row.service.kind != table::ServiceKind::kFlow) {
      continue;
    }
    size_t index = plan->services.size();
    plan->services.push_back(BuildService(row.service, inputs, *plan, cells));
    plan->by_address[PackEndpoint(row.service.address)] = index;
    plan->by_id[plan->services.back()->id] = index;
  }
  return plan;
}

const Target* FindTarget(const ServicePlan& service, upstream::UpstreamId id) {
  auto it = std::lower_bound(
      service.targets.begin(), service.targets.end(), id,
      [](const Target& target, uint64_t key) { return target.id < key; });
  if (it == service.targets.end() || it->id != id) {
    return nullptr;
  }
  return &*it;
}

bool HasHost(const Plan& plan, membership::HostId host) {
  return std::binary_search(
      plan.hosts.begin(), plan.hosts.end(), PlanHost{.id = host},
      [](const PlanHost& a, const PlanHost& b) { return a.id < b.id; });
}

const ServicePlan* FindService(const Plan& plan, uint64_t service_id) {
  auto it = plan.by_id.find(service_id);
  return it == plan.by_id.end() ? nullptr : plan.services[it->second].get();
}

}  // namespace acaciahold::steering
