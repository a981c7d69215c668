// JSON forms of announcements and records. An upstream announces itself with
// an announcement; entry hosts pull whole registries from each other.

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

// Each fails with FieldError where the value has another form.
Result<Announcement> AnnouncementFromJson(const boost::json::value& value);
Result<std::vector<Record>> RecordsFromJson(const boost::json::value& value);

}  // namespace acaciahold::upstream

#endif  // ACACIAHOLD_UPSTREAM_REGISTRY_JSON_H_
