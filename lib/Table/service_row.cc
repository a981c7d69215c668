// Lookups in one row.

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

}  // namespace acaciahold::table
