// From lines to causes.

#include "acaciahold/Explain/story.h"

#include <sstream>

#include <boost/test/unit_test.hpp>

namespace acaciahold::explain {
namespace {

const Question kQuestion{"10.0.0.1:4000", "", std::nullopt};

std::vector<LogLine> Read(const std::string& text) {
  std::istringstream in(text);
  return ReadLogFile(in).lines;
}

// An entry host that knows upstream 7 and places the flow there at 2,000 ms.
const std::string kPlaced =
    R"({"at_ms":1000,"host":"entry-1","event":"started"}
{"at_ms":1100,"host":"entry-1","event":"table_changed","version":4,"revision":9}
{"at_ms":1200,"host":"entry-1","event":"upstream_changed","upstream":7,"phase":"serving","born_ms":500,"cold_ms":0}
{"at_ms":1300,"host":"entry-1","event":"upstream_changed","upstream":8,"phase":"serving","born_ms":600,"cold_ms":0}
{"at_ms":2000,"host":"entry-1","event":"flow_placed","caller":"10.0.0.1:4000","listener":"198.18.0.1:443","outcome":"placed","upstream":7}
)";

std::string Decision(int64_t at_ms, const std::string& fields) {
  return R"({"at_ms":)" + std::to_string(at_ms) +
         R"(,"host":"entry-1","caller":"10.0.0.1:4000",)" + fields + "}\n";
}

}  // namespace

BOOST_AUTO_TEST_CASE(LinesAreReadBehindWhatCollectorsPutBeforeThem) {
  auto line = ReadLogLine(
      R"(  45.1 entry-1 {"at_ms":5,"host":"entry-1","event":"started"})");
  BOOST_REQUIRE(line);
  BOOST_TEST(line->at_ms == 5);
  BOOST_TEST(line->host == "entry-1");
  BOOST_TEST(line->event == "started");
  std::istringstream in("no event\n{\"half\":\n{\"at_ms\":1}\n");
  auto file = ReadLogFile(in);
  BOOST_TEST(file.lines.empty());
  BOOST_TEST(file.unreadable == 3U);
}

BOOST_AUTO_TEST_CASE(AFlowThatNobodySawIsSaidSo) {
  auto story = Explain(Read(""), kQuestion);
  BOOST_TEST(CauseName(story.cause) == "not_seen");
}

BOOST_AUTO_TEST_CASE(AServedFlowHasItsBeliefsAndTheirAge) {
  auto story = Explain(Read(kPlaced), kQuestion);
  BOOST_TEST(CauseName(story.cause) == "served");
  // The start, the table, upstream 7 and the decision; not upstream 8.
  BOOST_REQUIRE(story.lines.size() == 4U);
  BOOST_CHECK(story.lines[2].part == Part::kBelief);
  BOOST_TEST(story.lines[2].age_ms.value_or(0) == 800);
  BOOST_CHECK(story.lines[3].part == Part::kDecision);
}

BOOST_AUTO_TEST_CASE(ATurnedAwayCallerIsToldWhy) {
  auto story = Explain(
      Read(Decision(
          2'500,
          R"("event":"flow_reset","outcome":"no_upstream","upstream":0)")),
      kQuestion);
  BOOST_TEST(CauseName(story.cause) == "no_upstream");
  story = Explain(
      Read(Decision(
          2'500,
          R"("event":"flow_reset","outcome":"no_listener","upstream":0)")),
      kQuestion);
  BOOST_TEST(CauseName(story.cause) == "no_listener");
}

