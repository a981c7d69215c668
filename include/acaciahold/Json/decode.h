// Checked decoding of JSON: decoders throw inside, and Decode turns that into
// a FieldError at a library's edge.

#ifndef ACACIAHOLD_JSON_DECODE_H_
#define ACACIAHOLD_JSON_DECODE_H_

#include <exception>
#include <stdexcept>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include "acaciahold/Support/error.h"

namespace acaciahold::json {

// Runs a decoder that throws on a missing field or another type. Fails with
// FieldError.
template <typename F>
auto Decode(F decode) -> Result<decltype(decode())> {
  try {
    return decode();
  } catch (const std::exception& e) {
    return leaf::new_error(FieldError{
        .field = "(json)", .value = e.what(), .wanted = "the documented form"});
  }
}

// Parses one JSON document. Fails with FieldError.
Result<boost::json::value> Parse(std::string_view text);

template <typename T>
T NumberAt(const boost::json::object& object, std::string_view key) {
  return object.at(key).to_number<T>();
}

inline std::string TextAt(const boost::json::object& object,
                          std::string_view key) {
  return std::string(object.at(key).as_string());
}

template <typename E>
E EnumAt(const boost::json::object& object, std::string_view key, E last) {
  auto n = NumberAt<int>(object, key);
  if (n < 0 || n > static_cast<int>(last)) {
    throw std::out_of_range("unknown kind");
  }
  return static_cast<E>(n);
}

}  // namespace acaciahold::json

#endif  // ACACIAHOLD_JSON_DECODE_H_
