// Traces by OpenTracing: a span for each hop, recorded as a line of JSON.

#ifndef ACACIAHOLD_OBSERVE_TRACING_H_
#define ACACIAHOLD_OBSERVE_TRACING_H_

#include <memory>
#include <string>
#include <string_view>

#include <opentracing/tracer.h>

#include "acaciahold/Support/error.h"

namespace acaciahold::observe {

// A tracer that appends spans to the file; one that records nothing where the
// path is empty. Fails with SystemError.
Result<std::shared_ptr<opentracing::Tracer>> MakeTracer(
    const std::string& path);

// The header that carries a span's context from host to host.
inline constexpr std::string_view kTraceHeader = "Acaciahold-Trace";

// The context as a header's value; empty where the tracer records nothing.
std::string InjectContext(const opentracing::Span& span);

// Starts a span as the child of the one that the header's value names, or as
// the first of a trace where there is none.
std::unique_ptr<opentracing::Span> StartChildSpan(opentracing::Tracer& tracer,
                                                  const std::string& operation,
                                                  const std::string& context);

}  // namespace acaciahold::observe

#endif  // ACACIAHOLD_OBSERVE_TRACING_H_
