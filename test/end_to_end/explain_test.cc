// From a failed request to its cause, by the documented command and the logs
// and metrics of real processes alone; and logs that nobody reads.

#include <csignal>
#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>
#include <poll.h>
#include <unistd.h>

#include "acaciahold/Explain/log_line.h"
#include "packet_scenario.h"
#include "scenario.h"

namespace acaciahold::standins {
namespace {

using Kind = NodeFleet::Kind;
using Failure = CallerFailure::Kind;
using std::chrono::milliseconds;

constexpr milliseconds kCallTimeout{2'000};

std::optional<CallerFailure> AwaitFailure(PacketScenario& scenario,
                                          Failure kind) {
  std::optional<CallerFailure> found;
  scenario.Await(milliseconds(15'000), [&] {
    for (const auto& failure : scenario.callers->failures()) {
      if (failure.kind == kind) {
        found = failure;
      }
    }
    return found.has_value();
  });
  return found;
}

// What `acaciahold explain` prints of the failure, from all hosts' logs.
std::string Explain(PacketScenario& scenario, const CallerFailure& failure) {
  // What became known afterwards is a part of it.
  scenario.fleet->RunFor(milliseconds(3'000));
  std::vector<std::string> words{
      BinaryPath(), "explain",
      "--caller",   FormatEndpoint(failure.flow.caller),
      "--listener", FormatEndpoint(failure.flow.listener),
      "--at",       std::to_string(ToUnixMillis(failure.at))};
  auto logs = scenario.fleet->LogPaths();
  words.insert(words.end(), logs.begin(), logs.end());
  auto output = scenario.fleet->LogPaths().front() + ".explained";
  BOOST_TEST(RunChild(words, output) == 0);
  std::ifstream in(output);
  std::stringstream text;
  text << in.rdbuf();
  BOOST_TEST_MESSAGE(text.str());
  return text.str();
}

// The sum of a metric over all entry hosts.
double Metric(PacketScenario& scenario, const std::string& name) {
  double sum = 0;
  for (int i = 0; i < 3; ++i) {
    auto text = scenario.fleet->Metrics(Kind::kEntry, i, kCallTimeout);
    BOOST_REQUIRE(text);
    auto at = text->find("\n" + name + " ");
    sum += at == std::string::npos
               ? 0
               : std::stod(text->substr(at + name.size() + 2));
  }
  return sum;
}

std::string Decisions(const std::string& reason) {
  return "acaciahold_decisions_total{reason=\"" + reason + "\"}";
}

}  // namespace

BOOST_AUTO_TEST_CASE(ATurnedAwayCallerIsExplained) {
  PacketScenario scenario(MakePacketOptions("explain-refused"));
  for (const char* domain : {"fd1", "fd2", "fd3"}) {
    auto target = std::string("/-/evacuate/") + domain;
    BOOST_TEST(scenario.fleet->Order(http::Verb::post, target, "", kCallTimeout)
                   .value_or(0) == 200U);
  }
  auto failure = AwaitFailure(scenario, Failure::kRefused);
  BOOST_REQUIRE(failure);
  auto text = Explain(scenario, *failure);
  BOOST_TEST(text.find("cause: no_upstream") != std::string::npos);
  BOOST_TEST(text.find("domains_out=3") != std::string::npos);
  BOOST_TEST(Metric(scenario, Decisions("no_upstream")) > 0);
}

BOOST_AUTO_TEST_CASE(ALostUpstreamIsExplained) {
  PacketScenario scenario(MakePacketOptions("explain-lost"));
  scenario.fleet->RunFor(milliseconds(500));
  scenario.upstreams.front().Crash();
  auto failure = AwaitFailure(scenario, Failure::kGivenUp);
  BOOST_REQUIRE(failure);
  auto text = Explain(scenario, *failure);
  BOOST_TEST(text.find("cause: upstream_lost") != std::string::npos);
  BOOST_TEST(text.find("then: upstream_silent") != std::string::npos);
  BOOST_TEST(Metric(scenario, "acaciahold_requests_repeated_total") > 0);
}

BOOST_AUTO_TEST_CASE(ASlowUpstreamIsExplained) {
  PacketScenario scenario(MakePacketOptions("explain-slow"));
  scenario.fleet->RunFor(milliseconds(500));
  // Callers repeat after 200, 600 and 1,400 ms: four packets over three hosts.
  scenario.upstreams.front().SlowDown(milliseconds(1'600));
  auto failure = AwaitFailure(scenario, Failure::kLate);
  BOOST_REQUIRE(failure);
  auto text = Explain(scenario, *failure);
  BOOST_TEST(text.find("cause: upstream_slow") != std::string::npos);
  BOOST_TEST(Metric(scenario, "acaciahold_requests_repeated_total") > 0);
  BOOST_TEST(Metric(scenario, Decisions("no_upstream")) == 0);
}

namespace {

// What the hosts wrote of one kind, and what they say was left out.
struct LogCount {
  uint64_t written = 0;
  uint64_t left_out = 0;
  uint64_t sum() const { return written + left_out; }
};

// Reads what the pipe holds now.
void ReadPipe(int fd, std::string& text) {
  std::array<char, 4'096> buf;
  pollfd poll{fd, POLLIN, 0};
  while (::poll(&poll, 1, 0) > 0) {
    auto n = ::read(fd, buf.data(), buf.size());
    if (n <= 0) {
      return;
    }
    text.append(buf.data(), static_cast<size_t>(n));
  }
}

LogCount CountLines(const std::string& text, const std::string& event) {
  std::istringstream in(text);
  LogCount count;
  for (const auto& line : explain::ReadLogFile(in).lines) {
    count.written += line.event == event ? 1 : 0;
    bool is_left_out = line.event == "lines_left_out" &&
                       explain::StringField(line, "of") == event;
    count.left_out += is_left_out ? explain::IntegerField(line, "lines") : 0;
  }
  return count;
}

}  // namespace

// Nobody reads the hosts' output: they serve on, keep to their memory, and tell
// the right count of lines once somebody reads.
BOOST_AUTO_TEST_CASE(LogsThatNobodyReadHoldNothingUp) {
  auto options = MakePacketOptions("explain-unread");
  options.fleet.has_unread_logs = true;
  options.short_flows = 20;
  PacketScenario scenario(options);
  auto& fleet = *scenario.fleet;
  fleet.RunFor(milliseconds(6'000));
  size_t before = fleet.MemoryOf(Kind::kEntry, 0);
  uint64_t answered = scenario.callers->counts().answered;
  fleet.RunFor(milliseconds(6'000));
  BOOST_TEST(scenario.callers->counts().answered > answered + 500);
  BOOST_TEST(scenario.callers->counts().given_up == 0U);
  constexpr size_t kMaxGrowthBytes = 2U << 20U;
  BOOST_TEST(fleet.MemoryOf(Kind::kEntry, 0) < before + kMaxGrowthBytes);
  scenario.callers->StopOpening();
  fleet.RunFor(milliseconds(1'000));
  std::string text;
  for (int i = 0; i < 150; ++i) {
    ReadPipe(fleet.unread_logs(), text);
    fleet.RunFor(milliseconds(20));
  }
  auto count = CountLines(text, "flow_placed");
  auto decided = Metric(scenario, Decisions("placed")) +
                 Metric(scenario, Decisions("copy")) +
                 Metric(scenario, Decisions("replaced"));
  BOOST_TEST(count.left_out > 100U);
  BOOST_TEST(static_cast<double>(count.sum()) == decided);
}

}  // namespace acaciahold::standins
