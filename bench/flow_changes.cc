// Planned changes and faults of FlowModel.

#include <algorithm>

#include "flow_model.h"

namespace acaciahold::bench {

void FlowModel::DrainUpstream() {
  auto serving = ServingUpstreams(0);
  if (serving.size() > 4) {
    upstreams_[serving[random_() % serving.size()]].announcement.phase =
        upstream::Phase::kDraining;
  }
}

void FlowModel::AddColdUpstream() {
  AddUpstream(0, static_cast<int>(random_() % spec_.failure_domains));
}

void FlowModel::ChangeWeight() {
  auto it = std::next(weights_.begin(),
                      static_cast<long>(random_() % weights_.size()));
  it->second = it->second == 100 ? 80 : 100;
  PublishTable();
}

void FlowModel::RestartHost() {
  auto up = UpHosts();
  size_t host = up[random_() % up.size()];
  PerformActions(host, entry::Leave(*hosts_[host].core, now_));
  ScheduleAfter(std::chrono::milliseconds(500),
                [this, host] { hosts_[host].is_up = false; });
  ScheduleAfter(std::chrono::milliseconds(1'500),
                [this, host] { StartHost(host); });
}

void FlowModel::ReplaceHost() {
  auto up = UpHosts();
  size_t host = up[random_() % up.size()];
  PerformActions(host, entry::Leave(*hosts_[host].core, now_));
  ScheduleAfter(std::chrono::milliseconds(500),
                [this, host] { hosts_[host].is_up = false; });
  int domain = std::stoi(hosts_[host].record.failure_domain.substr(2)) - 1;
  size_t next = AddHost(domain);
  ScheduleAfter(std::chrono::milliseconds(1'500),
                [this, next] { StartHost(next); });
}

void FlowModel::ApplyPlannedChange(uint64_t change_index) {
  switch (change_index % 5) {
    case 0:
      DrainUpstream();
      return;
    case 1:
      AddColdUpstream();
      return;
    case 2:
      ChangeWeight();
      return;
    case 3:
      RestartHost();
      return;
    default:
      ReplaceHost();
  }
}

size_t FlowModel::CrashHost() {
  auto up = UpHosts();
  size_t host = up[random_() % up.size()];
  hosts_[host].is_up = false;
  return host;
}

void FlowModel::RestartCrashedHost(size_t host) {
  StartHost(host);
}

void FlowModel::SetDomainPartitioned(const std::string& domain,
                                     bool is_partitioned) {
  if (is_partitioned) {
    partitioned_domains_.insert(domain);
  } else {
    partitioned_domains_.erase(domain);
  }
}

void FlowModel::SetDomainOutOfService(const std::string& domain,
                                      bool is_out_of_service) {
  if (is_out_of_service) {
    out_of_service_domains_.insert(domain);
  } else {
    out_of_service_domains_.erase(domain);
  }
  PublishTable();
}

}  // namespace acaciahold::bench
