// Keeps the leases of entry hosts and decides what to report.

#include "acaciahold/Node/entry_host_counter.h"

#include <algorithm>
#include <utility>

namespace acaciahold::node {
namespace {

void RemoveExpiredLeases(EntryHostCounter& counter, Instant now) {
  std::erase_if(counter.lease_deadlines,
                [&](const auto& it) { return now >= it.second; });
  std::erase_if(counter.flow_tag_readers, [&](const auto& name) {
    return !counter.lease_deadlines.contains(name);
  });
}

// Returns the connected hosts that other control hosts have not been sent as
// they are now.
std::vector<std::string> FindUnreported(
    const EntryHostCounter& counter,
    const std::map<std::string, bool>& connected) {
  std::vector<std::string> names;
  for (const auto& [name, reads_flow_tags] : connected) {
    auto it = counter.reported_hosts.find(name);
    if (it == counter.reported_hosts.end() || it->second != reads_flow_tags) {
      names.push_back(name);
    }
  }
  return names;
}

}  // namespace

FlowTagSupport CombineFlowTagSupport(std::span<const FlowTagSupport> reports) {
  for (auto support : {FlowTagSupport::kNotAll, FlowTagSupport::kAll}) {
    if (std::ranges::find(reports, support) != reports.end()) {
      return support;
    }
  }
  return FlowTagSupport::kUnknown;
}

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

void NoteFlowTagReaders(EntryHostCounter& counter,
                        std::span<const std::string> names,
                        bool understand_flow_tags) {
  for (const auto& name : names) {
    if (understand_flow_tags) {
      counter.flow_tag_readers.insert(name);
    } else {
      counter.flow_tag_readers.erase(name);
    }
  }
}

EntryHostUpdate TakeUpdate(EntryHostCounter& counter,
                           std::vector<std::string> connected,
                           Instant now) {
  RenewEntryHostLeases(counter, connected, now);
  RemoveExpiredLeases(counter, now);
  EntryHostUpdate update;
  std::map<std::string, bool> hosts;
  for (const auto& name : connected) {
    hosts[name] = counter.flow_tag_readers.contains(name);
  }
  if (now >= counter.full_report_deadline) {
    counter.full_report_deadline = now + kEntryHostLease / 3;
    update.names = std::move(connected);
  } else {
    update.names = FindUnreported(counter, hosts);
  }
  counter.reported_hosts = std::move(hosts);
  auto count = static_cast<uint32_t>(counter.lease_deadlines.size());
  auto support = counter.flow_tag_readers.size() == count
                     ? FlowTagSupport::kAll
                     : FlowTagSupport::kNotAll;
  bool is_change = count != counter.sent_count ||
                   (count > 0 && support != counter.sent_support);
  if (is_change && now >= counter.count_deadline) {
    counter.sent_count = count;
    counter.sent_support = count > 0 ? support : FlowTagSupport::kUnknown;
    update.count = count;
  }
  return update;
}

}  // namespace acaciahold::node
