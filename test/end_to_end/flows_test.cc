// Tests flows through real processes: all entry hosts must send the packets of
// a flow to the same upstream, also when an entry host is lost or restarted, a
// failure domain is removed or an upstream drains.

#include <boost/test/unit_test.hpp>

#include "scenario.h"

namespace acaciahold::standins {
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kFlowCount = 400;

void OpenFlows(Scenario& scenario) {
  scenario.flow_simulator->AddFlows("feed", kFeedService, kFlowCount / 2,
                                    milliseconds(2'000));
  scenario.flow_simulator->AddFlows("phones", kPhonesService, kFlowCount / 2,
                                    milliseconds(2'000));
  BOOST_REQUIRE(AwaitCondition(
      [&] { return scenario.flow_simulator->Report().open == kFlowCount; },
      seconds(40)));
}

// Waits longer than kStallTimeout, so that each stalled flow is detected.
void WaitForStalls() {
  AwaitCondition([] { return false; }, kStallTimeout + seconds(3));
}

void CheckNoBrokenFlows(Scenario& scenario) {
  auto report = scenario.flow_simulator->Report();
  BOOST_TEST(report.broken_moved == 0U);
  BOOST_TEST(report.broken_reset == 0U);
  BOOST_TEST(report.broken_stalled == 0U);
  BOOST_TEST(report.wrong_service == 0U);
  BOOST_TEST(report.corrupted == 0U);
}

}  // namespace

BOOST_AUTO_TEST_CASE(FlowsSurviveTheLossOfAnEntryHost) {
  Scenario scenario("lost-host", {});
  OpenFlows(scenario);
  auto& lost_host = scenario.deployment->entry_hosts()[1];
  scenario.flow_simulator->RemoveEntryHost(lost_host.packet_endpoint);
  lost_host.process->Signal(SIGKILL);
  lost_host.process->Wait();
  WaitForStalls();
  CheckNoBrokenFlows(scenario);
  BOOST_TEST(scenario.flow_simulator->Report().open ==
             static_cast<uint64_t>(kFlowCount));
}

BOOST_AUTO_TEST_CASE(FlowsSurviveAPlannedRestartWithACleanExit) {
  Scenario scenario("restart", {});
  OpenFlows(scenario);
  auto& host = scenario.deployment->entry_hosts()[2];
  scenario.flow_simulator->RemoveEntryHost(host.packet_endpoint);
  host.process->Signal(SIGTERM);
  BOOST_TEST(host.process->Wait() == 0);
  scenario.deployment->StartEntryHost(2);
  BOOST_REQUIRE(scenario.deployment->AwaitSettled(8, 6, seconds(20)));
  scenario.flow_simulator->AddEntryHost(host.packet_endpoint);
  WaitForStalls();
  CheckNoBrokenFlows(scenario);
}

BOOST_AUTO_TEST_CASE(ARemovedFailureDomainReceivesNoPackets) {
  Scenario scenario("domain-out", {});
  OpenFlows(scenario);
  scenario.flow_simulator->ExcludeDomain("fd2");
  BOOST_REQUIRE(
      scenario.deployment->ApplyTable(ScenarioTableYaml("fd1, fd3, fd4")) == 0);
  scenario.flow_simulator->TakeArrivalCount("fd2");
  WaitForStalls();
  BOOST_TEST(scenario.flow_simulator->TakeArrivalCount("fd2") == 0U);
  CheckNoBrokenFlows(scenario);
}

BOOST_AUTO_TEST_CASE(ADrainingUpstreamKeepsItsFlowsAndGetsNoNewOnes) {
  Scenario scenario("drain", {});
  OpenFlows(scenario);
  auto before = scenario.flow_simulator->Report().open_by_upstream["feed"];
  scenario.fleet->SetPhase(0, "draining");  // The first upstream of feed.
  AwaitCondition([] { return false; }, seconds(4));
  scenario.flow_simulator->AddFlows("feed", kFeedService, kFlowCount / 2,
                                    milliseconds(2'000));
  BOOST_REQUIRE(AwaitCondition(
      [&] {
        return scenario.flow_simulator->Report().open == kFlowCount * 3 / 2;
      },
      seconds(40)));
  auto after = scenario.flow_simulator->Report().open_by_upstream["feed"];
  auto drained =
      FormatEndpoint(scenario.deployment->LoopbackEndpoint(4, 1, 7000));
  BOOST_TEST(before[drained] > 0U);
  BOOST_TEST(after[drained] == before[drained]);
  CheckNoBrokenFlows(scenario);
}

}  // namespace acaciahold::standins
