// Protobuf encoding of control hosts' messages.

#include "acaciahold/Wire/control_message.h"

#include <map>
#include <utility>

#include "load_message.h"
#include "news.pb.h"

namespace acaciahold::wire {
namespace {

constexpr uint32_t kLastPhase = static_cast<uint32_t>(directory::Phase::kGone);

// Adds the names of services and failure domains to the message's list, each
// one once. Records refer to a name by its index.
class NameTable {
 public:
  explicit NameTable(news::RecordList& list) : list_(list) {}

  uint32_t IndexOf(const std::string& name) {
    auto [it, is_new] = positions_.try_emplace(name, list_.names_size());
    if (is_new) {
      list_.add_names(name);
    }
    return it->second;
  }

 private:
  news::RecordList& list_;
  std::map<std::string_view, uint32_t> positions_;
};

void Fill(news::Message& to, const Document& document) {
  to.set_document(document.text);
}

void Fill(news::Message& to, const UpstreamRecords& records) {
  auto& list = *to.mutable_records();
  NameTable names(list);
  for (const auto& record : records.records) {
    auto& it = *list.add_records();
    it.set_id(record.id);
    it.set_service(names.IndexOf(record.service));
    it.set_failure_domain(names.IndexOf(record.failure_domain));
    it.set_endpoint(PackEndpoint(record.endpoint));
    it.set_slots(record.slots);
    it.set_phase(static_cast<uint32_t>(record.phase));
    it.set_born_ms(static_cast<uint64_t>(record.born_ms));
    it.set_sequence(record.sequence);
    it.set_cold_ms(record.cold_ms);
  }
  list.set_is_whole(records.is_whole);
}

void Fill(news::Message& to, const RefreshNotices& refreshes) {
  auto& list = *to.mutable_refreshes();
  for (const auto& it : refreshes.notices) {
    list.add_ids(it.id);
    list.add_born_ms(static_cast<uint64_t>(it.born_ms));
    list.add_sequences(it.sequence);
    list.add_phases(static_cast<uint32_t>(it.phase));
  }
}

void Fill(news::Message& to, const SilentUpstreams& silences) {
  auto& ids = *to.mutable_silences()->mutable_ids();
  ids.Add(silences.ids.begin(), silences.ids.end());
}

void Fill(news::Message& to, const SuspectedUpstreams& suspects) {
  auto& ids = *to.mutable_suspects()->mutable_ids();
  ids.Add(suspects.ids.begin(), suspects.ids.end());
}

void Fill(news::RouteTerms& to, const catalog::RouteTerms& terms) {
  to.set_repetition(static_cast<uint32_t>(terms.repetition));
  to.set_timeout_ms(terms.timeout_ms);
  to.set_latency_objective_ms(terms.latency_objective_ms);
  if (terms.priority) {
    to.set_priority(*terms.priority);
  }
}

void Fill(news::Message& to, const catalog::ViewChange& change) {
  auto& it = *to.mutable_view_change();
  it.set_base_revision(change.base_revision);
  it.set_revision(change.revision);
  it.set_version(change.version);
  it.set_idle_timeout_ms(change.idle_timeout_ms);
  it.set_listeners_with_terms(change.listeners_with_terms);
  for (const auto& endpoint : change.removed_listeners) {
    it.add_removed_listeners(PackEndpoint(endpoint));
  }
  for (const auto& listener : change.listeners) {
    auto& added = *it.add_listeners();
    added.set_name(listener.name);
    added.set_endpoint(PackEndpoint(listener.endpoint));
    for (const auto& target : listener.targets) {
      auto& added_target = *added.add_targets();
      added_target.set_service(target.service);
      added_target.set_weight(target.weight);
    }
    if (listener.terms != catalog::RouteTerms()) {
      Fill(*added.mutable_terms(), listener.terms);
    }
  }
  for (const auto& name : change.removed_services) {
    it.add_removed_services(name);
  }
  for (const auto& service : change.services) {
    auto& added = *it.add_services();
    added.set_name(service.name);
    added.set_cold_flows_per_second(service.cold_flows_per_second);
  }
  for (const auto& domain : change.domains_out) {
    it.add_domains_out(domain);
  }
}

void Fill(news::Message& to, const load::LoadReport& report) {
  FillReport(*to.mutable_load_report(), report);
}

void Fill(news::Message& to, const load::LoadSums& sums) {
  FillSums(*to.mutable_load_sums(), sums);
}

void Fill(news::Message& to, const load::LoadDigest& digest) {
  FillDigest(*to.mutable_load_digest(), digest);
}

std::optional<ControlMessage> ReadRecords(const news::RecordList& list) {
  UpstreamRecords records;
  records.is_whole = list.is_whole();
  records.records.reserve(list.records_size());
  auto n = static_cast<uint32_t>(list.names_size());
  for (const auto& it : list.records()) {
    if (it.service() >= n || it.failure_domain() >= n ||
        it.phase() > kLastPhase) {
      return std::nullopt;
    }
    auto& record = records.records.emplace_back();
    record.id = it.id();
    record.service = list.names(static_cast<int>(it.service()));
    record.failure_domain = list.names(static_cast<int>(it.failure_domain()));
    record.endpoint = UnpackEndpoint(it.endpoint());
    record.slots = it.slots();
    record.phase = static_cast<directory::Phase>(it.phase());
    record.born_ms = static_cast<int64_t>(it.born_ms());
    record.sequence = it.sequence();
    record.cold_ms = it.cold_ms();
  }
  return records;
}

std::optional<ControlMessage> ReadRefreshes(const news::RefreshList& list) {
  bool have_equal_sizes = list.ids_size() == list.born_ms_size() &&
                          list.ids_size() == list.sequences_size() &&
                          list.ids_size() == list.phases_size();
  if (!have_equal_sizes) {
    return std::nullopt;
  }
  RefreshNotices refreshes;
  for (int i = 0; i < list.ids_size(); ++i) {
    if (list.phases(i) > kLastPhase) {
      return std::nullopt;
    }
    refreshes.notices.push_back(
        {list.ids(i), static_cast<int64_t>(list.born_ms(i)), list.sequences(i),
         static_cast<directory::Phase>(list.phases(i))});
  }
  return refreshes;
}

// A repetition that only a later version knows counts as unknown.
catalog::RouteTerms ReadTerms(const news::RouteTerms& from) {
  constexpr auto kLast =
      static_cast<uint32_t>(catalog::Repetition::kAtMostOnce);
  catalog::RouteTerms terms;
  if (from.repetition() <= kLast) {
    terms.repetition = static_cast<catalog::Repetition>(from.repetition());
  }
  terms.timeout_ms = from.timeout_ms();
  terms.latency_objective_ms = from.latency_objective_ms();
  if (from.has_priority()) {
    terms.priority = from.priority();
  }
  return terms;
}

catalog::Listener ReadListener(const news::Listener& from) {
  catalog::Listener listener;
  listener.name = from.name();
  listener.endpoint = UnpackEndpoint(from.endpoint());
  for (const auto& target : from.targets()) {
    listener.targets.push_back({target.service(), target.weight()});
  }
  listener.terms = ReadTerms(from.terms());
  return listener;
}

std::optional<ControlMessage> ReadViewChange(const news::ViewChange& from) {
  catalog::ViewChange change;
  change.base_revision = from.base_revision();
  change.revision = from.revision();
  change.version = from.version();
  change.idle_timeout_ms = from.idle_timeout_ms();
  change.listeners_with_terms = from.listeners_with_terms();
  for (auto endpoint : from.removed_listeners()) {
    change.removed_listeners.push_back(UnpackEndpoint(endpoint));
  }
  for (const auto& listener : from.listeners()) {
    if (listener.targets_size() == 0) {
      return std::nullopt;
    }
    change.listeners.push_back(ReadListener(listener));
  }
  change.removed_services.assign(from.removed_services().begin(),
                                 from.removed_services().end());
  for (const auto& service : from.services()) {
    change.services.push_back(
        {service.name(), service.cold_flows_per_second()});
  }
  change.domains_out.insert(from.domains_out().begin(),
                            from.domains_out().end());
  return change;
}

std::vector<directory::UpstreamId> ReadIds(const news::UpstreamList& list) {
  return {list.ids().begin(), list.ids().end()};
}

}  // namespace

std::string EncodeControlMessage(const ControlMessage& message) {
  news::Message to;
  std::visit([&](const auto& it) { Fill(to, it); }, message);
  return to.SerializeAsString();
}

std::optional<ControlMessage> DecodeControlMessage(std::string_view bytes) {
  news::Message message;
  if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    return std::nullopt;
  }
  switch (message.part_case()) {
    case news::Message::kDocument:
      return Document{std::move(*message.mutable_document())};
    case news::Message::kRecords:
      return ReadRecords(message.records());
    case news::Message::kRefreshes:
      return ReadRefreshes(message.refreshes());
    case news::Message::kSilences:
      return SilentUpstreams{ReadIds(message.silences())};
    case news::Message::kSuspects:
      return SuspectedUpstreams{ReadIds(message.suspects())};
    case news::Message::kViewChange:
      return ReadViewChange(message.view_change());
    case news::Message::kLoadReport:
      return ReadReport(message.load_report());
    case news::Message::kLoadSums:
      return ReadSums(message.load_sums());
    case news::Message::kLoadDigest:
      return ReadDigest(message.load_digest());
    case news::Message::PART_NOT_SET:
      break;
  }
  return std::nullopt;
}

}  // namespace acaciahold::wire
