// Encoding of messages between entry hosts by protobuf.

#include "acaciahold/Wire/peer_message.h"

#include "peer.pb.h"

namespace acaciahold::wire {
namespace {

using steering::BucketNotice;

constexpr uint32_t kLastProbeKind =
    static_cast<uint32_t>(membership::ProbeKind::kLeave);
constexpr uint32_t kLastMemberState =
    static_cast<uint32_t>(membership::MemberState::kLeft);
constexpr uint32_t kLastPhase = static_cast<uint32_t>(upstream::Phase::kGone);

void Fill(pb::Host& to, const membership::HostRecord& host) {
  to.set_id(host.id);
  to.set_name(host.name);
  to.set_failure_domain(host.failure_domain);
  to.set_peer(PackEndpoint(host.peer));
  to.set_admin(PackEndpoint(host.admin));
  to.set_incarnation(host.incarnation);
}

membership::HostRecord Read(const pb::Host& host) {
  return {host.id(),
          host.name(),
          host.failure_domain(),
          UnpackEndpoint(host.peer()),
          UnpackEndpoint(host.admin()),
          host.incarnation()};
}

void Fill(pb::UpstreamRecord& to, const upstream::Record& record) {
  to.set_service(record.announcement.service);
  to.set_endpoint(PackEndpoint(record.announcement.endpoint));
  to.set_failure_domain(record.announcement.failure_domain);
  to.set_slots(record.announcement.slots);
  to.set_connections(record.announcement.connections);
  to.set_incarnation(record.announcement.incarnation);
  to.set_phase(static_cast<uint32_t>(record.announcement.phase));
  to.set_sequence(record.sequence);
  to.set_ramp_step(record.ramp_step);
}

std::optional<upstream::Record> Read(const pb::UpstreamRecord& from) {
  if (from.phase() > kLastPhase) {
    return std::nullopt;
  }
  upstream::Record record;
  record.announcement = {from.service(),
                         UnpackEndpoint(from.endpoint()),
                         from.failure_domain(),
                         from.slots(),
                         from.connections(),
                         from.incarnation(),
                         static_cast<upstream::Phase>(from.phase())};
  record.sequence = from.sequence();
  record.ramp_step = from.ramp_step();
  if (!upstream::CheckAnnouncement(record.announcement).empty()) {
    return std::nullopt;
  }
  return record;
}

void Fill(pb::BucketNotice& to, const BucketNotice& notice) {
  to.set_service(notice.service);
  to.set_bucket(notice.bucket);
  to.set_version(notice.version);
  to.set_assigned(notice.assigned);
  to.set_is_idle(notice.is_idle);
  for (const auto& it : notice.added) {
    auto* exception = to.add_added();
    exception->set_fingerprint(it.fingerprint);
    exception->set_upstream(it.upstream);
  }
  for (uint64_t it : notice.removed) {
    to.add_removed(it);
  }
}

std::optional<BucketNotice> Read(const pb::BucketNotice& from) {
  if (from.bucket() >= steering::kBucketsPerService) {
    return std::nullopt;
  }
  BucketNotice notice;
  notice.service = from.service();
  notice.bucket = static_cast<uint16_t>(from.bucket());
  notice.version = from.version();
  notice.assigned = from.assigned();
  notice.is_idle = from.is_idle();
  for (const auto& it : from.added()) {
    notice.added.push_back({it.fingerprint(), it.upstream()});
  }
  notice.removed.assign(from.removed().begin(), from.removed().end());
  return notice;
}

void FillContent(pb::Datagram& datagram, const Gossip& gossip) {
  auto& to = *datagram.mutable_probe();
  const auto& probe = gossip.probe;
  to.set_kind(static_cast<uint32_t>(probe.kind));
  to.set_from(probe.from);
  to.set_from_incarnation(probe.from_incarnation);
  to.set_sequence(probe.sequence);
  to.set_subject(probe.subject);
  to.set_view_digest(probe.view_digest);
  to.set_table_revision(gossip.table_revision);
  to.set_registry_digest(gossip.registry_digest);
  for (const auto& it : probe.updates) {
    auto* update = to.add_updates();
    Fill(*update->mutable_host(), it.host);
    update->set_state(static_cast<uint32_t>(it.state));
    update->set_refutation(it.refutation);
  }
  for (const auto& it : gossip.upstreams) {
    Fill(*to.add_upstreams(), it);
  }
}

void FillContent(pb::Datagram& datagram, const PassedPacket& packet) {
  auto& to = *datagram.mutable_packet();
  to.set_hops(packet.hops);
  to.set_is_acting(packet.is_acting);
  to.set_fabric(PackEndpoint(packet.fabric));
  to.set_view(packet.view);
  to.set_inner(packet.inner.data(), packet.inner.size());
}

void FillContent(pb::Datagram& datagram, const NoticeBatch& batch) {
  auto& to = *datagram.mutable_notices();
  to.set_sequence(batch.sequence);
  to.set_from(batch.from);
  to.set_incarnation(batch.incarnation);
  for (const auto& it : batch.notices) {
    Fill(*to.add_notices(), it);
  }
}

void FillContent(pb::Datagram& datagram, const NoticeAck& ack) {
  datagram.mutable_notice_ack()->set_sequence(ack.sequence);
  datagram.mutable_notice_ack()->set_incarnation(ack.incarnation);
}

void FillContent(pb::Datagram& datagram, const ShareReports& reports) {
  auto& to = *datagram.mutable_reports();
  to.set_host(reports.host);
  to.set_incarnation(reports.incarnation);
  to.set_renewal(reports.renewal);
  to.set_renewal_number(reports.renewal_number);
  for (const auto& it : reports.reports) {
    auto* report = to.add_reports();
    report->set_service(it.service);
    report->set_upstream(it.upstream);
    report->set_sequence(it.sequence);
    report->set_held(it.held);
    report->set_open(it.open);
    report->set_wanted(it.wanted);
    report->set_successes(it.successes);
    report->set_failures(it.failures);
    report->set_is_record(it.is_record);
  }
}

void FillContent(pb::Datagram& datagram, const ShareGrants& grants) {
  auto& to = *datagram.mutable_grants();
  to.set_host(grants.host);
  to.set_incarnation(grants.incarnation);
  to.set_renewed_number(grants.renewed_number);
  to.set_is_renewed(grants.is_renewed);
  for (const auto& it : grants.grants) {
    auto* grant = to.add_grants();
    grant->set_service(it.service);
    grant->set_upstream(it.upstream);
    grant->set_sequence(it.sequence);
    grant->set_total(it.total);
    grant->set_is_exhausted(it.is_exhausted);
    grant->set_is_record(it.is_record);
  }
}

void FillContent(pb::Datagram& datagram, const ForwardedAnnouncement& word) {
  upstream::Record record;
  record.announcement = word.announcement;
  Fill(*datagram.mutable_announcement(), record);
}

std::optional<PeerMessage> ReadContent(const pb::Probe& from) {
  if (from.kind() > kLastProbeKind) {
    return std::nullopt;
  }
  Gossip gossip;
  gossip.probe.kind = static_cast<membership::ProbeKind>(from.kind());
  gossip.probe.from = from.from();
  gossip.probe.from_incarnation = from.from_incarnation();
  gossip.probe.sequence = from.sequence();
  gossip.probe.subject = from.subject();
  gossip.probe.view_digest = from.view_digest();
  gossip.table_revision = from.table_revision();
  gossip.registry_digest = from.registry_digest();
  for (const auto& it : from.updates()) {
    if (it.state() > kLastMemberState) {
      return std::nullopt;
    }
    gossip.probe.updates.push_back(
        {Read(it.host()), static_cast<membership::MemberState>(it.state()),
         it.refutation()});
  }
  for (const auto& it : from.upstreams()) {
    auto record = Read(it);
    if (!record) {
      return std::nullopt;
    }
    gossip.upstreams.push_back(std::move(*record));
  }
  return gossip;
}

std::optional<PeerMessage> ReadContent(const pb::NoticeBatch& from) {
  NoticeBatch batch;
  batch.sequence = from.sequence();
  batch.from = from.from();
  batch.incarnation = from.incarnation();
  for (const auto& it : from.notices()) {
    auto notice = Read(it);
    if (!notice) {
      return std::nullopt;
    }
    batch.notices.push_back(std::move(*notice));
  }
  return batch;
}

PeerMessage ReadContent(const pb::ShareReports& from) {
  ShareReports reports;
  reports.host = from.host();
  reports.incarnation = from.incarnation();
  reports.renewal = from.renewal();
  reports.renewal_number = from.renewal_number();
  for (const auto& it : from.reports()) {
    admission::ShareReport report;
    report.host = from.host();
    report.incarnation = from.incarnation();
    report.service = it.service();
    report.upstream = it.upstream();
    report.sequence = it.sequence();
    report.held = it.held();
    report.open = it.open();
    report.wanted = it.wanted();
    report.successes = it.successes();
    report.failures = it.failures();
    report.is_record = it.is_record();
    reports.reports.push_back(report);
  }
  return reports;
}

PeerMessage ReadContent(const pb::ShareGrants& from) {
  ShareGrants grants;
  grants.host = from.host();
  grants.incarnation = from.incarnation();
  grants.renewed_number = from.renewed_number();
  grants.is_renewed = from.is_renewed();
  for (const auto& it : from.grants()) {
    grants.grants.push_back({it.service(), it.upstream(), from.host(),
                             it.sequence(), it.total(), it.is_exhausted(),
                             it.is_record()});
  }
  return grants;
}

std::optional<PeerMessage> ReadPacket(const pb::PassedPacket& from,
                                      std::string& storage) {
  storage = from.inner();
  PassedPacket packet;
  packet.hops = from.hops();
  packet.is_acting = from.is_acting();
  packet.fabric = UnpackEndpoint(from.fabric());
  packet.view = from.view();
  packet.inner = std::as_bytes(std::span(storage));
  return packet;
}

void Fill(pb::LedgerState& to, const LedgerState& state) {
  to.set_service(state.service);
  to.set_upstream(state.upstream);
  for (const auto& [host, it] : state.ledger.entries) {
    auto* entry = to.add_entries();
    entry->set_host(host);
    entry->set_incarnation(it.incarnation);
    entry->set_sequence(it.sequence);
    entry->set_amount(it.amount);
    entry->set_held(it.held);
  }
  for (const auto& [life, it] : state.ledger.frozen) {
    auto* frozen = to.add_frozen();
    frozen->set_host(life.host);
    frozen->set_incarnation(life.incarnation);
    frozen->set_amount(it.amount);
    frozen->set_release_ms(ToUnixMillis(it.release_deadline));
  }
}

LedgerState Read(const pb::LedgerState& from) {
  LedgerState state;
  state.service = from.service();
  state.upstream = from.upstream();
  for (const auto& it : from.entries()) {
    state.ledger.entries[it.host()] = {it.incarnation(), it.sequence(),
                                       it.amount(),      it.held(),
                                       Instant(),        false};
  }
  for (const auto& it : from.frozen()) {
    state.ledger.frozen[{it.host(), it.incarnation()}] = {
        it.amount(), FromUnixMillis(it.release_ms())};
  }
  return state;
}

}  // namespace

std::string Encode(const PeerMessage& message) {
  pb::Datagram datagram;
  std::visit([&](const auto& content) { FillContent(datagram, content); },
             message);
  return datagram.SerializeAsString();
}

std::optional<PeerMessage> Decode(std::span<const std::byte> bytes,
                                  std::string& storage) {
  pb::Datagram datagram;
  if (!datagram.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  switch (datagram.content_case()) {
    case pb::Datagram::kProbe:
      return ReadContent(datagram.probe());
    case pb::Datagram::kPacket:
      return ReadPacket(datagram.packet(), storage);
    case pb::Datagram::kNotices:
      return ReadContent(datagram.notices());
    case pb::Datagram::kNoticeAck:
      return NoticeAck{datagram.notice_ack().sequence(),
                       datagram.notice_ack().incarnation()};
    case pb::Datagram::kReports:
      return ReadContent(datagram.reports());
    case pb::Datagram::kGrants:
      return ReadContent(datagram.grants());
    case pb::Datagram::kAnnouncement: {
      auto record = Read(datagram.announcement());
      if (!record) {
        return std::nullopt;
      }
      return ForwardedAnnouncement{record->announcement};
    }
    case pb::Datagram::CONTENT_NOT_SET:
      return std::nullopt;
  }
  return std::nullopt;
}

std::string EncodeHandoff(const Handoff& handoff) {
  pb::Handoff to;
  for (uint64_t it : handoff.held_services) {
    to.add_held_services(it);
  }
  for (const auto& it : handoff.buckets) {
    Fill(*to.add_buckets(), it);
  }
  for (const auto& it : handoff.ledgers) {
    Fill(*to.add_ledgers(), it);
  }
  return to.SerializeAsString();
}

std::optional<Handoff> DecodeHandoff(std::string_view bytes) {
  pb::Handoff from;
  if (!from.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  Handoff handoff;
  handoff.held_services.assign(from.held_services().begin(),
                               from.held_services().end());
  for (const auto& it : from.buckets()) {
    auto notice = Read(it);
    if (!notice) {
      return std::nullopt;
    }
    handoff.buckets.push_back(std::move(*notice));
  }
  for (const auto& it : from.ledgers()) {
    handoff.ledgers.push_back(Read(it));
  }
  return handoff;
}

}  // namespace acaciahold::wire
