// Diagnoses why a flow failed, from the log lines of all hosts. Builds a
// timeline of the hosts' decisions on the flow, the state that they knew when
// they decided, and related events logged afterwards, and derives a cause from
// it. Works on parsed lines and does no I/O.
//
// Hosts see packets, not requests, so a failed request is looked up by the
// endpoint of its connection at the caller, which callers log.

#ifndef ACACIAHOLD_EXPLAIN_DIAGNOSIS_H_
#define ACACIAHOLD_EXPLAIN_DIAGNOSIS_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "acaciahold/Explain/log_line.h"

namespace acaciahold::explain {

// Selects the flow to diagnose.
struct FlowQuery {
  std::string caller;    // Endpoint of the caller, as IP:PORT.
  std::string listener;  // IP:PORT; empty matches any listener.
  // Time of the failure, in Unix milliseconds. If set, only decisions within
  // kFlowWindowMs of it are considered, because callers reuse ports.
  std::optional<int64_t> at_ms;
};

// Decisions further than this from the time of the failure belong to other
// flows on the same port. Longer than the maximum age of a flow.
inline constexpr int64_t kFlowWindowMs = 90'000;
// How long after the flow's last decision an event may still explain it. Longer
// than the timeout after which an upstream is considered silent.
inline constexpr int64_t kLaterEventWindowMs = 10'000;

enum class Cause {
  kNotSeen,       // No host logged a decision on the flow.
  kNoListener,    // Rejected: the host's table has no listener at the address.
  kNoUpstream,    // Rejected: no upstream of the service was available.
  kOverloaded,    // Refused: the service was overloaded.
  kOutranked,     // Refused: the room was left to other listeners.
  kHostStarting,  // The host was starting or had stalled, and lacked state.
  kAmbiguousTag,  // The flow's tag belonged to several upstreams.
  kStranded,      // Reset: the open flow's upstream was gone or out of reach.
  kUpstreamLost,  // The flow's upstream stopped, restarted or became silent.
  kHostCutOff,    // The entry host was cut off from other failure domains.
  kUpstreamCold,  // The upstream was still cold when it received the flow.
  kUpstreamSlow,  // The upstream was up, but the caller had to retransmit.
  kUnanswered,    // The first upstream did not answer the opening packet.
  kServed,        // The hosts logged no problem.
};

// How a log line relates to the flow.
enum class EntryKind {
  kPriorState,  // State known to the host at its first decision.
  kDecision,    // Decision on a packet of the flow.
  kLaterEvent,  // Related event logged after that decision.
};

struct TimelineEntry {
  EntryKind kind = EntryKind::kDecision;
  LogLine line;
  // For kPriorState: milliseconds from the line to the host's first decision.
  std::optional<int64_t> age_ms;
};

struct Diagnosis {
  Cause cause = Cause::kNotSeen;
  std::vector<TimelineEntry> timeline;  // In order of time.
  // Number of decision lines that the flow's hosts omitted from their logs
  // between its first decision and kLaterEventWindowMs after its end.
  uint64_t omitted_lines = 0;
};

// Diagnoses the flow selected by `query`. `lines` holds the log lines of all
// hosts, in any order.
Diagnosis DiagnoseFlow(std::span<const LogLine> lines, const FlowQuery& query);

// Returns the stable identifier of the cause, such as "no_listener".
std::string_view CauseName(Cause cause);
// Returns a one-line description of the cause for operators.
std::string_view CauseDescription(Cause cause);

// Formats the timeline, one line per entry, followed by the cause.
std::string FormatDiagnosis(const Diagnosis& diagnosis);

}  // namespace acaciahold::explain

#endif  // ACACIAHOLD_EXPLAIN_DIAGNOSIS_H_
