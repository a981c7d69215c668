// Ordering of upstream records, silence and leaving.

#include "acaciahold/Directory/directory.h"

#include <boost/test/unit_test.hpp>

namespace acaciahold::directory {
namespace {

using std::chrono::milliseconds;

const Instant kStart = FromUnixMillis(1'000'000);

Record MakeRecord(UpstreamId id, int64_t born_ms, uint64_t sequence) {
  Record record;
  record.id = id;
  record.service = "orders";
  record.endpoint = {10, 8080};
  record.failure_domain = "north";
  record.slots = 2;
  record.born_ms = born_ms;
  record.sequence = sequence;
  return record;
}

Record Draining(Record record) {
  record.phase = Phase::kDraining;
  return record;
}

}  // namespace

BOOST_AUTO_TEST_CASE(OnlyNewerRecordsCount) {
  Directory directory;
  BOOST_CHECK(Merge(directory, MakeRecord(1, 5, 2), kStart) ==
              Change::kChanged);
  BOOST_CHECK(Merge(directory, MakeRecord(1, 5, 3), kStart) ==
              Change::kRefreshed);
  BOOST_CHECK(Merge(directory, Draining(MakeRecord(1, 5, 2)), kStart) ==
              Change::kStale);
  BOOST_CHECK(Merge(directory, Draining(MakeRecord(1, 5, 4)), kStart) ==
              Change::kChanged);
}

BOOST_AUTO_TEST_CASE(ANewStartUnderTheSameIdCountsFromAnew) {
  Directory directory;
  Merge(directory, Draining(MakeRecord(1, 5, 90)), kStart);
  BOOST_CHECK(Merge(directory, MakeRecord(1, 6, 1), kStart) ==
              Change::kChanged);
  BOOST_CHECK(directory.entries.at(1).record.phase == Phase::kServing);
  BOOST_CHECK(Merge(directory, MakeRecord(1, 5, 91), kStart) == Change::kStale);
}

BOOST_AUTO_TEST_CASE(WhatHasLeftComesBackOnlyWithANewStart) {
  Directory directory;
  Merge(directory, MakeRecord(1, 5, 3), kStart);
  BOOST_CHECK(Remove(directory, 1, 0, kStart) == Change::kChanged);
  BOOST_CHECK(Remove(directory, 1, 0, kStart) == Change::kStale);
  BOOST_CHECK(Merge(directory, MakeRecord(1, 5, 9), kStart) == Change::kStale);
  BOOST_CHECK(Merge(directory, MakeRecord(1, 6, 1), kStart) ==
              Change::kChanged);
}

BOOST_AUTO_TEST_CASE(LeavingCountsWhereLaterAnnouncementsWereHeard) {
  // Another host took the word of leaving, and had heard less before.
  Directory elsewhere;
  Merge(elsewhere, MakeRecord(1, 5, 3), kStart);
  Remove(elsewhere, 1, 0, kStart);
  Directory directory;
  Merge(directory, MakeRecord(1, 5, 8), kStart);
  BOOST_CHECK(Merge(directory, elsewhere.entries.at(1).record, kStart) ==
              Change::kChanged);
  BOOST_CHECK(directory.entries.at(1).record.phase == Phase::kGone);
}

BOOST_AUTO_TEST_CASE(AWordOfLeavingForAnOlderStartIsStale) {
  Directory directory;
  Merge(directory, MakeRecord(1, 6, 1), kStart);
  BOOST_CHECK(Remove(directory, 1, 5, kStart) == Change::kStale);
  BOOST_CHECK(directory.entries.at(1).record.phase == Phase::kServing);
}

BOOST_AUTO_TEST_CASE(SilenceComesAndGoes) {
  Directory directory;
  auto timeout = SilenceTimeout(milliseconds(1'000));
  Merge(directory, MakeRecord(1, 5, 1), kStart);
  BOOST_TEST(CheckSilence(directory, timeout, kStart + timeout / 2).empty());
  auto later = kStart + timeout;
  BOOST_TEST(CheckSilence(directory, timeout, later).size() == 1U);
  BOOST_TEST(CheckSilence(directory, timeout, later).empty());
  BOOST_CHECK(Refresh(directory, {1, 5, 2}, later) == Change::kChanged);
  BOOST_CHECK(Refresh(directory, {1, 5, 3}, later) == Change::kRefreshed);
  BOOST_CHECK(Refresh(directory, {2, 5, 3}, later) == Change::kStale);
}

// Word of an earlier start comes late from another control host. Taken for the
// later one, its high sequence would hide that this one drains.
BOOST_AUTO_TEST_CASE(WordOfAnEarlierStartChangesNothing) {
  Directory directory;
  Merge(directory, MakeRecord(1, 6, 3), kStart);
  BOOST_CHECK(Refresh(directory, {1, 5, 50}, kStart) == Change::kStale);
  BOOST_CHECK(Merge(directory, Draining(MakeRecord(1, 6, 4)), kStart) ==
              Change::kChanged);
}

BOOST_AUTO_TEST_CASE(WhatIsHeardIsNeverForgotten) {
  Directory directory;
  Merge(directory, MakeRecord(1, 5, 1), kStart);
  Merge(directory, MakeRecord(2, 5, 1), kStart);
  Remove(directory, 2, 0, kStart);
  BOOST_TEST(ForgetOld(directory, kStart + kForgetTimeout / 2).empty());
  auto forgotten = ForgetOld(directory, kStart + kForgetTimeout);
  BOOST_REQUIRE(forgotten.size() == 1U);
  BOOST_TEST(forgotten[0] == 2U);
}

// Two holders that differ only in what has left, in silence that one of them
// noticed first, or in repeated announcements place new flows alike.
BOOST_AUTO_TEST_CASE(TheDigestTellsWhatPlacementSees) {
  Directory directory;
  BOOST_TEST(Digest(directory) == 0U);
  Merge(directory, MakeRecord(1, 5, 1), kStart);
  auto other = directory;
  Merge(other, MakeRecord(1, 5, 8), kStart);
  Merge(other, MakeRecord(2, 5, 1), kStart);
  Remove(other, 2, 0, kStart);
  Merge(other, MakeRecord(3, 5, 1), kStart);
  other.entries.at(3).is_silent = true;
  BOOST_TEST(Digest(other) == Digest(directory));
  auto restarted = directory;
  Merge(restarted, MakeRecord(1, 6, 1), kStart);
  BOOST_TEST(Digest(restarted) != Digest(directory));
  auto draining = directory;
  Merge(draining, Draining(MakeRecord(1, 5, 2)), kStart);
  BOOST_TEST(Digest(draining) != Digest(directory));
  auto silent = directory;
  silent.entries.at(1).is_silent = true;
  BOOST_TEST(Digest(silent) == 0U);
}

// The record of a phase was lost with its link; a third host's word of a later
// announcement must not hide it for good.
BOOST_AUTO_TEST_CASE(ARefreshmentBringsThePhaseOfALostRecord) {
  Directory directory;
  Merge(directory, MakeRecord(1, 5, 1), kStart);
  Refreshment later{1, 5, 3, Phase::kDraining};
  BOOST_CHECK(Refresh(directory, later, kStart) == Change::kChanged);
  BOOST_CHECK(directory.entries.at(1).record.phase == Phase::kDraining);
  BOOST_CHECK(Merge(directory, Draining(MakeRecord(1, 5, 2)), kStart) ==
              Change::kStale);
  later.sequence = 4;
  BOOST_CHECK(Refresh(directory, later, kStart) == Change::kRefreshed);
}

BOOST_AUTO_TEST_CASE(UpstreamsAreListedByService) {
  Directory directory;
  Merge(directory, MakeRecord(1, 5, 1), kStart);
  Merge(directory, MakeRecord(2, 5, 1), kStart);
  auto moved = MakeRecord(1, 6, 1);
  moved.service = "returns";
  Merge(directory, moved, kStart);
  Remove(directory, 2, 0, kStart);
  BOOST_TEST(directory.by_service.at("orders") == std::set<UpstreamId>{2});
  BOOST_TEST(directory.by_service.at("returns") == std::set<UpstreamId>{1});
  ForgetOld(directory, kStart + kForgetTimeout);
  BOOST_TEST(!directory.by_service.contains("orders"));
  BOOST_TEST(directory.by_service.contains("returns"));
}

BOOST_AUTO_TEST_CASE(ColdTimeRunsDownOnTheWay) {
  Directory directory;
  auto record = MakeRecord(1, 5, 1);
  record.cold_ms = 2'000;
  Merge(directory, record, kStart);
  auto later =
      CurrentRecord(directory.entries.at(1), kStart + milliseconds(1'500));
  BOOST_TEST(later.cold_ms == 500U);
  auto warm =
      CurrentRecord(directory.entries.at(1), kStart + milliseconds(2'500));
  BOOST_TEST(warm.cold_ms == 0U);
}

}  // namespace acaciahold::directory
