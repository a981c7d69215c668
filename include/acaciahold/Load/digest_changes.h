// Reduces a digest to what changed notably since the one before, since the
// standing of most services stays the same. The receiver merges changes; links
// deliver them in order. Performs no I/O.

#ifndef ACACIAHOLD_LOAD_DIGEST_CHANGES_H_
#define ACACIAHOLD_LOAD_DIGEST_CHANGES_H_

#include <optional>

#include "acaciahold/Load/load.h"

namespace acaciahold::load {

// Differences of demand or room up to this fraction, or up to this number of
// slots, are not sent: they change no decision on where a flow goes.
inline constexpr double kDemandTolerance = 0.1;
inline constexpr double kSlotTolerance = 0.5;
// Differences of admitted fractions up to this are not sent.
inline constexpr double kAdmissionTolerance = 0.02;

// Returns the digest to send to hosts that hold `held`, and updates `held` to
// what they hold afterwards: only changes, or all of `digest` if `held` is not
// set, or if a service or one of its failure domains is gone.
LoadDigest TakeChanges(std::optional<LoadDigest>& held,
                       const LoadDigest& digest);

// Merges the standings of a digest that holds only changes.
void MergeStanding(ServiceStanding& to, const ServiceStanding& change);

}  // namespace acaciahold::load

#endif  // ACACIAHOLD_LOAD_DIGEST_CHANGES_H_
