// Requests and output that several of the operator's commands share.

#include "requests.h"

#include <iostream>

#include <boost/json.hpp>

#include "acaciahold/Table/table_json.h"
#include "acaciahold/Table/table_yaml.h"

namespace acaciahold::op {

int PrintError(const std::string& text) {
  std::cerr << "acaciahold: " << text << "\n";
  return kExitFailure;
}

std::string ErrorDetail(const ApiResponse& response) {
  if (response.status == 0) {
    return "no control host answered";
  }
  if (response.body.is_object()) {
    if (const auto* detail = response.body.as_object().if_contains("detail")) {
      if (detail->is_string()) {
        return detail->as_string().c_str();
      }
    }
  }
  return "the host responded with HTTP status " +
         std::to_string(response.status);
}

std::optional<table::ServiceTable> FetchTable(const CommandOptions& options,
                                              std::string& error_text) {
  std::string target = "/v1/table";
  if (options.min_revision > 0) {
    target += "?min_revision=" + std::to_string(options.min_revision);
  }
  auto response =
      SendWithFailover(options.control, http::Verb::get, target, "");
  if (response.status != 200) {
    error_text = ErrorDetail(response);
    return std::nullopt;
  }
  auto table = table::TableFromJson(response.body);
  if (!table) {
    error_text = "the host sent a malformed table";
    return std::nullopt;
  }
  return *table;
}

void PrintChanges(const std::vector<table::RowChange>& changes,
                  const table::ServiceTable& table) {
  for (const auto& change : changes) {
    const auto* row = table::FindRow(table, change.name);
    if (row) {
      std::cout << "--- " << change.name << " at revision " << row->revision
                << "\n"
                << table::WriteTableText({row, 1});
    }
    if (change.new_row) {
      table::VersionedRow next{*change.new_row, 0};
      std::cout << "+++ " << change.name << "\n"
                << table::WriteTableText({&next, 1});
    }
  }
}

std::vector<EntryHostInfo> FetchHosts(const CommandOptions& options) {
  auto response =
      SendWithFailover(options.control, http::Verb::get, "/v1/hosts", "");
  std::vector<EntryHostInfo> hosts;
  if (response.status != 200 || !response.body.is_array()) {
    return hosts;
  }
  for (const auto& it : response.body.as_array()) {
    const auto& object = it.as_object();
    auto admin = ParseEndpoint(object.at("admin").as_string().c_str());
    hosts.push_back({object.at("name").as_string().c_str(),
                     object.at("failure_domain").as_string().c_str(),
                     object.at("state").as_string().c_str(),
                     admin ? *admin : Endpoint()});
  }
  return hosts;
}

}  // namespace acaciahold::op
