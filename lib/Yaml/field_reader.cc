// Typed access to YAML mappings that collects errors.

#include "acaciahold/Yaml/field_reader.h"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <sstream>

#include <yaml-cpp/yaml.h>

namespace acaciahold::yaml {
namespace {

constexpr size_t kMaxQuotedValueBytes = 60;

std::string QuoteValue(const YAML::Node& node) {
  if (!node.IsDefined()) {
    return "(missing)";
  }
  std::string text;
  switch (node.Type()) {
    case YAML::NodeType::Scalar:
      text = node.Scalar();
      break;
    case YAML::NodeType::Sequence:
      text = "(list)";
      break;
    case YAML::NodeType::Map:
      text = "(mapping)";
      break;
    default:
      text = "(empty)";
  }
  if (text.size() > kMaxQuotedValueBytes) {
    text = text.substr(0, kMaxQuotedValueBytes) + "...";
  }
  return text;
}

int LineOf(const YAML::Node& node) {
  return node.IsDefined() ? node.Mark().line + 1 : 0;
}

}  // namespace

Result<YAML::Node> LoadFile(const std::string& path) {
  std::ifstream in(path);
  if (!in) {
    return leaf::new_error(SystemError{"open " + path,
                                       "no such file, or no "
                                       "permission to read"});
  }
  std::stringstream buf;
  buf << in.rdbuf();
  return LoadText(buf.str(), path);
}

Result<YAML::Node> LoadText(std::string_view text, const std::string& name) {
  try {
    return YAML::Load(std::string(text));
  } catch (const YAML::Exception& e) {
    return leaf::new_error(FieldError{.file = name,
                                      .line = e.mark.line + 1,
                                      .field = "(document)",
                                      .value = e.msg,
                                      .expected = "a YAML document"});
  }
}

FieldReader::FieldReader(YAML::Node node,
                         std::string path,
                         FieldErrorList& errors)
    : node_(std::move(node)), path_(std::move(path)), errors_(&errors) {}

std::string FieldReader::FieldPath(std::string_view key) const {
  if (path_.empty()) {
    return std::string(key);
  }
  return path_ + "." + std::string(key);
}

YAML::Node FieldReader::FindField(std::string_view key) const {
  // The non-const operator[] would insert a missing key.
  const YAML::Node& const_node = node_;
  if (!const_node.IsMap()) {
    return YAML::Node(YAML::NodeType::Undefined);
  }
  return const_node[std::string(key)];
}

bool FieldReader::Has(std::string_view key) const {
  return FindField(key).IsDefined();
}

void FieldReader::AddError(std::string_view key, std::string expected) {
  auto field = FindField(key);
  int line = LineOf(field.IsDefined() ? field : node_);
  errors_->errors.push_back({.file = errors_->file,
                             .line = line,
                             .field = FieldPath(key),
                             .value = QuoteValue(field),
                             .expected = std::move(expected)});
}

void FieldReader::CheckKeys(std::span<const std::string_view> known) {
  if (!node_.IsMap()) {
    return;
  }
  std::string expected = "one of";
  for (auto key : known) {
    expected += " " + std::string(key);
  }
  for (const auto& key : Keys()) {
    if (std::find(known.begin(), known.end(), key) == known.end()) {
      AddError(key, "a known field: " + expected);
    }
  }
}

int FieldReader::Line() const {
  return LineOf(node_);
}

std::vector<std::string> FieldReader::Keys() const {
  std::vector<std::string> keys;
  if (!node_.IsMap()) {
    return keys;
  }
  for (const auto& it : node_) {
    keys.push_back(it.first.Scalar());
  }
  return keys;
}

std::optional<std::string> FieldReader::Scalar(std::string_view key,
                                               const std::string& expected) {
  auto field = FindField(key);
  if (!field.IsDefined() || !field.IsScalar() || field.Scalar().empty()) {
    AddError(key, expected);
    return std::nullopt;
  }
  return field.Scalar();
}

std::optional<std::string> FieldReader::ReadString(std::string_view key) {
  return Scalar(key, "a nonempty string");
}

std::string FieldReader::ReadStringOr(std::string_view key,
                                      std::string default_value) {
  if (!Has(key)) {
    return default_value;
  }
  return ReadString(key).value_or(default_value);
}

std::optional<uint64_t> FieldReader::ReadUnsigned(std::string_view key,
                                                  UnsignedRange range) {
  std::string expected = "a whole number from " + std::to_string(range.min) +
                         " to " + std::to_string(range.max);
  auto text = Scalar(key, expected);
  if (!text) {
    return std::nullopt;
  }
  uint64_t n = 0;
  auto [end, ec] =
      std::from_chars(text->data(), text->data() + text->size(), n);
  bool is_number = ec == std::errc() && end == text->data() + text->size();
  if (!is_number || n < range.min || n > range.max) {
    AddError(key, expected);
    return std::nullopt;
  }
  return n;
}

uint64_t FieldReader::ReadUnsignedOr(std::string_view key,
                                     UnsignedRange range,
                                     uint64_t default_value) {
  if (!Has(key)) {
    return default_value;
  }
  return ReadUnsigned(key, range).value_or(default_value);
}

std::optional<Endpoint> FieldReader::ReadEndpoint(std::string_view key) {
  const std::string expected = "an IPv4 address and port such as 10.0.0.1:7000";
  auto text = Scalar(key, expected);
  if (!text) {
    return std::nullopt;
  }
  auto endpoint = ParseEndpoint(*text);
  if (!endpoint) {
    AddError(key, expected);
    return std::nullopt;
  }
  return *endpoint;
}

std::optional<uint32_t> FieldReader::ReadAddress(std::string_view key) {
  const std::string expected = "an IPv4 address such as 10.0.0.1";
  auto text = Scalar(key, expected);
  if (!text) {
    return std::nullopt;
  }
  auto address = ParseAddress(*text);
  if (!address) {
    AddError(key, expected);
    return std::nullopt;
  }
  return *address;
}

std::vector<std::string> FieldReader::ReadStringList(std::string_view key) {
  std::vector<std::string> strings;
  auto field = FindField(key);
  if (!field.IsDefined() || !field.IsSequence()) {
    AddError(key, "a list of nonempty strings");
    return strings;
  }
  for (const auto& it : field) {
    if (!it.IsScalar() || it.Scalar().empty()) {
      AddError(key, "a list of nonempty strings");
      return strings;
    }
    strings.push_back(it.Scalar());
  }
  return strings;
}

std::optional<FieldReader> FieldReader::ReadMapping(std::string_view key) {
  auto field = FindField(key);
  if (!field.IsDefined() || !field.IsMap()) {
    AddError(key, "a mapping");
    return std::nullopt;
  }
  return FieldReader(field, FieldPath(key), *errors_);
}

std::vector<FieldReader> FieldReader::ReadMappingList(std::string_view key) {
  std::vector<FieldReader> readers;
  auto field = FindField(key);
  if (!field.IsDefined() || !field.IsSequence()) {
    AddError(key, "a list of mappings");
    return readers;
  }
  size_t i = 0;
  for (const auto& it : field) {
    std::string path = FieldPath(key) + "[" + std::to_string(i++) + "]";
    if (!it.IsMap()) {
      errors_->errors.push_back({.file = errors_->file,
                                 .line = LineOf(it),
                                 .field = path,
                                 .value = QuoteValue(it),
                                 .expected = "a mapping"});
      continue;
    }
    readers.emplace_back(it, path, *errors_);
  }
  return readers;
}

}  // namespace acaciahold::yaml
