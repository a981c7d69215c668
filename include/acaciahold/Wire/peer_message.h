// Messages between entry hosts and their protobuf encoding. The decoding
// functions return nothing if the bytes are not a well-formed message.

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

// Notices are split into batches of about this encoded size, so that each fits
// one datagram.
inline constexpr size_t kDatagramBytes = 1'200;

// A membership probe, with the data that entry hosts compare and spread by
// gossip.
struct Gossip {
  membership::Probe probe;
  uint64_t table_revision = 0;
  uint64_t registry_digest = 0;
  std::vector<upstream::Record> upstreams;  // Changed records.
};

// A caller's packet that one entry host passes to the host that decides on it.
struct PassedPacket {
  uint32_t hops = 0;  // Number of entry hosts that passed the packet on.
  // The receiver is asked to decide in place of the bucket's owner.
  bool is_acting = false;
  Endpoint fabric;    // Where the packet came from; a refusal is sent there.
  uint64_t view = 0;  // Plan::view of the sender.
  std::span<const std::byte> inner;
};

struct NoticeBatch {
  uint64_t sequence = 0;
  membership::HostId from = 0;
  uint64_t incarnation = 0;  // Of `from`.
  std::vector<steering::BucketNotice> notices;
};

struct NoticeAck {
  uint64_t sequence = 0;
  uint64_t incarnation = 0;  // Copied from the batch.
};

// One host's share reports to a coordinator or backup. A renewal extends the
// leases of the sender's other shares that the receiver coordinates.
struct ShareReports {
  membership::HostId host = 0;
  uint64_t incarnation = 0;
  std::vector<admission::ShareReport> reports;
  // XOR of RenewalHash() of the renewed shares.
  uint64_t renewal = 0;
  uint64_t renewal_number = 0;  // 0 for no renewal.
};

// The receiver's answer to ShareReports.
struct ShareGrants {
  membership::HostId host = 0;
  uint64_t incarnation = 0;  // Of `host`, which receives the grants.
  std::vector<admission::ShareGrant> grants;
  // Number of the renewal that is answered; 0 for none.
  uint64_t renewed_number = 0;
  // The leases were extended. If false, the host must report each share.
  bool is_renewed = false;
};

// An upstream's announcement that the entry host which received it forwards to
// the upstream's coordinator.
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

// The state that a host pulls from a peer after it became the owner or backup
// of buckets.
struct Handoff {
  std::vector<steering::BucketNotice> buckets;
  std::vector<LedgerState> ledgers;
  // Ids of services that the peer holds and that are not new.
  std::vector<uint64_t> held_services;
};

std::string Encode(const PeerMessage& message);

// PassedPacket::inner of the result points into `storage`.
std::optional<PeerMessage> Decode(std::span<const std::byte> bytes,
                                  std::string& storage);

std::string EncodeHandoff(const Handoff& handoff);
std::optional<Handoff> DecodeHandoff(std::string_view bytes);

}  // namespace acaciahold::wire

#endif  // ACACIAHOLD_WIRE_PEER_MESSAGE_H_
