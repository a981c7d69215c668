// Metrics of a host, gathered from its counters when they are asked for.

#ifndef ACACIAHOLD_LIB_HOST_HOST_METRICS_H_
#define ACACIAHOLD_LIB_HOST_HOST_METRICS_H_

#include <string>

#include "acaciahold/Entry/entry.h"
#include "acaciahold/Host/request_shell.h"
#include "acaciahold/Http/server.h"

namespace acaciahold::host {

// Where a host's numbers stand; null for parts that it does not have.
struct MetricSources {
  const entry::Entry* entry = nullptr;
  const RequestShell* requests = nullptr;
  const http::Server* caller_server = nullptr;
  const http::Server* admin_server = nullptr;
};

// The metrics in Prometheus's text format.
std::string MetricsText(const MetricSources& sources);

}  // namespace acaciahold::host

#endif  // ACACIAHOLD_LIB_HOST_HOST_METRICS_H_
