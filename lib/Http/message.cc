// Builds responses and parses request targets.

#include "acaciahold/Http/message.h"

#include <boost/json.hpp>

namespace acaciahold::http {

namespace json = boost::json;

Response MakeResponse(Status status,
                      std::string body,
                      std::string_view content_type) {
  Response response(status, 11);
  response.set(Field::content_type, content_type);
  response.body() = std::move(body);
  response.prepare_payload();
  return response;
}

Response MakeProblem(Status status,
                     std::string_view type,
                     std::string_view title,
                     std::string_view detail) {
  json::object problem{{"type", "urn:acaciahold:problem:" + std::string(type)},
                       {"title", title},
                       {"status", static_cast<int>(status)},
                       {"detail", detail}};
  return MakeResponse(status, json::serialize(problem),
                      "application/problem+json");
}

std::string_view TargetPath(std::string_view target) {
  return target.substr(0, target.find('?'));
}

std::string QueryParameter(std::string_view target, std::string_view name) {
  auto question = target.find('?');
  if (question == std::string_view::npos) {
    return "";
  }
  auto query = target.substr(question + 1);
  while (!query.empty()) {
    auto part = query.substr(0, query.find('&'));
    query.remove_prefix(std::min(query.size(), part.size() + 1));
    auto equals = part.find('=');
    if (part.substr(0, equals) == name && equals != std::string_view::npos) {
      return std::string(part.substr(equals + 1));
    }
  }
  return "";
}

}  // namespace acaciahold::http
