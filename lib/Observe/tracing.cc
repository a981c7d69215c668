// A recorder that writes each finished span as a line of JSON.

#include "acaciahold/Observe/tracing.h"

#include <fstream>
#include <mutex>
#include <vector>

#include <opentracing/mocktracer/json.h>
#include <opentracing/mocktracer/recorder.h>
#include <opentracing/mocktracer/tracer.h>
#include <opentracing/noop.h>

namespace acaciahold::observe {
namespace {

class LineRecorder : public opentracing::mocktracer::Recorder {
 public:
  explicit LineRecorder(std::ofstream out) : out_(std::move(out)) {}

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

}  // namespace

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
  options.recorder = std::make_unique<LineRecorder>(std::move(out));
  return std::make_shared<opentracing::mocktracer::MockTracer>(
      std::move(options));
}

}  // namespace acaciahold::observe
