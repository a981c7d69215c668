// JSON forms of the catalog.

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

value ToJson(const Listener& listener) {
  array targets;
  for (const auto& target : listener.targets) {
    targets.push_back({{"service", target.service}, {"weight", target.weight}});
  }
  return {{"name", listener.name},
          {"endpoint", PackEndpoint(listener.endpoint)},
          {"targets", std::move(targets)}};
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

Listener DecodeListener(const object& from) {
  Listener listener;
  listener.name = StringAt(from, "name");
  listener.endpoint = UnpackEndpoint(NumberAt<uint64_t>(from, "endpoint"));
  for (const auto& it : from.at("targets").as_array()) {
    listener.targets.push_back({StringAt(it.as_object(), "service"),
                                NumberAt<uint32_t>(it.as_object(), "weight")});
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
    command.kind = json::EnumAt(fields, "kind", CommandKind::kTakeDomainBack);
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
