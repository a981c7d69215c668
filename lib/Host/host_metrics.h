// Metrics of a host, collected from its counters for each scrape.

#ifndef ACACIAHOLD_LIB_HOST_HOST_METRICS_H_
#define ACACIAHOLD_LIB_HOST_HOST_METRICS_H_

#include <string>

#include "acaciahold/Entry/entry.h"
#include "acaciahold/Host/request_proxy.h"
#include "acaciahold/Http/server.h"

namespace acaciahold::host {

// Objects to collect metrics from; null for roles that the host does not have.
struct MetricSources {
  const entry::Entry* entry = nullptr;
  const RequestProxy* requests = nullptr;
  const http::Server* caller_server = nullptr;
  const http::Server* admin_server = nullptr;
};

// Returns the metrics in the Prometheus text format.
std::string RenderMetrics(const MetricSources& sources);

}  // namespace acaciahold::host

#endif  // ACACIAHOLD_LIB_HOST_HOST_METRICS_H_
