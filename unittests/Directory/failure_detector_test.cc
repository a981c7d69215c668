// Tests the detection of failing upstreams from the reports of all entry hosts.

#include "acaciahold/Directory/failure_detector.h"

#include <random>

#include <boost/test/unit_test.hpp>

namespace acaciahold::directory {
namespace {

using std::chrono::milliseconds;

const Instant kStart = FromUnixMillis(1'000'000);
constexpr UpstreamId kUpstreams = 60;

Directory MakeDirectory() {
  Directory directory;
  for (UpstreamId id = 1; id <= kUpstreams; ++id) {
    Record record;
    record.id = id;
    record.service = id % 3 == 0 ? "ledger" : "orders";
    record.endpoint = {static_cast<uint32_t>(id), 80};
    record.born_ms = 1;
    Merge(directory, record, kStart);
  }
  return directory;
}

// Simulates `hosts` entry hosts that each handle `per_second` requests per
// second for a duration of `time`. All requests to upstreams with ids up to
// `hung` fail, and `lost` percent of the others. Returns the time from the
// start until each upstream was first suspected.
std::map<UpstreamId, Duration> SimulateReports(int hosts,
                                               double per_second,
                                               UpstreamId hung,
                                               int lost,
                                               milliseconds time) {
  std::mt19937_64 random(7);
  auto directory = MakeDirectory();
  FailureDetector detector;
  std::map<UpstreamId, Duration> suspected;
  milliseconds step(200);
  std::poisson_distribution<int> requests(per_second * 0.2);
  for (milliseconds at(0); at < time; at += step) {
    for (int host = 0; host < hosts; ++host) {
      std::vector<UpstreamFailures> failures;
      for (int n = requests(random); n > 0; --n) {
        UpstreamId id = random() % kUpstreams + 1;
        if (id <= hung || static_cast<int>(random() % 100) < lost) {
          failures.push_back({id, 1});
        }
      }
      OnFailureReport(detector, "host-" + std::to_string(host), failures,
                      kStart + at);
    }
    for (auto id : FindNewSuspects(detector, directory, kStart + at)) {
      suspected.try_emplace(id, at);
    }
  }
  return suspected;
}

}  // namespace

// Each of 80 hosts sends a given upstream one request every four seconds, too
// few to detect a failure alone. 6 of 60 upstreams hang.
BOOST_AUTO_TEST_CASE(HungUpstreamsAreSuspectedWithinOneSecond) {
  auto suspected = SimulateReports(80, 15, 6, 0, milliseconds(3'000));
  BOOST_REQUIRE(suspected.size() == 6U);
  for (const auto& [id, after] : suspected) {
    BOOST_TEST(id <= 6U);
    BOOST_TEST((after <= milliseconds(1'000)));
  }
}

BOOST_AUTO_TEST_CASE(LostPacketsCauseNoSuspicion) {
  BOOST_TEST(SimulateReports(80, 15, 0, 3, milliseconds(20'000)).empty());
}

// If a whole service is overloaded, suspecting some of its upstreams would
// overload the others even more.
BOOST_AUTO_TEST_CASE(OverloadOfAllUpstreamsCausesNoSuspicion) {
  BOOST_TEST(
      SimulateReports(80, 15, kUpstreams, 0, milliseconds(5'000)).empty());
}

BOOST_AUTO_TEST_CASE(ReportsOfOneHostCauseNoSuspicion) {
  BOOST_TEST(SimulateReports(1, 200, 2, 0, milliseconds(3'000)).empty());
}

BOOST_AUTO_TEST_CASE(SuspicionIsReturnedOnceAndExpires) {
  auto directory = MakeDirectory();
  FailureDetector detector;
  std::vector<UpstreamFailures> failures{{1, 6}};
  OnFailureReport(detector, "a", failures, kStart);
  OnFailureReport(detector, "b", failures, kStart);
  BOOST_TEST((FindNewSuspects(detector, directory, kStart) ==
              std::vector<UpstreamId>{1}));
  BOOST_TEST(FindNewSuspects(detector, directory, kStart + kEvaluationInterval)
                 .empty());
  // The reports have expired before the suspicion does.
  Instant later = kStart + kSuspicionDuration;
  BOOST_TEST(FindNewSuspects(detector, directory, later).empty());
  BOOST_TEST(detector.suspected.empty());
}

// A control host notifies its entry hosts once, even if several control hosts
// report the same suspicion.
BOOST_AUTO_TEST_CASE(RepeatedSuspicionIsNotNew) {
  FailureDetector detector;
  BOOST_TEST(MarkSuspected(detector, 1, kStart));
  BOOST_TEST(!MarkSuspected(detector, 1, kStart + milliseconds(10)));
  BOOST_TEST(MarkSuspected(detector, 1, kStart + kSuspicionDuration));
}

BOOST_AUTO_TEST_CASE(DrainingOrUnknownUpstreamIsNotSuspected) {
  auto directory = MakeDirectory();
  directory.entries.at(1).record.phase = Phase::kDraining;
  FailureDetector detector;
  std::vector<UpstreamFailures> failures{{1, 9}, {999, 9}};
  OnFailureReport(detector, "a", failures, kStart);
  OnFailureReport(detector, "b", failures, kStart);
  BOOST_TEST(FindNewSuspects(detector, directory, kStart).empty());
}

}  // namespace acaciahold::directory
