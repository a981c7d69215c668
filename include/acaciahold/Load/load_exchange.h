// What a control host knows of the load: reports of its entry hosts and sums of
// the other control hosts, from which it makes a digest each kReportInterval.
// Performs no I/O.
//
// A report or sum that is not followed by a new one stands for the rate of
// requests for a while longer, but its responses, which are evidence against
// upstreams, count only once.

#ifndef ACACIAHOLD_LOAD_LOAD_EXCHANGE_H_
#define ACACIAHOLD_LOAD_LOAD_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <string>

#include "acaciahold/Catalog/catalog.h"
#include "acaciahold/Directory/directory.h"
#include "acaciahold/Load/dark.h"
#include "acaciahold/Load/load.h"
#include "acaciahold/Load/speed.h"
#include "acaciahold/Load/standing.h"
#include "acaciahold/Support/address.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::load {

// A report is used this long. Reports arrive once in each interval, but not
// always exactly one between two digests.
inline constexpr Duration kMaxReportAge = 2 * kReportInterval;
// After its start a control host sends only empty digests for this long: all
// entry hosts have reported to some control host by then, also those that lost
// theirs, and the detectors have seen some intervals.
inline constexpr Duration kLearningTime = 2 * kMaxAge;

// The newest report of an entry host, with the responses of earlier ones that
// no interval has used.
struct HostReport {
  std::string failure_domain;
  LoadReport report;
  Instant came_at;
  bool is_used = false;  // It was part of the sums of an interval.
};

// The newest sums of another control host, with the responses of earlier ones
// that no interval has used.
struct HostSums {
  LoadSums sums;
  Instant came_at;
  bool is_used = false;
};

// Counters for metrics.
struct ExchangeCounters {
  uint64_t reports = 0;  // Received.
  uint64_t sums = 0;     // Received.
  uint64_t rows = 0;     // Rows of reports and sums that were added up.
};

struct LoadExchange {
  // Digests are empty before it; see kLearningTime.
  Instant learning_deadline;
  std::map<std::string, HostReport> reports;  // By the entry host's name.
  std::map<Endpoint, HostSums> sums;  // By the control host's link endpoint.
  StandingState standing;
  SpeedEstimator speed;
  DarkDetector dark;
  uint32_t reporters = 0;  // Entry hosts in the total of the last interval.
  LoadDigest digest;       // Of the last interval.
  Instant digest_at;       // When `digest` was made; unset: none yet.
  ExchangeCounters counts;
};

LoadExchange MakeLoadExchange(Instant now);

void OnReport(LoadExchange& exchange,
              const std::string& name,
              const std::string& failure_domain,
              LoadReport report,
              Instant now);

void OnSums(LoadExchange& exchange, Endpoint from, LoadSums sums, Instant now);

// Returns the sums of the own entry hosts' reports, for the other control
// hosts, and updates LoadExchange::digest, which goes to the entry hosts. Call
// each kReportInterval. `known_reporters` is the number of entry hosts in the
// deployment: the digest is empty if fewer than half of them were heard, since
// it would look as if there were no demand.
LoadSums EndInterval(LoadExchange& exchange,
                     const catalog::View& view,
                     const directory::Directory& directory,
                     size_t known_reporters,
                     Instant now);

}  // namespace acaciahold::load

#endif  // ACACIAHOLD_LOAD_LOAD_EXCHANGE_H_
