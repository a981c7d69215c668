// Datagrams between entry hosts: typed messages and their encoding. Decoding
// returns nothing for bytes that are no well-formed message.

#ifndef ACACIAHOLD_WIRE_PEER_MESSAGE_H_
#define ACACIAHOLD_WIRE_PEER_MESSAGE_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "acaciahold/Admission/ledger.h"
#include "acaciahold/Admission/share.h"
#include "acaciahold/Membership/membership.h"
#include "acaciahold/Steering/flow_shard.h"
#include "acaciahold/Upstream/registry.h"

namespace acaciahold::wire {

// Notices are cut into datagrams of about this size.
inline constexpr size_t kDatagramBytes = 1'200;

// A probe, and with it what peers compare and pass on.
struct Gossip {
  membership::Probe probe;
  uint64_t table_revision = 0;
  uint64_t registry_digest = 0;
  std::vector<upstream::Record> upstreams;
};

// A caller's packet on its way to the host that decides.
struct PassedPacket {
  uint32_t hops = 0;
  bool is_acting = false;
  Endpoint fabric;    // Where a refusal is returned to.
  uint64_t view = 0;  // Of the host that passes it on.
  std::span<const std::byte> inner;
};

struct NoticeBatch {
  uint64_t sequence = 0;
  membership::HostId from = 0;
  uint64_t incarnation = 0;  // Of the sender.
  std::vector<steering::BucketNotice> notices;
};

struct NoticeAck {
  uint64_t sequence = 0;
  uint64_t incarnation = 0;  // Of the sender of the batch.
};

// Reports of one host, and a renewal of those of its shares that the receiver
// coordinates and that are not reported.
struct ShareReports {
  membership::HostId host = 0;
  uint64_t incarnation = 0;
  std::vector<admission::ShareReport> reports;
  uint64_t renewal = 0;         // The XOR of the renewed shares' parts.
  uint64_t renewal_number = 0;  // 0 for no renewal.
};

struct ShareGrants {
  membership::HostId host = 0;
  uint64_t incarnation = 0;  // Of the host that is granted.
  std::vector<admission::ShareGrant> grants;
  uint64_t renewed_number = 0;  // Of the renewal that is answered; 0 for none.
  bool is_renewed = false;
};

// An upstream's word, sent on to its coordinator.
struct ForwardedAnnouncement {
  upstream::Announcement announcement;
};

using PeerMessage = std::variant<Gossip,
                                 PassedPacket,
                                 NoticeBatch,
                                 NoticeAck,
                                 ShareReports,
                                 ShareGrants,
                                 ForwardedAnnouncement>;

struct LedgerState {
  uint64_t service = 0;
  upstream::UpstreamId upstream = 0;
  admission::Ledger ledger;
};

// What a host pulls from a peer when it begins to answer for buckets.
struct Handoff {
  std::vector<steering::BucketNotice> buckets;
  std::vector<LedgerState> ledgers;
  std::vector<uint64_t> held_services;
};

std::string Encode(const PeerMessage& message);

// A passed packet's `inner` points into `storage`.
std::optional<PeerMessage> Decode(std::span<const std::byte> bytes,
                                  std::string& storage);

std::string EncodeHandoff(const Handoff& handoff);
std::optional<Handoff> DecodeHandoff(std::string_view bytes);

}  // namespace acaciahold::wire

#endif  // ACACIAHOLD_WIRE_PEER_MESSAGE_H_
