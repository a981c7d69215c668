// Collecting the lines of a flow, and judging them.

#include "acaciahold/Explain/story.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <map>
#include <set>
#include <string_view>

#include <boost/json/serialize.hpp>

namespace acaciahold::explain {
namespace {

constexpr std::array<std::string_view, 5> kDecisionEvents{
    "flow_placed", "flow_reset", "packet_dropped", "packet_kept",
    "request_repeated"};
// What a host believes of itself and its control hosts.
constexpr std::array<std::string_view, 7> kHostEvents{
    "started",       "table_changed",     "feed_lost", "feed_regained",
    "reach_changed", "readiness_changed", "stopping"};
constexpr std::array<std::string_view, 2> kUpstreamEvents{"upstream_changed",
                                                          "upstream_silent"};

template <size_t N>
bool IsOneOf(const std::array<std::string_view, N>& events,
             const std::string& event) {
  return std::find(events.begin(), events.end(), event) != events.end();
}

bool IsDecisionOn(const LogLine& line, const Question& question) {
  if (!IsOneOf(kDecisionEvents, line.event) ||
      TextOf(line, "caller") != question.caller) {
    return false;
  }
  bool is_listener = question.listener.empty() ||
                     TextOf(line, "listener") == question.listener;
  bool is_near = !question.at_ms ||
                 std::abs(line.at_ms - *question.at_ms) <= kFlowWindowMs;
  return is_listener && is_near;
}

// What the decisions say together.
struct Flow {
  int64_t begin_ms = 0;
  int64_t end_ms = 0;
  std::map<std::string, int64_t> hosts;  // With their first decision.
  std::set<int64_t> upstreams;
};

Flow FlowOf(std::span<const LogLine* const> decisions) {
  Flow flow;
  flow.begin_ms = decisions.front()->at_ms;
  flow.end_ms = decisions.back()->at_ms;
  for (const auto* line : decisions) {
    flow.hosts.try_emplace(line->host, line->at_ms);
    if (auto upstream = NumberOf(*line, "upstream")) {
      flow.upstreams.insert(upstream);
    }
  }
  return flow;
}

// Beliefs of the same kind replace each other.
std::string BeliefKey(const LogLine& line) {
  if (IsOneOf(kUpstreamEvents, line.event)) {
    return "upstream " + std::to_string(NumberOf(line, "upstream"));
  }
  bool is_feed = line.event == "feed_lost" || line.event == "feed_regained";
  return is_feed ? "feed " + TextOf(line, "link") : line.event;
}

bool MayMatter(const LogLine& line, const Flow& flow) {
  if (IsOneOf(kUpstreamEvents, line.event)) {
    return flow.upstreams.contains(NumberOf(line, "upstream"));
  }
  return IsOneOf(kHostEvents, line.event) && flow.hosts.contains(line.host);
}

void AddBeliefs(std::span<const LogLine> lines,
                const Flow& flow,
                std::vector<StoryLine>& story) {
  std::map<std::pair<std::string, std::string>, const LogLine*> latest;
  for (const auto& line : lines) {
    auto host = flow.hosts.find(line.host);
    bool is_before = host != flow.hosts.end() && line.at_ms <= host->second;
    if (!is_before || !MayMatter(line, flow)) {
      continue;
    }
    auto& known = latest[{line.host, BeliefKey(line)}];
    if (!known || known->at_ms <= line.at_ms) {
      known = &line;
    }
  }
  for (const auto& [key, line] : latest) {
    story.push_back(
        {Part::kBelief, *line, flow.hosts.at(line->host) - line->at_ms});
  }
}

void AddAftermath(std::span<const LogLine> lines,
                  const Flow& flow,
                  std::vector<StoryLine>& story) {
  for (const auto& line : lines) {
    auto host = flow.hosts.find(line.host);
    int64_t begin_ms = host == flow.hosts.end() ? flow.begin_ms : host->second;
    bool is_after =
        line.at_ms > begin_ms && line.at_ms <= flow.end_ms + kAftermathMs;
    if (is_after && MayMatter(line, flow)) {
      story.push_back({Part::kAftermath, line, std::nullopt});
    }
  }
}

uint64_t CountLeftOut(std::span<const LogLine> lines, const Flow& flow) {
  uint64_t n = 0;
  for (const auto& line : lines) {
    bool counts = line.event == "lines_left_out" &&
                  flow.hosts.contains(line.host) &&
                  line.at_ms >= flow.begin_ms &&
                  line.at_ms <= flow.end_ms + kAftermathMs &&
                  IsOneOf(kDecisionEvents, TextOf(line, "of"));
    n += counts ? static_cast<uint64_t>(NumberOf(line, "lines")) : 0;
  }
  return n;
}

bool Has(const Story& story, Part part, std::string_view event) {
  return std::any_of(story.lines.begin(), story.lines.end(),
                     [&](const StoryLine& it) {
                       return it.part == part && it.line.event == event;
                     });
}

bool HasOutcome(const Story& story, std::string_view outcome) {
  return std::any_of(story.lines.begin(), story.lines.end(),
                     [&](const StoryLine& it) {
                       return it.part == Part::kDecision &&
                              TextOf(it.line, "outcome") == outcome;
                     });
}

// Whether a line tells that an upstream of the flow ended, by its own word or
// by a later start.
bool HasUpstreamEnded(const Story& story) {
  std::map<int64_t, int64_t> born_before;
  for (const auto& it : story.lines) {
    auto born_ms = NumberOf(it.line, "born_ms");
    if (it.part == Part::kBelief && born_ms > 0) {
      born_before[NumberOf(it.line, "upstream")] = born_ms;
    }
  }
  return std::any_of(
      story.lines.begin(), story.lines.end(), [&](const StoryLine& it) {
        auto born = born_before.find(NumberOf(it.line, "upstream"));
        bool is_reborn = born != born_before.end() &&
                         NumberOf(it.line, "born_ms") > born->second;
        return it.part != Part::kDecision &&
               (is_reborn || TextOf(it.line, "phase") == "gone");
      });
}

// Whether some host did not hear of an upstream any more. Where hosts were cut
// off from each other, that says little.
bool IsUpstreamSilent(const Story& story) {
  return std::any_of(story.lines.begin(), story.lines.end(),
                     [](const StoryLine& it) {
                       return it.part != Part::kDecision &&
                              (it.line.event == "upstream_silent" ||
                               TextOf(it.line, "outcome") == "silent");
                     });
}

bool WasUpstreamCold(const Story& story) {
  return std::any_of(
      story.lines.begin(), story.lines.end(), [](const StoryLine& it) {
        return it.part == Part::kBelief &&
               it.line.event == "upstream_changed" && it.age_ms &&
               NumberOf(it.line, "cold_ms") > *it.age_ms;
      });
}

bool WasHostCutOff(const Story& story) {
  return std::any_of(
      story.lines.begin(), story.lines.end(), [](const StoryLine& it) {
        const auto* is_cut_off = it.line.fields.if_contains("is_cut_off");
        return it.part != Part::kDecision && is_cut_off &&
               is_cut_off->is_bool() && is_cut_off->as_bool();
      });
}

Cause Judge(const Story& story) {
  if (HasOutcome(story, "no_listener")) {
    return Cause::kNoListener;
  }
  if (HasOutcome(story, "no_upstream")) {
    return Cause::kNoUpstream;
  }
  if (HasUpstreamEnded(story)) {
    return Cause::kUpstreamLost;
  }
  if (WasHostCutOff(story)) {
    return Cause::kHostCutOff;
  }
  if (IsUpstreamSilent(story)) {
    return Cause::kUpstreamLost;
  }
  if (HasOutcome(story, "no_table") || HasOutcome(story, "stalled") ||
      HasOutcome(story, "unknown_tag")) {
    return Cause::kHostStarting;
  }
  bool is_repeated = Has(story, Part::kDecision, "request_repeated");
  if (WasUpstreamCold(story)) {
    return Cause::kUpstreamCold;
  }
  if (is_repeated) {
    return Cause::kUpstreamSlow;
  }
  return HasOutcome(story, "replaced") ? Cause::kUnanswered : Cause::kServed;
}

std::string_view PartName(Part part) {
  switch (part) {
    case Part::kBelief:
      return "believed";
    case Part::kDecision:
      return "decided";
    case Part::kAftermath:
      return "then";
  }
  return "then";
}

// The fields that are not in the line's head.
std::string FormatFields(const LogLine& line) {
  std::string text;
  for (const auto& [key, value] : line.fields) {
    if (key != "at_ms" && key != "host" && key != "event") {
      text += " " + std::string(key) + "=" +
              (value.is_string() ? std::string(value.as_string())
                                 : boost::json::serialize(value));
    }
  }
  return text;
}

}  // namespace

Story Explain(std::span<const LogLine> lines, const Question& question) {
  Story story;
  std::vector<const LogLine*> decisions;
  for (const auto& line : lines) {
    if (IsDecisionOn(line, question)) {
      decisions.push_back(&line);
    }
  }
  if (decisions.empty()) {
    return story;
  }
  std::stable_sort(
      decisions.begin(), decisions.end(),
      [](const auto* a, const auto* b) { return a->at_ms < b->at_ms; });
  auto flow = FlowOf(decisions);
  flow.end_ms = std::max(flow.end_ms, question.at_ms.value_or(flow.end_ms));
  AddBeliefs(lines, flow, story.lines);
  for (const auto* line : decisions) {
    story.lines.push_back({Part::kDecision, *line, std::nullopt});
  }
  AddAftermath(lines, flow, story.lines);
  std::stable_sort(story.lines.begin(), story.lines.end(),
                   [](const StoryLine& a, const StoryLine& b) {
                     return a.line.at_ms < b.line.at_ms;
                   });
  story.left_out = CountLeftOut(lines, flow);
  story.cause = Judge(story);
  return story;
}

std::string_view CauseName(Cause cause) {
  switch (cause) {
    case Cause::kNotSeen:
      return "not_seen";
    case Cause::kNoListener:
      return "no_listener";
    case Cause::kNoUpstream:
      return "no_upstream";
    case Cause::kHostStarting:
      return "host_starting";
    case Cause::kUpstreamLost:
      return "upstream_lost";
    case Cause::kHostCutOff:
      return "host_cut_off";
    case Cause::kUpstreamCold:
      return "upstream_cold";
    case Cause::kUpstreamSlow:
      return "upstream_slow";
    case Cause::kUnanswered:
      return "unanswered";
    case Cause::kServed:
      return "served";
  }
  return "not_seen";
}

std::string_view CauseText(Cause cause) {
  switch (cause) {
    case Cause::kNotSeen:
      return "no host logged a decision on this flow: no packet came to a "
             "running host, or the lines were left out";
    case Cause::kNoListener:
      return "turned away: the table that the host held has no listener there";
    case Cause::kNoUpstream:
      return "turned away: no upstream of the service could take the flow";
    case Cause::kHostStarting:
      return "the host had just started, or had stood still, and did not know "
             "the table or the upstream yet";
    case Cause::kUpstreamLost:
      return "the flow's upstream ended, started again, or was not heard again";
    case Cause::kHostCutOff:
      return "the entry host was cut off from other failure domains";
    case Cause::kUpstreamCold:
      return "the flow's upstream was cold";
    case Cause::kUpstreamSlow:
      return "the upstream lived on, and did not answer before the caller "
             "repeated its request";
    case Cause::kUnanswered:
      return "the first upstream did not answer the opening packet; another "
             "one was tried";
    case Cause::kServed:
      return "the hosts logged nothing that went wrong";
  }
  return "";
}

std::string FormatStory(const Story& story) {
  std::string text;
  for (const auto& it : story.lines) {
    text += std::to_string(it.line.at_ms) + " " + it.line.host + " " +
            std::string(PartName(it.part)) + ": " + it.line.event +
            FormatFields(it.line);
    if (it.age_ms) {
      text += " (" + std::to_string(*it.age_ms) + " ms old)";
    }
    text += "\n";
  }
  if (story.left_out > 0) {
    text +=
        "left out of the logs meanwhile: " + std::to_string(story.left_out) +
        " lines of decisions\n";
  }
  text += "cause: " + std::string(CauseName(story.cause)) + ": " +
          std::string(CauseText(story.cause)) + "\n";
  return text;
}

}  // namespace acaciahold::explain
