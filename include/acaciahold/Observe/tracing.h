// Distributed tracing with OpenTracing: one span per hop, recorded as one JSON
// line.

#ifndef ACACIAHOLD_OBSERVE_TRACING_H_
#define ACACIAHOLD_OBSERVE_TRACING_H_

#include <memory>
#include <string>
#include <string_view>

#include <opentracing/tracer.h>

#include "acaciahold/Support/error.h"

namespace acaciahold::observe {

// Returns a tracer that appends finished spans to the file, or a no-op tracer
// if `path` is empty. Fails with SystemError if the file can't be opened.
Result<std::shared_ptr<opentracing::Tracer>> MakeTracer(
    const std::string& path);

// The HTTP header that propagates a span context between hosts.
inline constexpr std::string_view kTraceHeader = "Acaciahold-Trace";

// Returns the span's context as a header value, or an empty string if the
// tracer can't inject it, as the no-op tracer.
std::string InjectContext(const opentracing::Span& span);

// Starts a child span of the span context in `context`, a header value. Starts
// a root span if the value is empty or can't be decoded.
std::unique_ptr<opentracing::Span> StartChildSpan(opentracing::Tracer& tracer,
                                                  const std::string& operation,
                                                  const std::string& context);

}  // namespace acaciahold::observe

#endif  // ACACIAHOLD_OBSERVE_TRACING_H_
