// Probing, suspicion and spreading of news between entry hosts.

#include "acaciahold/Membership/membership.h"

#include <algorithm>
#include <bit>
#include <tuple>

#include "acaciahold/Support/hash.h"

namespace acaciahold::membership {
namespace {

bool IsReachable(const Member& member) {
  return member.known.state == MemberState::kAlive ||
         member.known.state == MemberState::kSuspect;
}

uint32_t SendsFor(const Membership& membership) {
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
    digest ^= HashUpdate(member.known);
  }
  return digest;
}

// The newest news first taken, so that a burst is spread evenly.
std::vector<MemberUpdate> TakeUpdates(Membership& membership) {
  std::vector<MemberUpdate> updates;
  if (membership.self_sends_left > 0) {
    --membership.self_sends_left;
    updates.push_back(SelfUpdate(membership));
  }
  std::vector<Member*> waiting;
  for (auto& [id, member] : membership.members) {
    if (member.sends_left > 0) {
      waiting.push_back(&member);
    }
  }
  std::sort(waiting.begin(), waiting.end(),
            [](auto* a, auto* b) { return a->sends_left > b->sends_left; });
  for (auto* member : waiting) {
    if (updates.size() == kMaxUpdatesPerMessage) {
      break;
    }
    --member->sends_left;
    updates.push_back(member->known);
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
  member.known.state = state;
  member.sends_left = SendsFor(membership);
  member.suspect_deadline = now + kSuspicionTimeout;
  member.forget_deadline = now + kForgetTimeout;
  output.view_changed = true;
}

// News of this host itself: refutes it where it is wrong.
void LearnOfSelf(Membership& membership,
                 const MemberUpdate& update,
                 Output& output) {
  if (update.host.incarnation > membership.self.incarnation) {
    // An earlier life had a later clock; this life goes above it.
    membership.self.incarnation = update.host.incarnation + 1;
    membership.refutation = 0;
  } else if (update.host.incarnation == membership.self.incarnation &&
             update.state != MemberState::kAlive && !membership.is_leaving &&
             update.refutation >= membership.refutation) {
    membership.refutation = update.refutation + 1;
  } else {
    return;
  }
  membership.self_sends_left = SendsFor(membership);
  output.view_changed = true;
}

void LearnOne(Membership& membership,
              const MemberUpdate& update,
              Instant now,
              Output& output) {
  if (update.host.id == membership.self.id) {
    LearnOfSelf(membership, update, output);
    return;
  }
  auto it = membership.members.find(update.host.id);
  if (it == membership.members.end()) {
    it = membership.members.emplace(update.host.id, Member{}).first;
  } else if (Precedence(update) <= Precedence(it->second.known)) {
    return;
  }
  it->second.known = update;
  SetState(membership, it->second, update.state, now, output);
}

std::optional<HostId> NextTarget(Membership& membership) {
  while (true) {
    while (!membership.probe_order.empty()) {
      HostId id = membership.probe_order.back();
      membership.probe_order.pop_back();
      auto it = membership.members.find(id);
      if (it != membership.members.end() &&
          it->second.known.state != MemberState::kLeft) {
        return id;
      }
    }
    for (const auto& [id, member] : membership.members) {
      // Dead members are probed too, at the same pace: that is how both sides
      // of a healed partition find each other again.
      if (member.known.state != MemberState::kLeft) {
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
              HostId on_behalf_of,
              uint64_t their_sequence,
              Instant now,
              Output& output) {
  OutstandingPing ping;
  ping.sequence = membership.next_sequence++;
  ping.target = target.known.host.id;
  ping.on_behalf_of = on_behalf_of;
  ping.their_sequence = their_sequence;
  ping.indirect_deadline = now + kAckTimeout;
  ping.fail_deadline = now + kProbeInterval;
  membership.pings.push_back(ping);
  output.probes.push_back(
      {target.known.host.peer,
       MakeProbe(membership, ProbeKind::kPing, ping.sequence)});
}

void AskOthers(Membership& membership, OutstandingPing& ping, Output& output) {
  ping.is_indirect_sent = true;
  std::vector<const Member*> helpers;
  for (const auto& [id, member] : membership.members) {
    if (id != ping.target && member.known.state == MemberState::kAlive) {
      helpers.push_back(&member);
    }
  }
  std::shuffle(helpers.begin(), helpers.end(), membership.random);
  helpers.resize(std::min(helpers.size(), kIndirectProbes));
  for (const auto* helper : helpers) {
    auto probe = MakeProbe(membership, ProbeKind::kPingRequest, ping.sequence);
    probe.subject = ping.target;
    output.probes.push_back({helper->known.host.peer, std::move(probe)});
  }
}

void CheckPings(Membership& membership, Instant now, Output& output) {
  for (auto& ping : membership.pings) {
    if (ping.on_behalf_of == 0 && !ping.is_indirect_sent &&
        now >= ping.indirect_deadline) {
      AskOthers(membership, ping, output);
    }
    if (now < ping.fail_deadline || ping.on_behalf_of != 0) {
      continue;
    }
    auto it = membership.members.find(ping.target);
    if (it != membership.members.end() &&
        it->second.known.state == MemberState::kAlive) {
      SetState(membership, it->second, MemberState::kSuspect, now, output);
    }
  }
  std::erase_if(membership.pings, [&](const OutstandingPing& ping) {
    return now >= ping.fail_deadline;
  });
}

void CheckMembers(Membership& membership, Instant now, Output& output) {
  for (auto& [id, member] : membership.members) {
    if (member.known.state == MemberState::kSuspect &&
        now >= member.suspect_deadline) {
      SetState(membership, member, MemberState::kDead, now, output);
    }
  }
  std::erase_if(membership.members, [&](const auto& it) {
    return !IsReachable(it.second) && now >= it.second.forget_deadline;
  });
}

// A word from a member that counts as suspect or dead. The member itself will
// refute; until then it is told of the suspicion with the next probe.
void OnWordFrom(Membership& membership, const Probe& probe) {
  auto it = membership.members.find(probe.from);
  if (it == membership.members.end()) {
    return;
  }
  bool needs_refutation = it->second.known.state == MemberState::kSuspect ||
                          it->second.known.state == MemberState::kDead;
  if (needs_refutation) {
    it->second.sends_left = std::max(it->second.sends_left, 1U);
  }
}

// Whether the sender began its life unseen: it knows only its seeds then.
bool IsNewLife(const Membership& membership, const Probe& probe) {
  auto it = membership.members.find(probe.from);
  return it == membership.members.end() ||
         it->second.known.host.incarnation < probe.from_incarnation;
}

void OnAck(Membership& membership, const Probe& probe, Output& output) {
  auto it = std::find_if(
      membership.pings.begin(), membership.pings.end(),
      [&](const auto& ping) { return ping.sequence == probe.sequence; });
  if (it == membership.pings.end()) {
    return;
  }
  if (it->on_behalf_of != 0) {
    auto asker = membership.members.find(it->on_behalf_of);
    if (asker != membership.members.end()) {
      auto ack = MakeProbe(membership, ProbeKind::kAck, it->their_sequence);
      ack.subject = it->target;
      output.probes.push_back({asker->second.known.host.peer, std::move(ack)});
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
    membership.members[record.id].known.host = record;
  }
  membership.self_sends_left = SendsFor(membership);
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
  if (auto target = NextTarget(membership)) {
    SendPing(membership, membership.members[*target], 0, 0, now, output);
  }
  return output;
}

Output OnProbe(Membership& membership,
               const Probe& probe,
               Endpoint from,
               Instant now) {
  Output output;
  bool is_new_life = IsNewLife(membership, probe);
  for (const auto& update : probe.updates) {
    LearnOne(membership, update, now, output);
  }
  OnWordFrom(membership, probe);
  switch (probe.kind) {
    case ProbeKind::kPing: {
      auto ack = MakeProbe(membership, ProbeKind::kAck, probe.sequence);
      bool differs = ack.view_digest != probe.view_digest &&
                     now >= membership.snapshot_deadline;
      if (is_new_life || differs) {
        membership.snapshot_deadline = now + kSnapshotInterval;
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

Output Learn(Membership& membership,
             std::span<const MemberUpdate> updates,
             Instant now) {
  Output output;
  for (const auto& update : updates) {
    LearnOne(membership, update, now, output);
  }
  return output;
}

Output Leave(Membership& membership, Instant now) {
  Output output;
  membership.is_leaving = true;
  output.view_changed = true;
  membership.probe_deadline = now;
  for (const auto& [id, member] : membership.members) {
    if (!IsReachable(member)) {
      continue;
    }
    auto probe = MakeProbe(membership, ProbeKind::kLeave, 0);
    probe.updates = {SelfUpdate(membership)};
    output.probes.push_back({member.known.host.peer, std::move(probe)});
  }
  return output;
}

std::vector<MemberUpdate> Snapshot(const Membership& membership) {
  std::vector<MemberUpdate> updates{SelfUpdate(membership)};
  for (const auto& [id, member] : membership.members) {
    updates.push_back(member.known);
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
    if (member.known.state == MemberState::kSuspect) {
      next = std::min(next, member.suspect_deadline);
    }
  }
  return next;
}

}  // namespace acaciahold::membership
