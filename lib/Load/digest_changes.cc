// Decides what of a digest is sent: with hundreds of entry hosts and a few
// feeds each, whole digests would be most of what hosts receive.

#include "acaciahold/Load/digest_changes.h"

#include <algorithm>
#include <cmath>

namespace acaciahold::load {
namespace {

template <typename T>
auto FindDomain(T& standing, const std::string& failure_domain) {
  return std::find_if(
      standing.domains.begin(), standing.domains.end(),
      [&](const auto& it) { return it.failure_domain == failure_domain; });
}

template <typename T>
auto FindService(T& digest, const std::string& service) {
  return std::find_if(digest.services.begin(), digest.services.end(),
                      [&](const auto& it) { return it.service == service; });
}

bool AreSimilar(double a, double b) {
  double tolerance =
      std::max(kSlotTolerance, kDemandTolerance * std::max(a, b));
  return std::abs(a - b) <= tolerance;
}

// No admission and full admission are always sent exactly.
bool AreSimilarFractions(double a, double b) {
  bool is_bound = a <= 0 || a >= 1 || b <= 0 || b >= 1;
  return is_bound ? a == b : std::abs(a - b) <= kAdmissionTolerance;
}

bool AreSimilar(const std::vector<RouteAdmission>& a,
                const std::vector<RouteAdmission>& b) {
  return std::equal(
      a.begin(), a.end(), b.begin(), b.end(), [](const auto& x, const auto& y) {
        return x.listener == y.listener &&
               AreSimilarFractions(x.admitted_fraction, y.admitted_fraction);
      });
}

// Whether `sent` has a service, or a failure domain of one, that `digest` does
// not have.
bool HasMore(const LoadDigest& sent, const LoadDigest& digest) {
  return std::any_of(
      sent.services.begin(), sent.services.end(), [&](const auto& service) {
        auto it = FindService(digest, service.service);
        return it == digest.services.end() ||
               std::any_of(service.domains.begin(), service.domains.end(),
                           [&](const auto& domain) {
                             return FindDomain(*it, domain.failure_domain) ==
                                    it->domains.end();
                           });
      });
}

// Returns the rows of `standing` that differ notably from those in `sent`.
std::vector<DomainStanding> ChangedDomains(const ServiceStanding& sent,
                                           const ServiceStanding& standing) {
  std::vector<DomainStanding> changed;
  for (const auto& it : standing.domains) {
    auto known = FindDomain(sent, it.failure_domain);
    bool is_known = known != sent.domains.end() &&
                    AreSimilar(known->demand_slots, it.demand_slots) &&
                    AreSimilar(known->slots, it.slots);
    if (!is_known) {
      changed.push_back(it);
    }
  }
  return changed;
}

}  // namespace

void MergeStanding(ServiceStanding& to, const ServiceStanding& change) {
  to.service = change.service;
  to.is_short = change.is_short;
  to.admissions = change.admissions;
  for (const auto& it : change.domains) {
    auto known = FindDomain(to, it.failure_domain);
    if (known != to.domains.end()) {
      *known = it;
      continue;
    }
    auto place = std::find_if(
        to.domains.begin(), to.domains.end(),
        [&](const auto& d) { return it.failure_domain < d.failure_domain; });
    to.domains.insert(place, it);
  }
}

LoadDigest TakeChanges(std::optional<LoadDigest>& held,
                       const LoadDigest& digest) {
  if (!held || HasMore(*held, digest)) {
    held = digest;
    return digest;
  }
  auto& sent = *held;
  LoadDigest changes{digest.reporters, {}, digest.slow, digest.dark, true};
  for (const auto& it : digest.services) {
    auto known = FindService(sent, it.service);
    if (known == sent.services.end()) {
      changes.services.push_back(it);
      sent.services.push_back(it);
      continue;
    }
    ServiceStanding change{it.service, ChangedDomains(*known, it), it.is_short,
                           it.admissions};
    bool is_changed = !change.domains.empty() ||
                      known->is_short != it.is_short ||
                      !AreSimilar(known->admissions, it.admissions);
    if (is_changed) {
      MergeStanding(*known, change);
      changes.services.push_back(std::move(change));
    }
  }
  sent.reporters = digest.reporters;
  sent.slow = digest.slow;
  sent.dark = digest.dark;
  return changes;
}

}  // namespace acaciahold::load
