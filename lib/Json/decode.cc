// Parsing of JSON documents.

#include "acaciahold/Json/decode.h"

#include <boost/json/error.hpp>

namespace acaciahold::json {
namespace {

constexpr size_t kMaxShownBytes = 80;  // Of a document in an error.

}  // namespace

Result<boost::json::value> Parse(std::string_view text) {
  boost::json::error_code ec;
  auto value = boost::json::parse(text, ec);
  if (ec) {
    return leaf::new_error(
        FieldError{.field = "(json)",
                   .value = std::string(text.substr(0, kMaxShownBytes)),
                   .wanted = "a JSON document: " + ec.message()});
  }
  return value;
}

}  // namespace acaciahold::json
