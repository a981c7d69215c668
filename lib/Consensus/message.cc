// JSON encoding of messages and of the stored state.

#include "acaciahold/Consensus/message.h"

#include <boost/json.hpp>

#include "acaciahold/Json/decode.h"

namespace acaciahold::consensus {
namespace {

using json::Decode;
using json::EnumAt;
using json::NumberAt;

// Hosts of earlier versions don't write it, and ignore it.
constexpr const char* kMinVotersKey = "min_voters";

size_t DecodeMinVoters(const boost::json::object& object) {
  return object.contains(kMinVotersKey)
             ? NumberAt<size_t>(object, kMinVotersKey)
             : 0;
}

std::vector<Member> DecodeMembers(const boost::json::value& value) {
  std::vector<Member> members;
  for (const auto& it : value.as_array()) {
    const auto& object = it.as_object();
    auto packed = NumberAt<uint64_t>(object, "admin");
    members.push_back({NumberAt<ReplicaId>(object, "id"),
                       UnpackEndpoint(packed), object.at("is_voter").as_bool(),
                       NumberAt<uint64_t>(object, "instance")});
  }
  return members;
}

LogEntry DecodeEntry(const boost::json::value& value) {
  const auto& object = value.as_object();
  return {NumberAt<Index>(object, "index"), NumberAt<Term>(object, "term"),
          EnumAt(object, "kind", EntryKind::kMembers),
          std::string(object.at("payload").as_string()),
          DecodeMinVoters(object)};
}

Snapshot DecodeSnapshot(const boost::json::value& value) {
  const auto& object = value.as_object();
  return {NumberAt<Index>(object, "index"), NumberAt<Term>(object, "term"),
          DecodeMembers(object.at("members")),
          std::string(object.at("data").as_string()), DecodeMinVoters(object)};
}

HardState DecodeHardState(const boost::json::value& value) {
  const auto& object = value.as_object();
  HardState state;
  state.term = NumberAt<Term>(object, "term");
  state.voted_for = NumberAt<ReplicaId>(object, "voted_for");
  return state;
}

Message DecodeMessage(const boost::json::value& value) {
  const auto& object = value.as_object();
  Message message;
  message.kind = EnumAt(object, "kind", MessageKind::kTimeoutNow);
  message.from = NumberAt<ReplicaId>(object, "from");
  message.to = NumberAt<ReplicaId>(object, "to");
  message.instance = NumberAt<uint64_t>(object, "instance");
  message.term = NumberAt<Term>(object, "term");
  message.index = NumberAt<Index>(object, "index");
  message.log_term = NumberAt<Term>(object, "log_term");
  message.commit = NumberAt<Index>(object, "commit");
  message.read_round = NumberAt<uint64_t>(object, "round");
  message.granted = object.at("granted").as_bool();
  if (const auto* entries = object.if_contains("entries")) {
    for (const auto& it : entries->as_array()) {
      message.entries.push_back(DecodeEntry(it));
    }
  }
  if (const auto* snapshot = object.if_contains("snapshot")) {
    message.snapshot = DecodeSnapshot(*snapshot);
  }
  return message;
}

}  // namespace

boost::json::value ToJson(const std::vector<Member>& members) {
  boost::json::array array;
  for (const auto& member : members) {
    array.push_back({{"id", member.id},
                     {"admin", PackEndpoint(member.endpoint)},
                     {"is_voter", member.is_voter},
                     {"instance", member.instance}});
  }
  return array;
}

boost::json::value ToJson(const LogEntry& entry) {
  boost::json::object object{{"index", entry.index},
                             {"term", entry.term},
                             {"kind", static_cast<int>(entry.kind)},
                             {"payload", entry.payload}};
  if (entry.kind == EntryKind::kMembers) {
    object[kMinVotersKey] = entry.min_voters;
  }
  return object;
}

boost::json::value ToJson(const HardState& state) {
  return {{"term", state.term}, {"voted_for", state.voted_for}};
}

boost::json::value ToJson(const Snapshot& snapshot) {
  return {{"index", snapshot.index},
          {"term", snapshot.term},
          {"members", ToJson(snapshot.members)},
          {"data", snapshot.data},
          {kMinVotersKey, snapshot.min_voters}};
}

boost::json::value ToJson(const Message& message) {
  boost::json::object object{{"kind", static_cast<int>(message.kind)},
                             {"from", message.from},
                             {"to", message.to},
                             {"instance", message.instance},
                             {"term", message.term},
                             {"index", message.index},
                             {"log_term", message.log_term},
                             {"commit", message.commit},
                             {"round", message.read_round},
                             {"granted", message.granted}};
  if (!message.entries.empty()) {
    boost::json::array entries;
    for (const auto& entry : message.entries) {
      entries.push_back(ToJson(entry));
    }
    object["entries"] = std::move(entries);
  }
  if (message.kind == MessageKind::kSnapshot) {
    object["snapshot"] = ToJson(message.snapshot);
  }
  return object;
}

Result<Message> MessageFromJson(const boost::json::value& value) {
  return Decode([&] { return DecodeMessage(value); });
}

Result<LogEntry> EntryFromJson(const boost::json::value& value) {
  return Decode([&] { return DecodeEntry(value); });
}

Result<HardState> HardStateFromJson(const boost::json::value& value) {
  return Decode([&] { return DecodeHardState(value); });
}

Result<Snapshot> SnapshotFromJson(const boost::json::value& value) {
  return Decode([&] { return DecodeSnapshot(value); });
}

Result<std::vector<Member>> MembersFromJson(const boost::json::value& value) {
  return Decode([&] { return DecodeMembers(value); });
}

}  // namespace acaciahold::consensus
