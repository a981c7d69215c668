// Comparing views, and applying what differs.

#include "acaciahold/Catalog/view_change.h"

#include <map>

namespace acaciahold::catalog {
namespace {

Endpoint KeyOf(const Listener& listener) {
  return listener.endpoint;
}

const std::string& KeyOf(const Service& service) {
  return service.name;
}

// What is new or has changed, and the keys of what is missing. Where a key
// stands twice the first one holds, as for those who look it up.
template <typename T, typename Key>
void Compare(const std::vector<T>& from,
             const std::vector<T>& to,
             std::vector<T>& changed,
             std::vector<Key>& removed) {
  std::map<Key, const T*> before;
  for (const auto& it : from) {
    before.try_emplace(KeyOf(it), &it);
  }
  std::set<Key> seen;
  for (const auto& it : to) {
    if (!seen.insert(KeyOf(it)).second) {
      continue;
    }
    auto known = before.find(KeyOf(it));
    if (known == before.end() || *known->second != it) {
      changed.push_back(it);
    }
  }
  for (const auto& [key, it] : before) {
    if (!seen.contains(key)) {
      removed.push_back(key);
    }
  }
}

template <typename T, typename Key>
void Update(std::vector<T>& list,
            const std::vector<T>& changed,
            const std::vector<Key>& removed) {
  std::set<Key> replaced(removed.begin(), removed.end());
  for (const auto& it : changed) {
    replaced.insert(KeyOf(it));
  }
  std::erase_if(list,
                [&](const T& it) { return replaced.contains(KeyOf(it)); });
  list.insert(list.end(), changed.begin(), changed.end());
}

}  // namespace

ViewChange WholeView(const View& view) {
  return Difference({}, view);
}

ViewChange Difference(const View& from, const View& to) {
  ViewChange change;
  change.base_revision = from.revision;
  change.revision = to.revision;
  change.version = to.catalog.version;
  change.idle_timeout_ms = to.catalog.idle_timeout_ms;
  Compare(from.catalog.listeners, to.catalog.listeners, change.listeners,
          change.removed_listeners);
  Compare(from.catalog.services, to.catalog.services, change.services,
          change.removed_services);
  change.domains_out = to.domains_out;
  return change;
}

std::optional<View> Changed(const View& view, const ViewChange& change) {
  bool is_whole = change.base_revision == 0;
  bool applies = change.revision > view.revision &&
                 (is_whole || change.base_revision == view.revision);
  if (!applies) {
    return std::nullopt;
  }
  View next = is_whole ? View() : view;
  next.revision = change.revision;
  next.catalog.version = change.version;
  next.catalog.idle_timeout_ms = change.idle_timeout_ms;
  Update(next.catalog.listeners, change.listeners, change.removed_listeners);
  Update(next.catalog.services, change.services, change.removed_services);
  next.domains_out = change.domains_out;
  return next;
}

}  // namespace acaciahold::catalog
