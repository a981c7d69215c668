// Parsing of JSON documents.

#include "acaciahold/Json/decode.h"

#include <boost/json/error.hpp>

namespace acaciahold::json {
namespace {

// Limit for quoting an invalid document in an error.
constexpr size_t kMaxQuotedBytes = 80;

}  // namespace

Result<boost::json::value> Parse(std::string_view text) {
  boost::json::error_code ec;
  auto value = boost::json::parse(text, ec);
  if (ec) {
    return leaf::new_error(
        FieldError{.field = "(json)",
                   .value = std::string(text.substr(0, kMaxQuotedBytes)),
                   .expected = "a valid JSON document: " + ec.message()});
  }
  return value;
}

}  // namespace acaciahold::json
