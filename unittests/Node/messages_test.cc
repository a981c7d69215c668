// Tests the encoding of messages between hosts, and the settings of hosts that
// discover their group.

#include "acaciahold/Node/messages.h"

#include <filesystem>
#include <fstream>

#include <boost/test/unit_test.hpp>

#include "acaciahold/Node/node_settings.h"

namespace acaciahold::node {
namespace {

template <typename T>
T RoundTrip(const T& message) {
  auto decoded = DecodeMessage(Encode(message));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_REQUIRE(std::holds_alternative<T>(*decoded));
  return std::get<T>(*decoded);
}

std::string WriteSettings(const std::string& text) {
  auto path = std::filesystem::temp_directory_path() /
              ("acaciahold-node-settings-" + std::to_string(::getpid()));
  std::ofstream(path) << text;
  return path;
}

constexpr const char* kControl =
    "node:\n"
    "  name: c1\n"
    "  role: control\n"
    "  failure_domain: north\n"
    "  address: 10.0.0.1\n"
    "  link_port: 7000\n"
    "  seeds:\n"
    "    - 10.0.0.1:8000\n"
    "    - 10.0.0.2:8000\n"
    "  admin: 10.0.0.1:8000\n"
    "  data_folder: /data\n"
    "  founds_group: true\n"
    "  announcement_interval_ms: 770\n"
    "  grace_ms: 6000\n";

}  // namespace

BOOST_AUTO_TEST_CASE(MessagesSurviveARoundTrip) {
  auto hello = RoundTrip(Hello{"h", true, {1, 2}, "north", 9, 1ULL << 63U});
  BOOST_TEST(hello.name == "h");
  BOOST_TEST(hello.is_control);
  BOOST_CHECK(hello.link == (Endpoint{1, 2}));
  BOOST_TEST(hello.revision == 9U);
  BOOST_TEST(hello.directory_digest == 1ULL << 63U);
  auto leave = RoundTrip(LeaveMessage{7, {5, 6}});
  BOOST_TEST(leave.id == 7U);
  BOOST_CHECK(leave.from == (Endpoint{5, 6}));
  BOOST_TEST(RoundTrip(LeaveAnswerMessage{true}).is_member);
  LogMessage log;
  log.from = {3, 4};
  log.message.kind = consensus::MessageKind::kAppend;
  log.message.read_round = 9;
  log.message.entries = {{1, 1, consensus::EntryKind::kCommand, "x"}};
  auto log_back = RoundTrip(log);
  BOOST_CHECK(log_back.from == log.from);
  BOOST_TEST(log_back.message.read_round == 9U);
  BOOST_CHECK(log_back.message.entries == log.message.entries);
  auto join = RoundTrip(JoinMessage{{5, 6, {7, 8}}});
  BOOST_TEST(join.request.id == 5U);
  BOOST_TEST(join.request.instance == 6U);
  UpstreamRecords records;
  records.records.emplace_back().id = 11;
  records.is_whole = true;
  auto records_back = RoundTrip(records);
  BOOST_REQUIRE(records_back.records.size() == 1U);
  BOOST_TEST(records_back.records[0].id == 11U);
  BOOST_TEST(records_back.is_whole);
  auto refreshes =
      RoundTrip(RefreshNotices{{{1, 2, 3, directory::Phase::kServing},
                                {4, 5, 6, directory::Phase::kDraining}}});
  BOOST_TEST(refreshes.notices[1].born_ms == 5);
  BOOST_TEST(refreshes.notices[1].sequence == 6U);
  BOOST_CHECK(refreshes.notices[1].phase == directory::Phase::kDraining);
  BOOST_TEST(RoundTrip(SilentUpstreams{{1, 2}}).ids[1] == 2U);
  ControlHosts hosts{{{{1, 2}, "north"}}};
  BOOST_CHECK(RoundTrip(hosts).hosts == hosts.hosts);
  BOOST_TEST(RoundTrip(FeedStatus{true}).is_current);
  RoundTrip(SyncComplete{});
  RoundTrip(SameDirectory{});
  auto entry_hosts = RoundTrip(EntryHosts{{"e1", "e2"}, true});
  BOOST_TEST(entry_hosts.names[1] == "e2");
  BOOST_TEST(entry_hosts.understand_flow_tags.value_or(false));
  auto count = RoundTrip(EntryHostCount{7, FlowTagSupport::kAll});
  BOOST_TEST(count.count == 7U);
  BOOST_CHECK(count.flow_tag_support == FlowTagSupport::kAll);
  catalog::ViewChange change;
  change.revision = 4;
  BOOST_CHECK(RoundTrip(change) == change);
  BOOST_TEST(RoundTrip(ViewRequest{8}).revision == 8U);
}

BOOST_AUTO_TEST_CASE(LoadMessagesSurviveARoundTrip) {
  LoadReport report;
  report.responses.push_back({7, {1, 443}, 1, 1, 40'000, 0, 0});
  BOOST_CHECK(RoundTrip(report) == report);
  LoadSums sums;
  load::AddReport(sums, "north", report);
  BOOST_CHECK(RoundTrip(sums) == sums);
  LoadDigest digest;
  digest.reporters = 3;
  BOOST_CHECK(RoundTrip(digest) == digest);
}

// Guards against load messages to hosts of earlier versions, which refuse them.
BOOST_AUTO_TEST_CASE(HelloOfAnEarlierVersionDoesNotUnderstandLoad) {
  Hello hello;
  hello.name = "h";
  hello.understands_load = true;
  BOOST_TEST(RoundTrip(hello).understands_load);
  auto decoded = DecodeMessage(wire::EncodeControlMessage(wire::Document{
      R"({"kind":"hello","name":"h","is_control":false,"link":0,)"
      R"("failure_domain":"north","revision":0,"directory_digest":0})"}));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST(!std::get<Hello>(*decoded).understands_load);
}

// Guards against flow tags in packets that reach entry hosts of an earlier
// version, which drop them.
BOOST_AUTO_TEST_CASE(HostsOfAnEarlierVersionDoNotUnderstandFlowTags) {
  auto decode = [](std::string text) {
    return DecodeMessage(
        wire::EncodeControlMessage(wire::Document{std::move(text)}));
  };
  Hello hello;
  hello.understands_flow_tags = true;
  BOOST_TEST(RoundTrip(hello).understands_flow_tags);
  auto old_hello =
      decode(R"({"kind":"hello","name":"h","is_control":false,"link":0,)"
             R"("failure_domain":"north","revision":0,"directory_digest":0})");
  BOOST_REQUIRE(old_hello.has_value());
  BOOST_TEST(!std::get<Hello>(*old_hello).understands_flow_tags);
  auto old_hosts = decode(R"({"kind":"entry_hosts","names":["e1"]})");
  BOOST_REQUIRE(old_hosts.has_value());
  BOOST_TEST(
      !std::get<EntryHosts>(*old_hosts).understand_flow_tags.has_value());
  for (const auto* text : {R"({"kind":"entry_count","count":7})",
                           R"({"kind":"entry_count","count":7,)"
                           R"("flow_tag_support":9})"}) {
    auto count = decode(text);
    BOOST_REQUIRE(count.has_value());
    BOOST_CHECK(std::get<EntryHostCount>(*count).flow_tag_support ==
                FlowTagSupport::kNotAll);
  }
}

BOOST_AUTO_TEST_CASE(MalformedMessagesAreRejected) {
  for (std::string_view text :
       {"", "{", "[]", "{\"kind\":\"what\"}", "{\"kind\":\"hello\"}",
        "{\"kind\":\"hosts\",\"hosts\":[1]}"}) {
    BOOST_CHECK(!DecodeMessage(text));
    BOOST_CHECK(!DecodeMessage(
        wire::EncodeControlMessage(wire::Document{std::string(text)})));
  }
}

BOOST_AUTO_TEST_CASE(ValidSettingsAreRead) {
  auto path = WriteSettings(kControl);
  BOOST_TEST(IsNodeSettings(path));
  auto file = ReadNodeSettings(path);
  BOOST_REQUIRE(file.has_value());
  BOOST_TEST(file->errors.empty());
  BOOST_TEST(file->settings.founds_group);
  BOOST_TEST(!file->settings.tolerated_disk_losses.has_value());
  auto links = SeedLinks(file->settings);
  BOOST_REQUIRE(links.size() == 2U);
  BOOST_TEST(FormatEndpoint(links[1]) == "10.0.0.2:7000");
}

BOOST_AUTO_TEST_CASE(ToleratedDiskLossesAreReadAndChecked) {
  std::string field = "  tolerated_disk_losses: ";
  auto file = ReadNodeSettings(WriteSettings(kControl + field + "2\n"));
  BOOST_REQUIRE(file.has_value());
  BOOST_TEST(file->errors.empty());
  BOOST_TEST(file->settings.tolerated_disk_losses.value_or(0) == 2U);
  for (const char* value : {"-1", "1001", "two"}) {
    file = ReadNodeSettings(WriteSettings(kControl + field + value + "\n"));
    BOOST_REQUIRE(file.has_value());
    BOOST_REQUIRE(file->errors.size() == 1U);
    BOOST_TEST(file->errors[0].field == "node.tolerated_disk_losses");
    BOOST_TEST(file->errors[0].value == value);
  }
}

BOOST_AUTO_TEST_CASE(InvalidSettingsReportFieldAndValue) {
  std::string text = kControl;
  text.replace(text.find("link_port: 7000"), 15, "link_port: 70000");
  text.replace(text.find("10.0.0.2:8000"), 13, "not-an-address");
  text.replace(text.find("role: control"), 13, "role: both");
  auto file = ReadNodeSettings(WriteSettings(text));
  BOOST_REQUIRE(file.has_value());
  BOOST_REQUIRE(file->errors.size() == 3U);
  BOOST_TEST(file->errors[0].field == "node.link_port");
  BOOST_TEST(file->errors[0].value == "70000");
  BOOST_TEST(file->errors[1].field == "node.seeds");
  BOOST_TEST(file->errors[2].field == "node.role");
}

BOOST_AUTO_TEST_CASE(OtherFilesAreNotNodeSettings) {
  BOOST_TEST(!IsNodeSettings(WriteSettings("name: x\n")));
  BOOST_TEST(!IsNodeSettings("/nowhere/at/all"));
}

BOOST_AUTO_TEST_CASE(FailureReportsAndSuspectsSurviveARoundTrip) {
  FailureReport report{{{7, 2}, {9, 1}}};
  BOOST_TEST((RoundTrip(report).failures == report.failures));
  SuspectedUpstreams suspects{{7, 9}};
  BOOST_TEST((RoundTrip(suspects).ids == suspects.ids));
}

}  // namespace acaciahold::node
