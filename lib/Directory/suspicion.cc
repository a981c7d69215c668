// Counting reports, and comparing the upstreams of a service.

#include "acaciahold/Directory/suspicion.h"

#include <set>

#include "acaciahold/Support/hash.h"

namespace acaciahold::directory {
namespace {

struct Seen {
  uint32_t troubles = 0;
  std::set<uint64_t> hosts;
};

struct ServiceLoad {
  uint32_t troubles = 0;
  uint32_t upstreams = 0;  // That take new flows.

  double mean() const {
    return upstreams > 0 ? static_cast<double>(troubles) / upstreams : 0;
  }
};

bool TakesFlows(const Entry& entry) {
  return entry.record.phase == Phase::kServing && !entry.is_silent;
}

std::map<UpstreamId, Seen> CountByUpstream(const Suspicions& suspicions) {
  std::map<UpstreamId, Seen> seen;
  for (const auto& report : suspicions.reports) {
    auto& it = seen[report.trouble.upstream];
    it.troubles += report.trouble.count;
    it.hosts.insert(report.host_hash);
  }
  return seen;
}

ServiceLoad CountService(std::string_view service,
                         const std::map<UpstreamId, Seen>& seen,
                         const Directory& directory) {
  ServiceLoad load;
  auto ids = directory.by_service.find(service);
  if (ids == directory.by_service.end()) {
    return load;
  }
  for (auto id : ids->second) {
    if (TakesFlows(directory.entries.at(id))) {
      auto it = seen.find(id);
      load.troubles += it == seen.end() ? 0 : it->second.troubles;
      ++load.upstreams;
    }
  }
  return load;
}

// Of services with an upstream in trouble; the others need no mean.
std::map<std::string_view, ServiceLoad> CountByService(
    const std::map<UpstreamId, Seen>& seen,
    const Directory& directory) {
  std::map<std::string_view, ServiceLoad> services;
  for (const auto& [id, troubles] : seen) {
    auto entry = directory.entries.find(id);
    if (entry == directory.entries.end()) {
      continue;
    }
    const auto& service = entry->second.record.service;
    if (!services.contains(service)) {
      services[service] = CountService(service, seen, directory);
    }
  }
  return services;
}

void DropOld(Suspicions& suspicions, Instant now) {
  auto& reports = suspicions.reports;
  while (!reports.empty() && now >= reports.front().at + kTroubleWindow) {
    reports.pop_front();
  }
  std::erase_if(suspicions.suspected,
                [&](const auto& it) { return now >= it.second; });
}

}  // namespace

void OnTroubles(Suspicions& suspicions,
                std::string_view host,
                std::span<const Trouble> troubles,
                Instant now) {
  uint64_t host_hash = HashText(host);
  for (const auto& trouble : troubles) {
    suspicions.reports.push_back({now, host_hash, trouble});
  }
}

bool OnSuspected(Suspicions& suspicions, UpstreamId upstream, Instant now) {
  auto& deadline = suspicions.suspected[upstream];
  if (now < deadline) {
    return false;
  }
  deadline = now + kSuspectTime;
  return true;
}

std::vector<UpstreamId> Judge(Suspicions& suspicions,
                              const Directory& directory,
                              Instant now) {
  std::vector<UpstreamId> suspects;
  if (now < suspicions.judge_deadline) {
    return suspects;
  }
  suspicions.judge_deadline = now + kJudgeInterval;
  DropOld(suspicions, now);
  auto seen = CountByUpstream(suspicions);
  auto services = CountByService(seen, directory);
  for (const auto& [id, it] : seen) {
    auto entry = directory.entries.find(id);
    bool is_known =
        entry != directory.entries.end() && TakesFlows(entry->second);
    if (!is_known || suspicions.suspected.contains(id)) {
      continue;
    }
    double mean = services.at(entry->second.record.service).mean();
    bool is_suspect = it.hosts.size() >= kMinReporters &&
                      it.troubles >= kMeanFactor * mean + kMinTroubles;
    if (is_suspect) {
      OnSuspected(suspicions, id, now);
      suspects.push_back(id);
    }
  }
  return suspects;
}

}  // namespace acaciahold::directory
