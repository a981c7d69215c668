// Shares of upstreams' connection limits: the reports and renewals of this
// host's own shares, and the ledgers of the upstreams that it coordinates or
// backs up.

#include <algorithm>
#include <set>

#include "acaciahold/Support/hash.h"
#include "entry_state.h"

namespace acaciahold::entry {
namespace {

using admission::ShareGrant;
using admission::ShareReport;
using membership::HostId;
using steering::ServicePlan;
using steering::Target;

// A renewal that was not answered within this time is retried.
constexpr Duration kRenewalTimeout = std::chrono::milliseconds(700);

// An upstream and its service in the plan. `target` is null if not found.
struct TargetRef {
  const ServicePlan* service = nullptr;
  const Target* target = nullptr;
};

TargetRef FindTargetRef(const ControlState& control,
                        uint64_t service_id,
                        upstream::UpstreamId upstream) {
  TargetRef ref;
  ref.service = steering::FindService(*control.plan, service_id);
  if (ref.service) {
    ref.target = steering::FindTarget(*ref.service, upstream);
  }
  return ref;
}

ShareState* FindShare(ControlState& control, const TargetRef& ref) {
  auto it = control.shares.find({ref.service->name, ref.target->id});
  return it == control.shares.end() ? nullptr : &it->second;
}

LedgerKey KeyOf(const TargetRef& ref) {
  return {ref.service->id, ref.target->id};
}

// Updates the share's coordinator and backup from the plan, and creates or
// removes this host's replica of the upstream's ledger.
void UpdateShareForTarget(ControlState& control,
                          const TargetRef& ref,
                          Instant now) {
  HostId self = control.membership.self.id;
  auto coordinator = HostAt(*control.plan, ref.target->coordinator);
  auto backup = HostAt(*control.plan, ref.target->backup_coordinator);
  auto& state = control.shares[{ref.service->name, ref.target->id}];
  if (state.backup != backup) {
    admission::SetBackup(state.share, *ref.target->cell, backup != 0);
    state.share.report_deadline = now;
  }
  if (state.coordinator != coordinator) {
    state.share.report_deadline = now;
  }
  state.coordinator = coordinator;
  state.backup = backup;
  if (coordinator != self && backup != self) {
    control.ledgers.erase(KeyOf(ref));
    return;
  }
  auto& replica = control.ledgers[KeyOf(ref)];
  if (coordinator == self && !replica.is_coordinator) {
    admission::OnTakeover(replica.ledger, now);
  }
  replica.is_coordinator = coordinator == self;
}

// Reports, records and renewals to send, keyed by destination host.
using Outbox = std::map<HostId, wire::ShareReports>;

void SetReportIdentity(ControlState& control,
                       const TargetRef& ref,
                       ShareReport& report) {
  report.service = ref.service->id;
  report.upstream = ref.target->id;
  report.host = control.membership.self.id;
  report.incarnation = control.membership.self.incarnation;
}

// Adds a record of the share for the backup.
void AddRecord(ControlState& control,
               const TargetRef& ref,
               const ShareState& state,
               Outbox& outbox) {
  auto record = admission::MakeRecord(state.share, *ref.target->cell);
  SetReportIdentity(control, ref, record);
  auto it = control.ledgers.find(KeyOf(ref));
  if (it != control.ledgers.end() && it->second.is_coordinator) {
    // The record includes the coordinator's frozen shares, so that the backup
    // reserves them too, as part of the coordinator's own share.
    uint32_t frozen = 0;
    for (const auto& [owner, share] : it->second.ledger.frozen) {
      frozen += share.amount;
    }
    record.open = std::max(record.open, record.held + frozen);
  }
  outbox[state.backup].reports.push_back(record);
}

// Returns how many flows beyond its open ones this host asks for.
uint32_t HeadroomOf(const ControlState& control, const Target& target) {
  if (!target.accepts_new_flows) {
    return 0;
  }
  return admission::Headroom(target.limit,
                             static_cast<uint32_t>(control.plan->hosts.size()));
}

// Adds a report for the coordinator, and a record for the backup if that has
// not confirmed the share.
void AddReport(ControlState& control,
               const TargetRef& ref,
               ShareState& state,
               Instant now,
               Outbox& outbox) {
  auto report = admission::MakeReport(state.share, *ref.target->cell,
                                      HeadroomOf(control, *ref.target), now);
  SetReportIdentity(control, ref, report);
  outbox[state.coordinator].reports.push_back(report);
  if (state.backup != 0 &&
      state.share.confirmed_by_backup != state.share.held) {
    AddRecord(control, ref, state, outbox);
  }
}

// Adds the share to the coordinator's renewal if that is due and the share can
// be renewed. A share that can't be renewed is reported when a report or
// renewal is due.
void ReportOrRenew(ControlState& control,
                   const TargetRef& ref,
                   ShareState& state,
                   Instant now,
                   Outbox& outbox) {
  const auto& cell = *ref.target->cell;
  bool is_used = ref.target->accepts_new_flows ||
                 admission::OpenFlows(cell) > 0 || state.share.sequence > 0;
  if (!is_used || state.coordinator == 0) {
    return;
  }
  bool is_renewable = admission::IsRenewable(state.share, cell,
                                             HeadroomOf(control, *ref.target),
                                             ref.target->is_warm, now);
  auto& renewal = control.renewals[state.coordinator];
  bool is_renewal_due = now >= renewal.deadline;
  if (is_renewable) {
    if (is_renewal_due) {
      auto& message = outbox[state.coordinator];
      message.renewal ^=
          admission::RenewalHash(ref.service->id, ref.target->id,
                                 state.share.sequence, state.share.held);
      message.renewal_number = renewal.number + 1;
      renewal.shares.push_back({ref.service->name, ref.target->id});
    }
    return;
  }
  if (is_renewal_due || admission::IsReportDue(state.share, cell, now)) {
    AddReport(control, ref, state, now, outbox);
  }
}

// Sets the retry time of the renewals that are due, and fills in the sender of
// the messages. Stores the numbers of the renewals that the messages contain.
void UpdateRenewals(ControlState& control, Outbox& outbox, Instant now) {
  for (auto& [host, renewal] : control.renewals) {
    if (now >= renewal.deadline) {
      renewal.sent_at = now;
      renewal.deadline = now + kRenewalTimeout;
    }
  }
  for (auto& [host, message] : outbox) {
    message.host = control.membership.self.id;
    message.incarnation = control.membership.self.incarnation;
    if (message.renewal_number != 0) {
      control.renewals[host].number = message.renewal_number;
    }
  }
}

// Sends the messages. Those to this host itself are handled at once.
void SendOutbox(Entry& entry,
                const Outbox& outbox,
                Instant now,
                Actions& actions) {
  for (const auto& [host, reports] : outbox) {
    if (host == entry.control.membership.self.id) {
      HandleReports(entry, reports, Endpoint(), now, actions);
    } else if (auto to = PeerEndpoint(entry.control, host)) {
      SendTo(entry, *to, reports, actions);
    }
  }
}

// Updates the upstream's health from the outcomes in a host's report.
void ApplyOutcomes(ControlState& control,
                   const TargetRef& ref,
                   const ShareReport& report,
                   Instant now) {
  if (report.successes == 0 && report.failures == 0) {
    return;
  }
  bool is_changed = upstream::OnOutcomes(
      control.registry, {ref.service->name, ref.target->id},
      {report.successes, report.failures, 0}, ref.target->limit, now);
  control.is_plan_outdated |= is_changed;
}

ShareGrant AnswerReport(ControlState& control,
                        const TargetRef& ref,
                        LedgerReplica& replica,
                        const ShareReport& report,
                        Instant now) {
  Instant frozen_until = now + ref.service->idle_timeout;
  if (report.is_record) {
    return admission::OnRecord(replica.ledger, report, frozen_until, now);
  }
  ApplyOutcomes(control, ref, report, now);
  uint32_t limit = ref.target->accepts_new_flows ? ref.target->limit : 0;
  return admission::OnReport(replica.ledger, report, limit, frozen_until, now);
}

// Returns the XOR of the RenewalHash() of the sender's shares that this host
// coordinates and the message does not report. Adds their ledger entries to
// `entries`.
uint64_t ComputeRenewalHash(ControlState& control,
                            const wire::ShareReports& message,
                            std::vector<admission::LedgerEntry*>& entries) {
  std::set<LedgerKey> reported;
  for (const auto& report : message.reports) {
    reported.insert({report.service, report.upstream});
  }
  uint64_t hash = 0;
  for (auto& [key, replica] : control.ledgers) {
    auto* entry = replica.is_coordinator && !reported.contains(key)
                      ? admission::FindForRenewal(replica.ledger, message.host,
                                                  message.incarnation)
                      : nullptr;
    if (entry) {
      entries.push_back(entry);
      hash ^= admission::RenewalHash(key.first, key.second, entry->sequence,
                                     entry->held);
    }
  }
  return hash;
}

// Extends the sender's shares in the ledgers if its renewal hash matches this
// host's ledgers. Sets the answer in `grants`.
void AnswerRenewal(ControlState& control,
                   const wire::ShareReports& message,
                   Instant now,
                   wire::ShareGrants& grants) {
  if (message.renewal_number == 0) {
    return;
  }
  std::vector<admission::LedgerEntry*> entries;
  grants.renewed_number = message.renewal_number;
  grants.is_renewed =
      ComputeRenewalHash(control, message, entries) == message.renewal;
  if (!grants.is_renewed) {
    return;
  }
  for (auto* entry : entries) {
    entry->last_heard_at = now;
  }
}

// Applies the coordinator's answer to a renewal. If the coordinator's ledgers
// did not match the renewal, each share in it is reported at once.
void ApplyRenewalAnswer(ControlState& control,
                        HostId coordinator,
                        const wire::ShareGrants& grants,
                        Instant now) {
  auto& renewal = control.renewals[coordinator];
  if (grants.renewed_number == 0 || grants.renewed_number != renewal.number) {
    return;
  }
  renewal.deadline = now + admission::kReportInterval;
  for (const auto& key : renewal.shares) {
    auto cell = control.cells.find(key);
    auto share = control.shares.find(key);
    if (cell == control.cells.end() || share == control.shares.end()) {
      continue;
    }
    if (grants.is_renewed) {
      admission::OnRenewed(*cell->second, renewal.sent_at);
    } else {
      share->second.share.is_answered = false;
      share->second.share.report_deadline = now;
    }
  }
}

}  // namespace

void UpdateSharesForPlan(ControlState& control, Instant now) {
  for (const auto& service : control.plan->services) {
    for (const auto& target : service->targets) {
      UpdateShareForTarget(control, {service.get(), &target}, now);
    }
  }
}

void ReportShares(Entry& entry, Instant now, Actions& actions) {
  auto& control = entry.control;
  Outbox outbox;
  for (auto& [host, renewal] : control.renewals) {
    if (now >= renewal.deadline) {
      renewal.shares.clear();
    }
  }
  for (const auto& service : control.plan->services) {
    for (const auto& target : service->targets) {
      TargetRef ref{service.get(), &target};
      if (auto* state = FindShare(control, ref)) {
        ReportOrRenew(control, ref, *state, now, outbox);
      }
    }
  }
  UpdateRenewals(control, outbox, now);
  SendOutbox(entry, outbox, now, actions);
}

void ExpireLedgerShares(ControlState& control, Instant now) {
  for (auto& [key, replica] : control.ledgers) {
    const auto* service = steering::FindService(*control.plan, key.first);
    if (service && replica.is_coordinator) {
      admission::ExpireSilentShares(replica.ledger, service->idle_timeout, now);
    }
  }
}

void HandleReports(Entry& entry,
                   const wire::ShareReports& reports,
                   Endpoint from,
                   Instant now,
                   Actions& actions) {
  auto& control = entry.control;
  wire::ShareGrants grants;
  grants.host = reports.host;
  grants.incarnation = reports.incarnation;
  AnswerRenewal(control, reports, now, grants);
  for (const auto& report : reports.reports) {
    TargetRef ref = FindTargetRef(control, report.service, report.upstream);
    if (!ref.target) {
      continue;
    }
    auto it = control.ledgers.find(KeyOf(ref));
    bool is_responsible = it != control.ledgers.end() &&
                          it->second.is_coordinator == !report.is_record;
    if (!is_responsible) {
      // The sender used another plan; it will report to the right host once the
      // plans are equal.
      continue;
    }
    grants.grants.push_back(
        AnswerReport(control, ref, it->second, report, now));
  }
  if (grants.grants.empty() && grants.renewed_number == 0) {
    return;
  }
  HostId self = control.membership.self.id;
  if (grants.host == self) {
    HandleGrants(entry, grants, self, now, actions);
  } else {
    SendTo(entry, from, grants, actions);
  }
}

void HandleGrants(Entry& entry,
                  const wire::ShareGrants& grants,
                  HostId coordinator,
                  Instant now,
                  Actions& actions) {
  auto& control = entry.control;
  if (grants.host != control.membership.self.id ||
      grants.incarnation != control.membership.self.incarnation) {
    return;
  }
  ApplyRenewalAnswer(control, coordinator, grants, now);
  Outbox records;
  for (const auto& grant : grants.grants) {
    TargetRef ref = FindTargetRef(control, grant.service, grant.upstream);
    auto* state = ref.target ? FindShare(control, ref) : nullptr;
    if (!state) {
      continue;
    }
    auto& cell = *ref.target->cell;
    if (grant.is_record) {
      admission::OnRecordConfirmed(state->share, cell, grant);
    } else if (admission::OnGrant(state->share, cell, grant) &&
               state->backup != 0) {
      AddRecord(control, ref, *state, records);
    }
  }
  UpdateRenewals(control, records, now);
  SendOutbox(entry, records, now, actions);
}

std::vector<wire::LedgerState> ExportLedgers(const ControlState& control,
                                             HostId host) {
  std::vector<wire::LedgerState> states;
  for (const auto& [key, replica] : control.ledgers) {
    TargetRef ref = FindTargetRef(control, key.first, key.second);
    if (!ref.target) {
      continue;
    }
    bool is_holder =
        HostAt(*control.plan, ref.target->coordinator) == host ||
        HostAt(*control.plan, ref.target->backup_coordinator) == host;
    if (is_holder) {
      states.push_back({key.first, key.second, replica.ledger});
    }
  }
  return states;
}

void MergeLedger(ControlState& control,
                 const wire::LedgerState& state,
                 Instant now) {
  auto it = control.ledgers.find({state.service, state.upstream});
  if (it == control.ledgers.end()) {
    return;
  }
  const auto* service = steering::FindService(*control.plan, state.service);
  Duration idle_timeout = service ? service->idle_timeout : Duration::zero();
  auto& ledger = it->second.ledger;
  for (const auto& [host, remote] : state.ledger.entries) {
    auto& local = ledger.entries[host];
    bool is_newer = std::pair(remote.incarnation, remote.sequence) >
                    std::pair(local.incarnation, local.sequence);
    if (remote.incarnation < local.incarnation && remote.amount > 0) {
      admission::Freeze(ledger, {host, remote.incarnation},
                        {remote.amount, now + idle_timeout});
    }
    if (is_newer) {
      local = remote;
      local.last_heard_at = now;
    }
  }
  for (const auto& [owner, share] : state.ledger.frozen) {
    admission::Freeze(ledger, owner, share);
  }
}

}  // namespace acaciahold::entry
