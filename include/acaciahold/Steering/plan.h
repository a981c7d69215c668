// An immutable snapshot of the routing state of a host. It is rebuilt whenever
// the service table, the upstream registry or the membership changes. Packet
// threads read it without a lock.

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

// This host, or another entry host that is alive or suspected.
struct PlanHost {
  membership::HostId id = 0;
  std::string failure_domain = {};
  Endpoint peer = {};
  Endpoint admin = {};
  bool is_suspect = false;
  bool is_leaving = false;  // Becomes neither owner nor backup.
};

// The hosts responsible for a bucket. The owner decides where packets go. The
// backup holds a replica of the bucket's exceptions and decides while the owner
// is suspected or does not have the bucket's state yet. RankHosts also returns
// an upstream's coordinator and backup coordinator in this form.
struct Route {
  HostIndex owner = kNoHost;
  HostIndex backup = kNoHost;

  bool operator==(const Route&) const = default;
};

// An upstream of a service, as packet threads see it.
struct Target {
  upstream::UpstreamId id = 0;
  Endpoint endpoint;
  bool accepts_new_flows = false;  // May be given new flows.
  bool is_usable = false;          // May be given packets at all.
  // 16 times the table's weight at the last ramp step, less before it. 0 if it
  // accepts no new flows.
  uint32_t weight = 0;
  uint32_t limit = 0;    // Open flows over all hosts at this ramp step.
  bool is_warm = false;  // At the last ramp step.
  // Hosts that coordinate the shares of the upstream's connection limit.
  HostIndex coordinator = kNoHost;
  HostIndex backup_coordinator = kNoHost;
  // Of this host's share of the limit. Never null.
  std::shared_ptr<admission::AdmissionState> cell;
};

struct ServicePlan {
  std::string name;
  uint64_t id = 0;  // Hash of the name.
  Duration idle_timeout{};
  std::vector<Target> targets;  // Sorted by id.
  // Index into `targets` for each bucket, or kNoTarget.
  std::vector<uint16_t> desired_targets;
  std::vector<Route> routes;  // By bucket.
};

// Invariant: `hosts[self]` is this host.
struct Plan {
  uint64_t epoch = 0;  // Increases with each new plan of this process.
  // Hash of the ids of the hosts that are not leaving. Hosts with the same set
  // have the same view.
  uint64_t view = 0;
  HostIndex self = kNoHost;
  // More members are dead than are in the plan: this host is probably on the
  // minority side of a partition.
  bool is_minority = false;
  std::vector<PlanHost> hosts;  // Sorted by id.
  std::vector<std::shared_ptr<const ServicePlan>> services;
  // Indices into `services` by packed endpoint and by service id.
  std::unordered_map<uint64_t, size_t> by_address;
  std::unordered_map<uint64_t, size_t> by_id;
};

// This host's admission state for each upstream of each service. Successive
// plans use the same objects.
using CellMap =
    std::map<upstream::Key, std::shared_ptr<admission::AdmissionState>>;

struct PlanInputs {
  const table::ServiceTable* table = nullptr;
  const upstream::Registry* registry = nullptr;
  std::span<const membership::MemberUpdate> members;
  membership::HostId self = 0;
  bool is_leaving = false;  // This host must not own or back up anything.
};

// Builds a plan of the table's flow services; services of other kinds are
// skipped. Adds admission states that are missing in `cells`. `inputs.self`
// must be one of the members.
std::shared_ptr<const Plan> BuildPlan(const PlanInputs& inputs,
                                      CellMap& cells,
                                      uint64_t epoch);

// Returns null if the upstream is not among the service's targets.
const Target* FindTarget(const ServicePlan& service, upstream::UpstreamId id);

// Returns null if the plan has no such service.
const ServicePlan* FindService(const Plan& plan, uint64_t service_id);

bool HasHost(const Plan& plan, membership::HostId host);

// Chooses the owner and the backup for a key by rendezvous hashing. If
// `failure_domain` is not empty, only its hosts are considered.
Route RankHosts(std::span<const PlanHost> hosts,
                uint64_t key,
                std::string_view failure_domain);

// Like RankHosts over all hosts, but chooses the backup in another failure
// domain than the owner's if there is one, so that the loss of a whole failure
// domain leaves one of the two.
Route RankAcrossDomains(std::span<const PlanHost> hosts, uint64_t key);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_STEERING_PLAN_H_
