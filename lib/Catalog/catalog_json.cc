// Conversion of the catalog, its commands and its state to and from JSON.

#include <boost/json.hpp>

#include "acaciahold/Catalog/catalog.h"
#include "acaciahold/Json/decode.h"

namespace acaciahold::catalog {
namespace {

using boost::json::array;
using boost::json::object;
using boost::json::value;
using json::Decode;
using json::NumberAt;
using json::StringAt;

// Leaves out missing terms, so that a catalog without terms is stored as by
// earlier versions, which ignore these fields.
object ToJson(const RouteTerms& terms) {
  object to;
  if (terms.repetition != Repetition::kUnknown) {
    to["repetition"] = static_cast<int>(terms.repetition);
  }
  if (terms.timeout_ms > 0) {
    to["timeout_ms"] = terms.timeout_ms;
  }
  if (terms.latency_objective_ms > 0) {
    to["latency_objective_ms"] = terms.latency_objective_ms;
  }
  if (terms.priority) {
    to["priority"] = *terms.priority;
  }
  return to;
}

value ToJson(const Listener& listener) {
  array targets;
  for (const auto& target : listener.targets) {
    targets.push_back({{"service", target.service}, {"weight", target.weight}});
  }
  object to{{"name", listener.name},
            {"endpoint", PackEndpoint(listener.endpoint)},
            {"targets", std::move(targets)}};
  if (listener.terms != RouteTerms()) {
    to["terms"] = ToJson(listener.terms);
  }
  return to;
}

value ToJson(const Catalog& catalog) {
  array listeners;
  for (const auto& listener : catalog.listeners) {
    listeners.push_back(ToJson(listener));
  }
  array services;
  for (const auto& service : catalog.services) {
    services.push_back(
        {{"name", service.name},
         {"cold_flows_per_second", service.cold_flows_per_second}});
  }
  return {{"version", catalog.version},
          {"listeners", std::move(listeners)},
          {"services", std::move(services)},
          {"idle_timeout_ms", catalog.idle_timeout_ms}};
}

RouteTerms DecodeTerms(const object& from) {
  RouteTerms terms;
  if (from.contains("repetition")) {
    terms.repetition =
        json::EnumAt(from, "repetition", Repetition::kAtMostOnce);
  }
  if (from.contains("timeout_ms")) {
    terms.timeout_ms = NumberAt<uint32_t>(from, "timeout_ms");
  }
  if (from.contains("latency_objective_ms")) {
    terms.latency_objective_ms =
        NumberAt<uint32_t>(from, "latency_objective_ms");
  }
  if (from.contains("priority")) {
    terms.priority = NumberAt<uint32_t>(from, "priority");
  }
  return terms;
}

Listener DecodeListener(const object& from) {
  Listener listener;
  listener.name = StringAt(from, "name");
  listener.endpoint = UnpackEndpoint(NumberAt<uint64_t>(from, "endpoint"));
  for (const auto& it : from.at("targets").as_array()) {
    listener.targets.push_back({StringAt(it.as_object(), "service"),
                                NumberAt<uint32_t>(it.as_object(), "weight")});
  }
  if (const auto* terms = from.if_contains("terms")) {
    listener.terms = DecodeTerms(terms->as_object());
  }
  return listener;
}

Catalog DecodeCatalog(const object& from) {
  Catalog catalog;
  catalog.version = NumberAt<uint64_t>(from, "version");
  for (const auto& it : from.at("listeners").as_array()) {
    catalog.listeners.push_back(DecodeListener(it.as_object()));
  }
  for (const auto& it : from.at("services").as_array()) {
    catalog.services.push_back(
        {StringAt(it.as_object(), "name"),
         NumberAt<double>(it.as_object(), "cold_flows_per_second")});
  }
  catalog.idle_timeout_ms = NumberAt<uint32_t>(from, "idle_timeout_ms");
  return catalog;
}

View DecodeView(const object& from) {
  View view;
  view.revision = NumberAt<uint64_t>(from, "revision");
  view.catalog = DecodeCatalog(from.at("catalog").as_object());
  for (const auto& it : from.at("domains_out").as_array()) {
    view.domains_out.emplace(it.as_string());
  }
  return view;
}

}  // namespace

value ToJson(const View& view) {
  array domains_out;
  for (const auto& domain : view.domains_out) {
    domains_out.emplace_back(domain);
  }
  return {{"revision", view.revision},
          {"catalog", ToJson(view.catalog)},
          {"domains_out", std::move(domains_out)}};
}

value ToJson(const Command& command) {
  object to{{"kind", static_cast<int>(command.kind)}};
  if (command.kind == CommandKind::kReplace) {
    to["catalog"] = ToJson(command.catalog);
    to["source"] = command.source;
  } else {
    to["failure_domain"] = command.failure_domain;
  }
  return to;
}

value ToJson(const State& state) {
  return {{"view", ToJson(state.view)}, {"source", state.source}};
}

Result<Command> CommandFromJson(const value& from) {
  return Decode([&] {
    const auto& fields = from.as_object();
    Command command;
    command.kind = json::EnumAt(fields, "kind", CommandKind::kRestoreDomain);
    if (command.kind == CommandKind::kReplace) {
      command.catalog = DecodeCatalog(fields.at("catalog").as_object());
      command.source = StringAt(fields, "source");
    } else {
      command.failure_domain = StringAt(fields, "failure_domain");
    }
    return command;
  });
}

Result<State> StateFromJson(const value& from) {
  return Decode([&] {
    const auto& fields = from.as_object();
    State state;
    state.view = DecodeView(fields.at("view").as_object());
    state.source = StringAt(fields, "source");
    return state;
  });
}

}  // namespace acaciahold::catalog
