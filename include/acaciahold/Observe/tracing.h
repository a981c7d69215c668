// Traces by OpenTracing: a span for each hop, recorded as a line of JSON.

#ifndef ACACIAHOLD_OBSERVE_TRACING_H_
#define ACACIAHOLD_OBSERVE_TRACING_H_

#include <memory>
#include <string>

#include <opentracing/tracer.h>

#include "acaciahold/Support/error.h"

namespace acaciahold::observe {

// A tracer that appends spans to the file; one that records nothing where the
// path is empty. Fails with SystemError.
Result<std::shared_ptr<opentracing::Tracer>> MakeTracer(
    const std::string& path);

}  // namespace acaciahold::observe

#endif  // ACACIAHOLD_OBSERVE_TRACING_H_
