// Detects upstreams that stopped answering from the failures that all entry
// hosts report to a control host. Performs no I/O.
//
// An upstream may hang or crash while its announcements still arrive. With many
// entry hosts, each sends it only a few requests, so a host that relied on its
// own observations would notice only after requests of its own callers had
// failed. Combined reports identify the upstream within a second.

#ifndef ACACIAHOLD_DIRECTORY_FAILURE_DETECTOR_H_
#define ACACIAHOLD_DIRECTORY_FAILURE_DETECTOR_H_

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "acaciahold/Directory/directory.h"

namespace acaciahold::directory {

// Failures of an upstream that an entry host observed since its last report:
// opening packets without an answer and requests that callers retransmitted.
struct UpstreamFailures {
  UpstreamId upstream = 0;
  uint32_t count = 0;

  bool operator==(const UpstreamFailures&) const = default;
};

// How long a report counts. Covers several retransmissions of a request.
inline constexpr Duration kFailureWindow = std::chrono::milliseconds(1'500);
// An upstream is suspected if it has at least kMeanFactor times the mean
// failures of its service plus kMinExcessFailures, reported by at least
// kMinReporters entry hosts. The mean is the baseline because lost packets and
// overload affect all upstreams of a service alike.
inline constexpr double kMinExcessFailures = 4;
inline constexpr double kMeanFactor = 2;
inline constexpr size_t kMinReporters = 2;
// How long a suspected upstream receives no new flows. Afterwards it is tried
// again; if it still does not answer, some callers' requests fail.
inline constexpr Duration kSuspicionDuration = std::chrono::seconds(6);
// Minimum time between two evaluations of the reports.
inline constexpr Duration kEvaluationInterval = std::chrono::milliseconds(100);

struct FailureDetector {
  struct Report {
    Instant reported_at;
    uint64_t host_hash = 0;
    UpstreamFailures failures;
  };
  std::deque<Report> reports;   // Within kFailureWindow, oldest first.
  Instant evaluation_deadline;  // Earliest time of the next evaluation.
  // Time at which each suspicion expires.
  std::map<UpstreamId, Instant> suspected;
};

// Adds the failures that the entry host `host` reported.
void OnFailureReport(FailureDetector& detector,
                     std::string_view host,
                     std::span<const UpstreamFailures> failures,
                     Instant now);

// Marks an upstream as suspected, whether by this or by another control host.
// Returns whether it was not suspected before.
bool MarkSuspected(FailureDetector& detector, UpstreamId upstream, Instant now);

// Evaluates the reports and returns the newly suspected upstreams. Call after
// adding reports; does nothing within kEvaluationInterval of the last
// evaluation.
std::vector<UpstreamId> FindNewSuspects(FailureDetector& detector,
                                        const Directory& directory,
                                        Instant now);

}  // namespace acaciahold::directory

#endif  // ACACIAHOLD_DIRECTORY_FAILURE_DETECTOR_H_
