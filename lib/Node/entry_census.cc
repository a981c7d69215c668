// Keeps the leases of entry hosts and decides what to report.

#include "acaciahold/Node/entry_census.h"

#include <utility>

namespace acaciahold::node {

EntryCensus StartCensus(Instant now) {
  EntryCensus counter;
  counter.count_deadline = now + kEntryCountDelay;
  return counter;
}

void OnEntryHosts(EntryCensus& counter,
                  std::span<const std::string> names,
                  Instant now) {
  for (const auto& name : names) {
    counter.lease_deadlines[name] = now + kEntryHostLease;
  }
}

EntryHostUpdate TakeNews(EntryCensus& counter,
                         std::vector<std::string> connected,
                         Instant now) {
  OnEntryHosts(counter, connected, now);
  std::erase_if(counter.lease_deadlines,
                [&](const auto& it) { return now >= it.second; });
  EntryHostUpdate update;
  std::set<std::string> names(connected.begin(), connected.end());
  if (now >= counter.full_report_deadline) {
    counter.full_report_deadline = now + kEntryHostLease / 3;
    update.names = std::move(connected);
  } else {
    for (const auto& name : names) {
      if (!counter.reported_names.contains(name)) {
        update.names.push_back(name);
      }
    }
  }
  counter.reported_names = std::move(names);
  auto count = static_cast<uint32_t>(counter.lease_deadlines.size());
  if (count != counter.told_count && now >= counter.count_deadline) {
    counter.told_count = count;
    update.count = count;
  }
  return update;
}

}  // namespace acaciahold::node
