#include "acaciahold/Explain/diagnosis.h"

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
// Events about the state of the logging host and its control hosts.
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

bool IsDecisionOn(const LogLine& line, const FlowQuery& query) {
  if (!IsOneOf(kDecisionEvents, line.event) ||
      StringField(line, "caller") != query.caller) {
    return false;
  }
  bool matches_listener =
      query.listener.empty() || StringField(line, "listener") == query.listener;
  bool is_near =
      !query.at_ms || std::abs(line.at_ms - *query.at_ms) <= kFlowWindowMs;
  return matches_listener && is_near;
}

// Summary of the decisions on the flow.
struct Flow {
  int64_t begin_ms = 0;
  int64_t end_ms = 0;
  // Time of each host's first decision, by host name.
  std::map<std::string, int64_t> hosts;
  std::set<int64_t> upstreams;
};

Flow SummarizeFlow(std::span<const LogLine* const> decisions) {
  Flow flow;
  flow.begin_ms = decisions.front()->at_ms;
  flow.end_ms = decisions.back()->at_ms;
  for (const auto* line : decisions) {
    flow.hosts.try_emplace(line->host, line->at_ms);
    if (auto upstream = IntegerField(*line, "upstream")) {
      flow.upstreams.insert(upstream);
    }
  }
  return flow;
}

// Returns a key for the piece of state that the event reports. A newer event of
// the same host with the same key supersedes an older one.
std::string StateKey(const LogLine& line) {
  if (IsOneOf(kUpstreamEvents, line.event)) {
    return "upstream " + std::to_string(IntegerField(line, "upstream"));
  }
  bool is_feed = line.event == "feed_lost" || line.event == "feed_regained";
  return is_feed ? "feed " + StringField(line, "link") : line.event;
}

bool IsRelevant(const LogLine& line, const Flow& flow) {
  if (IsOneOf(kUpstreamEvents, line.event)) {
    return flow.upstreams.contains(IntegerField(line, "upstream"));
  }
  return IsOneOf(kHostEvents, line.event) && flow.hosts.contains(line.host);
}

void AddPriorState(std::span<const LogLine> lines,
                   const Flow& flow,
                   std::vector<TimelineEntry>& timeline) {
  std::map<std::pair<std::string, std::string>, const LogLine*> latest;
  for (const auto& line : lines) {
    auto host = flow.hosts.find(line.host);
    bool is_before = host != flow.hosts.end() && line.at_ms <= host->second;
    if (!is_before || !IsRelevant(line, flow)) {
      continue;
    }
    auto& known = latest[{line.host, StateKey(line)}];
    if (!known || known->at_ms <= line.at_ms) {
      known = &line;
    }
  }
  for (const auto& [key, line] : latest) {
    timeline.push_back({EntryKind::kPriorState, *line,
                        flow.hosts.at(line->host) - line->at_ms});
  }
}

void AddLaterEvents(std::span<const LogLine> lines,
                    const Flow& flow,
                    std::vector<TimelineEntry>& timeline) {
  for (const auto& line : lines) {
    auto host = flow.hosts.find(line.host);
    int64_t begin_ms = host == flow.hosts.end() ? flow.begin_ms : host->second;
    bool is_after = line.at_ms > begin_ms &&
                    line.at_ms <= flow.end_ms + kLaterEventWindowMs;
    if (is_after && IsRelevant(line, flow)) {
      timeline.push_back({EntryKind::kLaterEvent, line, std::nullopt});
    }
  }
}

uint64_t CountOmittedLines(std::span<const LogLine> lines, const Flow& flow) {
  uint64_t n = 0;
  for (const auto& line : lines) {
    bool is_counted = line.event == "lines_left_out" &&
                      flow.hosts.contains(line.host) &&
                      line.at_ms >= flow.begin_ms &&
                      line.at_ms <= flow.end_ms + kLaterEventWindowMs &&
                      IsOneOf(kDecisionEvents, StringField(line, "of"));
    n += is_counted ? static_cast<uint64_t>(IntegerField(line, "lines")) : 0;
  }
  return n;
}

bool HasEvent(const Diagnosis& diagnosis,
              EntryKind kind,
              std::string_view event) {
  return std::any_of(diagnosis.timeline.begin(), diagnosis.timeline.end(),
                     [&](const TimelineEntry& it) {
                       return it.kind == kind && it.line.event == event;
                     });
}

