// Metric families of the load that is known across hosts: what a control host
// tells its entry hosts, and what an entry host relies on.

#include "load_metrics.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>
#include <utility>
#include <vector>

#include "acaciahold/Load/load_summary.h"

namespace acaciahold::node {
namespace {

using observe::MetricFamilies;
using Standings = std::vector<const load::ServiceStanding*>;
constexpr auto kGauge = prometheus::MetricType::Gauge;

void AddDigestAge(MetricFamilies& families, Duration age, uint32_t reporters) {
  auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(age);
  families.BeginFamily("acaciahold_load_digest_age_milliseconds",
                       "Age of the load digest in use; 0 if there is none",
                       kGauge);
  families.Add(static_cast<uint64_t>(std::max(millis.count(), int64_t{0})));
  families.BeginFamily("acaciahold_load_reporters",
                       "Entry hosts whose reports are part of it", kGauge);
  families.Add(reporters);
}

// `slots` returns the demand or the room in a failure domain.
template <typename F>
void AddSlots(MetricFamilies& families,
              const char* name,
              const char* help,
              const Standings& standings,
              F slots) {
  families.BeginFamily(name, help, kGauge);
  for (const auto* standing : standings) {
    for (const auto& it : standing->domains) {
      std::array<std::pair<std::string_view, std::string_view>, 2> labels{
          {{"service", standing->service},
           {"failure_domain", it.failure_domain}}};
      families.AddGauge(slots(it), labels);
    }
  }
}

void AddDemandAndRoom(MetricFamilies& families, const Standings& standings) {
  AddSlots(families, "acaciahold_demand_slots",
           "Slots that the requests of a failure domain's callers keep busy",
           standings, [](const auto& it) { return it.demand_slots; });
  AddSlots(families, "acaciahold_room_slots",
           "Slots of a failure domain's upstreams that may take new flows",
           standings, [](const auto& it) { return it.slots; });
}

void AddSummary(MetricFamilies& families, const load::LoadSummary& summary) {
  families.BeginFamily("acaciahold_service_short",
                       "Services with more requests than room", kGauge);
  for (const auto& service : summary.short_services) {
    families.Add(1, "service", service);
  }
  families.BeginFamily("acaciahold_upstreams_slow",
                       "Upstreams that are slower than others of their service",
                       kGauge);
  families.Add(summary.slow.size());
  families.BeginFamily("acaciahold_upstreams_dark",
                       "Upstreams that answer nothing to several hosts",
                       kGauge);
  families.Add(summary.dark.size());
}

void AddCount(MetricFamilies& families,
              const char* name,
              const char* help,
              uint64_t count) {
  families.BeginFamily(name, help);
  families.Add(count);
}

}  // namespace

void AddLoad(MetricFamilies& families, const EntryNode& entry, Instant now) {
  const auto& store = entry.steering().digests;
  const auto* best = load::BestDigest(store, now);
  AddDigestAge(families, best ? now - best->came_at : Duration(),
               best ? best->reporters : 0);
  Standings standings;
  if (best) {
    for (const auto& [name, it] : best->services) {
      standings.push_back(&it);
    }
  }
  AddDemandAndRoom(families, standings);
  AddSummary(families, load::Summarize(store, now));
  AddCount(families, "acaciahold_load_reports_sent_total",
           "Load reports to control hosts", entry.load_reporter().reports_sent);
  AddCount(families, "acaciahold_load_digests_received_total",
           "Load digests of control hosts", store.received);
}

void AddLoad(MetricFamilies& families,
             const ControlNode& control,
             Instant now) {
  const auto& exchange = control.load();
  bool has_digest = exchange.digest_at != Instant();
  AddDigestAge(families, has_digest ? now - exchange.digest_at : Duration(),
               exchange.reporters);
  Standings standings;
  for (const auto& it : exchange.digest.services) {
    standings.push_back(&it);
  }
  AddDemandAndRoom(families, standings);
  AddSummary(families, load::Summarize(exchange.digest));
  AddCount(families, "acaciahold_load_reports_received_total",
           "Load reports of entry hosts", exchange.counts.reports);
  AddCount(families, "acaciahold_load_sums_received_total",
           "Sums of other control hosts", exchange.counts.sums);
  AddCount(families, "acaciahold_load_sums_sent_total",
           "Sums to other control hosts", control.load_sent().sums);
  AddCount(families, "acaciahold_load_digests_sent_total",
           "Load digests to entry hosts", control.load_sent().digests);
}

}  // namespace acaciahold::node
