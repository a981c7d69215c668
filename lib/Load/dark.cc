// Counts the intervals in which an upstream answered nothing.

#include "acaciahold/Load/dark.h"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace acaciahold::load {
namespace {

using Upstream = DarkDetector::Upstream;

// Weight of an interval in the smoothed number of answers.
constexpr double kAnswerWeight = 0.1;
// Decay of the usual number of reporters in an interval, so that hosts that
// left are forgotten within some seconds.
constexpr double kReporterDecay = 0.95;

// Requests and openings at one upstream in one interval.
struct Tally {
  uint32_t answered = 0;
  uint32_t overdue = 0;
  uint32_t overdue_hosts = 0;
};

struct ServiceTally {
  uint32_t answering = 0;  // Upstreams that answered in the last interval.
  uint32_t silent = 0;     // Upstreams with overdue requests and no answer.
  // The two longest silences of its upstreams, and whose the first one is.
  double longest_silence = 0;
  double second_silence = 0;
  directory::UpstreamId longest_silent = 0;
};

std::map<directory::UpstreamId, Tally> TallyByUpstream(const LoadSums& sums) {
  std::map<directory::UpstreamId, Tally> tallies;
  for (const auto& it : sums.responses) {
    auto& tally = tallies[it.upstream];
    // The answer to a request that was presumed to be answered before is only
    // `timed`.
    tally.answered += std::max(it.answered, it.timed);
    tally.overdue += it.overdue;
    // The same host may have counted several listeners.
    tally.overdue_hosts = std::max(tally.overdue_hosts, it.overdue_hosts);
  }
  return tallies;
}

// Forgets all but how much the upstream usually answers.
void EndSilence(Upstream& upstream) {
  upstream.silent_intervals = 0;
  upstream.overdue = 0;
  upstream.overdue_hosts = 0;
  upstream.is_dark = false;
}

// Whether the sums may show that upstreams did not answer: they follow the last
// ones closely and include nearly all usual reporters.
bool AreComplete(DarkDetector& state, const LoadSums& sums, Instant now) {
  double reporters = 0;
  for (const auto& it : sums.domains) {
    reporters += it.reporters;
  }
  bool is_late = state.summed_at != Instant() &&
                 now > state.summed_at + 2 * kReportInterval;
  state.summed_at = now;
  state.usual_reporters =
      std::max(reporters, state.usual_reporters * kReporterDecay);
  return !is_late && reporters > 0 &&
         reporters >= kMinReporterFraction * state.usual_reporters;
}

double MissedAnswers(const Upstream& upstream) {
  return upstream.answers * upstream.silent_intervals;
}

Duration MemoryOf(const Upstream& upstream) {
  return upstream.is_dark ? kDarkMemory : kOverdueMemory;
}

void AddOverdue(Upstream& upstream, const Tally& tally, Instant now) {
  upstream.overdue += tally.overdue;
  upstream.overdue_hosts =
      std::max(upstream.overdue_hosts, tally.overdue_hosts);
  if (tally.overdue > 0) {
    upstream.overdue_at = now;
  }
}

void OnAnswers(Upstream& upstream, const Tally& tally, Instant now) {
  if (!upstream.is_dark) {
    upstream.longest_silence =
        std::max(upstream.longest_silence, MissedAnswers(upstream));
  }
  bool has_few = tally.answered < kFewAnswers * upstream.answers &&
                 tally.answered < tally.overdue;
  upstream.answers += kAnswerWeight * (tally.answered - upstream.answers);
  if (has_few) {
    upstream.silent_intervals = 0;
    upstream.is_dark = false;
    AddOverdue(upstream, tally, now);
  } else {
    EndSilence(upstream);
  }
}

void AddInterval(Upstream& upstream, const Tally& tally, Instant now) {
  static const double kDecay =
      std::exp2(-std::chrono::duration<double>(kReportInterval) /
                std::chrono::duration<double>(kSilenceHalfLife));
  upstream.longest_silence *= kDecay;
  upstream.answers_now = tally.answered > 0;
  bool is_silent =
      tally.answered == 0 && (tally.overdue > 0 || upstream.overdue > 0);
  if (!is_silent) {
    OnAnswers(upstream, tally, now);
    return;
  }
  ++upstream.silent_intervals;
  AddOverdue(upstream, tally, now);
  if (now >= upstream.overdue_at + MemoryOf(upstream)) {
    EndSilence(upstream);
  }
}

// Follows starts and removals of upstreams.
void FollowDirectory(DarkDetector& state,
                     const directory::Directory& directory) {
  std::erase_if(state.upstreams, [&](const auto& it) {
    return !directory.entries.contains(it.first);
  });
  for (const auto& [id, entry] : directory.entries) {
    auto& upstream = state.upstreams[id];
    if (upstream.born_ms != entry.record.born_ms) {
      upstream = {};
      upstream.born_ms = entry.record.born_ms;
    }
  }
}

std::map<std::string_view, ServiceTally> TallyByService(
    const DarkDetector& state,
    const directory::Directory& directory) {
  std::map<std::string_view, ServiceTally> services;
  for (const auto& [id, upstream] : state.upstreams) {
    auto& service = services[directory.entries.at(id).record.service];
    service.answering += upstream.answers_now ? 1 : 0;
    service.silent += upstream.silent_intervals > 0 ? 1 : 0;
    if (upstream.longest_silence > service.longest_silence) {
      service.second_silence = service.longest_silence;
      service.longest_silence = upstream.longest_silence;
      service.longest_silent = id;
    } else {
      service.second_silence =
          std::max(service.second_silence, upstream.longest_silence);
    }
  }
  return services;
}

bool ShowsDark(directory::UpstreamId id,
               const Upstream& upstream,
               const ServiceTally& service) {
  double others_silence = service.longest_silent == id
                              ? service.second_silence
                              : service.longest_silence;
  double min_missed =
      std::max(kMinMissedAnswers, kMissedFactor * others_silence);
  return upstream.silent_intervals >= kMinSilentIntervals &&
         MissedAnswers(upstream) >= min_missed &&
         upstream.overdue >= kMinOverdue &&
         upstream.overdue_hosts >= kMinOverdueHosts &&
         service.silent <= kMaxSilentPerAnswering * service.answering;
}

}  // namespace

std::vector<directory::UpstreamId> FindDarkUpstreams(
    DarkDetector& state,
    const LoadSums& sums,
    const catalog::View& /*view*/,
    const directory::Directory& directory,
    Instant now) {
  FollowDirectory(state, directory);
  if (!AreComplete(state, sums, now)) {
    for (auto& [id, upstream] : state.upstreams) {
      EndSilence(upstream);
    }
    return {};
  }
  // While the responses of many hosts are late, only answers count.
  bool are_responses_late =
      sums.responding < kMinReporterFraction * CountReporters(sums);
  auto tallies = TallyByUpstream(sums);
  for (auto& [id, upstream] : state.upstreams) {
    if (!are_responses_late || tallies[id].answered > 0) {
      AddInterval(upstream, tallies[id], now);
    } else if (now >= upstream.overdue_at + MemoryOf(upstream)) {
      EndSilence(upstream);
    }
  }
  auto services = TallyByService(state, directory);
  std::vector<directory::UpstreamId> dark;
  for (auto& [id, upstream] : state.upstreams) {
    const auto& service = services[directory.entries.at(id).record.service];
    upstream.is_dark = upstream.is_dark || ShowsDark(id, upstream, service);
    if (upstream.is_dark) {
      dark.push_back(id);
    }
  }
  return dark;
}

}  // namespace acaciahold::load
