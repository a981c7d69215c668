// Decides to which feed an entry host reports its load, and keeps what it
// logged of the digests. Performs no I/O.

#ifndef ACACIAHOLD_NODE_LOAD_REPORTER_H_
#define ACACIAHOLD_NODE_LOAD_REPORTER_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "acaciahold/Load/load_summary.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::node {

struct LoadReporter {
  Instant report_deadline;    // When the next report is due.
  load::LoadSummary logged;   // What the event log says of the load.
  uint64_t reports_sent = 0;  // Counter for metrics.
};

// A feed that a report may go to.
struct ReportFeed {
  std::string failure_domain;  // Of the control host; empty if unknown.
  // It is reachable and has sent a digest on its present connection, which
  // shows that it understands reports.
  bool is_able = false;
};

// Whether a report is due. If so, the next one is due kReportInterval later.
bool TakeReportTime(LoadReporter& reporter, Instant now);

// Returns the index of the one feed that gets the report, so that each request
// counts once: the first able one of the host's own failure domain, else the
// first able one. Nothing if there is none.
std::optional<size_t> ChooseReportFeed(std::span<const ReportFeed> feeds,
                                       std::string_view own_domain);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_LOAD_REPORTER_H_
