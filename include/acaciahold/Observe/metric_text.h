// Metric families that are gathered when they are asked for, in Prometheus's
// text format.

#ifndef ACACIAHOLD_OBSERVE_METRIC_TEXT_H_
#define ACACIAHOLD_OBSERVE_METRIC_TEXT_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <prometheus/metric_family.h>

namespace acaciahold::observe {

class Families {
 public:
  // What follows belongs to this family.
  void Begin(std::string name,
             std::string help,
             prometheus::MetricType type = prometheus::MetricType::Counter);

  void Add(uint64_t value,
           std::string_view label = "",
           std::string_view label_value = "");

  // One histogram: `counts[i]` values were at most `bounds[i]`, and the last of
  // `counts`, which is one longer, counts the rest.
  void AddHistogram(std::span<const double> bounds,
                    std::span<const uint64_t> counts,
                    double sum);

  std::string Text() const;

 private:
  std::vector<prometheus::MetricFamily> families_;
};

}  // namespace acaciahold::observe

#endif  // ACACIAHOLD_OBSERVE_METRIC_TEXT_H_
