#include "acaciahold/Membership/membership.h"

#include <algorithm>
#include <bit>
#include <tuple>

#include "acaciahold/Support/hash.h"

namespace acaciahold::membership {
namespace {

bool IsPresumedAlive(const Member& member) {
  return member.latest_update.state == MemberState::kAlive ||
         member.latest_update.state == MemberState::kSuspect;
}

// Returns in how many messages an update is sent. The number grows with the
// logarithm of the member count, as gossip needs to reach every member.
uint32_t SendsPerUpdate(const Membership& membership) {
  return 3 * std::bit_width(membership.members.size() + 1);
}

auto Precedence(const MemberUpdate& update) {
  return std::tuple(update.host.incarnation, update.refutation,
                    static_cast<int>(update.state));
}

MemberUpdate SelfUpdate(const Membership& membership) {
  return {membership.self,
          membership.is_leaving ? MemberState::kLeft : MemberState::kAlive,
          membership.refutation};
}

uint64_t HashUpdate(const MemberUpdate& update) {
  uint64_t h = CombineHashes(update.host.id, update.host.incarnation);
  h = CombineHashes(h, update.refutation);
  return CombineHashes(h, static_cast<uint64_t>(update.state));
}

uint64_t Digest(const Membership& membership) {
  uint64_t digest = HashUpdate(SelfUpdate(membership));
  for (const auto& [id, member] : membership.members) {
    digest ^= HashUpdate(member.latest_update);
  }
  return digest;
}

// Takes the updates for the next message. Updates that have been sent least
// often come first, so that a burst of updates is distributed evenly.
std::vector<MemberUpdate> TakeUpdates(Membership& membership) {
  std::vector<MemberUpdate> updates;
  if (membership.self_sends_left > 0) {
    --membership.self_sends_left;
    updates.push_back(SelfUpdate(membership));
  }
  std::vector<Member*> pending;
  for (auto& [id, member] : membership.members) {
    if (member.sends_left > 0) {
      pending.push_back(&member);
    }
  }
  std::sort(pending.begin(), pending.end(),
            [](auto* a, auto* b) { return a->sends_left > b->sends_left; });
  for (auto* member : pending) {
    if (updates.size() == kMaxUpdatesPerMessage) {
      break;
    }
    --member->sends_left;
    updates.push_back(member->latest_update);
  }
  return updates;
}

Probe MakeProbe(Membership& membership, ProbeKind kind, uint64_t sequence) {
  Probe probe;
  probe.kind = kind;
  probe.from = membership.self.id;
  probe.from_incarnation = membership.self.incarnation;
  probe.sequence = sequence;
  probe.subject = membership.self.id;
  probe.view_digest = Digest(membership);
  probe.updates = TakeUpdates(membership);
  return probe;
}

void SetState(Membership& membership,
              Member& member,
              MemberState state,
              Instant now,
              Output& output) {
  member.latest_update.state = state;
  member.sends_left = SendsPerUpdate(membership);
  member.suspect_deadline = now + kSuspicionTimeout;
  member.removal_deadline = now + kTombstoneRetention;
  output.view_changed = true;
}

// Handles an update about this host, and refutes it if it is wrong.
void ApplyUpdateAboutSelf(Membership& membership,
                          const MemberUpdate& update,
                          Output& output) {
  if (update.host.incarnation > membership.self.incarnation) {
    // The clock has been set back since an earlier run of this host, so that
    // run has a higher incarnation. Other hosts would ignore a lower one.
    membership.self.incarnation = update.host.incarnation + 1;
    membership.refutation = 0;
  } else if (update.host.incarnation == membership.self.incarnation &&
             update.state != MemberState::kAlive && !membership.is_leaving &&
             update.refutation >= membership.refutation) {
    membership.refutation = update.refutation + 1;
  } else {
    return;
  }
  membership.self_sends_left = SendsPerUpdate(membership);
  output.view_changed = true;
}

void ApplyUpdate(Membership& membership,
                 const MemberUpdate& update,
                 Instant now,
                 Output& output) {
  if (update.host.id == membership.self.id) {
    ApplyUpdateAboutSelf(membership, update, output);
    return;
  }
  auto it = membership.members.find(update.host.id);
  if (it == membership.members.end()) {
    it = membership.members.emplace(update.host.id, Member{}).first;
  } else if (Precedence(update) <= Precedence(it->second.latest_update)) {
    return;
  }
  it->second.latest_update = update;
  SetState(membership, it->second, update.state, now, output);
}

std::optional<HostId> NextProbeTarget(Membership& membership) {
  while (true) {
    while (!membership.probe_order.empty()) {
      HostId id = membership.probe_order.back();
      membership.probe_order.pop_back();
      auto it = membership.members.find(id);
      if (it != membership.members.end() &&
          it->second.latest_update.state != MemberState::kLeft) {
        return id;
      }
    }
    for (const auto& [id, member] : membership.members) {
      // Ping dead members too, at the same rate, so that both sides of a
      // partition find each other again once it heals.
      if (member.latest_update.state != MemberState::kLeft) {
        membership.probe_order.push_back(id);
      }
    }
    if (membership.probe_order.empty()) {
      return std::nullopt;
    }
    std::shuffle(membership.probe_order.begin(), membership.probe_order.end(),
                 membership.random);
  }
}

void SendPing(Membership& membership,
              const Member& target,
              HostId requester,
              uint64_t requester_sequence,
              Instant now,
              Output& output) {
  OutstandingPing ping;
  ping.sequence = membership.next_sequence++;
  ping.target = target.latest_update.host.id;
  ping.requester = requester;
  ping.requester_sequence = requester_sequence;
  ping.indirect_deadline = now + kAckTimeout;
  ping.fail_deadline = now + kProbeInterval;
  membership.pings.push_back(ping);
  output.probes.push_back(
      {target.latest_update.host.peer,
       MakeProbe(membership, ProbeKind::kPing, ping.sequence)});
}

void SendPingRequests(Membership& membership,
                      OutstandingPing& ping,
                      Output& output) {
  ping.is_indirect_sent = true;
  std::vector<const Member*> relays;
  for (const auto& [id, member] : membership.members) {
    if (id != ping.target &&
        member.latest_update.state == MemberState::kAlive) {
      relays.push_back(&member);
    }
  }
  std::shuffle(relays.begin(), relays.end(), membership.random);
  relays.resize(std::min(relays.size(), kIndirectProbes));
  for (const auto* relay : relays) {
    auto probe = MakeProbe(membership, ProbeKind::kPingRequest, ping.sequence);
    probe.subject = ping.target;
    output.probes.push_back({relay->latest_update.host.peer, std::move(probe)});
  }
}

void CheckPings(Membership& membership, Instant now, Output& output) {
  for (auto& ping : membership.pings) {
    if (ping.requester == 0 && !ping.is_indirect_sent &&
        now >= ping.indirect_deadline) {
      SendPingRequests(membership, ping, output);
    }
    if (now < ping.fail_deadline || ping.requester != 0) {
      continue;
    }
    auto it = membership.members.find(ping.target);
    if (it != membership.members.end() &&
        it->second.latest_update.state == MemberState::kAlive) {
      SetState(membership, it->second, MemberState::kSuspect, now, output);
    }
  }
  std::erase_if(membership.pings, [&](const OutstandingPing& ping) {
    return now >= ping.fail_deadline;
  });
}

void CheckMembers(Membership& membership, Instant now, Output& output) {
  for (auto& [id, member] : membership.members) {
    if (member.latest_update.state == MemberState::kSuspect &&
        now >= member.suspect_deadline) {
      SetState(membership, member, MemberState::kDead, now, output);
    }
  }
  std::erase_if(membership.members, [&](const auto& it) {
    return !IsPresumedAlive(it.second) && now >= it.second.removal_deadline;
  });
}

// Handles a probe from a member that this host has as suspect or dead. Only the
// member itself can refute that state, so the update is queued again to tell
// the member of it.
void RequeueSenderUpdate(Membership& membership, const Probe& probe) {
  auto it = membership.members.find(probe.from);
  if (it == membership.members.end()) {
    return;
  }
  bool is_suspected = it->second.latest_update.state == MemberState::kSuspect ||
                      it->second.latest_update.state == MemberState::kDead;
  if (is_suspected) {
    it->second.sends_left = std::max(it->second.sends_left, 1U);
  }
}

// Returns whether the sender has started without this host knowing yet. Such a
// sender knows only its seeds and needs a snapshot.
bool IsNewIncarnation(const Membership& membership, const Probe& probe) {
  auto it = membership.members.find(probe.from);
  return it == membership.members.end() ||
         it->second.latest_update.host.incarnation < probe.from_incarnation;
}

void OnAck(Membership& membership, const Probe& probe, Output& output) {
  auto it = std::find_if(
      membership.pings.begin(), membership.pings.end(),
      [&](const auto& ping) { return ping.sequence == probe.sequence; });
  if (it == membership.pings.end()) {
    return;
  }
  if (it->requester != 0) {
    auto requester_member = membership.members.find(it->requester);
    if (requester_member != membership.members.end()) {
      auto ack = MakeProbe(membership, ProbeKind::kAck, it->requester_sequence);
      ack.subject = it->target;
      output.probes.push_back(
          {requester_member->second.latest_update.host.peer, std::move(ack)});
    }
  }
  membership.pings.erase(it);
}

}  // namespace

HostId MakeHostId(std::string_view name) {
  return HashText(name);
}

std::string_view StateName(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kDead:
      return "dead";
    case MemberState::kLeft:
      return "left";
  }
  return "dead";
}

