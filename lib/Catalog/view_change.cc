// Computes the difference between two views and applies it.

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

// Appends the elements of `to` that are new or changed to `changed`, and the
// keys that only `from` has to `removed`. If a list has a key twice, the first
// element counts, as it does for look-ups.
template <typename T, typename Key>
void DiffByKey(const std::vector<T>& from,
               const std::vector<T>& to,
               std::vector<T>& changed,
               std::vector<Key>& removed) {
  std::map<Key, const T*> from_by_key;
  for (const auto& it : from) {
    from_by_key.try_emplace(KeyOf(it), &it);
  }
  std::set<Key> to_keys;
  for (const auto& it : to) {
    if (!to_keys.insert(KeyOf(it)).second) {
      continue;
    }
    auto previous = from_by_key.find(KeyOf(it));
    if (previous == from_by_key.end() || *previous->second != it) {
      changed.push_back(it);
    }
  }
  for (const auto& [key, it] : from_by_key) {
    if (!to_keys.contains(key)) {
      removed.push_back(key);
    }
  }
}

// Removes the elements of `list` whose keys are in `removed` or `changed`, then
// appends `changed`.
template <typename T, typename Key>
void ApplyByKey(std::vector<T>& list,
                const std::vector<T>& changed,
                const std::vector<Key>& removed) {
  std::set<Key> stale_keys(removed.begin(), removed.end());
  for (const auto& it : changed) {
    stale_keys.insert(KeyOf(it));
  }
  std::erase_if(list,
                [&](const T& it) { return stale_keys.contains(KeyOf(it)); });
  list.insert(list.end(), changed.begin(), changed.end());
}

}  // namespace

ViewChange FullViewChange(const View& view) {
  return DiffViews({}, view);
}

ViewChange DiffViews(const View& from, const View& to) {
  ViewChange change;
  change.base_revision = from.revision;
  change.revision = to.revision;
  change.version = to.catalog.version;
  change.idle_timeout_ms = to.catalog.idle_timeout_ms;
  change.listeners_with_terms = CountListenersWithTerms(to.catalog);
  DiffByKey(from.catalog.listeners, to.catalog.listeners, change.listeners,
            change.removed_listeners);
  DiffByKey(from.catalog.services, to.catalog.services, change.services,
            change.removed_services);
  change.domains_out = to.domains_out;
  return change;
}

std::optional<View> ApplyChange(const View& view, const ViewChange& change) {
  bool is_whole = change.base_revision == 0;
  bool is_next = change.revision > view.revision &&
                 (is_whole || change.base_revision == view.revision);
  if (!is_next && !(is_whole && LacksTerms(view, change))) {
    return std::nullopt;
  }
  View next = is_whole ? View() : view;
  next.revision = change.revision;
  next.catalog.version = change.version;
  next.catalog.idle_timeout_ms = change.idle_timeout_ms;
  ApplyByKey(next.catalog.listeners, change.listeners,
             change.removed_listeners);
  ApplyByKey(next.catalog.services, change.services, change.removed_services);
  next.domains_out = change.domains_out;
  bool is_complete =
      CountListenersWithTerms(next.catalog) == change.listeners_with_terms;
  if (!is_whole && !is_complete) {
    for (auto& listener : next.catalog.listeners) {
      listener.terms = {};
    }
  }
  return next;
}

uint32_t CountListenersWithTerms(const Catalog& catalog) {
  std::set<Endpoint> endpoints;
  uint32_t n = 0;
  for (const auto& it : catalog.listeners) {
    bool is_first = endpoints.insert(it.endpoint).second;
    n += is_first && it.terms != RouteTerms() ? 1 : 0;
  }
  return n;
}

bool LacksTerms(const View& view, const ViewChange& change) {
  return change.revision == view.revision &&
         change.listeners_with_terms > CountListenersWithTerms(view.catalog);
}

}  // namespace acaciahold::catalog
