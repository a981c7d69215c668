// Plays the events of the model in order of time.

#include "admission_model.h"

#include <algorithm>
#include <array>
#include <deque>
#include <iomanip>
#include <iostream>
#include <numeric>
#include <utility>

namespace acaciahold::steering::model {
namespace {

const Instant kStart = FromUnixMillis(1'000'000);
constexpr uint32_t kSlots = 2;  // Of each upstream.
constexpr size_t kQueue = 8;
constexpr double kNetwork = 0.004;  // Seconds to an upstream and back.
constexpr int kMaxTries = 3;
constexpr double kMinPause = 0.03;  // Before another try, in seconds.
constexpr double kMaxPause = 0.1;
constexpr double kDefaultObjective = 1;
constexpr double kInterval = 0.5;  // Of reports.

Instant At(double seconds) {
  return kStart + std::chrono::duration_cast<Duration>(
                      std::chrono::duration<double>(seconds));
}

struct Request {
  size_t route = 0;
  double first_sent = 0;
  int tries = 0;
  size_t host = 0;
  double sent = 0;
  bool is_open_flow = false;
  bool is_rejected = false;
};

enum class EventKind {
  kArrival,
  kEndInFlight,  // Answered, or no longer counted; see InFlightTime.
  kAnswer,
};

struct Event {
  double at = 0;
  EventKind kind = EventKind::kArrival;
  Request request;
  bool operator>(const Event& other) const { return at > other.at; }
};

struct Upstream {
  std::array<double, kSlots> free_at{};
  std::deque<double> ends;  // Of the requests that it has.
};

struct Host {
  ServiceLoad load;
  std::vector<RouteLoad> routes;
  std::vector<size_t> order;  // Of upstreams; each gets a flow in turn.
  size_t next = 0;
};

struct World {
  explicit World(const Settings& s) : settings(s), random(s.seed) {}

