// Checked decoding of JSON. Decoder functions throw on invalid input; Decode
// converts the exception into a FieldError, so that no exception leaves a
// library's public interface.

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

// Runs `decode`, a function that throws if a field is missing or has the wrong
// type. Fails with FieldError, which carries the exception's text.
template <typename F>
auto Decode(F decode) -> Result<decltype(decode())> {
  try {
    return decode();
  } catch (const std::exception& e) {
    return leaf::new_error(
        FieldError{.field = "(json)",
                   .value = e.what(),
                   .expected = "the documented fields and types"});
  }
}

// Parses one JSON document. Fails with FieldError.
Result<boost::json::value> Parse(std::string_view text);

// The accessors below throw if the key is missing or its value has the wrong
// type.

template <typename T>
T NumberAt(const boost::json::object& object, std::string_view key) {
  return object.at(key).to_number<T>();
}

inline std::string StringAt(const boost::json::object& object,
                            std::string_view key) {
  return std::string(object.at(key).as_string());
}

// Reads an enum that is encoded as its number. `last` is the largest
// enumerator.
template <typename E>
E EnumAt(const boost::json::object& object, std::string_view key, E last) {
  auto n = NumberAt<int>(object, key);
  if (n < 0 || n > static_cast<int>(last)) {
    throw std::out_of_range("enum value out of range");
  }
  return static_cast<E>(n);
}

}  // namespace acaciahold::json

#endif  // ACACIAHOLD_JSON_DECODE_H_
