// Adds up reports of entry hosts and sums of control hosts.

#include "acaciahold/Load/load.h"

#include <algorithm>
#include <utility>

namespace acaciahold::load {
namespace {

DomainSums& DomainOf(LoadSums& sums, const std::string& failure_domain) {
  auto it = std::find_if(
      sums.domains.begin(), sums.domains.end(),
      [&](const auto& d) { return d.failure_domain == failure_domain; });
  if (it != sums.domains.end()) {
    return *it;
  }
  sums.domains.push_back({failure_domain, 0, {}});
  return sums.domains.back();
}

bool IsBefore(const RouteSample& a, const RouteSample& b) {
  int order = a.service.compare(b.service);
  return order != 0 ? order < 0 : a.listener < b.listener;
}

bool IsBefore(const ResponseSample& a, const ResponseSample& b) {
  return a.upstream != b.upstream ? a.upstream < b.upstream
                                  : a.listener < b.listener;
}

void Add(RouteSample& sum, const RouteSample& sample) {
  sum.arrived += sample.arrived;
  sum.refused += sample.refused;
  sum.timed += sample.timed;
  sum.response_us += sample.response_us;
  sum.in_flight += sample.in_flight;
}

void Add(ResponseSample& sum, const ResponseSample& sample) {
  sum.answered += sample.answered;
  sum.timed += sample.timed;
  sum.response_us += sample.response_us;
  sum.overdue += sample.overdue;
  sum.overdue_hosts += sample.overdue_hosts;
}

template <typename T>
void Append(std::vector<T>& to, const std::vector<T>& from) {
  to.insert(to.end(), from.begin(), from.end());
}

// Sorts the samples and adds up those of the same key.
template <typename T>
void Merge(std::vector<T>& samples) {
  auto is_before = [](const T& a, const T& b) { return IsBefore(a, b); };
  std::sort(samples.begin(), samples.end(), is_before);
  size_t n = 0;
  for (size_t i = 0; i < samples.size(); ++i) {
    bool is_same = n > 0 && !IsBefore(samples[n - 1], samples[i]);
    if (is_same) {
      Add(samples[n - 1], samples[i]);
    } else if (n++ != i) {
      samples[n - 1] = std::move(samples[i]);
    }
  }
  samples.resize(n);
}

}  // namespace

void AppendReport(LoadSums& sums,
                  const std::string& failure_domain,
                  const LoadReport& report,
                  Rows rows) {
  auto& domain = DomainOf(sums, failure_domain);
  ++domain.reporters;
  Append(domain.routes, report.routes);
  if (rows == Rows::kAll) {
    Append(sums.responses, report.responses);
    ++sums.responding;
  }
}

void AppendSums(LoadSums& total, const LoadSums& sums, Rows rows) {
  for (const auto& from : sums.domains) {
    auto& domain = DomainOf(total, from.failure_domain);
    domain.reporters += from.reporters;
    Append(domain.routes, from.routes);
  }
  if (rows == Rows::kAll) {
    Append(total.responses, sums.responses);
    total.responding += sums.responding;
  }
}

void MergeRows(LoadSums& sums) {
  std::sort(sums.domains.begin(), sums.domains.end(),
            [](const auto& a, const auto& b) {
              return a.failure_domain < b.failure_domain;
            });
  for (auto& domain : sums.domains) {
    Merge(domain.routes);
  }
  Merge(sums.responses);
}

void AddReport(LoadSums& sums,
               const std::string& failure_domain,
               const LoadReport& report) {
  AppendReport(sums, failure_domain, report, Rows::kAll);
  MergeRows(sums);
}

void AddSums(LoadSums& total, const LoadSums& sums) {
  AppendSums(total, sums, Rows::kAll);
  MergeRows(total);
}

uint32_t CountReporters(const LoadSums& sums) {
  uint32_t n = 0;
  for (const auto& it : sums.domains) {
    n += it.reporters;
  }
  return n;
}

bool HasTerms(const catalog::Catalog& catalog) {
  return std::any_of(catalog.listeners.begin(), catalog.listeners.end(),
                     [](const auto& listener) {
                       return listener.terms != catalog::RouteTerms();
                     });
}

}  // namespace acaciahold::load
