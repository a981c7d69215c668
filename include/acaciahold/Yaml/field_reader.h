// Reads typed fields from YAML mappings. Errors are collected instead of
// returned at the first one, so that one run reports all of them, each with its
// file, line, field, value and a description of a valid value.

#ifndef ACACIAHOLD_YAML_FIELD_READER_H_
#define ACACIAHOLD_YAML_FIELD_READER_H_

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <yaml-cpp/yaml.h>

#include "acaciahold/Support/address.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::yaml {

// Errors found in one file, in the order of reading.
struct FieldErrorList {
  std::string file;
  std::vector<FieldError> errors;
};

// Inclusive bounds of an unsigned field.
struct UnsignedRange {
  uint64_t min = 0;
  uint64_t max = 0;
};

// Reads the file as one YAML document. Fails with SystemError if it can't be
// opened, and with FieldError if it is not valid YAML.
Result<YAML::Node> LoadFile(const std::string& path);

// Parses the text as one YAML document. `name` stands for the file in errors.
// Fails with FieldError.
Result<YAML::Node> LoadText(std::string_view text, const std::string& name);

// Reads the fields of one mapping. The error list must outlive the reader.
class FieldReader {
 public:
  FieldReader(YAML::Node node, std::string path, FieldErrorList& errors);

  // Reports an error for each key that is not in `known`.
  void CheckKeys(std::span<const std::string_view> known);

  bool Has(std::string_view key) const;

  // Each reports an error and returns nullopt or an empty list if the field is
  // missing or invalid.
  std::optional<std::string> ReadString(std::string_view key);
  std::optional<uint64_t> ReadUnsigned(std::string_view key,
                                       UnsignedRange range);
  std::optional<Endpoint> ReadEndpoint(std::string_view key);
  std::optional<uint32_t> ReadAddress(std::string_view key);
  std::vector<std::string> ReadStringList(std::string_view key);

  // Return `default_value` if the field is missing. An invalid field is
  // reported as an error, and `default_value` is returned too.
  uint64_t ReadUnsignedOr(std::string_view key,
                          UnsignedRange range,
                          uint64_t default_value);
  std::string ReadStringOr(std::string_view key, std::string default_value);

  // Return readers of nested mappings. Report an error if the field is missing
  // or has another type, and for each list element that is not a mapping.
  std::optional<FieldReader> ReadMapping(std::string_view key);
  std::vector<FieldReader> ReadMappingList(std::string_view key);

  // Returns the line of the mapping in the file, one-based.
  int Line() const;

  // Returns the keys of this mapping in file order.
  std::vector<std::string> Keys() const;

  // Reports an error for the field `key`, or for the mapping's line if there is
  // no such field. The second argument describes a valid value.
  void AddError(std::string_view key, std::string expected);

 private:
  std::string FieldPath(std::string_view key) const;
  // Returns the value of the field, or an undefined node if it is missing. Does
  // not insert the key into the document.
  YAML::Node FindField(std::string_view key) const;
  std::optional<std::string> Scalar(std::string_view key,
                                    const std::string& expected);

  YAML::Node node_;
  std::string path_;
  FieldErrorList* errors_;  // Never null.
};

}  // namespace acaciahold::yaml

#endif  // ACACIAHOLD_YAML_FIELD_READER_H_
