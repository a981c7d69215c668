// Keeps the leases of entry hosts and decides what to report.

#include "acaciahold/Node/entry_host_counter.h"

#include <utility>

namespace acaciahold::node {

EntryHostCounter MakeEntryHostCounter(Instant now) {
  EntryHostCounter counter;
  counter.count_deadline = now + kEntryCountDelay;
  return counter;
}

void RenewEntryHostLeases(EntryHostCounter& counter,
                          std::span<const std::string> names,
                          Instant now) {
  for (const auto& name : names) {
    counter.lease_deadlines[name] = now + kEntryHostLease;
  }
}

EntryHostUpdate TakeUpdate(EntryHostCounter& counter,
                           std::vector<std::string> connected,
                           Instant now) {
  RenewEntryHostLeases(counter, connected, now);
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
  if (count != counter.sent_count && now >= counter.count_deadline) {
    counter.sent_count = count;
    update.count = count;
  }
  return update;
}

}  // namespace acaciahold::node
