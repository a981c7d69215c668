// JSON encoding and checked decoding of upstreams' records.

#include "acaciahold/Upstream/registry_json.h"

#include <array>
#include <exception>

#include <boost/json.hpp>

namespace acaciahold::upstream {
namespace {

namespace json = boost::json;

constexpr std::array<Phase, 4> kPhases{Phase::kServing, Phase::kDraining,
                                       Phase::kSilent, Phase::kGone};

Phase DecodePhase(std::string_view name) {
  for (auto phase : kPhases) {
    if (PhaseName(phase) == name) {
      return phase;
    }
  }
  throw std::invalid_argument("phase: wanted serving, draining or gone");
}

uint32_t OptionalNumber(const json::object& object, std::string_view key) {
  const auto* value = object.if_contains(key);
  return value ? value->to_number<uint32_t>() : 0;
}

Announcement DecodeAnnouncement(const json::object& object) {
  Announcement said;
  said.service = object.at("service").as_string().c_str();
  auto endpoint = ParseEndpoint(object.at("endpoint").as_string().c_str());
  if (!endpoint) {
    throw std::invalid_argument("endpoint: wanted an IPv4 number and port");
  }
  said.endpoint = *endpoint;
  said.failure_domain = object.at("failure_domain").as_string().c_str();
  said.slots = OptionalNumber(object, "slots");
  said.connections = OptionalNumber(object, "connections");
  said.incarnation = object.at("incarnation").to_number<uint64_t>();
  said.phase = DecodePhase(object.at("phase").as_string());
  return said;
}

Record DecodeRecord(const json::object& object) {
  Record record;
  record.said = DecodeAnnouncement(object);
  record.sequence = object.at("sequence").to_number<uint64_t>();
  record.ramp_step = object.at("ramp_step").to_number<uint32_t>();
  return record;
}

FieldError Fault(const std::exception& e) {
  return {.field = "(json)",
          .value = e.what(),
          .expected = "service, endpoint, failure_domain, incarnation, phase"};
}

}  // namespace

std::string_view PhaseName(Phase phase) {
  constexpr std::array<std::string_view, 4> kNames{"serving", "draining",
                                                   "silent", "gone"};
  return kNames[static_cast<size_t>(phase)];
}

json::value ToJson(std::span<const Record> records) {
  json::array array;
  for (const auto& record : records) {
    const auto& said = record.said;
    array.push_back({{"service", said.service},
                     {"endpoint", FormatEndpoint(said.endpoint)},
                     {"failure_domain", said.failure_domain},
                     {"slots", said.slots},
                     {"connections", said.connections},
                     {"incarnation", said.incarnation},
                     {"phase", PhaseName(said.phase)},
                     {"sequence", record.sequence},
                     {"ramp_step", record.ramp_step}});
  }
  return array;
}

Result<Announcement> AnnouncementFromJson(const json::value& value) {
  try {
    return DecodeAnnouncement(value.as_object());
  } catch (const std::exception& e) {
    return leaf::new_error(Fault(e));
  }
}

Result<std::vector<Record>> RecordsFromJson(const json::value& value) {
  try {
    std::vector<Record> records;
    for (const auto& it : value.as_array()) {
      records.push_back(DecodeRecord(it.as_object()));
    }
    return records;
  } catch (const std::exception& e) {
    return leaf::new_error(Fault(e));
  }
}

}  // namespace acaciahold::upstream
