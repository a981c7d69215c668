// Tests to which feed an entry host reports its load, and which hosts receive
// load messages from a control host over loopback.

#include "acaciahold/Node/load_reporter.h"

#include <array>
#include <filesystem>
#include <functional>
#include <memory>

#include <boost/test/unit_test.hpp>
#include <unistd.h>

#include "acaciahold/Node/control_node.h"
#include "acaciahold/Node/entry_node.h"
#include "acaciahold/Node/node_metrics.h"
#include "entry_settings.h"

namespace acaciahold::node {
namespace {

using std::chrono::milliseconds;

constexpr Instant kStart = FromUnixMillis(1'796'000'000'000);
constexpr milliseconds kTimeout{10'000};

Endpoint ControlLink() {
  auto host = static_cast<uint32_t>(::getpid()) & 0xffffU;
  return {(127U << 24U) | (92U << 16U) | host, 7'730};
}

// Another host with a link to the control host.
struct Client {
  std::shared_ptr<link::Connector> connector;
  size_t digests = 0;
  uint32_t reporters = 0;  // Of the last digest.
};

struct Deployment {
  Deployment() {
    folder = std::filesystem::temp_directory_path() /
             ("acaciahold-load-" + std::to_string(::getpid()));
    std::filesystem::remove_all(folder);
    NodeSettings settings;
    settings.name = "control";
    settings.role = NodeRole::kControl;
    settings.failure_domain = "north";
    settings.address = ControlLink().address;
    settings.bind_address = ControlLink().address;
    settings.link_port = ControlLink().port;
    settings.seeds = {{ControlLink().address, 8'000}};
    settings.announcement_interval = milliseconds(770);
    settings.data_folder = folder;
    settings.founds_group = true;
    auto opened = ControlNode::Open(io, settings);
    BOOST_REQUIRE(opened);
    control = std::move(*opened);
    control->Start();
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  ~Deployment() { std::filesystem::remove_all(folder); }

  void Connect(Client& client, const Hello& hello) {
    client.connector = link::Connector::Create(io, ControlLink());
    client.connector->Start(
        {[&client, hello] { client.connector->Send(Encode(hello)); },
         [&client](std::string_view bytes) {
           auto message = DecodeMessage(bytes);
           BOOST_REQUIRE(message.has_value());
           if (const auto* it = std::get_if<LoadDigest>(&*message)) {
             ++client.digests;
             client.reporters = it->reporters;
           }
         },
         [] {}});
  }

  bool WaitUntil(const std::function<bool()>& condition) {
    Instant deadline = ReadClock() + Duration(kTimeout);
    while (!condition() && ReadClock() < deadline) {
      io.restart();
      io.run_for(milliseconds(5));
    }
    return condition();
  }

  // Puts a table with one listener in force.
  void SetTable(uint64_t version, const catalog::RouteTerms& terms) {
    catalog::Command command;
    command.catalog.version = version;
    command.catalog.services = {{"pool"}};
    command.catalog.listeners = {{"a", {1, 443}, {{"pool", 1}}, terms}};
    BOOST_REQUIRE(WaitUntil([&] { return control->is_leader(); }));
    control->Submit(command, [](bool) {});
    BOOST_REQUIRE(WaitUntil(
        [&] { return control->state().view.catalog.version == version; }));
  }

  boost::asio::io_context io;
  std::string folder;
  std::unique_ptr<ControlNode> control;
};

Hello MakeHello(const std::string& name, bool understands_load) {
  Hello hello;
  hello.name = name;
  hello.failure_domain = "north";
  hello.understands_load = understands_load;
  return hello;
}

}  // namespace

BOOST_AUTO_TEST_CASE(ReportsGoToOneFeedOfTheOwnFailureDomainFirst) {
  std::vector<ReportFeed> feeds{
      {"south", false}, {"west", true}, {"north", true}, {"north", true}};
  BOOST_TEST(ChooseReportFeed(feeds, "north").value_or(9) == 2U);
  BOOST_TEST(ChooseReportFeed(feeds, "east").value_or(9) == 1U);
  // The feed was lost, or was replaced by one of an earlier version.
  feeds[2].is_able = false;
  feeds[3].is_able = false;
  BOOST_TEST(ChooseReportFeed(feeds, "north").value_or(9) == 1U);
  feeds[1].is_able = false;
  BOOST_TEST(!ChooseReportFeed(feeds, "north").has_value());
}

BOOST_AUTO_TEST_CASE(ReportsAreDueOnceInEachInterval) {
  LoadReporter reporter;
  BOOST_TEST(TakeReportTime(reporter, kStart));
  BOOST_TEST(!TakeReportTime(reporter, kStart + milliseconds(400)));
  BOOST_TEST(TakeReportTime(reporter, kStart + load::kReportInterval));
}

// Guards against messages that a host of an earlier version refuses.
BOOST_AUTO_TEST_CASE(OnlyHostsThatUnderstandLoadReceiveIt) {
  Deployment deployment;
  deployment.SetTable(1, {.priority = 0});
  Client entry;
  Client old_entry;
  deployment.Connect(entry, MakeHello("entry-1", true));
  deployment.Connect(old_entry, MakeHello("entry-2", false));
  BOOST_REQUIRE(deployment.WaitUntil([&] { return entry.digests >= 3; }));
  BOOST_TEST(old_entry.digests == 0U);
  BOOST_TEST(deployment.control->load_sent().digests >= 3U);
}

// Guards against traffic that no decision uses.
BOOST_AUTO_TEST_CASE(NothingIsSentWhileNoListenerHasATerm) {
  Deployment deployment;
  deployment.SetTable(1, {});
  Client entry;
  deployment.Connect(entry, MakeHello("entry-1", true));
  Instant end = ReadClock() + 3 * load::kReportInterval;
  deployment.WaitUntil([&] { return ReadClock() >= end; });
  BOOST_TEST(entry.digests == 0U);
  deployment.SetTable(2, {.priority = 0});
  BOOST_TEST(deployment.WaitUntil([&] { return entry.digests > 0; }));
}

BOOST_AUTO_TEST_CASE(ReportsOfEntryHostsAndSumsOfControlHostsReachTheDigest) {
  Deployment deployment;
  deployment.SetTable(1, {.priority = 0});
  Client entry;
  Client control;
  deployment.Connect(entry, MakeHello("entry-1", true));
  auto other = MakeHello("control-2", true);
  other.is_control = true;
  other.link = {ControlLink().address, 1};
  deployment.Connect(control, other);
  load::LoadSums sums;
  load::AddReport(sums, "south", {});
  Instant sent_at;
  BOOST_TEST(deployment.WaitUntil([&] {
    if (entry.digests > 0 && ReadClock() >= sent_at + load::kReportInterval) {
      sent_at = ReadClock();
      entry.connector->Send(Encode(LoadReport{}));
      control.connector->Send(Encode(sums));
      // An entry host has no sums, and a control host no report.
      entry.connector->Send(Encode(sums));
      control.connector->Send(Encode(LoadReport{}));
    }
    return entry.reporters == 2;
  }));
  BOOST_TEST(deployment.control->load().reporters == 2U);
  auto metrics = MetricsText(*deployment.control);
  BOOST_TEST(metrics.find("acaciahold_load_reporters 2") != std::string::npos);
}

// The same between control hosts: sums go only to hosts whose Hello says so.
BOOST_AUTO_TEST_CASE(OnlyControlHostsThatUnderstandLoadReceiveSums) {
  Deployment deployment;
  deployment.SetTable(1, {.priority = 0});
  std::array<Client, 2> others;  // The second one is of an earlier version.
  std::array<size_t, 2> sums{};
  std::vector<std::shared_ptr<link::Listener>> listeners;
  std::vector<std::shared_ptr<link::Session>> sessions;
  for (size_t i = 0; i < others.size(); ++i) {
    auto hello = MakeHello("control-" + std::to_string(i), i == 0);
    hello.is_control = true;
    hello.link = {ControlLink().address, static_cast<uint16_t>(7'731 + i)};
    auto listener = link::Listener::Listen(
        deployment.io, hello.link, [&sums, &sessions, i](auto session) {
          session->Start({[&sums, i](std::string_view bytes) {
                            auto message = DecodeMessage(bytes);
                            bool is_sums =
                                message &&
                                std::holds_alternative<LoadSums>(*message);
                            sums[i] += is_sums ? 1 : 0;
                          },
                          [] {}});
          sessions.push_back(session);
        });
    BOOST_REQUIRE(listener);
    listeners.push_back(*listener);
    deployment.Connect(others[i], hello);
  }
  BOOST_TEST(deployment.WaitUntil([&] { return sums[0] >= 3; }));
  BOOST_TEST(sessions.size() == 2U);
  BOOST_TEST(sums[1] == 0U);
}

BOOST_AUTO_TEST_CASE(EntryHostReportsAndReceivesDigests) {
  Deployment deployment;
  deployment.SetTable(1, {.priority = 0});
  EntryNode entry(deployment.io, EntrySettings(ControlLink()));
  entry.Start([] {});
  BOOST_TEST(deployment.WaitUntil([&] {
    return deployment.control->load().reporters == 1 &&
           deployment.control->load().counts.reports >= 3;
  }));
  BOOST_TEST(entry.load_reporter().reports_sent >= 3U);
  BOOST_TEST(entry.steering().digests.received >= 3U);
  // The control host has just started.
  BOOST_TEST(!load::BestDigest(entry.steering().digests, ReadClock()));
}

// Guards against reports to a control host of an earlier version, which sends
// no digest.
BOOST_AUTO_TEST_CASE(EntryHostSendsNoReportToAHostOfAnEarlierVersion) {
  boost::asio::io_context io;
  std::vector<std::shared_ptr<link::Session>> sessions;
  size_t hellos = 0;
  size_t others = 0;
  catalog::View view;
  view.revision = 1;
  view.catalog.version = 1;
  view.catalog.services = {{"pool"}};
  view.catalog.listeners = {{"a", {1, 443}, {{"pool", 1}}, {.priority = 0}}};
  auto listener = link::Listener::Listen(io, ControlLink(), [&](auto session) {
    session->Start({[&, session](std::string_view bytes) {
                      auto message = DecodeMessage(bytes);
                      BOOST_REQUIRE(message.has_value());
                      if (!std::holds_alternative<Hello>(*message)) {
                        ++others;
                        return;
                      }
                      ++hellos;
                      session->Send(Encode(catalog::FullViewChange(view)));
                      session->Send(Encode(SyncComplete{}));
                    },
                    [] {}});
    sessions.push_back(session);
  });
  BOOST_REQUIRE(listener);
  EntryNode entry(io, EntrySettings(ControlLink()));
  entry.Start([] {});
  io.run_for(4 * std::chrono::ceil<milliseconds>(load::kReportInterval));
  BOOST_TEST(hellos == 1U);
  BOOST_TEST(others == 0U);
  BOOST_TEST(load::HasTerms(entry.steering().view.catalog));
  BOOST_TEST(entry.load_reporter().reports_sent == 0U);
}

}  // namespace acaciahold::node
