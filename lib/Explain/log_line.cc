#include "acaciahold/Explain/log_line.h"

#include <boost/json.hpp>

#include "acaciahold/Json/decode.h"

namespace acaciahold::explain {

std::optional<LogLine> ParseLogLine(std::string_view text) {
  auto begin = text.find('{');
  auto end = text.rfind('}');
  if (begin == std::string_view::npos || end == std::string_view::npos ||
      end < begin) {
    return std::nullopt;
  }
  boost::json::error_code ec;
  auto document = boost::json::parse(text.substr(begin, end - begin + 1), ec);
  if (ec || !document.is_object()) {
    return std::nullopt;
  }
  LogLine line;
  line.fields = std::move(document.as_object());
  line.at_ms = IntegerField(line, "at_ms");
  line.host = StringField(line, "host");
  line.event = StringField(line, "event");
  if (line.at_ms == 0 || line.event.empty()) {
    return std::nullopt;
  }
  return line;
}

LogFile ReadLogFile(std::istream& in) {
  LogFile file;
  std::string text;
  while (std::getline(in, text)) {
    if (auto line = ParseLogLine(text)) {
      file.lines.push_back(std::move(*line));
    } else {
      ++file.malformed_lines;
    }
  }
  return file;
}

std::string StringField(const LogLine& line, std::string_view key) {
  const auto* value = line.fields.if_contains(key);
  return value && value->is_string() ? std::string(value->as_string()) : "";
}

int64_t IntegerField(const LogLine& line, std::string_view key) {
  const auto* value = line.fields.if_contains(key);
  if (!value) {
    return 0;
  }
  if (value->is_int64()) {
    return value->as_int64();
  }
  return value->is_uint64() ? static_cast<int64_t>(value->as_uint64()) : 0;
}

}  // namespace acaciahold::explain
