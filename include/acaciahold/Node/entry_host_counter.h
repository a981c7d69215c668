// Counts the entry hosts of a deployment, and finds out whether all of them
// understand flow tags. Each control host reports the entry hosts connected to
// it to the other control hosts, and sends the result to its entry hosts.
// Performs no I/O.
//
// Hundreds of entry hosts may start at the same time, each connected to several
// control hosts. Reports therefore contain only newly connected hosts:
// repeating all hosts for each new one would make the traffic grow
// quadratically.

#ifndef ACACIAHOLD_NODE_ENTRY_HOST_COUNTER_H_
#define ACACIAHOLD_NODE_ENTRY_HOST_COUNTER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "acaciahold/Support/time.h"

namespace acaciahold::node {

// How long an entry host is counted after it was last reported. It may be
// unreachable only from here, and then keeps using the share of the new-flow
// limits of cold upstreams that follows from the last count it received.
inline constexpr Duration kEntryHostLease = std::chrono::seconds(60);
// After its start a control host sends no count for this long, so that all
// entry hosts can connect to some control host and be reported first.
inline constexpr Duration kEntryCountDelay = std::chrono::seconds(2);

// Whether all entry hosts understand flow tags (see Steering/flow_tags.h), so
// that they may be written. Those of earlier versions don't.
enum class FlowTagSupport : uint32_t {
  kUnknown,  // Not all entry hosts have been reported yet.
  kNotAll,
  kAll,
};

// Combines what several control hosts reported: kNotAll if one reported it,
// kUnknown if none knows.
FlowTagSupport CombineFlowTagSupport(std::span<const FlowTagSupport> reports);

struct EntryHostCounter {
  // When the lease of each entry host in the deployment expires.
  std::map<std::string, Instant> lease_deadlines;
  // Those that understand flow tags. Invariant: has only names of
  // `lease_deadlines`.
  std::set<std::string> flow_tag_readers;
  // Entry hosts connected here that other control hosts have been sent, and
  // whether they were said to understand flow tags.
  std::map<std::string, bool> reported_hosts;
  // Last count sent to entry hosts; 0: none yet.
  uint32_t sent_count = 0;
  // Sent together with the count.
  FlowTagSupport sent_support = FlowTagSupport::kUnknown;
  // When all entry hosts connected here are reported again.
  Instant full_report_deadline;
  Instant count_deadline;  // No count is sent to entry hosts before it.
};

EntryHostCounter MakeEntryHostCounter(Instant now);

// Starts or renews the leases of entry hosts, such as those that another
// control host reported.
void RenewEntryHostLeases(EntryHostCounter& counter,
                          std::span<const std::string> names,
                          Instant now);

// Notes whether entry hosts understand flow tags. Renew their leases first.
void NoteFlowTagReaders(EntryHostCounter& counter,
                        std::span<const std::string> names,
                        bool understand_flow_tags);

// What a control host has to send after a change of the entry hosts.
struct EntryHostUpdate {
  std::vector<std::string> names;  // For other control hosts; may be empty.
  // For entry hosts, if it or the support of flow tags changed.
  std::optional<uint32_t> count;
};

// Renews the leases of `connected`, the entry hosts connected here, and returns
// what to send to other hosts. Call periodically.
EntryHostUpdate TakeUpdate(EntryHostCounter& counter,
                           std::vector<std::string> connected,
                           Instant now);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_ENTRY_HOST_COUNTER_H_
