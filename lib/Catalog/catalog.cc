// Validates catalogs and applies committed commands to the state.

#include "acaciahold/Catalog/catalog.h"

#include <algorithm>

namespace acaciahold::catalog {
namespace {

FieldError MakeError(std::string field,
                     std::string value,
                     std::string expected) {
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
      errors.push_back(MakeError(path + ".targets", target.service,
                                 "the name of a service in the table"));
    }
    total_weight += target.weight;
  }
  if (total_weight == 0) {
    errors.push_back(MakeError(path + ".targets", "0",
                               "at least one target with a weight above 0"));
  }
}

}  // namespace

bool IsTarget(const Listener& listener, std::string_view service) {
  return std::any_of(
      listener.targets.begin(), listener.targets.end(),
      [&](const auto& it) { return it.service == service && it.weight > 0; });
}

std::vector<FieldError> Validate(const Catalog& catalog) {
  std::vector<FieldError> errors;
  std::set<std::string> services;
  for (const auto& service : catalog.services) {
    services.insert(service.name);
  }
  std::set<Endpoint> endpoints;
  for (const auto& listener : catalog.listeners) {
    if (!endpoints.insert(listener.endpoint).second) {
      errors.push_back(MakeError("listeners." + listener.name,
                                 FormatEndpoint(listener.endpoint),
                                 "an endpoint that no other listener uses"));
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
    case CommandKind::kEvacuateDomain:
      if (!view.domains_out.insert(command.failure_domain).second) {
        return;
      }
      break;
    case CommandKind::kRestoreDomain:
      if (view.domains_out.erase(command.failure_domain) == 0) {
        return;
      }
      break;
  }
  view.revision = revision;
}

}  // namespace acaciahold::catalog