  const Settings& settings;
  std::mt19937_64 random;
  std::vector<Host> hosts;
  std::vector<Upstream> upstreams;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  catalog::View view;
  directory::Directory directory;
  load::StandingState state;
  std::deque<load::LoadSums> reports;  // Not yet arrived.
  load::ServiceStanding standing;
  double standing_at = -1e9;
  Result result;
};

double Draw(World& world) {
  return std::uniform_real_distribution<double>()(world.random);
}

Endpoint ListenerOf(size_t route) {
  return {1, static_cast<uint16_t>(443 + route)};
}

Outcome& OutcomeOf(World& world, const Request& request) {
  auto second = static_cast<size_t>(request.first_sent);
  const auto& name = world.settings.routes[request.route].name;
  return world.result.seconds[second].routes[name];
}

void AddUpstreams(World& world) {
  for (int i = 0; i < world.settings.upstreams; ++i) {
    directory::Record record;
    record.id = static_cast<uint64_t>(i) + 1;
    record.service = "pool";
    record.endpoint = {static_cast<uint32_t>(i) + 100, 80};
    record.failure_domain = "north";
    record.slots = kSlots;
    record.born_ms = 1;
    record.sequence = 1;
    Merge(world.directory, record, kStart);
  }
  world.upstreams.resize(world.settings.upstreams);
}

void AddHosts(World& world) {
  for (int i = 0; i < world.settings.hosts; ++i) {
    Host host;
    host.routes.resize(world.settings.routes.size());
    host.order.resize(world.upstreams.size());
    std::iota(host.order.begin(), host.order.end(), 0);
    std::shuffle(host.order.begin(), host.order.end(), world.random);
    world.hosts.push_back(std::move(host));
  }
}

void AddView(World& world) {
  world.view.catalog.services = {{"pool", 0}};
  for (size_t i = 0; i < world.settings.routes.size(); ++i) {
    const auto& route = world.settings.routes[i];
    world.view.catalog.listeners.push_back(
        {route.name, ListenerOf(i), {{"pool", 1}}, route.terms});
  }
}

// Returns whether the host refuses the opening.
bool IsRefused(World& world, const Host& host, size_t route, double now) {
  constexpr double kMaxAge =
      std::chrono::duration<double>(load::kMaxAge).count();
  const auto& settings = world.settings;
  double slots =
      static_cast<double>(kSlots) * settings.upstreams / settings.hosts;
  if (settings.policy == Policy::kNone) {
    return false;
  }
  if (settings.policy == Policy::kWithoutTerms) {
    return IsOverloaded(host.load, slots, At(now));
  }
  bool has_standing = settings.policy == Policy::kByStanding &&
                      now < world.standing_at + kMaxAge;
  if (has_standing) {
    return AdmitByStanding(world.standing, ListenerOf(route), Draw(world)) !=
           Admission::kAdmitted;
  }
  auto rank = RankOf(world.view.catalog, "pool", settings.routes[route].terms);
  return AdmitAlone(host.load, rank, slots, At(now)) != Admission::kAdmitted;
}

// The caller tries again unless it has given up.
void TryAgain(World& world, Request request, double now) {
  const auto& terms = world.settings.routes[request.route].terms;
  double at = now + kMinPause + Draw(world) * (kMaxPause - kMinPause);
  bool is_over =
      terms.timeout_ms > 0 && at > request.first_sent + terms.timeout_ms / 1e3;
  if (++request.tries < kMaxTries && !is_over) {
    request.is_open_flow = false;
    world.events.push({at, EventKind::kArrival, request});
  }
}

// Gives the request to the host's next upstream.
void Send(World& world, Request request, double now) {
  auto& host = world.hosts[request.host];
  auto& upstream = world.upstreams[host.order[host.next++ % host.order.size()]];
  AddInFlight(host.load);
  ++host.routes[request.route].in_flight;
  ++host.routes[request.route].arrived;
  request.sent = now;
  while (!upstream.ends.empty() && upstream.ends.front() <= now) {
    upstream.ends.pop_front();
  }
  request.is_rejected = upstream.ends.size() >= kSlots + kQueue;
  double end = now + world.settings.reject_time;
  if (!request.is_rejected) {
    auto slot =
        std::min_element(upstream.free_at.begin(), upstream.free_at.end());
    double work = world.settings.routes[request.route].work *
                  world.settings.slowness(now);
    end = std::max(now, *slot) + work;
    *slot = end;
    upstream.ends.insert(
        std::upper_bound(upstream.ends.begin(), upstream.ends.end(), end), end);
    auto second =
        std::min(static_cast<size_t>(end), world.result.seconds.size());
    if (second < world.result.seconds.size()) {
      world.result.seconds[second].busy +=
          work / (kSlots * world.settings.upstreams);
    }
  }
  double answer = end + kNetwork;
  double overdue =
      now + std::chrono::duration<double>(InFlightTime(host.load)).count();
  world.events.push(
      {std::min(answer, overdue), EventKind::kEndInFlight, request});
  world.events.push({answer, EventKind::kAnswer, request});
}

void OnArrival(World& world, Request request, double now) {
  request.host = world.random() % world.hosts.size();
  auto& host = world.hosts[request.host];
  auto& outcome = OutcomeOf(world, request);
  outcome.wanted += request.tries == 0 ? 1 : 0;
  if (!request.is_open_flow && IsRefused(world, host, request.route, now)) {
    ++outcome.refused;
    ++host.routes[request.route].arrived;
    ++host.routes[request.route].refused;
    TryAgain(world, request, now);
    return;
  }
  Send(world, request, now);
}

void OnEndInFlight(World& world, const Request& request) {
  auto& host = world.hosts[request.host];
  RemoveInFlight(host.load);
  --host.routes[request.route].in_flight;
}

void OnModelAnswer(World& world, const Request& request, double now) {
  auto& host = world.hosts[request.host];
  OnAnswer(host.load, At(now) - At(request.sent), At(now));
  CountResponse(host.routes[request.route], At(now) - At(request.sent));
  auto& outcome = OutcomeOf(world, request);
  if (request.is_rejected) {
    ++outcome.rejected;
    TryAgain(world, request, now);
    return;
  }
  const auto& terms = world.settings.routes[request.route].terms;
  double time = now - request.first_sent;
  double objective = terms.latency_objective_ms > 0
                         ? terms.latency_objective_ms / 1e3
                         : kDefaultObjective;
  bool is_served = terms.timeout_ms == 0 || time <= terms.timeout_ms / 1e3;
  outcome.served += is_served ? 1 : 0;
  outcome.in_time += time <= objective ? 1 : 0;
}

load::LoadReport TakeReport(Host& host) {
  load::LoadReport report;
  for (size_t i = 0; i < host.routes.size(); ++i) {
    auto& it = host.routes[i];
    report.routes.push_back({"pool", ListenerOf(i), it.arrived, it.refused,
                             it.timed, it.response_us, it.in_flight});
    it = {.in_flight = it.in_flight};
  }
  return report;
}

void OnInterval(World& world, double now) {
  load::LoadSums sums;
  for (auto& host : world.hosts) {
    AddReport(sums, "north", TakeReport(host));
  }
  world.reports.push_back(std::move(sums));
  if (world.reports.size() <= world.settings.delay) {
    return;
  }
  auto standings = ComputeStandings(world.state, world.reports.front(),
                                    world.view, world.directory, At(now));
  world.reports.pop_front();
  world.result.standings.push_back(standings.empty() ? load::ServiceStanding()
                                                     : standings.front());
  if (!standings.empty() && world.settings.has_digest(now)) {
    world.standing = standings.front();
    world.standing_at = now;
  }
}

void PlayUntil(World& world, double end) {
  while (!world.events.empty() && world.events.top().at < end) {
    auto event = world.events.top();
    world.events.pop();
    switch (event.kind) {
      case EventKind::kArrival:
        OnArrival(world, event.request, event.at);
        break;
      case EventKind::kEndInFlight:
        OnEndInFlight(world, event.request);
        break;
      case EventKind::kAnswer:
        OnModelAnswer(world, event.request, event.at);
        break;
    }
  }
}

// Adds the first tries of the route's requests until `end`.
void AddCallers(World& world, size_t route, double begin, double end) {
  const auto& it = world.settings.routes[route];
  double at = begin;
  while (true) {
    double rate = it.demand(at) / it.work;
    if (rate <= 0) {
      return;
    }
    at += std::exponential_distribution<double>(rate)(world.random);
    if (at >= end) {
      return;
    }
    Request request{route, at};
    request.is_open_flow = Draw(world) < it.open_part;
    world.events.push({at, EventKind::kArrival, request});
  }
}

}  // namespace

Outcome operator+(const Outcome& a, const Outcome& b) {
  return {a.wanted + b.wanted, a.in_time + b.in_time, a.served + b.served,
          a.refused + b.refused, a.rejected + b.rejected};
}

Result Run(const Settings& settings, int seconds) {
  World world(settings);
  world.result.seconds.resize(seconds);
  AddUpstreams(world);
  AddHosts(world);
  AddView(world);
  constexpr double kStep = 0.05;
  constexpr int kStepsPerInterval = static_cast<int>(kInterval / kStep);
  for (int i = 0; i * kStep < seconds; ++i) {
    double begin = i * kStep;
    if (i > 0 && i % kStepsPerInterval == 0) {
      OnInterval(world, begin);
    }
    double end = std::min<double>(seconds, (i + 1) * kStep);
    for (size_t route = 0; route < settings.routes.size(); ++route) {
      AddCallers(world, route, begin, end);
    }
    PlayUntil(world, end);
  }
  PlayUntil(world, seconds + 2.0);
  return std::move(world.result);
}

Outcome Between(const Result& result,
                const std::string& route,
                int from,
                int to) {
  Outcome sum;
  for (int i = from; i < to; ++i) {
    auto it = result.seconds[i].routes.find(route);
    if (it != result.seconds[i].routes.end()) {
      sum = sum + it->second;
    }
  }
  return sum;
}

double BusyBetween(const Result& result, int from, int to) {
  double busy = 0;
  for (int i = from; i < to; ++i) {
    busy += result.seconds[i].busy;
  }
  return busy / (to - from);
}

void Print(const std::string& title, const Result& result, int from, int to) {
  std::cout << title << ", seconds " << from << " to " << to << ", busy "
            << std::setprecision(3) << BusyBetween(result, from, to) << "\n";
  for (const auto& [name, unused] : result.seconds[from].routes) {
    auto sum = Between(result, name, from, to);
    std::cout << "  " << name << ": wanted " << sum.wanted << " in time "
              << sum.in_time << " served " << sum.served << " refused "
              << sum.refused << " rejected " << sum.rejected << "\n";
  }
}

}  // namespace acaciahold::steering::model
