// Incremental updates from one view to a later one. The size of an update is
// proportional to what changed, not to the size of the catalog.

#ifndef ACACIAHOLD_CATALOG_VIEW_CHANGE_H_
#define ACACIAHOLD_CATALOG_VIEW_CHANGE_H_

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "acaciahold/Catalog/catalog.h"

namespace acaciahold::catalog {

// Invariant: `listeners` and `removed_listeners` share no endpoint, `services`
// and `removed_services` no name.
struct ViewChange {
  // Revision of the view that the change applies to. 0: the change holds the
  // whole view and applies to any older one.
  uint64_t base_revision = 0;
  uint64_t revision = 0;  // Revision of the resulting view.
  uint64_t version = 0;   // Catalog version of the resulting view.
  uint32_t idle_timeout_ms = 0;
  // In the resulting view. 0 from control hosts of earlier versions, which know
  // no terms.
  uint32_t listeners_with_terms = 0;
  std::vector<Endpoint> removed_listeners;
  std::vector<Listener> listeners;  // Added or changed.
  std::vector<std::string> removed_services;
  std::vector<Service> services;      // Added or changed.
  std::set<std::string> domains_out;  // The complete set.

  bool operator==(const ViewChange&) const = default;
};

// A change that holds the whole view.
ViewChange FullViewChange(const View& view);

// The change that turns `from` into the later view `to`.
ViewChange DiffViews(const View& from, const View& to);

// Returns the view with the change applied, or nothing if the change does not
// lead to a later revision or its base is not the view's revision. A whole view
// of the same revision applies if the held one lacks terms of it.
//
// If a change that is not whole leads to another number of listeners with terms
// than the sender has, all are left without: some would otherwise be ranked
// against others whose terms are not known.
std::optional<View> ApplyChange(const View& view, const ViewChange& change);

// Number of listeners that have a term. Of those with the same endpoint, the
// first counts.
uint32_t CountListenersWithTerms(const Catalog& catalog);

// Whether the change leads to the view's revision and the view lacks terms that
// the sender of the change knows: a control host of an earlier version has sent
// it, or the sender's version knows terms that this host can't read.
bool LacksTerms(const View& view, const ViewChange& change);

}  // namespace acaciahold::catalog

#endif  // ACACIAHOLD_CATALOG_VIEW_CHANGE_H_