Membership StartMembership(HostRecord self,
                           std::span<const HostRecord> seeds,
                           uint64_t seed,
                           Instant now) {
  Membership membership;
  membership.self = std::move(self);
  membership.random.seed(seed);
  membership.probe_deadline = now;
  for (const auto& record : seeds) {
    membership.members[record.id].latest_update.host = record;
  }
  membership.self_sends_left = SendsPerUpdate(membership);
  return membership;
}

Output OnTick(Membership& membership, Instant now) {
  Output output;
  CheckPings(membership, now, output);
  CheckMembers(membership, now, output);
  if (now < membership.probe_deadline) {
    return output;
  }
  membership.probe_deadline = now + kProbeInterval;
  if (auto target = NextProbeTarget(membership)) {
    SendPing(membership, membership.members[*target], 0, 0, now, output);
  }
  return output;
}

Output OnProbe(Membership& membership,
               const Probe& probe,
               Endpoint from,
               Instant now) {
  Output output;
  bool is_new_incarnation = IsNewIncarnation(membership, probe);
  for (const auto& update : probe.updates) {
    ApplyUpdate(membership, update, now, output);
  }
  RequeueSenderUpdate(membership, probe);
  switch (probe.kind) {
    case ProbeKind::kPing: {
      auto ack = MakeProbe(membership, ProbeKind::kAck, probe.sequence);
      bool is_snapshot_due = ack.view_digest != probe.view_digest &&
                             now >= membership.snapshot_deadline;
      if (is_new_incarnation || is_snapshot_due) {
        membership.snapshot_deadline = now + kMinSnapshotInterval;
        ack.updates = Snapshot(membership);
      }
      output.probes.push_back({from, std::move(ack)});
      break;
    }
    case ProbeKind::kAck:
      OnAck(membership, probe, output);
      break;
    case ProbeKind::kPingRequest: {
      auto it = membership.members.find(probe.subject);
      if (it != membership.members.end()) {
        SendPing(membership, it->second, probe.from, probe.sequence, now,
                 output);
      }
      break;
    }
    case ProbeKind::kLeave:
      break;
  }
  return output;
}

