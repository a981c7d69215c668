// Collects the slots and the requests of one service.

#include "service_demand.h"

#include <algorithm>

namespace acaciahold::load {
namespace {

// Part of a cold upstream's slots that count.
constexpr double kColdPart = 0.5;

}  // namespace

double IntervalSeconds() {
  return std::chrono::duration<double>(kReportInterval).count();
}

bool HasPriority(const catalog::View& view, const std::string& service) {
  const auto& listeners = view.catalog.listeners;
  return std::any_of(listeners.begin(), listeners.end(), [&](const auto& it) {
    return it.terms.priority && catalog::IsTarget(it, service);
  });
}

std::map<std::string, double> SlotsByDomain(
    const std::string& service,
    const catalog::View& view,
    const directory::Directory& directory,
    Instant now) {
  std::map<std::string, double> slots;
  auto ids = directory.by_service.find(service);
  if (ids == directory.by_service.end()) {
    return slots;
  }
  for (auto id : ids->second) {
    const auto& entry = directory.entries.at(id);
    const auto& record = entry.record;
    bool may_serve = record.phase == directory::Phase::kServing &&
                     !entry.is_silent &&
                     !view.domains_out.contains(record.failure_domain);
    if (may_serve) {
      slots[record.failure_domain] +=
          record.slots * (now < entry.cold_deadline ? kColdPart : 1.0);
    }
  }
  return slots;
}

std::vector<RouteDemand> ListRoutes(ServiceHistory& history,
                                    const std::string& service,
                                    const catalog::View& view,
                                    const LoadSums& sums,
                                    double scale) {
  std::map<Endpoint, RouteDemand> routes;
  for (const auto& it : view.catalog.listeners) {
    if (catalog::IsTarget(it, service)) {
      routes[it.endpoint].terms = &it.terms;
    }
  }
  std::erase_if(history.routes,
                [&](const auto& it) { return !routes.contains(it.first); });
  for (const auto& domain : sums.domains) {
    for (const auto& it : domain.routes) {
      if (it.service != service) {
        continue;
      }
      auto& route = routes[it.listener];
      route.arrived += it.arrived * scale / IntervalSeconds();
      route.refused +=
          std::min(it.refused, it.arrived) * scale / IntervalSeconds();
      route.timed += it.timed;
      route.response_seconds += static_cast<double>(it.response_us) / 1e6;
      route.in_flight += it.in_flight * scale;
    }
  }
  std::vector<RouteDemand> list;
  for (auto& [listener, route] : routes) {
    route.listener = listener;
    route.history = &history.routes[listener];
    route.response_seconds /= std::max(1.0, route.timed);
    list.push_back(route);
  }
  return list;
}

}  // namespace acaciahold::load
