// Tests the exit codes of the command line, and that error messages name file,
// line, field and value.

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <boost/test/unit_test.hpp>

#include "acaciahold/Operator/connection.h"
#include "child.h"
#include "scenario.h"

namespace acaciahold::standins {

namespace {

struct Fixture {
  Fixture() : folder(TestFolder("command-line")) {
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder);
  }
  ~Fixture() { std::filesystem::remove_all(folder); }

  int Run(std::vector<std::string> arguments) {
    arguments.insert(arguments.begin(), BinaryPath());
    std::filesystem::remove(folder + "/out");
    return RunChild(arguments, folder + "/out");
  }

  std::string Output() const {
    std::ifstream in(folder + "/out");
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
  }

  std::string WriteFile(const std::string& name,
                        const std::string& text) const {
    std::ofstream(folder + "/" + name) << text;
    return folder + "/" + name;
  }

  std::string folder;
};

constexpr const char* kSettings = R"(name: c1
failure_domain: fd1
admin: "127.0.0.1:39999"
roles: [control]
control: {replica_id: 1, data_folder: "FOLDER"}
entry_hosts: []
control_hosts:
  - {replica_id: 1, admin: "127.0.0.1:39999"}
)";

constexpr const char* kContradictingEdit =
    R"({"id":"e","author":"ann","made_at_ms":0,"changes":[{"name":"b",)"
    R"("base_revision":0,"put":{"name":"b","kind":"flow",)"
    R"("address":"10.0.0.1:2","slots":1,"connections":1,"cold":1,)"
    R"("failure_domains":[],"idle_seconds":9,"priority":1,)"
    R"("terms":{"timeout_ms":100,"latency_objective_ms":200}}}]})";

}  // namespace

BOOST_FIXTURE_TEST_CASE(HelpAndVersionExitWithZero, Fixture) {
  BOOST_TEST(Run({"--help"}) == 0);
  BOOST_TEST(Output().find("table apply") != std::string::npos);
  BOOST_TEST(Run({"--version"}) == 0);
  BOOST_TEST(Run({"run", "--help"}) == 0);
}

BOOST_FIXTURE_TEST_CASE(BadUsageExitsWithTwo, Fixture) {
  BOOST_TEST(Run({}) == 2);
  BOOST_TEST(Run({"fly"}) == 2);
  BOOST_TEST(Run({"run"}) == 2);
  BOOST_TEST(Run({"table", "get"}) == 2);
  BOOST_TEST(Run({"table", "get", "--control", "localhost:1"}) == 2);
  BOOST_TEST(Run({"--no-such-option"}) == 2);
}

BOOST_FIXTURE_TEST_CASE(InvalidSettingsAreRejected, Fixture) {
  auto path = WriteFile("bad.yaml",
                        "name: c1\nfailure_domain: fd1\n"
                        "admin: \"host:1\"\nroles: [control]\n");
  BOOST_TEST(Run({"check", "--config", path}) == 2);
  BOOST_TEST(Output().find(path + ":3: field 'admin' has value 'host:1'") !=
             std::string::npos);
  BOOST_TEST(Run({"run", "--config", path}) == 2);
  BOOST_TEST(Run({"run", "--config", folder + "/none.yaml"}) == 2);
}

BOOST_FIXTURE_TEST_CASE(InvalidToleranceIsRejected, Fixture) {
  auto host = WriteFile("host.yaml", kSettings);
  BOOST_TEST(Run({"run", "--config", host, "--tolerated-disk-losses=2"}) == 2);
  BOOST_TEST(Output().find("the field 'node'") != std::string::npos);
  auto node = WriteFile(
      "node.yaml",
      "node: {name: c1, role: control, failure_domain: a, address: 127.0.0.1,"
      " link_port: 1, seeds: [\"127.0.0.1:2\"], admin: \"127.0.0.1:2\","
      " data_folder: /nowhere, announcement_interval_ms: 700,"
      " grace_ms: 6000}\n");
  for (const char* value : {"-1", "two", "1001"}) {
    BOOST_TEST(Run({"run", "--config", node,
                    std::string("--tolerated-disk-losses=") + value}) == 2);
    BOOST_TEST(Output().find("'" + std::string(value) + "'") !=
               std::string::npos);
  }
}

BOOST_FIXTURE_TEST_CASE(RunRequiresAnInitializedDataFolder, Fixture) {
  std::string text = kSettings;
  text.replace(text.find("FOLDER"), 6, folder);
  auto path = WriteFile("good.yaml", text);
  BOOST_TEST(Run({"check", "--config", path}) == 0);
  BOOST_TEST(Run({"run", "--config", path}) == 1);
  BOOST_TEST(Output().find("acaciahold init") != std::string::npos);
  BOOST_TEST(Run({"init", "--config", path}) == 0);
  BOOST_TEST(Run({"init", "--config", path}) == 1);
}

BOOST_FIXTURE_TEST_CASE(TableGetFailsIfNoControlHostAnswers, Fixture) {
  BOOST_TEST(Run({"table", "get", "--control", "127.0.0.1:39998"}) == 1);
  BOOST_TEST(Output().find("no control host answered") != std::string::npos);
}

