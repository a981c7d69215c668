// The replicated configuration of flow services: the service table (listeners,
// by address and port, and the services behind them) and the set of failure
// domains that are out of service. Control hosts agree on it by consensus;
// entry hosts receive it as a View and apply it.
//
// The operator assigns each catalog a version and always submits it as a whole;
// the highest version wins. The state changes only by committed commands, so
// replicas that apply the same commands have the same state.

#ifndef ACACIAHOLD_CATALOG_CATALOG_H_
#define ACACIAHOLD_CATALOG_CATALOG_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "acaciahold/Support/address.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::catalog {

// A service that receives a share of a listener's new flows.
struct Target {
  std::string service;
  // Relative to the total weight of the listener's targets.
  uint32_t weight = 1;

  bool operator==(const Target&) const = default;
};

// Whether a request may be run more than once.
enum class Repetition {
  kUnknown,
  kIdempotent,  // Callers repeat a request after any failure.
  kAtMostOnce,  // Callers repeat a request only if it was not run.
};

// What the callers of a listener need. A listener without a term is served as
// if there were no such term.
struct RouteTerms {
  Repetition repetition = Repetition::kUnknown;
  uint32_t timeout_ms = 0;  // When callers give up; 0: unknown.
  // By when callers want an answer; 0: unknown.
  uint32_t latency_objective_ms = 0;
  std::optional<uint32_t> priority;  // 0 is the highest.

  bool operator==(const RouteTerms&) const = default;
};

// The address and port at which callers open flows.
struct Listener {
  std::string name;
  Endpoint endpoint;
  std::vector<Target> targets;  // Never empty.
  RouteTerms terms = {};

  bool operator==(const Listener&) const = default;
};

// Whether the listener gives flows to the service; a target of weight 0 gets
// none.
bool IsTarget(const Listener& listener, std::string_view service);

struct Service {
  std::string name;
  // Maximum rate of new flows for an upstream in its warm-up period, in flows
  // per second; 0: unlimited.
  double cold_flows_per_second = 0;

  bool operator==(const Service&) const = default;
};

// Invariants after Validate: no two listeners share an endpoint, every target
// refers to a service in `services`, and each listener has at least one target
// with a weight above 0.
struct Catalog {
  uint64_t version = 0;  // Assigned by the operator; 0: no catalog yet.
  std::vector<Listener> listeners;
  std::vector<Service> services;
  uint32_t idle_timeout_ms = 0;  // Closes idle flows; 0: never.

  bool operator==(const Catalog&) const = default;
};

// Returns one error for each violated invariant; empty if the catalog is valid.
std::vector<FieldError> Validate(const Catalog& catalog);

// The configuration as entry hosts apply it. A higher revision replaces a lower
// one.
struct View {
  // Log index of the last command that changed the view.
  uint64_t revision = 0;
  Catalog catalog;
  std::set<std::string> domains_out;  // Failure domains out of service.
};

enum class CommandKind {
  kReplace,         // Replaces the catalog if the new version is higher.
  kEvacuateDomain,  // Stops new flows to the failure domain's upstreams.
  kRestoreDomain,   // Returns the failure domain to service.
};

struct Command {
  CommandKind kind = CommandKind::kReplace;
  Catalog catalog;     // kReplace only.
  std::string source;  // kReplace only: the operator's original document.
  std::string failure_domain;  // All kinds except kReplace.
};

struct State {
  View view;
  std::string source;  // Operator's document behind view.catalog.
};

// Applies the committed command at log index `revision`. A command that has no
// effect leaves the view's revision unchanged.
void Apply(State& state, const Command& command, uint64_t revision);

boost::json::value ToJson(const View& view);
boost::json::value ToJson(const Command& command);
boost::json::value ToJson(const State& state);

// Return a FieldError if the value does not have the expected structure.
Result<Command> CommandFromJson(const boost::json::value& value);
Result<State> StateFromJson(const boost::json::value& value);

}  // namespace acaciahold::catalog

#endif  // ACACIAHOLD_CATALOG_CATALOG_H_
