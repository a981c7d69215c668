// Chooses the feed that an entry host reports its load to.

#include "acaciahold/Node/load_reporter.h"

#include "acaciahold/Load/load.h"

namespace acaciahold::node {

bool TakeReportTime(LoadReporter& reporter, Instant now) {
  if (now < reporter.report_deadline) {
    return false;
  }
  reporter.report_deadline = now + load::kReportInterval;
  return true;
}

std::optional<size_t> ChooseReportFeed(std::span<const ReportFeed> feeds,
                                       std::string_view own_domain) {
  std::optional<size_t> chosen;
  for (size_t i = 0; i < feeds.size(); ++i) {
    if (!feeds[i].is_able) {
      continue;
    }
    if (feeds[i].failure_domain == own_domain) {
      return i;
    }
    chosen = chosen.value_or(i);
  }
  return chosen;
}

}  // namespace acaciahold::node
