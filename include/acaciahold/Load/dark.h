// Finds upstreams that answer nothing, although their announcements may still
// arrive. Performs no I/O.
//
// It is designed for upstreams that die or freeze while flows are open at them.
// Entry hosts reset such flows, and a reset of a flow whose upstream lives is
// the worst mistake; see Steering/stranded_flow.h. So an upstream is dark only
// if all hosts together saw no answer over several intervals in which many were
// due, several hosts count requests or openings as overdue, and other upstreams
// of its service do answer. A full upstream answers, if only by rejecting; one
// that is slow gets more time, as fewer answers are due from it.
//
// Silence here is that of answers; a silent upstream of the directory is one
// whose announcements have stopped.

#ifndef ACACIAHOLD_LOAD_DARK_H_
#define ACACIAHOLD_LOAD_DARK_H_

#include <cstdint>
#include <map>
#include <vector>

#include "acaciahold/Catalog/catalog.h"
#include "acaciahold/Directory/directory.h"
#include "acaciahold/Load/load.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::load {

// Intervals without an answer before an upstream is dark. Answers from before
// its death are known up to 1.5 s late.
inline constexpr uint32_t kMinSilentIntervals = 2;
// Answers that were due in these intervals, by its own earlier rate. At this
// number, chance alone leaves a live upstream silent once in ten million times.
inline constexpr double kMinMissedAnswers = 16;
// Where long requests keep all slots of live upstreams busy, these miss some
// answers now and then. One that is dark misses more than others of its service
// did in their longest recent silence, by this factor.
inline constexpr double kMissedFactor = 2.5;
// Time in which the record of the longest silence halves.
inline constexpr Duration kSilenceHalfLife = std::chrono::seconds(60);
inline constexpr uint32_t kMinOverdue = 4;
inline constexpr uint32_t kMinOverdueHosts = 2;
// For each upstream of the service that answers, at most this number may be
// without an answer; else the path of the reports or callers is the cause.
inline constexpr uint32_t kMaxSilentPerAnswering = 3;
// With fewer answers than this fraction of the usual number, and more requests
// overdue, no silence begins, but these count for the next one: answers from
// before a death are known late, and some requests only seem to be answered, as
// their retransmissions were lost.
inline constexpr double kFewAnswers = 0.2;
// Overdue requests are forgotten if none was added for this time.
inline constexpr Duration kOverdueMemory = std::chrono::seconds(3);
// The same for an upstream that is dark. Longer, since it gets few requests, of
// which few can become overdue.
inline constexpr Duration kDarkMemory = std::chrono::seconds(10);
// Fraction of the usual number of reporters from which sums are complete enough
// to show that something was not answered; also of the reporters whose
// responses are included.
inline constexpr double kMinReporterFraction = 0.8;

// What earlier sums showed.
struct DarkDetector {
  struct Upstream {
    int64_t born_ms = 0;       // Identifies the start of the upstream.
    double answers = 0;        // Smoothed number in an interval.
    bool answers_now = false;  // In the last interval that was counted.
    // Since the first overdue request or opening after the last answer.
    uint32_t silent_intervals = 0;
    uint32_t overdue = 0;
    uint32_t overdue_hosts = 0;  // The most in any interval.
    Instant overdue_at;          // The last time.
    bool is_dark = false;
    // The most answers that it missed lately before it answered again, unless
    // it was dark.
    double longest_silence = 0;
  };
  std::map<directory::UpstreamId, Upstream> upstreams;
  double usual_reporters = 0;
  Instant summed_at;  // Time of the last call; unset before it.
};

// Call once for each interval with the sums of all control hosts. Returns all
// upstreams that are dark now.
std::vector<directory::UpstreamId> FindDarkUpstreams(
    DarkDetector& state,
    const LoadSums& sums,
    const catalog::View& view,
    const directory::Directory& directory,
    Instant now);

}  // namespace acaciahold::load

#endif  // ACACIAHOLD_LOAD_DARK_H_
