// Tracing with OpenTracing's mock tracer, whose recorder is replaced by one
// that writes each finished span as a JSON line.

#include "acaciahold/Observe/tracing.h"

#include <fstream>
#include <mutex>
#include <sstream>
#include <vector>

#include <opentracing/mocktracer/json.h>
#include <opentracing/mocktracer/recorder.h>
#include <opentracing/mocktracer/tracer.h>
#include <opentracing/noop.h>

namespace acaciahold::observe {
namespace {

class JsonLineRecorder : public opentracing::mocktracer::Recorder {
 public:
  explicit JsonLineRecorder(std::ofstream out) : out_(std::move(out)) {}

  void RecordSpan(
      opentracing::mocktracer::SpanData&& span_data) noexcept override {
    std::vector<opentracing::mocktracer::SpanData> spans;
    spans.push_back(std::move(span_data));
    std::lock_guard lock(mutex_);
    opentracing::mocktracer::ToJson(out_, spans);
    out_ << "\n";
    out_.flush();
  }

  void Close() noexcept override {}

 private:
  std::mutex mutex_;
  std::ofstream out_;  // Guarded by mutex_.
};

// Encodes a binary span context as hexadecimal text for the HTTP header.
std::string ToHex(std::string_view bytes) {
  constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  for (char c : bytes) {
    auto byte = static_cast<unsigned char>(c);
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 15U];
  }
  return text;
}

// Returns -1 if `c` is not a lower-case hexadecimal digit.
int HexDigitValue(char c) {
  if (c >= '0' && c <= '9') {
    return c - '0';
  }
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

// Returns an empty string if `text` contains a character that is not a
// lower-case hexadecimal digit.
std::string FromHex(std::string_view text) {
  std::string bytes;
  for (size_t i = 0; i + 1 < text.size(); i += 2) {
    int high = HexDigitValue(text[i]);
    int low = HexDigitValue(text[i + 1]);
    if (high < 0 || low < 0) {
      return "";
    }
    bytes += static_cast<char>(high * 16 + low);
  }
  return bytes;
}

}  // namespace

std::string InjectContext(const opentracing::Span& span) {
  std::ostringstream out;
  if (!span.tracer().Inject(span.context(), out)) {
    return "";
  }
  return ToHex(out.str());
}

std::unique_ptr<opentracing::Span> StartChildSpan(opentracing::Tracer& tracer,
                                                  const std::string& operation,
                                                  const std::string& context) {
  std::istringstream in(FromHex(context));
  auto parent = tracer.Extract(in);
  if (context.empty() || !parent || !*parent) {
    return tracer.StartSpan(operation);
  }
  return tracer.StartSpan(operation, {opentracing::ChildOf(parent->get())});
}

Result<std::shared_ptr<opentracing::Tracer>> MakeTracer(
    const std::string& path) {
  if (path.empty()) {
    return opentracing::MakeNoopTracer();
  }
  std::ofstream out(path, std::ios::app);
  if (!out) {
    return leaf::new_error(SystemError{"open " + path, "not writable"});
  }
  opentracing::mocktracer::MockTracerOptions options;
  options.recorder = std::make_unique<JsonLineRecorder>(std::move(out));
  return std::make_shared<opentracing::mocktracer::MockTracer>(
      std::move(options));
}

}  // namespace acaciahold::observe
