// Shares of upstreams' connection limits: this host's own, and the ledgers of
// the upstreams that it coordinates or backs up.

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

// A renewal that is not answered is sent again after this.
constexpr Duration kRenewalRetryInterval = std::chrono::milliseconds(700);

// One upstream of one service in the plan.
struct Place {
  const ServicePlan* service = nullptr;
  const Target* target = nullptr;
};

Place FindPlace(const ControlState& control,
                uint64_t service_id,
                upstream::UpstreamId upstream) {
  Place place;
  place.service = steering::FindService(*control.plan, service_id);
  if (place.service) {
    place.target = steering::FindTarget(*place.service, upstream);
  }
  return place;
}

ShareState* FindShare(ControlState& control, const Place& place) {
  auto it = control.shares.find({place.service->name, place.target->id});
  return it == control.shares.end() ? nullptr : &it->second;
}

LedgerKey KeyOf(const Place& place) {
  return {place.service->id, place.target->id};
}

void FollowTarget(ControlState& control, const Place& place, Instant now) {
  HostId self = control.membership.self.id;
  auto coordinator = HostAt(*control.plan, place.target->coordinator);
  auto backup = HostAt(*control.plan, place.target->backup_coordinator);
  auto& state = control.shares[{place.service->name, place.target->id}];
  if (state.backup != backup) {
    admission::SetBackup(state.share, *place.target->cell, backup != 0);
    state.share.report_deadline = now;
  }
  if (state.coordinator != coordinator) {
    state.share.report_deadline = now;
  }
  state.coordinator = coordinator;
  state.backup = backup;
  if (coordinator != self && backup != self) {
    control.ledgers.erase(KeyOf(place));
    return;
  }
  auto& slot = control.ledgers[KeyOf(place)];
  if (coordinator == self && !slot.is_coordinator) {
    admission::OnTakeover(slot.ledger, now);
  }
  slot.is_coordinator = coordinator == self;
}

// Reports and records that are due, by the host they go to.
using Outbox = std::map<HostId, wire::ShareReports>;

void Address(ControlState& control, const Place& place, ShareReport& report) {
  report.service = place.service->id;
  report.upstream = place.target->id;
  report.host = control.membership.self.id;
  report.incarnation = control.membership.self.incarnation;
}

void AddRecord(ControlState& control,
               const Place& place,
               const ShareState& state,
               Outbox& outbox) {
  auto record = admission::MakeRecord(state.share, *place.target->cell);
  Address(control, place, record);
  auto it = control.ledgers.find(KeyOf(place));
  if (it != control.ledgers.end() && it->second.is_coordinator) {
    // The backup keeps the coordinator's frozen shares as part of its own.
    uint32_t frozen = 0;
    for (const auto& [life, share] : it->second.ledger.frozen) {
      frozen += share.amount;
    }
    record.open = std::max(record.open, record.held + frozen);
  }
  outbox[state.backup].reports.push_back(record);
}

uint32_t HeadroomOf(const ControlState& control, const Target& target) {
  if (!target.takes_new) {
    return 0;
  }
  return admission::Headroom(target.limit,
                             static_cast<uint32_t>(control.plan->hosts.size()));
}

void AddReport(ControlState& control,
               const Place& place,
               ShareState& state,
               Instant now,
               Outbox& outbox) {
  auto report = admission::MakeReport(state.share, *place.target->cell,
                                      HeadroomOf(control, *place.target), now);
  Address(control, place, report);
  outbox[state.coordinator].reports.push_back(report);
  if (state.backup != 0 &&
      state.share.confirmed_by_backup != state.share.held) {
    AddRecord(control, place, state, outbox);
  }
}

// Reports the share if that is urgent, or adds it to the renewal that is due.
void ReportOrRenew(ControlState& control,
                   const Place& place,
                   ShareState& state,
                   Instant now,
                   Outbox& outbox) {
  const auto& cell = *place.target->cell;
  bool is_used = place.target->takes_new || admission::OpenFlows(cell) > 0 ||
                 state.share.sequence > 0;
  if (!is_used || state.coordinator == 0) {
    return;
  }
  bool is_renewable = admission::IsRenewable(state.share, cell,
                                             HeadroomOf(control, *place.target),
                                             place.target->is_warm, now);
  auto& renewal = control.renewals[state.coordinator];
  bool is_renewal_due = now >= renewal.deadline;
  if (is_renewable) {
    if (is_renewal_due) {
      auto& message = outbox[state.coordinator];
      message.renewal ^=
          admission::RenewalHash(place.service->id, place.target->id,
                                 state.share.sequence, state.share.held);
      message.renewal_number = renewal.number + 1;
      renewal.shares.push_back({place.service->name, place.target->id});
    }
    return;
  }
  if (is_renewal_due || admission::IsReportDue(state.share, cell, now)) {
    AddReport(control, place, state, now, outbox);
  }
}

