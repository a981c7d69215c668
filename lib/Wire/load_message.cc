// Encodes load reports, sums and digests. Names and listeners are listed once
// in each message and referred to by index; samples are parallel lists.

#include "load_message.h"

#include <algorithm>
#include <cmath>
#include <initializer_list>
#include <limits>
#include <map>
#include <string_view>
#include <utility>

namespace acaciahold::wire {
namespace {

constexpr double kHundredths = 100;
constexpr double kPermille = 1'000;

// Adds names and listeners to the lists of message T, each one once.
template <typename T>
class IndexTable {
 public:
  explicit IndexTable(T& to) : to_(to) {}

  uint32_t IndexOf(const std::string& name) {
    auto [it, is_new] = names_.try_emplace(name, to_.names_size());
    if (is_new) {
      to_.add_names(name);
    }
    return it->second;
  }

  uint32_t IndexOf(Endpoint listener) {
    auto packed = PackEndpoint(listener);
    auto [it, is_new] = listeners_.try_emplace(packed, to_.listeners_size());
    if (is_new) {
      to_.add_listeners(packed);
    }
    return it->second;
  }

 private:
  T& to_;
  std::map<std::string_view, uint32_t> names_;
  std::map<uint64_t, uint32_t> listeners_;
};

// Returns the value in units of 1 / `scale`, rounded; 0 if it is not a positive
// number.
uint32_t Scaled(double value, double scale) {
  constexpr double kMax = std::numeric_limits<uint32_t>::max();
  double scaled = std::round(value * scale);
  return scaled > 0 ? static_cast<uint32_t>(std::min(scaled, kMax)) : 0;
}

template <typename T>
void FillRoutes(news::RouteSamples& to,
                IndexTable<T>& table,
                const std::vector<load::RouteSample>& routes) {
  for (const auto& it : routes) {
    to.add_services(table.IndexOf(it.service));
    to.add_listeners(table.IndexOf(it.listener));
    to.add_arrived(it.arrived);
    to.add_refused(it.refused);
    to.add_timed(it.timed);
    to.add_response_us(it.response_us);
    to.add_in_flight(it.in_flight);
  }
}

template <typename T>
void FillResponses(news::ResponseSamples& to,
                   IndexTable<T>& table,
                   const std::vector<load::ResponseSample>& responses) {
  for (const auto& it : responses) {
    to.add_upstreams(it.upstream);
    to.add_listeners(table.IndexOf(it.listener));
    to.add_answered(it.answered);
    to.add_timed(it.timed);
    to.add_response_us(it.response_us);
    to.add_overdue(it.overdue);
    to.add_overdue_hosts(it.overdue_hosts);
  }
}

template <typename T>
void FillStanding(news::ServiceStanding& to,
                  IndexTable<T>& table,
                  const load::ServiceStanding& standing) {
  to.set_service(table.IndexOf(standing.service));
  to.set_is_short(standing.is_short);
  for (const auto& it : standing.domains) {
    to.add_failure_domains(table.IndexOf(it.failure_domain));
    to.add_demand(Scaled(it.demand_slots, kHundredths));
    to.add_slots(Scaled(it.slots, kHundredths));
  }
  for (const auto& it : standing.admissions) {
    to.add_listeners(table.IndexOf(it.listener));
    to.add_admitted_permille(
        Scaled(std::min(it.admitted_fraction, 1.0), kPermille));
  }
}

bool AreEqual(std::initializer_list<int> sizes) {
  return std::all_of(sizes.begin(), sizes.end(),
                     [&](int n) { return n == *sizes.begin(); });
}

// Whether each index refers to an element of a list of this size.
template <typename T>
bool AreBelow(const T& indexes, int size) {
  return std::all_of(indexes.begin(), indexes.end(), [&](uint32_t index) {
    return index < static_cast<uint32_t>(size);
  });
}

template <typename T>
std::string NameAt(const T& from, uint32_t index) {
  return from.names(static_cast<int>(index));
}

template <typename T>
Endpoint ListenerAt(const T& from, uint32_t index) {
  return UnpackEndpoint(from.listeners(static_cast<int>(index)));
}

// Reads samples that refer to the lists of `from`. Returns false if they are
// malformed.
template <typename T>
bool ReadRoutes(const news::RouteSamples& list,
                const T& from,
                std::vector<load::RouteSample>& routes) {
  bool have_equal_sizes =
      AreEqual({list.services_size(), list.listeners_size(),
                list.arrived_size(), list.refused_size(), list.timed_size(),
                list.response_us_size(), list.in_flight_size()});
  if (!have_equal_sizes || !AreBelow(list.services(), from.names_size()) ||
      !AreBelow(list.listeners(), from.listeners_size())) {
    return false;
  }
  for (int i = 0; i < list.services_size(); ++i) {
    routes.push_back({NameAt(from, list.services(i)),
                      ListenerAt(from, list.listeners(i)), list.arrived(i),
                      list.refused(i), list.timed(i), list.response_us(i),
                      list.in_flight(i)});
  }
  return true;
}

template <typename T>
bool ReadResponses(const news::ResponseSamples& list,
                   const T& from,
                   std::vector<load::ResponseSample>& responses) {
  bool have_equal_sizes = AreEqual(
      {list.upstreams_size(), list.listeners_size(), list.answered_size(),
       list.timed_size(), list.response_us_size(), list.overdue_size(),
       list.overdue_hosts_size()});
  if (!have_equal_sizes || !AreBelow(list.listeners(), from.listeners_size())) {
    return false;
  }
  for (int i = 0; i < list.upstreams_size(); ++i) {
    responses.push_back({list.upstreams(i), ListenerAt(from, list.listeners(i)),
                         list.answered(i), list.timed(i), list.response_us(i),
                         list.overdue(i), list.overdue_hosts(i)});
  }
  return true;
}

// Whether each element is a fraction from `min` to `max`.
template <typename T>
bool AreWithin(const T& permille, uint32_t min, uint32_t max) {
  return std::all_of(permille.begin(), permille.end(),
                     [&](uint32_t it) { return it >= min && it <= max; });
}

bool IsWellFormed(const news::ServiceStanding& standing,
                  const news::LoadDigest& from) {
  int names = from.names_size();
  return AreEqual({standing.failure_domains_size(), standing.demand_size(),
                   standing.slots_size()}) &&
         AreEqual(
             {standing.listeners_size(), standing.admitted_permille_size()}) &&
         standing.service() < static_cast<uint32_t>(names) &&
         AreBelow(standing.failure_domains(), names) &&
         AreBelow(standing.listeners(), from.listeners_size()) &&
         AreWithin(standing.admitted_permille(), 0, 1'000);
}

load::ServiceStanding ReadStanding(const news::ServiceStanding& standing,
                                   const news::LoadDigest& from) {
  load::ServiceStanding read;
  read.service = NameAt(from, standing.service());
  read.is_short = standing.is_short();
  for (int i = 0; i < standing.failure_domains_size(); ++i) {
    read.domains.push_back({NameAt(from, standing.failure_domains(i)),
                            standing.demand(i) / kHundredths,
                            standing.slots(i) / kHundredths});
  }
  for (int i = 0; i < standing.listeners_size(); ++i) {
    read.admissions.push_back({ListenerAt(from, standing.listeners(i)),
                               standing.admitted_permille(i) / kPermille});
  }
  return read;
}

}  // namespace

void FillReport(news::LoadReport& to, const load::LoadReport& report) {
  IndexTable table(to);
  FillRoutes(*to.mutable_routes(), table, report.routes);
  FillResponses(*to.mutable_responses(), table, report.responses);
}

void FillSums(news::LoadSums& to, const load::LoadSums& sums) {
  to.set_responding(sums.responding);
  IndexTable table(to);
  for (const auto& it : sums.domains) {
    auto& domain = *to.add_domains();
    domain.set_failure_domain(table.IndexOf(it.failure_domain));
    domain.set_reporters(it.reporters);
    FillRoutes(*domain.mutable_routes(), table, it.routes);
  }
  FillResponses(*to.mutable_responses(), table, sums.responses);
}

void FillDigest(news::LoadDigest& to, const load::LoadDigest& digest) {
  IndexTable table(to);
  to.set_reporters(digest.reporters);
  to.set_is_change(digest.is_change);
  for (const auto& it : digest.services) {
    FillStanding(*to.add_services(), table, it);
  }
  for (const auto& it : digest.slow) {
    to.add_slow(it.upstream);
    // A speed is neither 0 nor 1.
    to.add_speed_permille(std::clamp(Scaled(it.speed, kPermille), 1U, 999U));
  }
  to.mutable_dark()->Add(digest.dark.begin(), digest.dark.end());
}

std::optional<ControlMessage> ReadReport(const news::LoadReport& from) {
  load::LoadReport report;
  bool is_read = ReadRoutes(from.routes(), from, report.routes) &&
                 ReadResponses(from.responses(), from, report.responses);
  if (!is_read) {
    return std::nullopt;
  }
  return report;
}

std::optional<ControlMessage> ReadSums(const news::LoadSums& from) {
  load::LoadSums sums;
  for (const auto& it : from.domains()) {
    if (it.failure_domain() >= static_cast<uint32_t>(from.names_size())) {
      return std::nullopt;
    }
    auto& domain = sums.domains.emplace_back();
    domain.failure_domain = NameAt(from, it.failure_domain());
    domain.reporters = it.reporters();
    if (!ReadRoutes(it.routes(), from, domain.routes)) {
      return std::nullopt;
    }
  }
  if (!ReadResponses(from.responses(), from, sums.responses)) {
    return std::nullopt;
  }
  sums.responding = from.responding();
  return sums;
}

std::optional<ControlMessage> ReadDigest(const news::LoadDigest& from) {
  bool are_speeds_valid =
      AreEqual({from.slow_size(), from.speed_permille_size()}) &&
      AreWithin(from.speed_permille(), 1, 999);
  if (!are_speeds_valid) {
    return std::nullopt;
  }
  load::LoadDigest digest;
  digest.reporters = from.reporters();
  digest.is_change = from.is_change();
  for (const auto& it : from.services()) {
    if (!IsWellFormed(it, from)) {
      return std::nullopt;
    }
    digest.services.push_back(ReadStanding(it, from));
  }
  for (int i = 0; i < from.slow_size(); ++i) {
    digest.slow.push_back({from.slow(i), from.speed_permille(i) / kPermille});
  }
  digest.dark.assign(from.dark().begin(), from.dark().end());
  return digest;
}

}  // namespace acaciahold::wire
