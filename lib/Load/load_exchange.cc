// Adds up what entry hosts and other control hosts report, and makes digests.

#include "acaciahold/Load/load_exchange.h"

#include <algorithm>
#include <map>
#include <utility>

namespace acaciahold::load {
namespace {

uint64_t CountRows(const LoadSums& sums) {
  uint64_t n = sums.responses.size();
  for (const auto& it : sums.domains) {
    n += it.routes.size();
  }
  return n;
}

// Returns which rows to use, and marks the report or sums as used.
template <typename T>
Rows TakeRows(T& it) {
  return std::exchange(it.is_used, true) ? Rows::kRoutesOnly : Rows::kAll;
}

// Adds the responses of a report or sums that no interval has used yet to the
// newer one that replaces it. The same hosts may have counted overdue requests
// in both.
void KeepResponses(std::vector<ResponseSample>& newer,
                   const std::vector<ResponseSample>& older) {
  std::map<std::pair<directory::UpstreamId, Endpoint>, ResponseSample*> known;
  for (auto& it : newer) {
    known[{it.upstream, it.listener}] = &it;
  }
  std::vector<ResponseSample> others;
  for (const auto& it : older) {
    auto found = known.find({it.upstream, it.listener});
    if (found == known.end()) {
      others.push_back(it);
      continue;
    }
    auto& sum = *found->second;
    sum.answered += it.answered;
    sum.timed += it.timed;
    sum.response_us += it.response_us;
    sum.overdue += it.overdue;
    sum.overdue_hosts = std::max(sum.overdue_hosts, it.overdue_hosts);
  }
  newer.insert(newer.end(), others.begin(), others.end());
}

LoadSums SumOfReports(LoadExchange& exchange, Instant now) {
  std::erase_if(exchange.reports, [&](const auto& it) {
    return now > it.second.came_at + kMaxReportAge;
  });
  LoadSums own;
  for (auto& [name, it] : exchange.reports) {
    AppendReport(own, it.failure_domain, it.report, TakeRows(it));
  }
  exchange.counts.rows += CountRows(own);
  MergeRows(own);
  return own;
}

LoadSums SumOfAll(LoadExchange& exchange, const LoadSums& own, Instant now) {
  std::erase_if(exchange.sums, [&](const auto& it) {
    return now > it.second.came_at + kMaxAge;
  });
  LoadSums total = own;
  for (auto& [from, it] : exchange.sums) {
    AppendSums(total, it.sums, TakeRows(it));
  }
  exchange.counts.rows += CountRows(total);
  MergeRows(total);
  return total;
}

}  // namespace

LoadExchange MakeLoadExchange(Instant now) {
  LoadExchange exchange;
  exchange.learning_deadline = now + kLearningTime;
  return exchange;
}

void OnReport(LoadExchange& exchange,
              const std::string& name,
              const std::string& failure_domain,
              LoadReport report,
              Instant now) {
  ++exchange.counts.reports;
  auto it = exchange.reports.find(name);
  if (it != exchange.reports.end() && !it->second.is_used) {
    KeepResponses(report.responses, it->second.report.responses);
  }
  exchange.reports[name] = {failure_domain, std::move(report), now};
}

void OnSums(LoadExchange& exchange, Endpoint from, LoadSums sums, Instant now) {
  ++exchange.counts.sums;
  auto it = exchange.sums.find(from);
  if (it != exchange.sums.end() && !it->second.is_used) {
    KeepResponses(sums.responses, it->second.sums.responses);
    sums.responding = std::max(sums.responding, it->second.sums.responding);
  }
  exchange.sums[from] = {std::move(sums), now};
}

LoadSums EndInterval(LoadExchange& exchange,
                     const catalog::View& view,
                     const directory::Directory& directory,
                     size_t known_reporters,
                     Instant now) {
  auto own = SumOfReports(exchange, now);
  auto total = SumOfAll(exchange, own, now);
  exchange.reporters = CountReporters(total);
  exchange.digest = {};
  exchange.digest_at = now;
  bool is_heard = exchange.reporters > 0 &&
                  2 * size_t{exchange.reporters} >= known_reporters;
  if (!is_heard) {
    SkipInterval(exchange.standing);
    return own;
  }
  LoadDigest digest;
  digest.reporters = exchange.reporters;
  digest.services =
      ComputeStandings(exchange.standing, total, view, directory, now);
  digest.slow = FindSlowUpstreams(exchange.speed, total, view, directory, now);
  digest.dark = FindDarkUpstreams(exchange.dark, total, view, directory, now);
  if (now >= exchange.learning_deadline) {
    exchange.digest = std::move(digest);
  }
  return own;
}

}  // namespace acaciahold::load