BOOST_AUTO_TEST_CASE(ALostUpstreamIsFoundOnWhicheverHostKnewOfIt) {
  std::string lost =
      kPlaced + Decision(3'000, R"("event":"request_repeated","upstream":7)");
  auto silent =
      lost +
      R"({"at_ms":5500,"host":"control-2","event":"upstream_changed","upstream":7,"phase":"serving","born_ms":500,"outcome":"silent"})";
  BOOST_TEST(CauseName(Explain(Read(silent), kQuestion).cause) ==
             "upstream_lost");
  auto reborn =
      lost +
      R"({"at_ms":3500,"host":"entry-1","event":"upstream_changed","upstream":7,"phase":"serving","born_ms":3400})";
  BOOST_TEST(CauseName(Explain(Read(reborn), kQuestion).cause) ==
             "upstream_lost");
  auto other =
      lost +
      R"({"at_ms":3500,"host":"entry-1","event":"upstream_changed","upstream":8,"phase":"gone","born_ms":600})";
  BOOST_TEST(CauseName(Explain(Read(other), kQuestion).cause) ==
             "upstream_slow");
}

BOOST_AUTO_TEST_CASE(ASlowUpstreamIsToldFromAColdOne) {
  auto repeated = Decision(2'300, R"("event":"request_repeated","upstream":7)");
  BOOST_TEST(CauseName(Explain(Read(kPlaced + repeated), kQuestion).cause) ==
             "upstream_slow");
  auto cold = kPlaced;
  cold.replace(cold.find(R"("cold_ms":0)"), 11, R"("cold_ms":2000)");
  BOOST_TEST(CauseName(Explain(Read(cold + repeated), kQuestion).cause) ==
             "upstream_cold");
}

BOOST_AUTO_TEST_CASE(APartitionIsTheCauseWhereTheHostWasCutOff) {
  auto cut =
      kPlaced +
      R"({"at_ms":2400,"host":"entry-1","event":"reach_changed","is_cut_off":true})";
  BOOST_TEST(CauseName(Explain(Read(cut), kQuestion).cause) == "host_cut_off");
}

// A control host on the same side of the partition no longer hears the
// upstream, which lives on: an incident was first put down to the upstream.
BOOST_AUTO_TEST_CASE(SilenceBehindAPartitionIsNoLostUpstream) {
  auto silent =
      kPlaced +
      R"({"at_ms":4500,"host":"control-2","event":"upstream_changed","upstream":7,"phase":"serving","born_ms":500,"outcome":"silent"}
)";
  auto cut =
      R"({"at_ms":2400,"host":"entry-1","event":"reach_changed","is_cut_off":true})";
  BOOST_TEST(CauseName(Explain(Read(silent), kQuestion).cause) ==
             "upstream_lost");
  BOOST_TEST(CauseName(Explain(Read(silent + cut), kQuestion).cause) ==
             "host_cut_off");
}

BOOST_AUTO_TEST_CASE(AnUpstreamThatWasSilentBeforeIsLost) {
  auto known = kPlaced;
  known.insert(known.find(R"({"at_ms":2000)"),
               "{\"at_ms\":1500,\"host\":\"entry-1\",\"event\":\"upstream_"
               "silent\",\"upstream\":7}\n");
  BOOST_TEST(CauseName(Explain(Read(known), kQuestion).cause) ==
             "upstream_lost");
}

BOOST_AUTO_TEST_CASE(OtherFlowsOfThePortAreLeftOut) {
  Question question = kQuestion;
  question.at_ms = 200'000;
  BOOST_TEST(CauseName(Explain(Read(kPlaced), question).cause) == "not_seen");
  question.at_ms = 2'500;
  question.listener = "198.18.0.2:443";
  BOOST_TEST(CauseName(Explain(Read(kPlaced), question).cause) == "not_seen");
}

BOOST_AUTO_TEST_CASE(WhatTheLogsLackIsSaid) {
  auto lines =
      kPlaced +
      R"({"at_ms":2600,"host":"entry-1","event":"lines_left_out","of":"flow_placed","lines":12})";
  auto story = Explain(Read(lines), kQuestion);
  BOOST_TEST(story.left_out == 12U);
  BOOST_TEST(FormatStory(story).find("12 lines") != std::string::npos);
}

}  // namespace acaciahold::explain
