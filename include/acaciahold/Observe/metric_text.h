// Builds the metric families of one scrape and renders them in the Prometheus
// text exposition format.

#ifndef ACACIAHOLD_OBSERVE_METRIC_TEXT_H_
#define ACACIAHOLD_OBSERVE_METRIC_TEXT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <prometheus/metric_family.h>

namespace acaciahold::observe {

class MetricFamilies {
 public:
  // Starts a family. The metrics added next belong to it.
  void BeginFamily(
      std::string name,
      std::string help,
      prometheus::MetricType type = prometheus::MetricType::Counter);

  // Adds a counter or gauge, with at most one label. An empty `label` adds
  // none.
  void Add(uint64_t value,
           std::string_view label = "",
           std::string_view label_value = "");

  // Adds a gauge with a label for each name and value.
  void AddGauge(
      double value,
      std::span<const std::pair<std::string_view, std::string_view>> labels);

  // Adds a histogram. `counts[i]` is the number of values above `bounds[i - 1]`
  // and at most `bounds[i]`, not cumulative. `counts` has one element more than
  // `bounds`, for the values above the last bound. `sum` is the sum of all
  // values.
  void AddHistogram(std::span<const double> bounds,
                    std::span<const uint64_t> counts,
                    double sum);

  std::string Render() const;

 private:
  std::vector<prometheus::MetricFamily> families_;
};

}  // namespace acaciahold::observe

#endif  // ACACIAHOLD_OBSERVE_METRIC_TEXT_H_
