// Counters of hosts as metric families.

#include "acaciahold/Node/node_metrics.h"

#include "acaciahold/Observe/metric_text.h"

namespace acaciahold::node {
namespace {

using observe::Families;
constexpr auto kGauge = prometheus::MetricType::Gauge;

void AddPhases(Families& families, const directory::Directory& directory) {
  std::map<std::string_view, uint64_t> counts;
  for (const auto& [id, entry] : directory.entries) {
    ++counts[entry.is_silent ? "silent"
                             : directory::PhaseName(entry.record.phase)];
  }
  families.Begin("acaciahold_upstreams", "Upstreams that are known, by state",
                 kGauge);
  for (const auto& [phase, n] : counts) {
    families.Add(n, "state", phase);
  }
}

void AddView(Families& families, const catalog::View& view) {
  families.Begin("acaciahold_table_version",
                 "Version of the service table that is held", kGauge);
  families.Add(view.catalog.version);
  families.Begin("acaciahold_table_revision",
                 "Position in the log up to which changes are applied", kGauge);
  families.Add(view.revision);
  families.Begin("acaciahold_domains_out",
                 "Failure domains that are out of service", kGauge);
  families.Add(view.domains_out.size());
}

void AddPacer(Families& families, const Pacer& pacer) {
  families.Begin("acaciahold_packets_waiting",
                 "Packets that wait for the host's link", kGauge);
  families.Add(pacer.short_packets.size() + pacer.long_packets.size());
  families.Begin("acaciahold_packets_dropped_waiting_total",
                 "Packets dropped since too many waited for the link");
  families.Add(pacer.dropped);
  families.Begin("acaciahold_packets_repeated_waiting_total",
                 "Repeated packets left out since the first still waited");
  families.Add(pacer.repeated);
}

}  // namespace

std::string MetricsText(const EntryNode& entry, const PacketPort& port) {
  const auto& steering = entry.steering();
  Families families;
  families.Begin("acaciahold_decisions_total",
                 "Decisions on packets, by reason");
  for (size_t i = 0; i < steering::kTagReasons; ++i) {
    families.Add(steering.counts.decisions[i], "reason",
                 steering::TagReasonName(static_cast<steering::TagReason>(i)));
  }
  families.Begin("acaciahold_opening_answer_seconds",
                 "From placing a new flow to its next packet",
                 prometheus::MetricType::Histogram);
  families.AddHistogram(steering::kAnswerBounds, steering.counts.answers,
                        steering.counts.answer_seconds);
  families.Begin("acaciahold_openings_unanswered_total",
                 "New flows that did not open at their upstream in time");
  families.Add(steering.counts.unanswered);
  families.Begin("acaciahold_requests_repeated_total",
                 "Data of open flows that callers sent again");
  families.Add(steering.counts.repeated);
  families.Begin("acaciahold_requests_given_up_total",
                 "Flows that callers closed before an answer came");
  families.Add(steering.counts.given_up);
  families.Begin("acaciahold_packets_received_total", "Packets of callers");
  families.Add(port.received());
  families.Begin("acaciahold_packets_sent_total", "Packets sent on");
  families.Add(port.sent());
  families.Begin("acaciahold_packets_dropped_early_total",
                 "Packets that came before the table and waited too long");
  families.Add(port.early().dropped);
  families.Begin("acaciahold_packets_send_failures_total",
                 "Packets that the socket did not take");
  families.Add(port.send_failures());
  AddPacer(families, port.pacer());
  families.Begin("acaciahold_ready", "Whether the fabric may use this host",
                 kGauge);
  families.Add(entry.is_ready() ? 1 : 0);
  families.Begin("acaciahold_cut_off",
                 "Whether most control hosts are out of reach", kGauge);
  families.Add(steering.is_cut_off ? 1 : 0);
  AddView(families, steering.view);
  AddPhases(families, steering.directory);
  return families.Text();
}

std::string MetricsText(const ControlNode& control) {
  const auto& replica = control.replica();
  Families families;
  families.Begin("acaciahold_is_leader", "Whether this control host leads",
                 kGauge);
  families.Add(control.is_leader() ? 1 : 0);
  families.Begin("acaciahold_log_term", "Term of the replicated log", kGauge);
  families.Add(replica.hard_state.term);
  families.Begin("acaciahold_log_committed",
                 "Position up to which the log is committed", kGauge);
  families.Add(replica.commit);
  families.Begin("acaciahold_members", "Members of the group, by their vote",
                 kGauge);
  uint64_t voters = 0;
  for (const auto& member : replica.members) {
    voters += member.is_voter ? 1 : 0;
  }
  families.Add(voters, "kind", "voter");
  families.Add(replica.members.size() - voters, "kind", "learner");
  families.Begin("acaciahold_links", "Links that other hosts have open here",
                 kGauge);
  families.Add(control.CountPeers(true), "from", "control");
  families.Add(control.CountPeers(false), "from", "entry");
  AddView(families, control.state().view);
  AddPhases(families, control.directory());
  return families.Text();
}

}  // namespace acaciahold::node
