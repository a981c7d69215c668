// One row of the service table: the operators' configuration of one service.

#ifndef ACACIAHOLD_TABLE_SERVICE_ROW_H_
#define ACACIAHOLD_TABLE_SERVICE_ROW_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "acaciahold/Support/address.h"

namespace acaciahold::table {

enum class ServiceKind {
  kFlow,     // Packets of TCP or UDP flows, forwarded unchanged.
  kRequest,  // HTTP requests, each answered once.
};

// Limits of one upstream, enforced across all hosts together.
struct ServiceLimits {
  uint32_t slots = 1;        // Concurrent requests.
  uint32_t connections = 1;  // Open flows.
  uint32_t cold = 1;         // Open flows or requests during a cold start.

  bool operator==(const ServiceLimits&) const = default;
};

// A failure domain that is in service, with the weight of each of its
// upstreams.
struct DomainWeight {
  std::string failure_domain;
  uint32_t weight = 100;

  bool operator==(const DomainWeight&) const = default;
};

struct ServiceRow {
  std::string name;
  ServiceKind kind = ServiceKind::kFlow;
  // Destination of the callers' packets for a flow service. Unique among flow
  // services.
  Endpoint address;
  ServiceLimits limits;
  // Sorted by failure domain, each at most once. A failure domain that is not
  // listed is out of service.
  std::vector<DomainWeight> failure_domains;
  uint32_t idle_seconds = 300;  // Idle timeout of a flow.
  uint32_t priority = 1;        // Higher is served first if slots are scarce.

  bool operator==(const ServiceRow&) const = default;
};

// Returns the weight of each upstream in the failure domain, 0 if the domain is
// out of service.
uint32_t WeightOf(const ServiceRow& row, std::string_view failure_domain);

std::string_view KindName(ServiceKind kind);

}  // namespace acaciahold::table

#endif  // ACACIAHOLD_TABLE_SERVICE_ROW_H_
