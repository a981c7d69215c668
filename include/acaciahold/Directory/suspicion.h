// Which upstreams have stopped to answer, from what all entry hosts see: a core
// without I/O.
//
// The load that it answers: an upstream hangs, goes mute or dies while its
// announcements still come. Each of many entry hosts sees a request there now
// and then, and would learn of it by failures of its own callers. Together they
// know within a second.

#ifndef ACACIAHOLD_DIRECTORY_SUSPICION_H_
#define ACACIAHOLD_DIRECTORY_SUSPICION_H_

#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "acaciahold/Directory/directory.h"

namespace acaciahold::directory {

// What an entry host saw of an upstream since its last report: openings without
// an answer, and requests that callers sent again.
struct Trouble {
  UpstreamId upstream = 0;
  uint32_t count = 0;

  bool operator==(const Trouble&) const = default;
};

// Reports count for so long: some repetitions of a request.
inline constexpr Duration kTroubleWindow = std::chrono::milliseconds(1'500);
// An upstream is suspected from this many troubles above twice the mean of its
// service, where several hosts report them. Lost packets and overload trouble
// all upstreams alike.
inline constexpr double kMinTroubles = 4;
inline constexpr double kMeanFactor = 2;
inline constexpr size_t kMinReporters = 2;
// Avoided for so long; it is tried again after it, at the cost of some callers.
inline constexpr Duration kSuspectTime = std::chrono::seconds(6);
// Upstreams are judged at most this often.
inline constexpr Duration kJudgeInterval = std::chrono::milliseconds(100);

struct Suspicions {
  struct Report {
    Instant at;
    uint64_t host_hash = 0;
    Trouble trouble;
  };
  std::deque<Report> reports;  // Of the last kTroubleWindow, oldest first.
  Instant judge_deadline;
  std::map<UpstreamId, Instant> suspected;  // Until when.
};

void OnTroubles(Suspicions& suspicions,
                std::string_view host,
                std::span<const Trouble> troubles,
                Instant now);

// The upstream is suspected, here or by another control host. Returns whether
// that is new.
bool OnSuspected(Suspicions& suspicions, UpstreamId upstream, Instant now);

// Upstreams that are suspected anew. To be called after reports.
std::vector<UpstreamId> Judge(Suspicions& suspicions,
                              const Directory& directory,
                              Instant now);

}  // namespace acaciahold::directory

#endif  // ACACIAHOLD_DIRECTORY_SUSPICION_H_
