// Reads typed fields from a YAML mapping and collects every fault with its
// file, line, field, value and what is wanted, so that one run reports all.

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

// Faults found in one file, in the order of reading.
struct FaultList {
  std::string file;
  std::vector<FieldError> faults;
};

// Inclusive bounds of an unsigned field.
struct UnsignedRange {
  uint64_t min = 0;
  uint64_t max = 0;
};

// Reads the file as one YAML document. Fails with SystemError or FieldError.
Result<YAML::Node> LoadFile(const std::string& path);

// Reads the text as one YAML document; `name` stands for the file in errors.
// Fails with FieldError.
Result<YAML::Node> LoadText(std::string_view text, const std::string& name);

// One mapping. The node and the fault list outlive the reader.
class FieldReader {
 public:
  FieldReader(YAML::Node node, std::string path, FaultList& faults);

  // Reports each key that is not in `known`.
  void CheckKeys(std::span<const std::string_view> known);

  bool Has(std::string_view key) const;

  // Each reports a fault and returns nothing where the field is missing or of
  // the wrong form.
  std::optional<std::string> Text(std::string_view key);
  std::optional<uint64_t> Unsigned(std::string_view key, UnsignedRange range);
  std::optional<Endpoint> ReadEndpoint(std::string_view key);
  std::optional<uint32_t> ReadAddress(std::string_view key);
  std::vector<std::string> TextList(std::string_view key);

  // As above, with a value for a missing field.
  uint64_t UnsignedOr(std::string_view key,
                      UnsignedRange range,
                      uint64_t otherwise);
  std::string TextOr(std::string_view key, std::string otherwise);

  // Readers of nested mappings; a fault where the field has another form.
  std::optional<FieldReader> Mapping(std::string_view key);
  std::vector<FieldReader> MappingList(std::string_view key);

  // The keys of this mapping, in the order of the file.
  std::vector<std::string> Keys() const;

  void AddFault(std::string_view key, std::string wanted);

 private:
  std::string PathOf(std::string_view key) const;
  // Invariant: the value of the field, or an undefined node; never changes the
  // document.
  YAML::Node Field(std::string_view key) const;
  std::optional<std::string> Scalar(std::string_view key,
                                    const std::string& wanted);

  YAML::Node node_;
  std::string path_;
  FaultList* faults_;  // Never null.
};

}  // namespace acaciahold::yaml

#endif  // ACACIAHOLD_YAML_FIELD_READER_H_
