// What the event log and the metrics say of the load: services that are short,
// and upstreams that are slow or dark. Performs no I/O.

#ifndef ACACIAHOLD_LOAD_LOAD_SUMMARY_H_
#define ACACIAHOLD_LOAD_LOAD_SUMMARY_H_

#include <map>
#include <set>
#include <string>

#include "acaciahold/Load/digests.h"
#include "acaciahold/Load/load.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::load {

// Of a service in all failure domains, in slots.
struct DemandAndRoom {
  double demand = 0;
  double room = 0;

  bool operator==(const DemandAndRoom&) const = default;
};

struct LoadSummary {
  std::map<std::string, DemandAndRoom> services;  // Whose standing is known.
  std::set<std::string> short_services;           // A part of `services`.
  std::map<directory::UpstreamId, double> slow;   // With their speed.
  std::set<directory::UpstreamId> dark;
};

DemandAndRoom AddUp(const ServiceStanding& standing);

// What a control host tells its entry hosts.
LoadSummary Summarize(const LoadDigest& digest);
// What an entry host relies on.
LoadSummary Summarize(const DigestStore& store, Instant now);

}  // namespace acaciahold::load

#endif  // ACACIAHOLD_LOAD_LOAD_SUMMARY_H_
