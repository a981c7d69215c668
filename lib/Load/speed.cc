// Compares the response times of upstreams with those of their service.

#include "acaciahold/Load/speed.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>

namespace acaciahold::load {
namespace {

using directory::Entry;
using directory::UpstreamId;

constexpr double kSlackMicroseconds =
    std::chrono::duration<double, std::micro>(kTimeSlack).count();

// What one interval showed of an upstream.
struct Observation {
  double requests = 0;
  double log_ratio = 0;  // Sum over `requests`.
  double evidence = 0;   // That the upstream is slow; below 0: that it is not.
  double overdue = 0;
  bool is_answering = false;
};

// What one interval showed of a service.
struct ServiceRound {
  std::vector<const Entry*> judged;
  double slots = 0;         // Of the serving upstreams.
  double busy_seconds = 0;  // That its requests take at the norm.
  std::map<UpstreamId, Observation> observations;
};

using Rounds = std::map<std::string, ServiceRound>;

bool IsServing(const Entry& entry, const catalog::View& view) {
  return entry.record.phase == directory::Phase::kServing && !entry.is_silent &&
         !view.domains_out.contains(entry.record.failure_domain);
}

// Returns the services with a listener that has a latency objective, with their
// upstreams that are warm.
Rounds BeginRounds(const catalog::View& view,
                   const directory::Directory& directory,
                   Instant now) {
  Rounds rounds;
  for (const auto& listener : view.catalog.listeners) {
    for (const auto& target : listener.targets) {
      if (listener.terms.latency_objective_ms > 0) {
        rounds[target.service];
      }
    }
  }
  for (const auto& [id, entry] : directory.entries) {
    auto it = rounds.find(entry.record.service);
    if (it == rounds.end() || !IsServing(entry, view)) {
      continue;
    }
    it->second.slots += entry.record.slots;
    if (now >= entry.cold_deadline + kWarmTime) {
      it->second.judged.push_back(&entry);
    }
  }
  return rounds;
}

// Forgets upstreams that are judged no more or that started again.
void UpdateJudged(SpeedEstimator& state, const Rounds& rounds) {
  std::map<UpstreamId, UpstreamSpeed> judged;
  for (const auto& [service, round] : rounds) {
    for (const auto* entry : round.judged) {
      auto& speed = judged[entry->record.id];
      auto it = state.upstreams.find(entry->record.id);
      bool is_same = it != state.upstreams.end() &&
                     it->second.born_ms == entry->record.born_ms;
      speed = is_same ? it->second : UpstreamSpeed{entry->record.born_ms};
    }
  }
  state.upstreams = std::move(judged);
}

// Adds the interval's samples of judged upstreams to the state.
void AddSamples(SpeedEstimator& state,
                Rounds& rounds,
                const LoadSums& sums,
                const directory::Directory& directory) {
  for (auto& [key, intervals] : state.samples) {
    intervals.emplace_back();
    if (intervals.size() > kNormIntervals) {
      intervals.pop_front();
    }
  }
  for (const auto& it : sums.responses) {
    if (!state.upstreams.contains(it.upstream)) {
      continue;
    }
    const auto& service = directory.entries.at(it.upstream).record.service;
    auto& observation = rounds.at(service).observations[it.upstream];
    observation.overdue += it.overdue;
    observation.is_answering |= it.answered > 0 || it.timed > 0;
    if (it.timed == 0) {
      continue;
    }
    auto& intervals = state.samples[{service, it.listener}];
    if (intervals.empty()) {
      intervals.emplace_back();
    }
    double mean = static_cast<double>(it.response_us) / it.timed;
    intervals.back().push_back({it.upstream, static_cast<double>(it.timed),
                                std::log(mean + kSlackMicroseconds)});
  }
  std::erase_if(state.samples, [&](const auto& it) {
    const auto& intervals = it.second;
    bool is_empty = std::all_of(intervals.begin(), intervals.end(),
                                [](const auto& s) { return s.empty(); });
    return is_empty || !rounds.contains(it.first.first);
  });
}

// Returns the logarithm of the usual response time in microseconds, or nothing
// if too few upstreams answered. It is the median over the requests of all
// upstreams that are not slow by what is known, so that a third of them may
// become slow at once.
std::optional<double> NormOf(
    const SpeedEstimator& state,
    const std::deque<std::vector<SpeedSample>>& intervals) {
  std::vector<std::pair<double, double>> times;  // With the requests.
  std::set<UpstreamId> compared;
  double requests = 0;
  for (const auto& samples : intervals) {
    for (const auto& it : samples) {
      auto speed = state.upstreams.find(it.upstream);
      compared.insert(it.upstream);
      bool is_usual = speed != state.upstreams.end() &&
                      speed->second.evidence < kSlowEvidence / 2;
      if (is_usual) {
        times.emplace_back(it.log_time, it.requests);
        requests += it.requests;
      }
    }
  }
  if (compared.size() < kMinCompared || times.empty()) {
    return std::nullopt;
  }
  std::sort(times.begin(), times.end());
  double below = 0;
  for (const auto& [time, n] : times) {
    below += n;
    if (below >= requests / 2) {
      return time;
    }
  }
  return times.back().first;
}

// Compares the last interval's samples with the norm of their listener.
void Compare(const SpeedEstimator& state, Rounds& rounds) {
  for (const auto& [key, intervals] : state.samples) {
    auto norm = NormOf(state, intervals);
    if (!norm) {
      continue;
    }
    auto& round = rounds.at(key.first);
    for (const auto& it : intervals.back()) {
      double log_ratio = std::clamp(it.log_time - *norm, -kMaxLog, kMaxLog);
      auto& observation = round.observations[it.upstream];
      observation.requests += it.requests;
      observation.log_ratio += it.requests * log_ratio;
      observation.evidence += it.requests * (log_ratio - kNeutralLog);
      round.busy_seconds +=
          it.requests * (std::exp(*norm) - kSlackMicroseconds) / 1e6;
    }
  }
}

// Mean number of overdue requests of an upstream; lost packets and overload
// affect all of them alike.
double MeanOverdue(const ServiceRound& round) {
  double overdue = 0;
  for (const auto& [id, it] : round.observations) {
    overdue += it.overdue;
  }
  return overdue /
         std::max<double>(1, static_cast<double>(round.judged.size()));
}

// Adds what the interval showed of an upstream. Returns false if it showed
// nothing.
bool Update(UpstreamSpeed& speed, Observation seen, double mean_overdue) {
  if (!seen.is_answering && seen.overdue > 2 * mean_overdue + 1) {
    seen.requests += seen.overdue;
    seen.log_ratio += seen.overdue * kMaxLog;
    seen.evidence += seen.overdue * (kMaxLog - kNeutralLog);
  }
  if (seen.requests == 0) {
    return false;
  }
  double mean = seen.log_ratio / seen.requests;
  double weight = 1 - std::exp(-seen.requests / kSpeedSamples);
  speed.log_ratio += weight * (mean - speed.log_ratio);
  // Beyond the lowest speed nothing changes but the time until it recovers.
  speed.log_ratio = std::min(speed.log_ratio, -std::log(kMinSpeed));
  speed.requests += kRateWeight * (seen.requests - speed.requests);
  double evidence = std::min(seen.evidence, kMaxIntervalEvidence);
  speed.evidence = std::clamp(speed.evidence + evidence, 0.0, kMaxEvidence);
  return true;
}

// Returns an upstream without samples gradually to an equal share.
void Recover(UpstreamSpeed& speed, double seconds) {
  double kept = std::exp(
      -seconds / std::chrono::duration<double>(kRetryTimeConstant).count());
  speed.evidence *= kept;
  speed.log_ratio *= kept;
}

double SpeedOf(const UpstreamSpeed& speed) {
  return std::clamp(std::exp(-speed.log_ratio), kMinSpeed, 1.0);
}

// Returns the part of the upstream's slots that its speed takes away.
double TakenPart(const UpstreamSpeed& speed) {
  return 1 - FlowShare(SpeedOf(speed));
}

// Returns the evidence at which the upstream counts as slow.
double SlowEvidence(const UpstreamSpeed& speed) {
  return std::clamp(kEvidencePerRequest * speed.requests, kSlowEvidence,
                    kMaxEvidence);
}

void UpdateVerdict(UpstreamSpeed& speed) {
  if (speed.evidence >= SlowEvidence(speed)) {
    speed.is_slow = true;
  }
  if (speed.is_slow && SpeedOf(speed) > kClearedSpeed) {
    speed.is_slow = false;
    speed.evidence = 0;
  }
}

// Clears the upstreams if so many look slow that the norm itself has changed.
void ClearIfMostAreSlow(SpeedEstimator& state, const ServiceRound& round) {
  double slow = 0;
  for (const auto* entry : round.judged) {
    const auto& speed = state.upstreams.at(entry->record.id);
    bool looks_slow = speed.evidence >= kSlowEvidence / 2;
    slow += looks_slow ? entry->record.slots : 0;
  }
  if (slow <= kMaxTakenFraction * round.slots) {
    return;
  }
  for (const auto* entry : round.judged) {
    state.upstreams.at(entry->record.id) = {entry->record.born_ms};
  }
}

// Returns by how much reductions must be scaled, from 0 to 1, so that the slots
// that are left carry the service's requests. The time that these need is taken
// from the norm, a median: means contain the wait of long queues, so that less
// would be taken away the more a slow upstream harms.
double TakenScale(const SpeedEstimator& state,
                  const ServiceRound& round,
                  double seconds) {
  double taken = 0;
  for (const auto* entry : round.judged) {
    const auto& speed = state.upstreams.at(entry->record.id);
    taken += speed.is_slow ? entry->record.slots * TakenPart(speed) : 0;
  }
  double busy = seconds > 0 ? round.busy_seconds / seconds : 0;
  double allowed = std::min(kMaxTakenFraction * round.slots,
                            std::max(0.0, round.slots - kDemandRoom * busy));
  return taken > allowed ? allowed / taken : 1;
}

// Updates the verdicts on the service's upstreams.
void Judge(SpeedEstimator& state, const ServiceRound& round, double seconds) {
  double mean_overdue = MeanOverdue(round);
  for (const auto* entry : round.judged) {
    auto& speed = state.upstreams.at(entry->record.id);
    auto seen = round.observations.find(entry->record.id);
    bool is_seen = seen != round.observations.end() &&
                   Update(speed, seen->second, mean_overdue);
    if (!is_seen) {
      Recover(speed, seconds);
    }
    UpdateVerdict(speed);
  }
  ClearIfMostAreSlow(state, round);
}

void AddSlow(std::vector<SlowUpstream>& slow,
             const SpeedEstimator& state,
             const ServiceRound& round,
             double seconds) {
  double scale = TakenScale(state, round, seconds);
  for (const auto* entry : round.judged) {
    const auto& speed = state.upstreams.at(entry->record.id);
    double taken = scale * TakenPart(speed);
    if (speed.is_slow && taken > 0) {
      slow.push_back({entry->record.id, std::sqrt(1 - taken)});
    }
  }
}

}  // namespace

std::vector<SlowUpstream> FindSlowUpstreams(
    SpeedEstimator& state,
    const LoadSums& sums,
    const catalog::View& view,
    const directory::Directory& directory,
    Instant now) {
  bool is_first = state.updated_at == Instant();
  Duration passed = is_first ? kReportInterval : now - state.updated_at;
  passed = std::clamp(passed, kReportInterval, kMaxAge);
  double seconds = std::chrono::duration<double>(passed).count();
  state.updated_at = now;
  auto rounds = BeginRounds(view, directory, now);
  UpdateJudged(state, rounds);
  AddSamples(state, rounds, sums, directory);
  Compare(state, rounds);
  std::vector<SlowUpstream> slow;
  for (const auto& [service, round] : rounds) {
    Judge(state, round, seconds);
    AddSlow(slow, state, round, seconds);
  }
  return slow;
}

}  // namespace acaciahold::load