bool HasOutcome(const Diagnosis& diagnosis, std::string_view outcome) {
  return std::any_of(diagnosis.timeline.begin(), diagnosis.timeline.end(),
                     [&](const TimelineEntry& it) {
                       return it.kind == EntryKind::kDecision &&
                              StringField(it.line, "outcome") == outcome;
                     });
}

// Whether a line reports that an upstream of the flow stopped (phase "gone") or
// was started again after the start that was known before.
bool HasUpstreamStoppedOrRestarted(const Diagnosis& diagnosis) {
  std::map<int64_t, int64_t> known_start_ms;
  for (const auto& it : diagnosis.timeline) {
    auto born_ms = IntegerField(it.line, "born_ms");
    if (it.kind == EntryKind::kPriorState && born_ms > 0) {
      known_start_ms[IntegerField(it.line, "upstream")] = born_ms;
    }
  }
  return std::any_of(
      diagnosis.timeline.begin(), diagnosis.timeline.end(),
      [&](const TimelineEntry& it) {
        auto known_start =
            known_start_ms.find(IntegerField(it.line, "upstream"));
        bool has_restarted =
            known_start != known_start_ms.end() &&
            IntegerField(it.line, "born_ms") > known_start->second;
        return it.kind != EntryKind::kDecision &&
               (has_restarted || StringField(it.line, "phase") == "gone");
      });
}

// Whether some host reported an upstream of the flow as silent. If hosts were
// cut off from each other, this does not show that the upstream was down.
bool WasUpstreamReportedSilent(const Diagnosis& diagnosis) {
  return std::any_of(diagnosis.timeline.begin(), diagnosis.timeline.end(),
                     [](const TimelineEntry& it) {
                       return it.kind != EntryKind::kDecision &&
                              (it.line.event == "upstream_silent" ||
                               StringField(it.line, "outcome") == "silent");
                     });
}

bool WasUpstreamCold(const Diagnosis& diagnosis) {
  return std::any_of(diagnosis.timeline.begin(), diagnosis.timeline.end(),
                     [](const TimelineEntry& it) {
                       return it.kind == EntryKind::kPriorState &&
                              it.line.event == "upstream_changed" &&
                              it.age_ms &&
                              IntegerField(it.line, "cold_ms") > *it.age_ms;
                     });
}

bool WasHostCutOff(const Diagnosis& diagnosis) {
  return std::any_of(diagnosis.timeline.begin(), diagnosis.timeline.end(),
                     [](const TimelineEntry& it) {
                       const auto* is_cut_off =
                           it.line.fields.if_contains("is_cut_off");
                       return it.kind != EntryKind::kDecision && is_cut_off &&
                              is_cut_off->is_bool() && is_cut_off->as_bool();
                     });
}

Cause DetermineCause(const Diagnosis& diagnosis) {
  if (HasOutcome(diagnosis, "no_listener")) {
    return Cause::kNoListener;
  }
  if (HasOutcome(diagnosis, "no_upstream")) {
    return Cause::kNoUpstream;
  }
  if (HasOutcome(diagnosis, "overloaded")) {
    return Cause::kOverloaded;
  }
  if (HasOutcome(diagnosis, "outranked")) {
    return Cause::kOutranked;
  }
  if (HasOutcome(diagnosis, "ambiguous_tag")) {
    return Cause::kAmbiguousTag;
  }
  if (HasOutcome(diagnosis, "upstream_gone")) {
    return Cause::kStranded;
  }
  if (HasUpstreamStoppedOrRestarted(diagnosis)) {
    return Cause::kUpstreamLost;
  }
  if (WasHostCutOff(diagnosis)) {
    return Cause::kHostCutOff;
  }
  if (WasUpstreamReportedSilent(diagnosis)) {
    return Cause::kUpstreamLost;
  }
  if (HasOutcome(diagnosis, "no_table") || HasOutcome(diagnosis, "stalled") ||
      HasOutcome(diagnosis, "unknown_tag")) {
    return Cause::kHostStarting;
  }
  bool is_retransmitted =
      HasEvent(diagnosis, EntryKind::kDecision, "request_repeated");
  if (WasUpstreamCold(diagnosis)) {
    return Cause::kUpstreamCold;
  }
  if (is_retransmitted) {
    return Cause::kUpstreamSlow;
  }
  return HasOutcome(diagnosis, "replaced") ? Cause::kUnanswered
                                           : Cause::kServed;
}

std::string_view EntryKindName(EntryKind kind) {
  switch (kind) {
    case EntryKind::kPriorState:
      return "believed";
    case EntryKind::kDecision:
      return "decided";
    case EntryKind::kLaterEvent:
      return "then";
  }
  return "then";
}

