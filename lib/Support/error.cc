// Formats the typed errors as text.

#include "acaciahold/Support/error.h"

namespace acaciahold {

std::string Describe(const FieldError& error) {
  std::string text;
  if (!error.file.empty()) {
    text += error.file + ":";
  }
  if (error.line > 0) {
    text += std::to_string(error.line) + ":";
  }
  if (!text.empty()) {
    text += " ";
  }
  text += "field '" + error.field + "' has value '" + error.value +
          "', expected " + error.expected;
  return text;
}

std::string Describe(const SystemError& error) {
  return "can't " + error.operation + ": " + error.reason;
}

std::string Describe(const CorruptionError& error) {
  return error.file + ": corrupt at offset " + std::to_string(error.offset) +
         ": " + error.reason + "; " + error.remedy;
}

}  // namespace acaciahold