// Numbers the renewals that the messages carry, and sets when the next ones
// are due.
void CloseRenewals(ControlState& control, Outbox& outbox, Instant now) {
  for (auto& [host, renewal] : control.renewals) {
    if (now >= renewal.deadline) {
      renewal.sent_at = now;
      renewal.deadline = now + kRenewalRetryInterval;
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

void TakeOutcomes(ControlState& control,
                  const Place& place,
                  const ShareReport& report,
                  Instant now) {
  if (report.successes == 0 && report.failures == 0) {
    return;
  }
  bool is_changed = upstream::OnOutcomes(
      control.registry, {place.service->name, place.target->id},
      {report.successes, report.failures, 0}, place.target->limit, now);
  control.is_plan_outdated |= is_changed;
}

ShareGrant AnswerReport(ControlState& control,
                        const Place& place,
                        LedgerSlot& slot,
                        const ShareReport& report,
                        Instant now) {
  Instant idle_release = now + place.service->idle_timeout;
  if (report.is_record) {
    return admission::OnRecord(slot.ledger, report, idle_release, now);
  }
  TakeOutcomes(control, place, report, now);
  uint32_t limit = place.target->takes_new ? place.target->limit : 0;
  return admission::OnReport(slot.ledger, report, limit, idle_release, now);
}

// The parts of the host's shares here that the message does not report.
uint64_t RenewalHere(ControlState& control,
                     const wire::ShareReports& message,
                     std::vector<admission::LedgerEntry*>& entries) {
  std::set<LedgerKey> reported;
  for (const auto& report : message.reports) {
    reported.insert({report.service, report.upstream});
  }
  uint64_t sum = 0;
  for (auto& [key, slot] : control.ledgers) {
    auto* entry = slot.is_coordinator && !reported.contains(key)
                      ? admission::FindForRenewal(slot.ledger, message.host,
                                                  message.incarnation)
                      : nullptr;
    if (entry) {
      entries.push_back(entry);
      sum ^= admission::RenewalHash(key.first, key.second, entry->sequence,
                                    entry->held);
    }
  }
  return sum;
}

void AnswerRenewal(ControlState& control,
                   const wire::ShareReports& message,
                   Instant now,
                   wire::ShareGrants& grants) {
  if (message.renewal_number == 0) {
    return;
  }
  std::vector<admission::LedgerEntry*> entries;
  grants.renewed_number = message.renewal_number;
  grants.is_renewed = RenewalHere(control, message, entries) == message.renewal;
  if (!grants.is_renewed) {
    return;
  }
  for (auto* entry : entries) {
    entry->last_heard_at = now;
  }
}

// What the coordinator said of a renewal. Where the two sides differ, each of
// its shares is reported anew.
void TakeRenewal(ControlState& control,
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

void FollowPlan(ControlState& control, Instant now) {
  for (const auto& service : control.plan->services) {
    for (const auto& target : service->targets) {
      FollowTarget(control, {service.get(), &target}, now);
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
      Place place{service.get(), &target};
      if (auto* state = FindShare(control, place)) {
        ReportOrRenew(control, place, *state, now, outbox);
      }
    }
  }
  CloseRenewals(control, outbox, now);
  SendOutbox(entry, outbox, now, actions);
}

void ReviewLedgers(ControlState& control, Instant now) {
  for (auto& [key, slot] : control.ledgers) {
    const auto* service = steering::FindService(*control.plan, key.first);
    if (service && slot.is_coordinator) {
      admission::ExpireSilentShares(slot.ledger, service->idle_timeout, now);
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
    Place place = FindPlace(control, report.service, report.upstream);
    if (!place.target) {
      continue;
    }
    auto it = control.ledgers.find(KeyOf(place));
    bool is_for_us = it != control.ledgers.end() &&
                     it->second.is_coordinator == !report.is_record;
    if (!is_for_us) {
      continue;  // The sender has another plan; it reports again.
    }
    grants.grants.push_back(
        AnswerReport(control, place, it->second, report, now));
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
  TakeRenewal(control, coordinator, grants, now);
  Outbox records;
  for (const auto& grant : grants.grants) {
    Place place = FindPlace(control, grant.service, grant.upstream);
    auto* state = place.target ? FindShare(control, place) : nullptr;
    if (!state) {
      continue;
    }
    auto& cell = *place.target->cell;
    if (grant.is_record) {
      admission::OnRecordConfirmed(state->share, cell, grant);
    } else if (admission::OnGrant(state->share, cell, grant) &&
               state->backup != 0) {
      AddRecord(control, place, *state, records);
    }
  }
  CloseRenewals(control, records, now);
  SendOutbox(entry, records, now, actions);
}

std::vector<wire::LedgerState> LedgersFor(const ControlState& control,
                                          HostId host) {
  std::vector<wire::LedgerState> states;
  for (const auto& [key, slot] : control.ledgers) {
    Place place = FindPlace(control, key.first, key.second);
    if (!place.target) {
      continue;
    }
    bool is_asked =
        HostAt(*control.plan, place.target->coordinator) == host ||
        HostAt(*control.plan, place.target->backup_coordinator) == host;
    if (is_asked) {
      states.push_back({key.first, key.second, slot.ledger});
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
  for (const auto& [host, theirs] : state.ledger.entries) {
    auto& mine = ledger.entries[host];
    bool is_newer = std::pair(theirs.incarnation, theirs.sequence) >
                    std::pair(mine.incarnation, mine.sequence);
    if (theirs.incarnation < mine.incarnation && theirs.amount > 0) {
      admission::Freeze(ledger, {host, theirs.incarnation},
                        {theirs.amount, now + idle_timeout});
    }
    if (is_newer) {
      mine = theirs;
      mine.last_heard_at = now;
    }
  }
  for (const auto& [life, share] : state.ledger.frozen) {
    admission::Freeze(ledger, life, share);
  }
}

}  // namespace acaciahold::entry
