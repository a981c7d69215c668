// JSON encoding of announcements, which upstreams send to entry hosts, and of
// records, which entry hosts pull from each other.

#ifndef ACACIAHOLD_UPSTREAM_REGISTRY_JSON_H_
#define ACACIAHOLD_UPSTREAM_REGISTRY_JSON_H_

#include <span>
#include <string_view>
#include <vector>

#include <boost/json/value.hpp>

#include "acaciahold/Support/error.h"
#include "acaciahold/Upstream/registry.h"

namespace acaciahold::upstream {

std::string_view PhaseName(Phase phase);

boost::json::value ToJson(std::span<const Record> records);

// Both return a FieldError if a field is missing or has the wrong type.
Result<Announcement> AnnouncementFromJson(const boost::json::value& value);
Result<std::vector<Record>> RecordsFromJson(const boost::json::value& value);

}  // namespace acaciahold::upstream

#endif  // ACACIAHOLD_UPSTREAM_REGISTRY_JSON_H_
