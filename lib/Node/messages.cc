// Forms of the messages between hosts, JSON where they are no wire::News.

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
using json::TextAt;

value EncodePart(const Hello& hello) {
  return {{"kind", "hello"},
          {"name", hello.name},
          {"is_control", hello.is_control},
          {"link", PackEndpoint(hello.link)},
          {"failure_domain", hello.failure_domain},
          {"revision", hello.revision},
          {"directory_digest", hello.directory_digest}};
}

value EncodePart(const LogMessage& message) {
  return {{"kind", "log"},
          {"from", PackEndpoint(message.from)},
          {"message", ToJson(message.message)}};
}

value EncodePart(const JoinMessage& message) {
  return {{"kind", "join"},
          {"id", message.request.id},
          {"instance", message.request.instance},
          {"endpoint", PackEndpoint(message.request.endpoint)}};
}

value EncodePart(const Hosts& message) {
  array hosts;
  for (const auto& host : message.hosts) {
    hosts.push_back({{"link", PackEndpoint(host.link)},
                     {"failure_domain", host.failure_domain}});
  }
  return {{"kind", "hosts"}, {"hosts", std::move(hosts)}};
}

value EncodePart(const Standing& message) {
  return {{"kind", "standing"}, {"is_current", message.is_current}};
}

value EncodePart(const EntryHosts& message) {
  array names;
  for (const auto& name : message.names) {
    names.emplace_back(name);
  }
  return {{"kind", "entry_hosts"}, {"names", std::move(names)}};
}

value EncodePart(const EntryCount& message) {
  return {{"kind", "entry_count"}, {"count", message.count}};
}

value EncodePart(const Troubles& message) {
  array troubles;
  for (const auto& it : message.troubles) {
    troubles.push_back({it.upstream, it.count});
  }
  return {{"kind", "troubles"}, {"troubles", std::move(troubles)}};
}

value EncodePart(const ViewRequest& message) {
  return {{"kind", "view_request"}, {"revision", message.revision}};
}

value EncodePart(const SameDirectory&) {
  return {{"kind", "same_directory"}};
}

value EncodePart(const Complete&) {
  return {{"kind", "complete"}};
}

// For decoding inside Decode: throws where a part can't be read.
template <typename T>
T Must(Result<T> result) {
  if (!result) {
    throw std::invalid_argument("a part of the message can't be read");
  }
  return std::move(*result);
}

Endpoint EndpointOf(const value& from) {
  return UnpackEndpoint(from.to_number<uint64_t>());
}

Message DecodeLog(const object& from) {
  return LogMessage{EndpointOf(from.at("from")),
                    Must(consensus::MessageFromJson(from.at("message")))};
}

Message DecodeJoin(const object& from) {
  return JoinMessage{{NumberAt<consensus::ReplicaId>(from, "id"),
                      NumberAt<uint64_t>(from, "instance"),
                      EndpointOf(from.at("endpoint"))}};
}

Message DecodeTroubles(const object& from) {
  Troubles message;
  for (const auto& it : from.at("troubles").as_array()) {
    const auto& parts = it.as_array();
    message.troubles.push_back({parts.at(0).to_number<directory::UpstreamId>(),
                                parts.at(1).to_number<uint32_t>()});
  }
  return message;
}

Message DecodeHosts(const object& from) {
  Hosts message;
  for (const auto& it : from.at("hosts").as_array()) {
    message.hosts.push_back(
        {EndpointOf(it.at("link")), TextAt(it.as_object(), "failure_domain")});
  }
  return message;
}

Message DecodeEntryHosts(const object& from) {
  EntryHosts message;
  for (const auto& it : from.at("names").as_array()) {
    message.names.emplace_back(it.as_string());
  }
  return message;
}

Message DecodeObject(const object& from) {
  auto kind = TextAt(from, "kind");
  if (kind == "hello") {
    return Hello{TextAt(from, "name"),
                 from.at("is_control").as_bool(),
                 EndpointOf(from.at("link")),
                 TextAt(from, "failure_domain"),
                 NumberAt<uint64_t>(from, "revision"),
                 NumberAt<uint64_t>(from, "directory_digest")};
  }
  if (kind == "log") {
    return DecodeLog(from);
  }
  if (kind == "join") {
    return DecodeJoin(from);
  }
  if (kind == "troubles") {
    return DecodeTroubles(from);
  }
  if (kind == "hosts") {
    return DecodeHosts(from);
  }
  if (kind == "standing") {
    return Standing{from.at("is_current").as_bool()};
  }
  if (kind == "entry_hosts") {
    return DecodeEntryHosts(from);
  }
  if (kind == "entry_count") {
    return EntryCount{NumberAt<uint32_t>(from, "count")};
  }
  if (kind == "same_directory") {
    return SameDirectory{};
  }
  if (kind == "complete") {
    return Complete{};
  }
  if (kind == "view_request") {
    return ViewRequest{NumberAt<uint64_t>(from, "revision")};
  }
  throw std::invalid_argument("unknown kind " + kind);
}

template <typename T>
concept IsNews = std::is_constructible_v<wire::ControlMessage, const T&>;

}  // namespace

std::string Encode(const Message& message) {
  return std::visit(
      [](const auto& it) {
        if constexpr (IsNews<std::decay_t<decltype(it)>>) {
          return wire::EncodeControlMessage(it);
        } else {
          return wire::EncodeControlMessage(
              wire::Document{boost::json::serialize(EncodePart(it))});
        }
      },
      message);
}

Result<Message> DecodeMessage(std::string_view bytes) {
  auto news = wire::DecodeControlMessage(bytes);
  if (!news) {
    return leaf::new_error(
        FieldError{.field = "(message)", .wanted = "a message between hosts"});
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
      *news);
}

}  // namespace acaciahold::node
