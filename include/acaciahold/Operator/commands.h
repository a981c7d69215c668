// Commands of the operator's command line that send requests to running hosts.

#ifndef ACACIAHOLD_OPERATOR_COMMANDS_H_
#define ACACIAHOLD_OPERATOR_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "acaciahold/Support/address.h"
#include "acaciahold/Table/table_check.h"

namespace acaciahold::op {

// Exit codes of all commands.
inline constexpr int kExitSuccess = 0;
inline constexpr int kExitFailure =
    1;  // The host refused the request, or it failed.
inline constexpr int kExitUsageError = 2;  // Invalid arguments or settings.

// How long TableApply() waits for all entry hosts to apply an accepted edit
// before it fails.
inline constexpr std::chrono::seconds kRolloutTimeout{8};

struct CommandOptions {
  std::vector<Endpoint> control;  // Admin endpoints, tried in this order.
  std::string file;               // Path of the table file.
  std::string author;
  std::string edit_id;  // If empty, an id is generated.
  // Lowest acceptable table revision; 0 accepts any.
  uint64_t min_revision = 0;
  bool is_json = false;  // Print JSON.
  bool waits_for_rollout =
      true;  // Wait until all entry hosts have applied the edit.
};

// Each command prints its result or an error and returns an exit code.
int TableGet(const CommandOptions& options);
int TableDiff(const CommandOptions& options);
int TableApply(const CommandOptions& options);
// Checks the file; with control hosts also against the table in force. Fails
// only on errors, not on warnings.
int TableCheck(const CommandOptions& options);
int TableHistory(const CommandOptions& options);
int ShowStatus(const CommandOptions& options);
int AddControlHost(const CommandOptions& options,
                   uint32_t replica_id,
                   Endpoint admin);
int RemoveControlHost(const CommandOptions& options, uint32_t replica_id);

// Prints all findings and returns the exit code for them.
int PrintReport(const std::string& file, const table::CheckReport& report);

}  // namespace acaciahold::op

#endif  // ACACIAHOLD_OPERATOR_COMMANDS_H_
