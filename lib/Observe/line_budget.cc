// Counting lines and bytes by the second.

#include "acaciahold/Observe/line_budget.h"

#include <utility>

namespace acaciahold::observe {
namespace {

KindBudget& KindOf(LineBudget& budget, std::string_view event) {
  auto it = budget.kinds.find(event);
  if (it == budget.kinds.end()) {
    it = budget.kinds.emplace(std::string(event), KindBudget()).first;
  }
  return it->second;
}

}  // namespace

bool MayWrite(LineBudget& budget,
              Weight weight,
              std::string_view event,
              Instant now) {
  if (now >= budget.second_end) {
    budget.second_end = now + std::chrono::seconds(1);
    budget.bytes = 0;
    for (auto& [name, kind] : budget.kinds) {
      kind.written = 0;
    }
  }
  auto& kind = KindOf(budget, event);
  bool is_routine = weight == Weight::kRoutine;
  uint32_t lines =
      is_routine ? budget.limits.routine_lines : budget.limits.notable_lines;
  size_t bytes = is_routine ? budget.limits.bytes / 2 : budget.limits.bytes;
  bool may_write = kind.written < lines && budget.bytes < bytes;
  kind.left_out += may_write ? 0 : 1;
  return may_write;
}

void OnWritten(LineBudget& budget, std::string_view event, size_t bytes) {
  ++KindOf(budget, event).written;
  budget.bytes += bytes;
}

void OnNotWritten(LineBudget& budget, std::string_view event) {
  ++KindOf(budget, event).left_out;
}

std::vector<LeftOut> TakeLeftOut(LineBudget& budget, Instant now) {
  std::vector<LeftOut> left_out;
  if (now < budget.second_end) {
    return left_out;
  }
  for (auto& [name, kind] : budget.kinds) {
    if (kind.left_out > 0) {
      left_out.push_back({name, std::exchange(kind.left_out, 0)});
    }
  }
  return left_out;
}

}  // namespace acaciahold::observe
