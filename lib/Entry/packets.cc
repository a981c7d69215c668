// Handling of callers' packets in an entry host.

#include "entry_state.h"

namespace acaciahold::entry {
namespace {

using steering::Decision;
using steering::Verdict;

std::vector<std::byte> Copy(std::span<const std::byte> bytes) {
  return {bytes.begin(), bytes.end()};
}

// Sends a refusal to the caller through the fabric's endpoint from which the
// packet came, so that the caller need not wait for a timeout.
void Refuse(std::span<const std::byte> inner,
            Endpoint fabric,
            Actions& actions) {
  auto refusal = packet::BuildRefusal(inner);
  if (!refusal.empty() && fabric.port != 0) {
    actions.inner.push_back({fabric, std::move(refusal)});
  }
}

// Returns the service with this address in the shard's plan. Returns null if no
// service has the address or the shard has no plan yet.
const steering::ServicePlan* ServiceAt(const steering::FlowShard& shard,
                                       Endpoint address) {
  if (!shard.plan) {
    return nullptr;
  }
  auto it = shard.plan->by_address.find(PackEndpoint(address));
  if (it == shard.plan->by_address.end()) {
    return nullptr;
  }
  return shard.plan->services[it->second].get();
}

// Returns nothing if the packet's destination is not a known service.
std::optional<Decision> DecideInShard(Entry& entry,
                                      const packet::InnerPacket& parsed,
                                      const steering::FlowPacket& flow,
                                      Instant now) {
  auto index = steering::ShardOf(steering::BucketOf(flow.fingerprint));
  auto& shard = entry.shards[index];
  std::lock_guard lock(shard.mutex);
  const auto* service = ServiceAt(shard, parsed.key.service);
  if (!service) {
    return std::nullopt;
  }
  return steering::Decide(shard, *service, flow, now);
}

}  // namespace

void HandlePacket(Entry& entry,
                  std::span<const std::byte> inner,
                  Endpoint fabric,
                  uint32_t hops,
                  bool is_acting,
                  uint64_t sender_view,
                  Instant now,
                  Actions& actions) {
  auto& counters = entry.counters;
  auto parsed = packet::ParseInnerPacket(inner);
  if (const auto* fault = std::get_if<packet::PacketFault>(&parsed)) {
    ++counters.malformed[static_cast<size_t>(*fault)];
    return;
  }
  const auto& fields = std::get<packet::InnerPacket>(parsed);
  steering::FlowPacket flow;
  flow.fingerprint = packet::Fingerprint(fields.key);
  flow.opens = fields.opens;
  flow.closes = fields.closes;
  flow.is_tcp = fields.key.protocol == packet::Protocol::kTcp;
  flow.hops = hops;
  flow.is_acting = is_acting;
  flow.sender_view = sender_view;
  auto decision = DecideInShard(entry, fields, flow, now);
  if (!decision) {
    ++counters.unknown_service;
    return;
  }
  auto reason = static_cast<size_t>(decision->reason);
  switch (decision->verdict) {
    case Verdict::kForward:
      ++counters.forwarded;
      actions.inner.push_back({decision->to, Copy(inner)});
      return;
    case Verdict::kPassToPeer: {
      ++counters.passed;
      wire::PassedPacket passed{hops + 1, decision->to_acting_backup, fabric,
                                decision->view, inner};
      actions.datagrams.push_back({decision->to, wire::Encode(passed)});
      return;
    }
    case Verdict::kPark: {
      ++counters.parked;
      std::lock_guard lock(entry.control.mutex);
      ParkPacket(entry, *decision, inner, now);
      return;
    }
    case Verdict::kRefuse:
      ++counters.refused[reason];
      Refuse(inner, fabric, actions);
      return;
    case Verdict::kDrop:
      ++counters.dropped[reason];
      return;
  }
}

}  // namespace acaciahold::entry
