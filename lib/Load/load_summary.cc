// Sums up digests for the event log and the metrics.

#include "acaciahold/Load/load_summary.h"

namespace acaciahold::load {
namespace {

void AddService(LoadSummary& summary, const ServiceStanding& standing) {
  summary.services[standing.service] = AddUp(standing);
  if (standing.is_short) {
    summary.short_services.insert(standing.service);
  }
}

}  // namespace

DemandAndRoom AddUp(const ServiceStanding& standing) {
  DemandAndRoom sum;
  for (const auto& it : standing.domains) {
    sum.demand += it.demand_slots;
    sum.room += it.slots;
  }
  return sum;
}

LoadSummary Summarize(const LoadDigest& digest) {
  LoadSummary summary;
  for (const auto& it : digest.services) {
    AddService(summary, it);
  }
  for (const auto& it : digest.slow) {
    summary.slow[it.upstream] = it.speed;
  }
  summary.dark.insert(digest.dark.begin(), digest.dark.end());
  return summary;
}

LoadSummary Summarize(const DigestStore& store, Instant now) {
  LoadSummary summary;
  const auto* best = BestDigest(store, now);
  if (!best) {
    return summary;
  }
  for (const auto& [name, it] : best->services) {
    const auto* standing = FreshStanding(store, name, now);
    if (standing) {
      AddService(summary, *standing);
    }
  }
  for (const auto& [id, speed] : best->slow) {
    if (auto fresh = FreshSlow(store, id, now)) {
      summary.slow[id] = *fresh;
    }
  }
  for (auto id : best->dark) {
    if (FreshDark(store, id, now)) {
      summary.dark.insert(id);
    }
  }
  return summary;
}

}  // namespace acaciahold::load
