// Flows through real processes: the same upstream whichever host a packet
// comes to, through the loss of a host, a failure domain's leaving, and a
// host's planned restart.

#include <boost/test/unit_test.hpp>

#include "scenario.h"

namespace acaciahold::standins {
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int kFlows = 400;

void OpenFlows(Scenario& scenario) {
  scenario.lab->AddFlows("feed", kFeed, kFlows / 2, milliseconds(2'000));
  scenario.lab->AddFlows("phones", kPhones, kFlows / 2, milliseconds(2'000));
  BOOST_REQUIRE(AwaitCondition(
      [&] { return scenario.lab->Report().open == kFlows; }, seconds(40)));
}

// Every flow sends from now on for longer than a stalled one is allowed.
void WatchFlows() {
  AwaitCondition([] { return false; }, kStallTimeout + seconds(3));
}

void CheckUnbroken(Scenario& scenario) {
  auto report = scenario.lab->Report();
  BOOST_TEST(report.broken_moved == 0U);
  BOOST_TEST(report.broken_reset == 0U);
  BOOST_TEST(report.broken_stalled == 0U);
  BOOST_TEST(report.wrong_service == 0U);
  BOOST_TEST(report.changed == 0U);
}

}  // namespace

BOOST_AUTO_TEST_CASE(ALostHostBreaksNoFlow) {
  Scenario scenario("lost-host", {});
  OpenFlows(scenario);
  auto& victim = scenario.deployment->entries()[1];
  scenario.lab->RemoveEntry(victim.packets);
  victim.process->Signal(SIGKILL);
  victim.process->Wait();
  WatchFlows();
  CheckUnbroken(scenario);
  BOOST_TEST(scenario.lab->Report().open == static_cast<uint64_t>(kFlows));
}

BOOST_AUTO_TEST_CASE(APlannedRestartBreaksNoFlowAndExitsCleanly) {
  Scenario scenario("restart", {});
  OpenFlows(scenario);
  auto& host = scenario.deployment->entries()[2];
  scenario.lab->RemoveEntry(host.packets);
  host.process->Signal(SIGTERM);
  BOOST_TEST(host.process->Wait() == 0);
  scenario.deployment->StartEntry(2);
  BOOST_REQUIRE(scenario.deployment->AwaitSettled(8, 6, seconds(20)));
  scenario.lab->AddEntry(host.packets);
  WatchFlows();
  CheckUnbroken(scenario);
}

BOOST_AUTO_TEST_CASE(AFailureDomainTakenOutGetsNothing) {
  Scenario scenario("domain-out", {});
  OpenFlows(scenario);
  scenario.lab->GiveUpDomain("fd2");
  BOOST_REQUIRE(
      scenario.deployment->ApplyTable(ScenarioTable("fd1, fd3, fd4")) == 0);
  scenario.lab->TakeArrivals("fd2");
  WatchFlows();
  BOOST_TEST(scenario.lab->TakeArrivals("fd2") == 0U);
  CheckUnbroken(scenario);
}

BOOST_AUTO_TEST_CASE(ADrainingUpstreamKeepsItsFlowsAndGetsNoMore) {
  Scenario scenario("drain", {});
  OpenFlows(scenario);
  auto before = scenario.lab->Report().open_by_upstream["feed"];
  scenario.fleet->SetPhase(0, "draining");  // The first upstream of feed.
  AwaitCondition([] { return false; }, seconds(4));
  scenario.lab->AddFlows("feed", kFeed, kFlows / 2, milliseconds(2'000));
  BOOST_REQUIRE(AwaitCondition(
      [&] { return scenario.lab->Report().open == kFlows * 3 / 2; },
      seconds(40)));
  auto after = scenario.lab->Report().open_by_upstream["feed"];
  auto drained =
      FormatEndpoint(scenario.deployment->StandinAddress(4, 1, 7000));
  BOOST_TEST(before[drained] > 0U);
  BOOST_TEST(after[drained] == before[drained]);
  CheckUnbroken(scenario);
}

}  // namespace acaciahold::standins
