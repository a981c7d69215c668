// The operators' commands that talk to running hosts.

#ifndef ACACIAHOLD_OPERATOR_COMMANDS_H_
#define ACACIAHOLD_OPERATOR_COMMANDS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "acaciahold/Support/address.h"

namespace acaciahold::op {

// Exit codes of every command.
inline constexpr int kDone = 0;
inline constexpr int kFailed = 1;    // Refused or failed.
inline constexpr int kBadUsage = 2;  // Bad usage or settings.

// An accepted edit is in force everywhere within this time.
inline constexpr std::chrono::seconds kInForceTimeout{8};

struct CommandOptions {
  std::vector<Endpoint> control;  // Admin endpoints, tried in turn.
  std::string file;
  std::string author;
  std::string edit_id;  // Made where it is empty.
  uint64_t min_revision = 0;
  bool is_json = false;
  bool is_waiting = true;
};

int TableGet(const CommandOptions& options);
int TableDiff(const CommandOptions& options);
int TableApply(const CommandOptions& options);
int TableHistory(const CommandOptions& options);
int ShowStatus(const CommandOptions& options);
int AddControlHost(const CommandOptions& options,
                   uint32_t replica_id,
                   Endpoint admin);
int RemoveControlHost(const CommandOptions& options, uint32_t replica_id);

}  // namespace acaciahold::op

#endif  // ACACIAHOLD_OPERATOR_COMMANDS_H_
