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

// Whether a request may be run more than once.
enum class Repetition {
  kUnknown,
  kIdempotent,  // Callers repeat a request after any failure.
  kAtMostOnce,  // Callers repeat a request only if it was not run.
};

// What the callers of a service need; each term may be missing. Separate from
// catalog::RouteTerms, whose priority counts the other way round. Nothing on
// the path of a flow or request uses the terms of a row yet.
struct RowTerms {
  Repetition repetition = Repetition::kUnknown;
  uint32_t timeout_ms = 0;  // When callers give up; 0: unknown.
  // By when callers want an answer; 0: unknown. At most a known timeout.
  uint32_t latency_objective_ms = 0;

  bool operator==(const RowTerms&) const = default;
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
  // Higher is served first if slots are scarce, while 0 is the highest in
  // catalog::RouteTerms. Not used yet either.
  uint32_t priority = 1;
  RowTerms terms = {};

  bool operator==(const ServiceRow&) const = default;
};

// Returns the weight of each upstream in the failure domain, 0 if the domain is
// out of service.
uint32_t WeightOf(const ServiceRow& row, std::string_view failure_domain);

std::string_view KindName(ServiceKind kind);

// Returns "idempotent", "at_most_once" or "unknown".
std::string_view RepetitionName(Repetition repetition);

// Returns kUnknown for any other text, which a later version may know.
Repetition RepetitionFromName(std::string_view name);

// Returns whether the objective is above the timeout, so that callers give up
// before an answer is late.
bool AreContradictory(const RowTerms& terms);

}  // namespace acaciahold::table

#endif  // ACACIAHOLD_TABLE_SERVICE_ROW_H_
