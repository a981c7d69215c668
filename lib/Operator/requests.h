// Requests and output that several of the operator's commands share.

#ifndef ACACIAHOLD_LIB_OPERATOR_REQUESTS_H_
#define ACACIAHOLD_LIB_OPERATOR_REQUESTS_H_

#include <optional>
#include <string>
#include <vector>

#include "acaciahold/Operator/commands.h"
#include "acaciahold/Operator/connection.h"
#include "acaciahold/Table/service_table.h"

namespace acaciahold::op {

// Prints the text as an error and returns kExitFailure.
int PrintError(const std::string& text);

// Returns why the request failed.
std::string ErrorDetail(const ApiResponse& response);

// Returns the current table. A host whose table is older than `min_revision`
// responds with an error.
std::optional<table::ServiceTable> FetchTable(const CommandOptions& options,
                                              std::string& error_text);

// Prints each changed row as it is in the table and as it will be.
void PrintChanges(const std::vector<table::RowChange>& changes,
                  const table::ServiceTable& table);

// An entry host as listed by /v1/hosts.
struct EntryHostInfo {
  std::string name;
  std::string failure_domain;
  std::string state;
  Endpoint admin;
};

// Returns no hosts if no control host answers.
std::vector<EntryHostInfo> FetchHosts(const CommandOptions& options);

}  // namespace acaciahold::op

#endif  // ACACIAHOLD_LIB_OPERATOR_REQUESTS_H_
