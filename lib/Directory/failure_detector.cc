// Counts reported failures, and compares the upstreams of a service.

#include "acaciahold/Directory/failure_detector.h"

#include <set>

#include "acaciahold/Support/hash.h"

namespace acaciahold::directory {
namespace {

struct UpstreamStats {
  uint32_t failures = 0;
  std::set<uint64_t> hosts;
};

struct ServiceStats {
  uint32_t failures = 0;
  uint32_t upstreams = 0;  // Only those that accept new flows.

  double mean() const {
    return upstreams > 0 ? static_cast<double>(failures) / upstreams : 0;
  }
};

bool AcceptsNewFlows(const Entry& entry) {
  return entry.record.phase == Phase::kServing && !entry.is_silent;
}

std::map<UpstreamId, UpstreamStats> CountByUpstream(
    const FailureDetector& detector) {
  std::map<UpstreamId, UpstreamStats> stats_by_upstream;
  for (const auto& report : detector.reports) {
    auto& it = stats_by_upstream[report.failures.upstream];
    it.failures += report.failures.count;
    it.hosts.insert(report.host_hash);
  }
  return stats_by_upstream;
}

ServiceStats CountService(
    std::string_view service,
    const std::map<UpstreamId, UpstreamStats>& stats_by_upstream,
    const Directory& directory) {
  ServiceStats stats;
  auto ids = directory.by_service.find(service);
  if (ids == directory.by_service.end()) {
    return stats;
  }
  for (auto id : ids->second) {
    if (AcceptsNewFlows(directory.entries.at(id))) {
      auto it = stats_by_upstream.find(id);
      stats.failures += it == stats_by_upstream.end() ? 0 : it->second.failures;
      ++stats.upstreams;
    }
  }
  return stats;
}

// Counts the failures of services with a reported upstream; for other services
// no mean is needed.
std::map<std::string_view, ServiceStats> CountByService(
    const std::map<UpstreamId, UpstreamStats>& stats_by_upstream,
    const Directory& directory) {
  std::map<std::string_view, ServiceStats> stats_by_service;
  for (const auto& [id, stats] : stats_by_upstream) {
    auto entry = directory.entries.find(id);
    if (entry == directory.entries.end()) {
      continue;
    }
    const auto& service = entry->second.record.service;
    if (!stats_by_service.contains(service)) {
      stats_by_service[service] =
          CountService(service, stats_by_upstream, directory);
    }
  }
  return stats_by_service;
}

void RemoveExpired(FailureDetector& detector, Instant now) {
  auto& reports = detector.reports;
  while (!reports.empty() &&
         now >= reports.front().reported_at + kFailureWindow) {
    reports.pop_front();
  }
  std::erase_if(detector.suspected,
                [&](const auto& it) { return now >= it.second; });
}

}  // namespace

void OnFailureReport(FailureDetector& detector,
                     std::string_view host,
                     std::span<const UpstreamFailures> failures,
                     Instant now) {
  uint64_t host_hash = HashText(host);
  for (const auto& it : failures) {
    detector.reports.push_back({now, host_hash, it});
  }
}

bool MarkSuspected(FailureDetector& detector,
                   UpstreamId upstream,
                   Instant now) {
  auto& deadline = detector.suspected[upstream];
  if (now < deadline) {
    return false;
  }
  deadline = now + kSuspicionDuration;
  return true;
}

std::vector<UpstreamId> FindNewSuspects(FailureDetector& detector,
                                        const Directory& directory,
                                        Instant now) {
  std::vector<UpstreamId> suspects;
  if (now < detector.evaluation_deadline) {
    return suspects;
  }
  detector.evaluation_deadline = now + kEvaluationInterval;
  RemoveExpired(detector, now);
  auto stats_by_upstream = CountByUpstream(detector);
  auto stats_by_service = CountByService(stats_by_upstream, directory);
  for (const auto& [id, it] : stats_by_upstream) {
    auto entry = directory.entries.find(id);
    bool is_eligible =
        entry != directory.entries.end() && AcceptsNewFlows(entry->second);
    if (!is_eligible || detector.suspected.contains(id)) {
      continue;
    }
    double mean = stats_by_service.at(entry->second.record.service).mean();
    bool is_suspect = it.hosts.size() >= kMinReporters &&
                      it.failures >= kMeanFactor * mean + kMinExcessFailures;
    if (is_suspect) {
      MarkSuspected(detector, id, now);
      suspects.push_back(id);
    }
  }
  return suspects;
}

}  // namespace acaciahold::directory
