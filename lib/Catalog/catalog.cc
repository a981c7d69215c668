// Rules of the catalog, and the state that commands build.

#include "acaciahold/Catalog/catalog.h"

#include <algorithm>

namespace acaciahold::catalog {
namespace {

FieldError Fault(std::string field, std::string value, std::string expected) {
  return {.field = std::move(field),
          .value = std::move(value),
          .expected = std::move(expected)};
}

void CheckListener(const Listener& listener,
                   const std::set<std::string>& services,
                   std::vector<FieldError>& errors) {
  std::string path = "listeners." + listener.name;
  uint64_t total_weight = 0;
  for (const auto& target : listener.targets) {
    if (!services.contains(target.service)) {
      errors.push_back(Fault(path + ".targets", target.service,
                             "a service that the table has"));
    }
    total_weight += target.weight;
  }
  if (total_weight == 0) {
    errors.push_back(
        Fault(path + ".targets", "0", "a target with a weight above 0"));
  }
}

}  // namespace

std::vector<FieldError> Validate(const Catalog& catalog) {
  std::vector<FieldError> errors;
  std::set<std::string> services;
  for (const auto& service : catalog.services) {
    services.insert(service.name);
  }
  std::set<Endpoint> endpoints;
  for (const auto& listener : catalog.listeners) {
    if (!endpoints.insert(listener.endpoint).second) {
      errors.push_back(Fault("listeners." + listener.name,
                             FormatEndpoint(listener.endpoint),
                             "an endpoint that no other listener has"));
    }
    CheckListener(listener, services, errors);
  }
  return errors;
}

void Apply(State& state, const Command& command, uint64_t revision) {
  auto& view = state.view;
  switch (command.kind) {
    case CommandKind::kReplace:
      if (command.catalog.version <= view.catalog.version) {
        return;
      }
      view.catalog = command.catalog;
      state.source = command.source;
      break;
    case CommandKind::kTakeDomainOut:
      if (!view.domains_out.insert(command.failure_domain).second) {
        return;
      }
      break;
    case CommandKind::kTakeDomainBack:
      if (view.domains_out.erase(command.failure_domain) == 0) {
        return;
      }
      break;
  }
  view.revision = revision;
}

}  // namespace acaciahold::catalog
