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
                                      .wanted = "a YAML document"});
  }
}

FieldReader::FieldReader(YAML::Node node, std::string path, FaultList& faults)
    : node_(std::move(node)), path_(std::move(path)), faults_(&faults) {}

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

void FieldReader::AddFault(std::string_view key, std::string wanted) {
  auto field = FindField(key);
  int line = LineOf(field.IsDefined() ? field : node_);
  faults_->faults.push_back({.file = faults_->file,
                             .line = line,
                             .field = FieldPath(key),
                             .value = QuoteValue(field),
                             .wanted = std::move(wanted)});
}

void FieldReader::CheckKeys(std::span<const std::string_view> known) {
  if (!node_.IsMap()) {
    return;
  }
  std::string wanted = "one of";
  for (auto key : known) {
    wanted += " " + std::string(key);
  }
  for (const auto& key : Keys()) {
    if (std::find(known.begin(), known.end(), key) == known.end()) {
      AddFault(key, "a known field: " + wanted);
    }
  }
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
                                               const std::string& wanted) {
  auto field = FindField(key);
  if (!field.IsDefined() || !field.IsScalar() || field.Scalar().empty()) {
    AddFault(key, wanted);
    return std::nullopt;
  }
  return field.Scalar();
}

std::optional<std::string> FieldReader::Text(std::string_view key) {
  return Scalar(key, "a nonempty string");
}

std::string FieldReader::TextOr(std::string_view key,
                                std::string default_value) {
  if (!Has(key)) {
    return default_value;
  }
  return Text(key).value_or(default_value);
}

std::optional<uint64_t> FieldReader::Unsigned(std::string_view key,
                                              UnsignedRange range) {
  std::string wanted = "a whole number from " + std::to_string(range.min) +
                       " to " + std::to_string(range.max);
  auto text = Scalar(key, wanted);
  if (!text) {
    return std::nullopt;
  }
  uint64_t n = 0;
  auto [end, ec] =
      std::from_chars(text->data(), text->data() + text->size(), n);
  bool is_number = ec == std::errc() && end == text->data() + text->size();
  if (!is_number || n < range.min || n > range.max) {
    AddFault(key, wanted);
    return std::nullopt;
  }
  return n;
}

uint64_t FieldReader::UnsignedOr(std::string_view key,
                                 UnsignedRange range,
                                 uint64_t default_value) {
  if (!Has(key)) {
    return default_value;
  }
  return Unsigned(key, range).value_or(default_value);
}

std::optional<Endpoint> FieldReader::ReadEndpoint(std::string_view key) {
  const std::string wanted = "an IPv4 address and port such as 10.0.0.1:7000";
  auto text = Scalar(key, wanted);
  if (!text) {
    return std::nullopt;
  }
  auto endpoint = ParseEndpoint(*text);
  if (!endpoint) {
    AddFault(key, wanted);
    return std::nullopt;
  }
  return *endpoint;
}

std::optional<uint32_t> FieldReader::ReadAddress(std::string_view key) {
  const std::string wanted = "an IPv4 address such as 10.0.0.1";
  auto text = Scalar(key, wanted);
  if (!text) {
    return std::nullopt;
  }
  auto address = ParseAddress(*text);
  if (!address) {
    AddFault(key, wanted);
    return std::nullopt;
  }
  return *address;
}

std::vector<std::string> FieldReader::TextList(std::string_view key) {
  std::vector<std::string> strings;
  auto field = FindField(key);
  if (!field.IsDefined() || !field.IsSequence()) {
    AddFault(key, "a list of nonempty strings");
    return strings;
  }
  for (const auto& it : field) {
    if (!it.IsScalar() || it.Scalar().empty()) {
      AddFault(key, "a list of nonempty strings");
      return strings;
    }
    strings.push_back(it.Scalar());
  }
  return strings;
}

std::optional<FieldReader> FieldReader::Mapping(std::string_view key) {
  auto field = FindField(key);
  if (!field.IsDefined() || !field.IsMap()) {
    AddFault(key, "a mapping");
    return std::nullopt;
  }
  return FieldReader(field, FieldPath(key), *faults_);
}

std::vector<FieldReader> FieldReader::MappingList(std::string_view key) {
  std::vector<FieldReader> readers;
  auto field = FindField(key);
  if (!field.IsDefined() || !field.IsSequence()) {
    AddFault(key, "a list of mappings");
    return readers;
  }
  size_t i = 0;
  for (const auto& it : field) {
    std::string path = FieldPath(key) + "[" + std::to_string(i++) + "]";
    if (!it.IsMap()) {
      faults_->faults.push_back({.file = faults_->file,
                                 .line = LineOf(it),
                                 .field = path,
                                 .value = QuoteValue(it),
                                 .wanted = "a mapping"});
      continue;
    }
    readers.emplace_back(it, path, *faults_);
  }
  return readers;
}

}  // namespace acaciahold::yaml