// Formats the fields that are not printed at the start of the line.
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

Diagnosis DiagnoseFlow(std::span<const LogLine> lines, const FlowQuery& query) {
  Diagnosis diagnosis;
  std::vector<const LogLine*> decisions;
  for (const auto& line : lines) {
    if (IsDecisionOn(line, query)) {
      decisions.push_back(&line);
    }
  }
  if (decisions.empty()) {
    return diagnosis;
  }
  std::stable_sort(
      decisions.begin(), decisions.end(),
      [](const auto* a, const auto* b) { return a->at_ms < b->at_ms; });
  auto flow = SummarizeFlow(decisions);
  flow.end_ms = std::max(flow.end_ms, query.at_ms.value_or(flow.end_ms));
  AddPriorState(lines, flow, diagnosis.timeline);
  for (const auto* line : decisions) {
    diagnosis.timeline.push_back({EntryKind::kDecision, *line, std::nullopt});
  }
  AddLaterEvents(lines, flow, diagnosis.timeline);
  std::stable_sort(diagnosis.timeline.begin(), diagnosis.timeline.end(),
                   [](const TimelineEntry& a, const TimelineEntry& b) {
                     return a.line.at_ms < b.line.at_ms;
                   });
  diagnosis.omitted_lines = CountOmittedLines(lines, flow);
  diagnosis.cause = DetermineCause(diagnosis);
  return diagnosis;
}

std::string_view CauseName(Cause cause) {
  switch (cause) {
    case Cause::kNotSeen:
      return "not_seen";
    case Cause::kNoListener:
      return "no_listener";
    case Cause::kNoUpstream:
      return "no_upstream";
    case Cause::kOverloaded:
      return "overloaded";
    case Cause::kOutranked:
      return "outranked";
    case Cause::kHostStarting:
      return "host_starting";
    case Cause::kAmbiguousTag:
      return "ambiguous_tag";
    case Cause::kStranded:
      return "stranded";
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

std::string_view CauseDescription(Cause cause) {
  switch (cause) {
    case Cause::kNotSeen:
      return "no host logged a decision on this flow: no packet reached a "
             "running host, or the lines were omitted from the logs";
    case Cause::kNoListener:
      return "rejected: the host's service table has no listener at this "
             "address";
    case Cause::kNoUpstream:
      return "rejected: no upstream of the service was available";
    case Cause::kOverloaded:
      return "rejected: the upstreams of the service had more requests than "
             "they could answer in time; the request was not run";
    case Cause::kOutranked:
      return "rejected: the service had room only for requests that are more "
             "urgent, or that can be answered sooner; the request was not run";
    case Cause::kHostStarting:
      return "the host had just started or had stalled, and did not know "
             "the service table or the upstream yet";
    case Cause::kAmbiguousTag:
      return "the flow's packets were dropped or the flow was refused, since "
             "two upstreams had its tag; the caller may try again on a new "
             "flow";
    case Cause::kStranded:
      return "the open flow was reset, since its upstream did not answer and "
             "was known to be gone or out of reach; the caller may repeat the "
             "request on a new flow";
    case Cause::kUpstreamLost:
      return "the flow's upstream stopped, restarted or became silent";
    case Cause::kHostCutOff:
      return "the entry host was cut off from other failure domains";
    case Cause::kUpstreamCold:
      return "the flow's upstream was still cold when it received the flow";
    case Cause::kUpstreamSlow:
      return "the upstream was up, but did not answer before the caller "
             "retransmitted its request";
    case Cause::kUnanswered:
      return "the first upstream did not answer the opening packet; another "
             "upstream was tried";
    case Cause::kServed:
      return "the hosts logged no problem with this flow";
  }
  return "";
}

std::string FormatDiagnosis(const Diagnosis& diagnosis) {
  std::string text;
  for (const auto& it : diagnosis.timeline) {
    text += std::to_string(it.line.at_ms) + " " + it.line.host + " " +
            std::string(EntryKindName(it.kind)) + ": " + it.line.event +
            FormatFields(it.line);
    if (it.age_ms) {
      text += " (" + std::to_string(*it.age_ms) + " ms old)";
    }
    text += "\n";
  }
  if (diagnosis.omitted_lines > 0) {
    text += "omitted from the logs during the flow: " +
            std::to_string(diagnosis.omitted_lines) + " lines of decisions\n";
  }
  text += "cause: " + std::string(CauseName(diagnosis.cause)) + ": " +
          std::string(CauseDescription(diagnosis.cause)) + "\n";
  return text;
}

}  // namespace acaciahold::explain