BOOST_FIXTURE_TEST_CASE(TableApplyReportsAllErrors, Fixture) {
  auto path = WriteFile("table.yaml",
                        "services:\n  - name: a\n    kind: flaw\n"
                        "    address: \"10.0.0.1\"\n    limits: {slots: 0}\n"
                        "    failure_domains: [fd1]\n");
  BOOST_TEST(Run({"table", "apply", path, "--control", "127.0.0.1:39998"}) ==
             1);
  for (auto field :
       {"services[0].kind", "services[0].address", "services[0].limits.slots",
        "services[0].limits.connections"}) {
    BOOST_TEST(Output().find(field) != std::string::npos, field);
  }
}

// Guards against errors that only hosts report, and against warnings that stop
// a release.
BOOST_FIXTURE_TEST_CASE(TableCheckFailsOnErrorsAndNotOnWarnings, Fixture) {
  const std::string row =
      "services:\n  - name: a\n    kind: flow\n    address: \"10.0.0.1:1\"\n"
      "    failure_domains: []\n"
      "    limits: {slots: 1, connections: 2, cold: 1}\n";
  auto path = WriteFile("table.yaml", row);
  BOOST_TEST(Run({"table", "check", path}) == 0);
  BOOST_TEST(Output().find("warning: " + path +
                           ":2: field 'a.failure_domains' has value "
                           "'(empty)'") != std::string::npos);
  BOOST_TEST(Output().find(path + ": 0 errors, 1 warnings") !=
             std::string::npos);
  WriteFile("table.yaml",
            row + "    terms: {timeout_ms: 1, latency_objective_ms: 2}\n");
  BOOST_TEST(Run({"table", "check", path}) == 1);
  BOOST_TEST(Output().find(path +
                           ":7: field 'services[0].terms.latency_objective_ms' "
                           "has value '2', expected at most timeout_ms, 1") !=
             std::string::npos);
  BOOST_TEST(Run({"table", "check", folder + "/none.yaml"}) == 1);
  BOOST_TEST(Run({"table", "check"}) == 2);
  BOOST_TEST(Run({"table", "check", path, "--control", "localhost:1"}) == 2);
  WriteFile("table.yaml", row);
  BOOST_TEST(Run({"table", "check", path, "--control", "127.0.0.1:39998"}) ==
             1);
  BOOST_TEST(Output().find("no control host answered") != std::string::npos);
  BOOST_TEST(Output().find("0 errors, 1 warnings") != std::string::npos);
  WriteFile("table.yaml", R"({"version":1,"services":[{"name":"s"}],)"
                          R"("routes":[]})");
  BOOST_TEST(Run({"table", "check", path}) == 0);
  BOOST_TEST(Output().find("'services.s'") != std::string::npos);
  BOOST_TEST(Run({"table", "check", path, "--control", "127.0.0.1:39998"}) ==
             2);
}

// Guards against a check that misses what an apply would undo, and against
// terms that are lost on their way to the table in force.
BOOST_FIXTURE_TEST_CASE(TableCheckComparesWithTheTableInForce, Fixture) {
  const char* network = std::getenv("ACACIAHOLD_TEST_NETWORK");
  const std::string admin =
      "127." + std::string(network ? network : "1") + ".0.9:39997";
  std::string settings = kSettings;
  settings.replace(settings.find("FOLDER"), 6, folder + "/data");
  for (size_t at = 0;
       (at = settings.find("127.0.0.1:39999")) != settings.npos;) {
    settings.replace(at, 15, admin);
  }
  auto config = WriteFile("c1.yaml", settings);
  std::filesystem::create_directories(folder + "/data");
  BOOST_REQUIRE(Run({"init", "--config", config}) == 0);
  Child host({BinaryPath(), "run", "--config", config}, folder + "/log");
  const std::string row =
      "services:\n  - name: a\n    kind: flow\n    address: \"10.0.0.1:1\"\n"
      "    failure_domains: [fd1]\n"
      "    limits: {slots: 1, connections: 2, cold: 1}\n";
  auto path = WriteFile("table.yaml", row + "    terms: {timeout_ms: 900}\n");
  std::vector<std::string> apply{"table",     "apply", path,
                                 "--control", admin,   "--no-wait"};
  for (int i = 0; i < 50 && Run(apply) != 0; ++i) {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
  }
  std::vector<std::string> check{"table", "check", path, "--control", admin};
  BOOST_TEST(Run(check) == 0);
  BOOST_TEST(Output().find("nothing to change at revision 1") !=
             std::string::npos);
  WriteFile("table.yaml",
            "# revision 0\n" + row + "    terms: {timeout_ms: 800}\n");
  BOOST_TEST(Run(check) == 0);
  for (auto text : {"terms: {timeout_ms: 900}", "terms: {timeout_ms: 800}",
                    "an apply would be accepted as revision 2",
                    "'a' has value 'revision 1', expected at most revision 0",
                    ": 0 errors, 1 warnings"}) {
    BOOST_TEST(Output().find(text) != std::string::npos, text);
  }
  // An edit that no file was read for.
  const std::vector<Endpoint> hosts{*ParseEndpoint(admin)};
  auto refused = op::SendWithFailover(hosts, http::Verb::post, "/v1/edits",
                                      kContradictingEdit);
  BOOST_TEST(refused.status == 422U);
  BOOST_TEST(Run(check) == 0);
  BOOST_TEST(Output().find("as revision 2") != std::string::npos);
  host.Signal(SIGTERM);
  BOOST_TEST(host.Wait() == 0);
}

}  // namespace acaciahold::standins
