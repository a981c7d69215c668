// Planned changes and faults of the model.

#include <algorithm>

#include "flow_model.h"

namespace acaciahold::bench {

void FlowModel::Drain() {
  auto serving = Serving(0);
  if (serving.size() > 4) {
    upstreams_[serving[random_() % serving.size()]].said.phase =
        upstream::Phase::kDraining;
  }
}

void FlowModel::Join() {
  AddUpstream(0, static_cast<int>(random_() % spec_.failure_domains));
}

void FlowModel::ChangeWeight() {
  auto it = std::next(weights_.begin(),
                      static_cast<long>(random_() % weights_.size()));
  it->second = it->second == 100 ? 80 : 100;
  ApplyTable();
}

void FlowModel::RestartHost() {
  auto up = UpHosts();
  size_t host = up[random_() % up.size()];
  Perform(host, entry::Leave(*hosts_[host].core, now_));
  Post(std::chrono::milliseconds(500),
       [this, host] { hosts_[host].is_up = false; });
  Post(std::chrono::milliseconds(1'500), [this, host] { StartHost(host); });
}

void FlowModel::ReplaceHost() {
  auto up = UpHosts();
  size_t host = up[random_() % up.size()];
  Perform(host, entry::Leave(*hosts_[host].core, now_));
  Post(std::chrono::milliseconds(500),
       [this, host] { hosts_[host].is_up = false; });
  int domain = std::stoi(hosts_[host].record.failure_domain.substr(2)) - 1;
  size_t next = AddHost(domain);
  Post(std::chrono::milliseconds(1'500), [this, next] { StartHost(next); });
}

void FlowModel::PlannedChange(uint64_t turn) {
  switch (turn % 5) {
    case 0:
      Drain();
      return;
    case 1:
      Join();
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

size_t FlowModel::KillHost() {
  auto up = UpHosts();
  size_t host = up[random_() % up.size()];
  hosts_[host].is_up = false;
  return host;
}

void FlowModel::ReviveHost(size_t host) {
  StartHost(host);
}

void FlowModel::CutDomain(const std::string& domain, bool is_cut) {
  if (is_cut) {
    cut_domains_.insert(domain);
  } else {
    cut_domains_.erase(domain);
  }
}

void FlowModel::TakeDomain(const std::string& domain, bool is_out) {
  if (is_out) {
    out_domains_.insert(domain);
  } else {
    out_domains_.erase(domain);
  }
  ApplyTable();
}

}  // namespace acaciahold::bench
