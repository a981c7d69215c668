// Checks the history of a cluster.

#include "history.h"

#include <map>

namespace acaciahold::consensus {
namespace {

std::string Describe(const Event& event) {
  return "replica " + std::to_string(event.replica) + " index " +
         std::to_string(event.index) + " command " + event.command;
}

}  // namespace

std::string CheckHistory(const EventLog& history) {
  std::map<Index, std::string> command_at;
  std::map<std::string, Index> index_of;
  std::map<Term, ReplicaId> leaders;
  std::map<std::pair<ReplicaId, uint64_t>, Index> applied;
  for (const auto& event : history) {
    auto state_machine = std::pair(event.replica, event.incarnation);
    switch (event.kind) {
      case EventKind::kBecameLeader: {
        auto [it, is_new] = leaders.emplace(event.index, event.replica);
        if (!is_new && it->second != event.replica) {
          return "two leaders in term " + std::to_string(event.index);
        }
        break;
      }
      case EventKind::kReset:
        if (event.index < applied[state_machine]) {
          return "a state machine was reset to an earlier index: " +
                 Describe(event);
        }
        applied[state_machine] = event.index;
        break;
      case EventKind::kApplied: {
        if (event.index <= applied[state_machine]) {
          return "a state machine applied entries out of order: " +
                 Describe(event);
        }
        applied[state_machine] = event.index;
        auto [it, is_new] = command_at.emplace(event.index, event.command);
        if (it->second != event.command) {
          return "replicas applied different commands at one index: " +
                 Describe(event);
        }
        auto [index_entry, is_first] =
            index_of.emplace(event.command, event.index);
        if (!is_first && index_entry->second != event.index) {
          return "a command was applied at two indexes: " + Describe(event);
        }
        break;
      }
      case EventKind::kAcknowledged: {
        auto it = command_at.find(event.index);
        if (it == command_at.end() || it->second != event.command) {
          return "an acknowledged command was not applied at its index: " +
                 Describe(event);
        }
        break;
      }
    }
  }
  return "";
}

}  // namespace acaciahold::consensus
