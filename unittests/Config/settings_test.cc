// Tests for reading the settings file and reporting its errors.

#include "acaciahold/Config/settings.h"

#include <filesystem>
#include <fstream>

#include <boost/test/unit_test.hpp>

namespace acaciahold::config {

namespace {

constexpr const char* kValidSettings = R"(name: entry-1
failure_domain: fd1
admin: "10.0.0.1:9090"
roles: [entry]
entry: {packets: "10.0.0.1:1", peer: "10.0.0.1:2", requests: "10.0.0.1:3"}
entry_hosts:
  - {name: entry-2, failure_domain: fd2, peer: "10.0.0.2:2", admin: "10.0.0.2:9"}
control_hosts:
  - {replica_id: 1, admin: "10.0.0.9:9"}
)";

std::vector<FieldError> ReadErrors(const std::string& text) {
  auto path = (std::filesystem::temp_directory_path() /
               ("settings-" + std::to_string(::getpid()) + ".yaml"))
                  .string();
  std::ofstream(path) << text;
  auto file = ReadSettings(path);
  std::filesystem::remove(path);
  BOOST_REQUIRE(bool(file));
  return file->errors;
}

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  return text.replace(text.find(from), from.size(), to);
}

}  // namespace

BOOST_AUTO_TEST_CASE(AcceptsValidSettings) {
  BOOST_TEST(ReadErrors(kValidSettings).empty());
}

BOOST_AUTO_TEST_CASE(ReportsUnknownKey) {
  auto errors = ReadErrors(Replace(kValidSettings, "name:", "nmae:"));
  BOOST_REQUIRE(errors.size() == 2U);
  BOOST_TEST(errors[0].field == "nmae");
  BOOST_TEST(errors[0].line == 1);
}

BOOST_AUTO_TEST_CASE(ReportsHostNameInsteadOfIpAddress) {
  auto errors =
      ReadErrors(Replace(kValidSettings, "10.0.0.1:9090", "localhost:9090"));
  BOOST_REQUIRE(errors.size() == 1U);
  BOOST_TEST(errors[0].field == "admin");
  BOOST_TEST(errors[0].value == "localhost:9090");
  BOOST_TEST(errors[0].line == 3);
}

BOOST_AUTO_TEST_CASE(ReportsFieldOfWrongType) {
  auto errors = ReadErrors(Replace(kValidSettings, "[entry]", "entry"));
  BOOST_REQUIRE(!errors.empty());
  BOOST_TEST(errors[0].field == "roles");
}

BOOST_AUTO_TEST_CASE(ReportsMissingDataFolder) {
  auto text = Replace(kValidSettings, "[entry]", "[entry, control]");
  text += "control: {replica_id: 1, data_folder: \"/no/such/folder\"}\n";
  auto errors = ReadErrors(text);
  BOOST_REQUIRE(errors.size() == 1U);
  BOOST_TEST(errors[0].field == "control.data_folder");
  BOOST_TEST(errors[0].value == "/no/such/folder");
}

BOOST_AUTO_TEST_CASE(ReportsDuplicateEntryHostName) {
  auto errors = ReadErrors(Replace(
      kValidSettings, "control_hosts:",
      "  - {name: entry-2, failure_domain: fd2, peer: \"10.0.0.3:2\", admin: "
      "\"10.0.0.3:9\"}\ncontrol_hosts:"));
  BOOST_REQUIRE(errors.size() == 1U);
  BOOST_TEST(errors[0].field == "entry_hosts[1].name");
}

}  // namespace acaciahold::config
