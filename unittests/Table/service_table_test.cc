// Tests for applying edits to the service table, validating its rows and
// reading its file format.

#include "acaciahold/Table/service_table.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "acaciahold/Table/table_json.h"
#include "acaciahold/Table/table_yaml.h"

namespace acaciahold::table {

namespace {

ServiceRow MakeRow(const std::string& name, uint16_t port) {
  ServiceRow row;
  row.name = name;
  row.address = {0x0a090001, port};
  row.limits = {3, 2000, 50};
  row.failure_domains = {{"fd1", 100}, {"fd2", 50}};
  return row;
}

Edit MakePutEdit(const std::string& id,
                 uint64_t base_revision,
                 const ServiceRow& row) {
  return {id, "ann", FromUnixMillis(1), {{row.name, base_revision, row}}};
}

constexpr const char* kTableFile = R"(services:
  - name: stock-feed
    kind: flow
    address: "10.9.0.1:7000"
    limits: {slots: 3, connections: 2000, cold: 50}
    failure_domains: [fd2, fd1]
    weights: {fd2: 50}
)";

}  // namespace

BOOST_AUTO_TEST_CASE(AcceptsEditAndIncrementsRevision) {
  TableState state;
  auto outcome = ApplyEdit(state, MakePutEdit("e1", 0, MakeRow("feed", 1)));
  BOOST_CHECK(outcome.verdict == EditVerdict::kAccepted);
  BOOST_TEST(outcome.revision == 1U);
  BOOST_TEST(state.table.rows.at(0).revision == 1U);
  BOOST_TEST(state.history.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ReturnsFirstOutcomeForResentEdit) {
  TableState state;
  ApplyEdit(state, MakePutEdit("e1", 0, MakeRow("feed", 1)));
  ApplyEdit(state, MakePutEdit("e2", 1, MakeRow("feed", 2)));
  auto resent = MakePutEdit("e1", 0, MakeRow("feed", 1));
  resent.proposed_at = FromUnixMillis(99);
  auto outcome = ApplyEdit(state, resent);
  BOOST_CHECK(outcome.verdict == EditVerdict::kAccepted);
  BOOST_TEST(outcome.revision == 1U);
  BOOST_TEST(state.table.revision == 2U);
}

BOOST_AUTO_TEST_CASE(RejectsReusedIdWithDifferentContent) {
  TableState state;
  ApplyEdit(state, MakePutEdit("e1", 0, MakeRow("feed", 1)));
  auto outcome = ApplyEdit(state, MakePutEdit("e1", 1, MakeRow("feed", 2)));
  BOOST_CHECK(outcome.verdict == EditVerdict::kReusedId);
  BOOST_TEST(state.table.revision == 1U);
}

BOOST_AUTO_TEST_CASE(ReturnsCurrentRowsOnConflict) {
  TableState state;
  ApplyEdit(state, MakePutEdit("e1", 0, MakeRow("feed", 1)));
  auto outcome = ApplyEdit(state, MakePutEdit("e2", 0, MakeRow("feed", 2)));
  BOOST_CHECK(outcome.verdict == EditVerdict::kConflict);
  BOOST_TEST(outcome.conflicting_rows.at(0).service.address.port == 1);
  BOOST_TEST(outcome.conflicting_rows.at(0).revision == 1U);
}

BOOST_AUTO_TEST_CASE(ReportsAllErrorsOfInvalidEdit) {
  TableState state;
  ApplyEdit(state, MakePutEdit("e1", 0, MakeRow("feed", 1)));
  auto invalid = MakeRow("Bad Name", 1);
  invalid.limits.cold = 3000;
  auto outcome = ApplyEdit(state, MakePutEdit("e2", 0, invalid));
  BOOST_CHECK(outcome.verdict == EditVerdict::kInvalid);
  BOOST_TEST(outcome.errors.size() == 3U);
  BOOST_TEST(state.table.rows.size() == 1U);
}

BOOST_AUTO_TEST_CASE(RoundTripsStateThroughJson) {
  TableState state;
  ApplyEdit(state, MakePutEdit("e1", 0, MakeRow("feed", 1)));
  ApplyEdit(state, MakePutEdit("e2", 0, MakeRow("feed", 2)));
  auto copy =
      StateFromJson(boost::json::parse(boost::json::serialize(ToJson(state))));
  BOOST_REQUIRE(bool(copy));
  BOOST_CHECK(copy->table == state.table);
  BOOST_TEST(copy->history.size() == state.history.size());
  auto resent = ApplyEdit(*copy, MakePutEdit("e2", 0, MakeRow("feed", 2)));
  BOOST_CHECK(resent.verdict == EditVerdict::kConflict);
}

BOOST_AUTO_TEST_CASE(RoundTripsTableFile) {
  auto file = ReadTableText(kTableFile, "table.yaml");
  BOOST_REQUIRE(bool(file));
  BOOST_REQUIRE(file->errors.empty());
  const auto& row = file->rows.at(0);
  BOOST_TEST(WeightOf(row, "fd1") == 100U);
  BOOST_TEST(WeightOf(row, "fd2") == 50U);
  BOOST_TEST(WeightOf(row, "fd3") == 0U);
  VersionedRow versioned{row, 4};
  auto reread = ReadTableText(WriteTableText({&versioned, 1}), "again");
  BOOST_REQUIRE(bool(reread));
  BOOST_CHECK(reread->rows.at(0) == row);
}

BOOST_AUTO_TEST_CASE(ReportsFileLineFieldAndValueOfEachError) {
  std::string text = kTableFile;
  text.replace(text.find("flow"), 4, "flaw");
  text.replace(text.find("slots: 3"), 8, "slots: x");
  auto file = ReadTableText(text, "table.yaml");
  BOOST_REQUIRE(bool(file));
  BOOST_REQUIRE(file->errors.size() == 2U);
  BOOST_TEST(
      Describe(file->errors[0]) ==
      "table.yaml:3: field 'services[0].kind' has value 'flaw', expected "
      "flow or request");
  BOOST_TEST(file->errors[1].line == 5);
  BOOST_TEST(file->errors[1].field == "services[0].limits.slots");
}

}  // namespace acaciahold::table
