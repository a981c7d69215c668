// Metric families of entry and control hosts.

#include "acaciahold/Node/node_metrics.h"

#include "acaciahold/Observe/metric_text.h"
#include "acaciahold/Steering/fitness.h"
#include "load_metrics.h"

namespace acaciahold::node {
namespace {

using observe::MetricFamilies;
constexpr auto kGauge = prometheus::MetricType::Gauge;

void AddPhases(MetricFamilies& families,
               const directory::Directory& directory) {
  std::map<std::string_view, uint64_t> counts;
  for (const auto& [id, entry] : directory.entries) {
    ++counts[entry.is_silent ? "silent"
                             : directory::PhaseName(entry.record.phase)];
  }
  families.BeginFamily("acaciahold_upstreams",
                       "Upstreams that are known, by state", kGauge);
  for (const auto& [phase, n] : counts) {
    families.Add(n, "state", phase);
  }
}

void AddFitness(MetricFamilies& families,
                const steering::TagSteering& steering) {
  std::map<std::string_view, uint64_t> counts;
  for (const auto& [id, upstream] : steering.upstreams) {
    ++counts[FitnessName(steering, upstream, steering.ticked_at)];
  }
  families.BeginFamily("acaciahold_upstreams_by_fitness",
                       "Upstreams by their fitness for new flows", kGauge);
  for (const auto& [fitness, n] : counts) {
    families.Add(n, "fitness", fitness);
  }
}

void AddView(MetricFamilies& families, const catalog::View& view) {
  families.BeginFamily("acaciahold_table_version",
                       "Version of the service table that is held", kGauge);
  families.Add(view.catalog.version);
  families.BeginFamily("acaciahold_table_revision",
                       "Position in the log up to which changes are applied",
                       kGauge);
  families.Add(view.revision);
  families.BeginFamily("acaciahold_domains_out",
                       "Failure domains that are out of service", kGauge);
  families.Add(view.domains_out.size());
}

// By service: the inputs of the decision to refuse new flows.
void AddServiceLoads(MetricFamilies& families,
                     const steering::TagSteering& steering) {
  constexpr double kMicrosecondsPerSecond = 1e6;
  families.BeginFamily("acaciahold_requests_in_flight",
                       "Requests through this host without an answer", kGauge);
  for (const auto& [name, service] : steering.services) {
    families.Add(service.load.in_flight, "service", name);
  }
  families.BeginFamily("acaciahold_response_microseconds",
                       "Smoothed response time of recent requests", kGauge);
  for (const auto& [name, service] : steering.services) {
    families.Add(static_cast<uint64_t>(service.load.response_seconds *
                                       kMicrosecondsPerSecond),
                 "service", name);
  }
  families.BeginFamily("acaciahold_idle_response_microseconds",
                       "Response time of upstreams without a queue; 0: unknown",
                       kGauge);
  for (const auto& [name, service] : steering.services) {
    families.Add(static_cast<uint64_t>(service.load.idle_response_seconds *
                                       kMicrosecondsPerSecond),
                 "service", name);
  }
}

void AddPacer(MetricFamilies& families, const Pacer& pacer) {
  families.BeginFamily("acaciahold_packets_waiting",
                       "Packets that wait for the host's link", kGauge);
  families.Add(pacer.short_packets.size() + pacer.long_packets.size());
  families.BeginFamily("acaciahold_packets_dropped_waiting_total",
                       "Packets dropped since too many waited for the link");
  families.Add(pacer.dropped);
  families.BeginFamily(
      "acaciahold_packets_repeated_waiting_total",
      "Repeated packets left out since the first still waited");
  families.Add(pacer.repeated);
}

}  // namespace

std::string MetricsText(const EntryNode& entry, const PacketPort& port) {
  const auto& steering = entry.steering();
  MetricFamilies families;
  families.BeginFamily("acaciahold_decisions_total",
                       "Decisions on packets, by reason");
  for (size_t i = 0; i < steering::kTagReasons; ++i) {
    families.Add(steering.counts.decisions[i], "reason",
                 steering::TagReasonName(static_cast<steering::TagReason>(i)));
  }
  families.BeginFamily("acaciahold_openings_refused_total",
                       "New flows refused for lack of room, by priority");
  for (const auto& [priority, n] : steering.counts.refused) {
    families.Add(n, "priority", std::to_string(priority));
  }
  families.BeginFamily("acaciahold_opening_answer_seconds",
                       "From placing a new flow to its next packet",
                       prometheus::MetricType::Histogram);
  families.AddHistogram(steering::kAnswerBounds, steering.counts.answers,
                        steering.counts.answer_seconds);
  families.BeginFamily("acaciahold_openings_unanswered_total",
                       "New flows that did not open at their upstream in time");
  families.Add(steering.counts.unanswered);
  families.BeginFamily("acaciahold_requests_repeated_total",
                       "Data of open flows that callers sent again");
  families.Add(steering.counts.repeated);
  families.BeginFamily("acaciahold_requests_given_up_total",
                       "Flows that callers closed before an answer came");
  families.Add(steering.counts.given_up);
  families.BeginFamily(
      "acaciahold_ambiguous_tags_total",
      "Packets of open flows whose tag several upstreams have");
  families.Add(steering.counts.ambiguous);
  families.BeginFamily(
      "acaciahold_tag_clashes_total",
      "Tags of new flows that another upstream has too, by what was done");
  families.Add(steering.counts.clashes_avoided, "outcome", "avoided");
  families.Add(steering.counts.clashes_refused, "outcome", "refused");
  families.BeginFamily("acaciahold_writes_flow_tags",
                       "Whether new flows get tags that hosts of earlier "
                       "versions don't understand",
                       kGauge);
  families.Add(steering.writes_flow_tags ? 1 : 0);
  families.BeginFamily("acaciahold_stranded_flows_total",
                       "Packets of open flows answered by a reset since the "
                       "upstream is gone or out of reach, by evidence");
  for (size_t i = 1; i < steering::kStrandedCauses; ++i) {
    auto cause = static_cast<steering::StrandedCause>(i);
    families.Add(steering.counts.strandings[i], "evidence",
                 steering::StrandedCauseName(cause));
  }
  families.BeginFamily("acaciahold_packets_received_total",
                       "Packets of callers");
  families.Add(port.received());
  families.BeginFamily("acaciahold_packets_sent_total", "Packets sent on");
  families.Add(port.sent());
  families.BeginFamily(
      "acaciahold_packets_dropped_early_total",
      "Packets that came before the table and waited too long");
  families.Add(port.early_packets().dropped);
  families.BeginFamily("acaciahold_packets_send_failures_total",
                       "Packets that the socket did not take");
  families.Add(port.send_failures());
  AddPacer(families, port.pacer());
  AddServiceLoads(families, steering);
  families.BeginFamily("acaciahold_ready",
                       "Whether the fabric may use this host", kGauge);
  families.Add(entry.is_ready() ? 1 : 0);
  families.BeginFamily("acaciahold_cut_off",
                       "Whether most control hosts are out of reach", kGauge);
  families.Add(steering.is_cut_off ? 1 : 0);
  AddView(families, steering.view);
  AddPhases(families, steering.directory);
  AddLoad(families, entry, ReadClock());
  AddFitness(families, steering);
  return families.Render();
}

std::string MetricsText(const ControlNode& control) {
  const auto& replica = control.replica();
  MetricFamilies families;
  families.BeginFamily("acaciahold_is_leader",
                       "Whether this control host leads", kGauge);
  families.Add(control.is_leader() ? 1 : 0);
  families.BeginFamily("acaciahold_log_term", "Term of the replicated log",
                       kGauge);
  families.Add(replica.hard_state.term);
  families.BeginFamily("acaciahold_log_committed",
                       "Position up to which the log is committed", kGauge);
  families.Add(replica.commit);
  families.BeginFamily("acaciahold_members",
                       "Members of the group, by their vote", kGauge);
  uint64_t voters = consensus::CountVoters(replica);
  families.Add(voters, "kind", "voter");
  families.Add(replica.members.size() - voters, "kind", "learner");
  families.BeginFamily("acaciahold_unresponsive_voters",
                       "Voters that do not reply to this leader", kGauge);
  families.Add(control.unresponsive_voters());
  families.BeginFamily("acaciahold_min_voters",
                       "Voters that the group keeps at least", kGauge);
  families.Add(consensus::MinVoters(replica));
  families.BeginFamily("acaciahold_links",
                       "Links that other hosts have open here", kGauge);
  families.Add(control.CountPeers(true), "from", "control");
  families.Add(control.CountPeers(false), "from", "entry");
  AddView(families, control.state().view);
  AddPhases(families, control.directory());
  AddLoad(families, control, ReadClock());
  return families.Render();
}

}  // namespace acaciahold::node
