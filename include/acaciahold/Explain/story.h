// From the id of a failed request to its cause: puts together what hosts
// decided on a flow, what they believed when they did, and what became known
// afterwards. Free functions over lines; reads no files.
//
// The system sees packets, not requests: a request's connection, which its
// caller logs, is the caller's endpoint here.

#ifndef ACACIAHOLD_EXPLAIN_STORY_H_
#define ACACIAHOLD_EXPLAIN_STORY_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "acaciahold/Explain/log_line.h"

namespace acaciahold::explain {

struct Question {
  std::string caller;    // IP:PORT.
  std::string listener;  // IP:PORT; empty for any.
  // Unix milliseconds, of the failure: only lines near it count, since callers
  // use ports again.
  std::optional<int64_t> at_ms;
};

// Lines further than this from Question::at_ms are about other flows: above the
// age that a flow reaches.
inline constexpr int64_t kFlowWindowMs = 90'000;
// What became known up to so long after the flow's last decision may explain
// it: above the time after which an upstream counts as silent.
inline constexpr int64_t kAftermathMs = 10'000;

enum class Cause {
  kNotSeen,       // No host logged a decision on the flow.
  kNoListener,    // Turned away: the table had no listener at the address.
  kNoUpstream,    // Turned away: no upstream could take the flow.
  kHostStarting,  // The host had no table yet, or stood still.
  kUpstreamLost,  // The flow's upstream ended, started again or went silent.
  kHostCutOff,    // The host had lost its control hosts, or other domains.
  kUpstreamCold,  // The upstream was cold when it got the flow.
  kUpstreamSlow,  // The upstream lived on, and the caller had to repeat.
  kUnanswered,    // The upstream did not answer the opening packets.
  kServed,        // Nothing that hosts logged went wrong.
};

// Why a line is part of the story.
enum class Part {
  kBelief,     // What the host believed when it decided.
  kDecision,   // On a packet of the flow.
  kAftermath,  // What became known after.
};

struct StoryLine {
  Part part = Part::kDecision;
  LogLine line;
  // Of a belief: how old it was at the host's first decision.
  std::optional<int64_t> age_ms;
};

struct Story {
  Cause cause = Cause::kNotSeen;
  std::vector<StoryLine> lines;  // By time.
  uint64_t left_out = 0;  // Lines of decisions that hosts left out meanwhile.
};

// `lines` of all hosts, in any order.
Story Explain(std::span<const LogLine> lines, const Question& question);

std::string_view CauseName(Cause cause);
// One sentence for an engineer.
std::string_view CauseText(Cause cause);

// The story, a line each, and its cause.
std::string FormatStory(const Story& story);

}  // namespace acaciahold::explain

#endif  // ACACIAHOLD_EXPLAIN_STORY_H_
