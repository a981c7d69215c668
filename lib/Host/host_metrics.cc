// Builds metric families from counters.

#include "host_metrics.h"

#include "acaciahold/Observe/metric_text.h"
#include "acaciahold/Packet/inner_packet.h"

namespace acaciahold::host {
namespace {

using observe::Families;
using prometheus::MetricType;

constexpr size_t kReasons =
    static_cast<size_t>(steering::Reason::kTableFull) + 1;
constexpr size_t kFaults =
    static_cast<size_t>(packet::PacketFault::kMalformed) + 1;
constexpr size_t kRefusals =
    static_cast<size_t>(request::Refusal::kShutdown) + 1;

void AddEntry(Families& families, const entry::Entry& entry) {
  const auto& c = entry.counters;
  families.Begin("acaciahold_packets_forwarded_total",
                 "Packets forwarded to upstreams");
  families.Add(c.forwarded);
  families.Begin("acaciahold_packets_passed_total",
                 "Packets passed on to the entry host that decides");
  families.Add(c.passed);
  families.Begin("acaciahold_packets_parked_total",
                 "Packets that waited for their exception to be stored");
  families.Add(c.parked);
  families.Begin("acaciahold_packets_refused_total",
                 "Packets refused with a word to the caller");
  for (size_t i = 1; i < kReasons; ++i) {
    families.Add(c.refused[i], "reason",
                 steering::ReasonName(static_cast<steering::Reason>(i)));
  }
  families.Begin("acaciahold_packets_dropped_total", "Packets dropped");
  for (size_t i = 1; i < kReasons; ++i) {
    families.Add(c.dropped[i], "reason",
                 steering::ReasonName(static_cast<steering::Reason>(i)));
  }
  for (size_t i = 0; i < kFaults; ++i) {
    families.Add(c.malformed[i], "reason",
                 packet::FaultName(static_cast<packet::PacketFault>(i)));
  }
  families.Add(c.unknown_service, "reason", "unknown-service");
  families.Add(c.malformed_peer, "reason", "malformed-peer-message");
  families.Begin("acaciahold_control_bytes_total",
                 "Bytes of messages between entry hosts, without packets");
  families.Add(c.control_bytes_sent, "direction", "sent");
  families.Add(c.control_bytes_received, "direction", "received");
  families.Begin("acaciahold_open_flows", "Flows in this host's table",
                 MetricType::Gauge);
  families.Add(entry::CountFlows(entry));
  families.Begin("acaciahold_table_revision", "Revision of the table in force",
                 MetricType::Gauge);
  families.Add(entry::CopyServiceTable(entry).revision);
}

void AddRequests(Families& families, const RequestShell& requests) {
  const auto& c = requests.counters();
  families.Begin("acaciahold_requests_total", "Callers' requests by outcome");
  families.Add(c.answered, "outcome", "answered");
  families.Add(c.unknown, "outcome", "unknown");
  for (size_t i = 1; i < kRefusals; ++i) {
    families.Add(c.refused[i], "outcome",
                 "refused-" + std::string(request::RefusalName(
                                  static_cast<request::Refusal>(i))));
  }
  families.Begin("acaciahold_request_attempts_total", "Attempts at upstreams");
  families.Add(c.attempts);
  families.Begin("acaciahold_request_retries_total",
                 "Attempts after the first");
  families.Add(c.retries);
  families.Begin("acaciahold_requests_replayed_total",
                 "Answers given again to a resend with the same key");
  families.Add(c.replayed);
  families.Begin("acaciahold_open_requests", "Requests under way",
                 MetricType::Gauge);
  families.Add(requests.open_requests());
}

void AddServer(Families& families,
               const http::Server& server,
               std::string_view name) {
  const auto& c = server.counters();
  std::string prefix = "acaciahold_http_" + std::string(name);
  families.Begin(prefix + "_requests_total", "Requests received whole");
  families.Add(c.requests);
  families.Begin(prefix + "_rejected_total", "Requests not taken");
  families.Add(c.body_too_large, "reason", "body-too-large");
  families.Add(c.malformed, "reason", "malformed");
  families.Add(c.incomplete, "reason", "incomplete");
  families.Add(c.too_many_connections, "reason", "too-many-connections");
  families.Add(c.caller_left, "reason", "caller-left");
}

}  // namespace

std::string MetricsText(const MetricSources& sources) {
  Families families;
  if (sources.entry) {
    AddEntry(families, *sources.entry);
  }
  if (sources.requests) {
    AddRequests(families, *sources.requests);
  }
  if (sources.caller_server) {
    AddServer(families, *sources.caller_server, "callers");
  }
  if (sources.admin_server) {
    AddServer(families, *sources.admin_server, "admin");
  }
  return families.Text();
}

}  // namespace acaciahold::host
