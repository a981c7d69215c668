// The load of services as all hosts together see it. Plain data that hosts
// exchange; performs no I/O.
//
// Each entry host reports the requests that pass through it to one control
// host. Control hosts exchange the sums of these reports, and each sends its
// entry hosts a digest of the whole: where there is demand and room, which
// routes' new flows are to be refused, and which upstreams are slow or do not
// answer. All of it is soft state: it is stored nowhere, and a host that has
// no recent digest decides by what it sees itself.

#ifndef ACACIAHOLD_LOAD_LOAD_H_
#define ACACIAHOLD_LOAD_LOAD_H_

#include <cstdint>
#include <span>
#include <string>
#include <vector>

#include "acaciahold/Catalog/catalog.h"
#include "acaciahold/Directory/directory.h"
#include "acaciahold/Support/address.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::load {

// How often entry hosts report, and control hosts exchange sums and send
// digests.
inline constexpr Duration kReportInterval = std::chrono::milliseconds(500);
// Reports, sums and digests that are older than this are ignored; several
// reports may be lost or late.
inline constexpr Duration kMaxAge = std::chrono::milliseconds(2'500);
// The priority of listeners without one. 0 is the highest.
inline constexpr uint32_t kDefaultPriority = 1;

// Requests of one listener's callers for one service.
struct RouteSample {
  std::string service;
  Endpoint listener;
  uint32_t arrived = 0;      // New requests, including refused ones.
  uint32_t refused = 0;      // Openings that the entry host refused.
  uint32_t timed = 0;        // Answered requests with a known response time.
  uint64_t response_us = 0;  // Sum over `timed`, in microseconds.
  uint32_t in_flight = 0;    // At the time of the report.

  bool operator==(const RouteSample&) const = default;
};

// Requests that callers of one listener sent to one upstream.
struct ResponseSample {
  directory::UpstreamId upstream = 0;
  Endpoint listener;
  // Answered requests and openings; also requests that must have been answered,
  // as their callers did not retransmit them. Each counts once, so that those
  // of a dead upstream end about a second after its death.
  uint32_t answered = 0;
  // Answers with a known response time; also those to requests that an earlier
  // report took as answered, so that there may be more of them than `answered`.
  uint32_t timed = 0;
  uint64_t response_us = 0;  // Sum over `timed`, in microseconds.
  // Requests whose data was retransmitted or whose callers gave up, and
  // openings without an answer; each counts once.
  uint32_t overdue = 0;
  uint32_t overdue_hosts = 0;  // Entry hosts that counted `overdue`.

  bool operator==(const ResponseSample&) const = default;
};

// From an entry host: what happened since its last report.
struct LoadReport {
  std::vector<RouteSample> routes;
  std::vector<ResponseSample> responses;

  bool operator==(const LoadReport&) const = default;
};

// Requests of the callers in one failure domain.
struct DomainSums {
  std::string failure_domain;  // Of the entry hosts that reported.
  uint32_t reporters = 0;      // Number of entry hosts.
  std::vector<RouteSample> routes;

  bool operator==(const DomainSums&) const = default;
};

// The sum of the reports of one interval: from the entry hosts of one control
// host, or of all control hosts.
struct LoadSums {
  std::vector<DomainSums> domains;
  std::vector<ResponseSample> responses;
  // Entry hosts whose responses are included; those that are late are only part
  // of `domains`.
  uint32_t responding = 0;

  bool operator==(const LoadSums&) const = default;
};

// Demand and room of a service in one failure domain.
struct DomainStanding {
  std::string failure_domain;
  // Slots that the requests of the domain's callers keep busy, wherever they
  // are processed. Refused requests are included.
  double demand_slots = 0;
  double slots = 0;  // Of the domain's upstreams that may take new flows.

  bool operator==(const DomainStanding&) const = default;
};

// What part of a listener's new flows a service has room for.
struct RouteAdmission {
  Endpoint listener;
  double admitted_fraction = 1;  // From 0 to 1; the rest is refused.

  bool operator==(const RouteAdmission&) const = default;
};

// Demand and room of a service, and what follows for its new flows.
struct ServiceStanding {
  std::string service;
  std::vector<DomainStanding> domains;  // In order of their names.
  // Whether more requests arrive than the service has room for.
  bool is_short = false;
  // Listeners with a fraction below 1; empty unless the service is short.
  std::vector<RouteAdmission> admissions;

  bool operator==(const ServiceStanding&) const = default;
};

// An upstream that answers, but more slowly than others of its service.
struct SlowUpstream {
  directory::UpstreamId upstream = 0;
  double speed = 1;  // Relative to the others, in (0, 1).

  bool operator==(const SlowUpstream&) const = default;
};

// From a control host to its entry hosts.
struct LoadDigest {
  uint32_t reporters = 0;  // Entry hosts whose reports are included.
  std::vector<ServiceStanding> services;
  std::vector<SlowUpstream> slow;
  // Upstreams of which several hosts are sure that they answer nothing.
  std::vector<directory::UpstreamId> dark;
  // `services` holds only what changed since the sender's last digest; see
  // TakeChanges.
  bool is_change = false;

  bool operator==(const LoadDigest&) const = default;
};

// Adds a report of an entry host in `failure_domain` to the sums.
void AddReport(LoadSums& sums,
               const std::string& failure_domain,
               const LoadReport& report);

// Adds the sums of another control host.
void AddSums(LoadSums& total, const LoadSums& sums);

// Which rows AppendReport and AppendSums take.
enum class Rows {
  kAll,
  // Without responses: rows that were added before, and still show the rate of
  // requests, but must not count as evidence again.
  kRoutesOnly,
};

// Like AddReport and AddSums, but leave the rows unmerged. Call MergeRows once
// after the last one: many reports are added in a time that grows with their
// rows alone.
void AppendReport(LoadSums& sums,
                  const std::string& failure_domain,
                  const LoadReport& report,
                  Rows rows);
void AppendSums(LoadSums& total, const LoadSums& sums, Rows rows);
// Adds up rows of the same key. Domains and rows are in order of their keys
// afterwards.
void MergeRows(LoadSums& sums);

// Number of entry hosts whose reports are included.
uint32_t CountReporters(const LoadSums& sums);

// Whether some listener has a term. Without one nothing is exchanged.
bool HasTerms(const catalog::Catalog& catalog);

}  // namespace acaciahold::load

#endif  // ACACIAHOLD_LOAD_LOAD_H_
