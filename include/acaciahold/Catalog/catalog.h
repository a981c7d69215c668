// The service table of flow services that callers reach by address and port,
// under version numbers that its operator chooses, and the failure domains that
// are out of service: what control hosts agree on, and entry hosts follow.
//
// The catalog is replaced as a whole; the highest version holds. The state is
// changed by commands alone, so that every replica that applies the same
// commands has the same state.

#ifndef ACACIAHOLD_CATALOG_CATALOG_H_
#define ACACIAHOLD_CATALOG_CATALOG_H_

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "acaciahold/Support/address.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::catalog {

// A service that takes new flows of a listener.
struct Target {
  std::string service;
  uint32_t weight = 1;  // Its part among the targets of the listener.

  bool operator==(const Target&) const = default;
};

// Where callers open flows.
struct Listener {
  std::string name;
  Endpoint endpoint;
  std::vector<Target> targets;  // Never empty.

  bool operator==(const Listener&) const = default;
};

struct Service {
  std::string name;
  // New flows that one cold upstream takes a second; 0: no limit.
  double cold_flows_per_second = 0;

  bool operator==(const Service&) const = default;
};

// Invariants after Validate: no two listeners share an endpoint; every target
// names a service of the list and some target of a listener has weight.
struct Catalog {
  uint64_t version = 0;  // 0: none was set yet.
  std::vector<Listener> listeners;
  std::vector<Service> services;
  uint32_t idle_timeout_ms = 0;  // Of flows; 0: never.

  bool operator==(const Catalog&) const = default;
};

// All rules that the catalog breaks.
std::vector<FieldError> Validate(const Catalog& catalog);

// What entry hosts follow. A higher revision replaces a lower one.
struct View {
  uint64_t revision = 0;  // Position in the log of commands.
  Catalog catalog;
  std::set<std::string> domains_out;
};

enum class CommandKind {
  kReplace,        // The catalog, unless a version as high is held.
  kTakeDomainOut,  // Nothing new goes to the domain's upstreams.
  kTakeDomainBack,
};

struct Command {
  CommandKind kind = CommandKind::kReplace;
  Catalog catalog;     // kReplace.
  std::string source;  // kReplace: the operator's document, as it came.
  std::string failure_domain;
};

struct State {
  View view;
  std::string source;  // Of view.catalog.
};

// Applies a committed command that stands at `revision` in the log.
void Apply(State& state, const Command& command, uint64_t revision);

boost::json::value ToJson(const View& view);
boost::json::value ToJson(const Command& command);
boost::json::value ToJson(const State& state);

// Each fails with FieldError where the value has another form.
Result<Command> CommandFromJson(const boost::json::value& value);
Result<State> StateFromJson(const boost::json::value& value);

}  // namespace acaciahold::catalog

#endif  // ACACIAHOLD_CATALOG_CATALOG_H_
