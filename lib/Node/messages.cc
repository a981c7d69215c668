// Encoding and decoding of the messages between hosts. Those without a
// compact encoding in wire::ControlMessage are JSON documents.

#include "acaciahold/Node/messages.h"

#include <type_traits>
#include <utility>

#include <boost/json.hpp>

#include "acaciahold/Json/decode.h"

namespace acaciahold::node {
namespace {

using boost::json::array;
using boost::json::object;
using boost::json::value;
using json::Decode;
using json::NumberAt;
using json::StringAt;

value EncodeDocument(const Hello& hello) {
  return {{"kind", "hello"},
          {"name", hello.name},
          {"is_control", hello.is_control},
          {"link", PackEndpoint(hello.link)},
          {"failure_domain", hello.failure_domain},
          {"revision", hello.revision},
          {"directory_digest", hello.directory_digest},
          {"understands_load", hello.understands_load},
          {"understands_flow_tags", hello.understands_flow_tags}};
}

value EncodeDocument(const LogMessage& message) {
  return {{"kind", "log"},
          {"from", PackEndpoint(message.from)},
          {"message", ToJson(message.message)}};
}

value EncodeDocument(const JoinMessage& message) {
  return {{"kind", "join"},
          {"id", message.request.id},
          {"instance", message.request.instance},
          {"endpoint", PackEndpoint(message.request.endpoint)}};
}

value EncodeDocument(const LeaveMessage& message) {
  return {{"kind", "leave"},
          {"id", message.id},
          {"from", PackEndpoint(message.from)}};
}

value EncodeDocument(const LeaveAnswerMessage& message) {
  return {{"kind", "leave_answer"}, {"is_member", message.is_member}};
}

value EncodeDocument(const ControlHosts& message) {
  array hosts;
  for (const auto& host : message.hosts) {
    hosts.push_back({{"link", PackEndpoint(host.link)},
                     {"failure_domain", host.failure_domain}});
  }
  return {{"kind", "hosts"}, {"hosts", std::move(hosts)}};
}

value EncodeDocument(const FeedStatus& message) {
  return {{"kind", "standing"}, {"is_current", message.is_current}};
}

value EncodeDocument(const EntryHosts& message) {
  array names;
  for (const auto& name : message.names) {
    names.emplace_back(name);
  }
  object document{{"kind", "entry_hosts"}, {"names", std::move(names)}};
  if (message.understand_flow_tags) {
    document["understand_flow_tags"] = *message.understand_flow_tags;
  }
  return document;
}

value EncodeDocument(const EntryHostCount& message) {
  return {
      {"kind", "entry_count"},
      {"count", message.count},
      {"flow_tag_support", static_cast<uint32_t>(message.flow_tag_support)}};
}

value EncodeDocument(const FailureReport& message) {
  array failures;
  for (const auto& it : message.failures) {
    failures.push_back({it.upstream, it.count});
  }
  return {{"kind", "troubles"}, {"troubles", std::move(failures)}};
}

value EncodeDocument(const ViewRequest& message) {
  return {{"kind", "view_request"}, {"revision", message.revision}};
}

value EncodeDocument(const SameDirectory&) {
  return {{"kind", "same_directory"}};
}

value EncodeDocument(const SyncComplete&) {
  return {{"kind", "complete"}};
}

// Returns the value, or throws std::invalid_argument if there is none. For use
// within Decode, which catches it.
template <typename T>
T ValueOrThrow(Result<T> result) {
  if (!result) {
    throw std::invalid_argument("consensus message can't be decoded");
  }
  return std::move(*result);
}

Endpoint DecodeEndpoint(const value& from) {
  return UnpackEndpoint(from.to_number<uint64_t>());
}

Message DecodeLog(const object& from) {
  return LogMessage{
      DecodeEndpoint(from.at("from")),
      ValueOrThrow(consensus::MessageFromJson(from.at("message")))};
}

Message DecodeJoin(const object& from) {
  return JoinMessage{{NumberAt<consensus::ReplicaId>(from, "id"),
                      NumberAt<uint64_t>(from, "instance"),
                      DecodeEndpoint(from.at("endpoint"))}};
}

Message DecodeFailureReport(const object& from) {
  FailureReport message;
  for (const auto& it : from.at("troubles").as_array()) {
    const auto& parts = it.as_array();
    message.failures.push_back({parts.at(0).to_number<directory::UpstreamId>(),
                                parts.at(1).to_number<uint32_t>()});
  }
  return message;
}

Message DecodeControlHosts(const object& from) {
  ControlHosts message;
  for (const auto& it : from.at("hosts").as_array()) {
    message.hosts.push_back({DecodeEndpoint(it.at("link")),
                             StringAt(it.as_object(), "failure_domain")});
  }
  return message;
}

Message DecodeEntryHosts(const object& from) {
  EntryHosts message;
  for (const auto& it : from.at("names").as_array()) {
    message.names.emplace_back(it.as_string());
  }
  if (const auto* it = from.if_contains("understand_flow_tags")) {
    message.understand_flow_tags = it->as_bool();
  }
  return message;
}

Message DecodeEntryHostCount(const object& from) {
  EntryHostCount message{NumberAt<uint32_t>(from, "count")};
  if (from.contains("flow_tag_support")) {
    auto support = NumberAt<uint32_t>(from, "flow_tag_support");
    if (support <= static_cast<uint32_t>(FlowTagSupport::kAll)) {
      message.flow_tag_support = static_cast<FlowTagSupport>(support);
    }
  }
  return message;
}

// Returns the field of a Hello, which hosts of earlier versions don't send.
bool Understands(const object& hello, std::string_view field) {
  const auto* it = hello.if_contains(field);
  return it && it->as_bool();
}

Message DecodeObject(const object& from) {
  auto kind = StringAt(from, "kind");
  if (kind == "hello") {
    return Hello{StringAt(from, "name"),
                 from.at("is_control").as_bool(),
                 DecodeEndpoint(from.at("link")),
                 StringAt(from, "failure_domain"),
                 NumberAt<uint64_t>(from, "revision"),
                 NumberAt<uint64_t>(from, "directory_digest"),
                 Understands(from, "understands_load"),
                 Understands(from, "understands_flow_tags")};
  }
  if (kind == "log") {
    return DecodeLog(from);
  }
  if (kind == "join") {
    return DecodeJoin(from);
  }
  if (kind == "leave") {
    return LeaveMessage{NumberAt<consensus::ReplicaId>(from, "id"),
                        DecodeEndpoint(from.at("from"))};
  }
  if (kind == "leave_answer") {
    return LeaveAnswerMessage{from.at("is_member").as_bool()};
  }
  if (kind == "troubles") {
    return DecodeFailureReport(from);
  }
  if (kind == "hosts") {
    return DecodeControlHosts(from);
  }
  if (kind == "standing") {
    return FeedStatus{from.at("is_current").as_bool()};
  }
  if (kind == "entry_hosts") {
    return DecodeEntryHosts(from);
  }
  if (kind == "entry_count") {
    return DecodeEntryHostCount(from);
  }
  if (kind == "same_directory") {
    return SameDirectory{};
  }
  if (kind == "complete") {
    return SyncComplete{};
  }
  if (kind == "view_request") {
    return ViewRequest{NumberAt<uint64_t>(from, "revision")};
  }
  throw std::invalid_argument("unknown message kind " + kind);
}

template <typename T>
concept IsCompactMessage =
    std::is_constructible_v<wire::ControlMessage, const T&>;

}  // namespace

std::string Encode(const Message& message) {
  return std::visit(
      [](const auto& it) {
        if constexpr (IsCompactMessage<std::decay_t<decltype(it)>>) {
          return wire::EncodeControlMessage(it);
        } else {
          return wire::EncodeControlMessage(
              wire::Document{boost::json::serialize(EncodeDocument(it))});
        }
      },
      message);
}

Result<Message> DecodeMessage(std::string_view bytes) {
  auto decoded = wire::DecodeControlMessage(bytes);
  if (!decoded) {
    return leaf::new_error(
        FieldError{.field = "(message)",
                   .expected = "a well-formed message between hosts"});
  }
  return std::visit(
      []<typename T>(T& it) -> Result<Message> {
        if constexpr (std::is_same_v<T, wire::Document>) {
          BOOST_LEAF_AUTO(document, json::Parse(it.text));
          return Decode([&] { return DecodeObject(document.as_object()); });
        } else {
          return Message(std::move(it));
        }
      },
      *decoded);
}

}  // namespace acaciahold::node
