// Builds metric families and renders them in the Prometheus text format.

#include "acaciahold/Observe/metric_text.h"

#include <limits>

#include <prometheus/text_serializer.h>

namespace acaciahold::observe {

using prometheus::ClientMetric;

void MetricFamilies::BeginFamily(std::string name,
                                 std::string help,
                                 prometheus::MetricType type) {
  families_.push_back({std::move(name), std::move(help), type, {}});
}

void MetricFamilies::Add(uint64_t value,
                         std::string_view label,
                         std::string_view label_value) {
  ClientMetric metric;
  if (!label.empty()) {
    metric.label.push_back({std::string(label), std::string(label_value)});
  }
  metric.counter.value = static_cast<double>(value);
  metric.gauge.value = static_cast<double>(value);
  families_.back().metric.push_back(std::move(metric));
}

void MetricFamilies::AddGauge(
    double value,
    std::span<const std::pair<std::string_view, std::string_view>> labels) {
  ClientMetric metric;
  for (const auto& [name, label_value] : labels) {
    metric.label.push_back({std::string(name), std::string(label_value)});
  }
  metric.gauge.value = value;
  families_.back().metric.push_back(std::move(metric));
}

void MetricFamilies::AddHistogram(std::span<const double> bounds,
                                  std::span<const uint64_t> counts,
                                  double sum) {
  ClientMetric metric;
  uint64_t total = 0;
  for (size_t i = 0; i < counts.size(); ++i) {
    total += counts[i];
    double bound =
        i < bounds.size() ? bounds[i] : std::numeric_limits<double>::infinity();
    metric.histogram.bucket.push_back({total, bound});
  }
  metric.histogram.sample_count = total;
  metric.histogram.sample_sum = sum;
  families_.back().metric.push_back(std::move(metric));
}

std::string MetricFamilies::Render() const {
  return prometheus::TextSerializer().Serialize(families_);
}

}  // namespace acaciahold::observe
