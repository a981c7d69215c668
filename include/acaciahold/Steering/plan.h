// What a host steers by: an immutable plan, made anew from the table, the
// upstreams and the members whenever one of them changes. Packet threads read
// it without a lock.

#ifndef ACACIAHOLD_STEERING_PLAN_H_
#define ACACIAHOLD_STEERING_PLAN_H_

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "acaciahold/Admission/share.h"
#include "acaciahold/Membership/membership.h"
#include "acaciahold/Steering/assignment.h"
#include "acaciahold/Table/service_table.h"
#include "acaciahold/Upstream/registry.h"

namespace acaciahold::steering {

using HostIndex = uint16_t;
inline constexpr HostIndex kNoHost = 0xffff;

// An entry host that is not known to be gone.
struct PlanHost {
  membership::HostId id = 0;
  std::string failure_domain = {};
  Endpoint peer = {};
  Endpoint admin = {};
  bool is_suspect = false;
  bool is_leaving = false;  // Takes no rank.
};

// The hosts that answer for a bucket. The owner decides; the backup holds the
// bucket's exceptions too and acts while the owner can't.
struct Route {
  HostIndex owner = kNoHost;
  HostIndex backup = kNoHost;

  bool operator==(const Route&) const = default;
};

struct Target {
  upstream::UpstreamId id = 0;
  Endpoint endpoint;
  bool takes_new = false;  // May be given new flows.
  bool is_usable = false;  // May be given packets at all.
  uint32_t weight = 0;     // By the table and the ramp.
  uint32_t limit = 0;      // Open flows of the whole system at this step.
  bool is_warm = false;    // At the last step of the ramp.
  HostIndex coordinator = kNoHost;
  HostIndex backup_coordinator = kNoHost;
  std::shared_ptr<admission::AdmissionState> cell;  // Never null.
};

struct ServicePlan {
  std::string name;
  uint64_t id = 0;  // Hash of the name.
  Duration idle_timeout{};
  std::vector<Target> targets;    // Sorted by id.
  std::vector<uint16_t> desired;  // By bucket; an index into targets.
  std::vector<Route> routes;      // By bucket.
};

// Invariant: `hosts[self]` is this host.
struct Plan {
  uint64_t epoch = 0;  // Rises with each new plan of this process.
  uint64_t view = 0;   // Hash of the hosts; the same on hosts that agree.
  HostIndex self = kNoHost;
  // Most members are not reached: this host is probably cut off with a few.
  bool is_minority = false;
  std::vector<PlanHost> hosts;  // Sorted by id.
  std::vector<std::shared_ptr<const ServicePlan>> services;
  std::unordered_map<uint64_t, size_t> by_address;  // Packed endpoint.
  std::unordered_map<uint64_t, size_t> by_id;
};

// Share cells outlive plans; one for each upstream of each service.
using CellMap =
    std::map<upstream::Key, std::shared_ptr<admission::AdmissionState>>;

struct PlanInputs {
  const table::ServiceTable* table = nullptr;
  const upstream::Registry* registry = nullptr;
  std::span<const membership::MemberUpdate> members;
  membership::HostId self = 0;
  bool is_leaving = false;  // This host answers for nothing any more.
};

// Flow services only. Makes cells that are missing.
std::shared_ptr<const Plan> BuildPlan(const PlanInputs& inputs,
                                      CellMap& cells,
                                      uint64_t epoch);

// Nothing where the upstream is not among the service's targets.
const Target* FindTarget(const ServicePlan& service, upstream::UpstreamId id);

const ServicePlan* FindService(const Plan& plan, uint64_t service_id);

// Whether the host is in the plan.
bool HasHost(const Plan& plan, membership::HostId host);

// The owner and the backup among the hosts, by rendezvous over the key.
// Hosts of `failure_domain` alone where it is not empty.
Route RankHosts(std::span<const PlanHost> hosts,
                uint64_t key,
                std::string_view failure_domain);

// As RankHosts over all hosts, with the backup in another failure domain than
// the owner where there is one: the loss of a whole failure domain then leaves
// one of the two.
Route RankApart(std::span<const PlanHost> hosts, uint64_t key);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_STEERING_PLAN_H_
