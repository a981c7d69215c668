// Lookups in one row, and names of its enumerators.

#include "acaciahold/Table/service_row.h"

namespace acaciahold::table {

uint32_t WeightOf(const ServiceRow& row, std::string_view failure_domain) {
  for (const auto& it : row.failure_domains) {
    if (it.failure_domain == failure_domain) {
      return it.weight;
    }
  }
  return 0;
}

std::string_view KindName(ServiceKind kind) {
  return kind == ServiceKind::kFlow ? "flow" : "request";
}

std::string_view RepetitionName(Repetition repetition) {
  switch (repetition) {
    case Repetition::kIdempotent:
      return "idempotent";
    case Repetition::kAtMostOnce:
      return "at_most_once";
    case Repetition::kUnknown:
      break;
  }
  return "unknown";
}

Repetition RepetitionFromName(std::string_view name) {
  for (auto it : {Repetition::kIdempotent, Repetition::kAtMostOnce}) {
    if (RepetitionName(it) == name) {
      return it;
    }
  }
  return Repetition::kUnknown;
}

bool AreContradictory(const RowTerms& terms) {
  return terms.timeout_ms > 0 && terms.latency_objective_ms > terms.timeout_ms;
}

}  // namespace acaciahold::table