Output ApplyUpdates(Membership& membership,
                    std::span<const MemberUpdate> updates,
                    Instant now) {
  Output output;
  for (const auto& update : updates) {
    ApplyUpdate(membership, update, now, output);
  }
  return output;
}

Output Leave(Membership& membership, Instant now) {
  Output output;
  membership.is_leaving = true;
  output.view_changed = true;
  membership.probe_deadline = now;
  for (const auto& [id, member] : membership.members) {
    if (!IsPresumedAlive(member)) {
      continue;
    }
    auto probe = MakeProbe(membership, ProbeKind::kLeave, 0);
    probe.updates = {SelfUpdate(membership)};
    output.probes.push_back({member.latest_update.host.peer, std::move(probe)});
  }
  return output;
}

std::vector<MemberUpdate> Snapshot(const Membership& membership) {
  std::vector<MemberUpdate> updates{SelfUpdate(membership)};
  for (const auto& [id, member] : membership.members) {
    updates.push_back(member.latest_update);
  }
  return updates;
}

Instant NextDeadline(const Membership& membership) {
  Instant next = membership.probe_deadline;
  for (const auto& ping : membership.pings) {
    if (!ping.is_indirect_sent) {
      next = std::min(next, ping.indirect_deadline);
    }
    next = std::min(next, ping.fail_deadline);
  }
  for (const auto& [id, member] : membership.members) {
    if (member.latest_update.state == MemberState::kSuspect) {
      next = std::min(next, member.suspect_deadline);
    }
  }
  return next;
}

}  // namespace acaciahold::membership
