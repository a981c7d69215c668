// Tests the exit codes of the command line, and that error messages name file,
// line, field and value.

#include <filesystem>
#include <fstream>
#include <sstream>

#include <boost/test/unit_test.hpp>

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

}  // namespace acaciahold::standins
