// One row of the service table: what the operators say about one service.

#ifndef ACACIAHOLD_TABLE_SERVICE_ROW_H_
#define ACACIAHOLD_TABLE_SERVICE_ROW_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "acaciahold/Support/address.h"

namespace acaciahold::table {

enum class ServiceKind {
  kFlow,     // Packets of TCP or UDP flows, passed on unchanged.
  kRequest,  // HTTP requests, each answered once.
};

// Limits of one upstream, held by the system as a whole.
struct ServiceLimits {
  uint32_t slots = 1;        // Requests running at once.
  uint32_t connections = 1;  // Open flows.
  uint32_t cold = 1;         // Open flows or requests during a cold start.

  bool operator==(const ServiceLimits&) const = default;
};

// A failure domain in service, with the weight of each upstream in it.
struct DomainWeight {
  std::string failure_domain;
  uint32_t weight = 100;

  bool operator==(const DomainWeight&) const = default;
};

struct ServiceRow {
  std::string name;
  ServiceKind kind = ServiceKind::kFlow;
  // Callers' packets of a flow service carry this destination. No two flow
  // services share it.
  Endpoint address;
  ServiceLimits limits;
  // Sorted by failure domain, each at most once. A failure domain that is not
  // listed is out of service.
  std::vector<DomainWeight> failure_domains;
  uint32_t idle_seconds = 300;  // A flow silent for so long has ended.
  uint32_t priority = 1;        // Higher goes first where slots are short.

  bool operator==(const ServiceRow&) const = default;
};

// The weight of upstreams in the failure domain, 0 where it is out of service.
uint32_t WeightOf(const ServiceRow& row, std::string_view failure_domain);

std::string_view KindName(ServiceKind kind);

}  // namespace acaciahold::table

#endif  // ACACIAHOLD_TABLE_SERVICE_ROW_H_
