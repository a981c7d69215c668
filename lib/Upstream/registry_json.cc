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
  throw std::invalid_argument("phase: must be serving, draining or gone");
}

uint32_t OptionalNumber(const json::object& object, std::string_view key) {
  const auto* value = object.if_contains(key);
  return value ? value->to_number<uint32_t>() : 0;
}

Announcement DecodeAnnouncement(const json::object& object) {
  Announcement announcement;
  announcement.service = object.at("service").as_string().c_str();
  auto endpoint = ParseEndpoint(object.at("endpoint").as_string().c_str());
  if (!endpoint) {
    throw std::invalid_argument(
        "endpoint: must be an IPv4 address and port, such as 10.0.0.1:80");
  }
  announcement.endpoint = *endpoint;
  announcement.failure_domain = object.at("failure_domain").as_string().c_str();
  announcement.slots = OptionalNumber(object, "slots");
  announcement.connections = OptionalNumber(object, "connections");
  announcement.incarnation = object.at("incarnation").to_number<uint64_t>();
  announcement.phase = DecodePhase(object.at("phase").as_string());
  return announcement;
}

Record DecodeRecord(const json::object& object) {
  Record record;
  record.announcement = DecodeAnnouncement(object);
  record.sequence = object.at("sequence").to_number<uint64_t>();
  record.ramp_step = object.at("ramp_step").to_number<uint32_t>();
  return record;
}

FieldError MakeFieldError(const std::exception& e) {
  return {.field = "(json)",
          .value = e.what(),
          .wanted = "service, endpoint, failure_domain, incarnation, phase"};
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
    const auto& announcement = record.announcement;
    array.push_back({{"service", announcement.service},
                     {"endpoint", FormatEndpoint(announcement.endpoint)},
                     {"failure_domain", announcement.failure_domain},
                     {"slots", announcement.slots},
                     {"connections", announcement.connections},
                     {"incarnation", announcement.incarnation},
                     {"phase", PhaseName(announcement.phase)},
                     {"sequence", record.sequence},
                     {"ramp_step", record.ramp_step}});
  }
  return array;
}

Result<Announcement> AnnouncementFromJson(const json::value& value) {
  try {
    return DecodeAnnouncement(value.as_object());
  } catch (const std::exception& e) {
    return leaf::new_error(MakeFieldError(e));
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
    return leaf::new_error(MakeFieldError(e));
  }
}

}  // namespace acaciahold::upstream
