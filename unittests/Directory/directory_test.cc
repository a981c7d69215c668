// Tests the order of upstream records, the silence timeout, and upstreams that
// leave.

#include "acaciahold/Directory/directory.h"

#include <functional>
#include <vector>

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

BOOST_AUTO_TEST_CASE(OlderRecordsAreIgnored) {
  Directory directory;
  BOOST_CHECK(Merge(directory, MakeRecord(1, 5, 2), kStart) ==
              UpdateResult::kChanged);
  BOOST_CHECK(Merge(directory, MakeRecord(1, 5, 3), kStart) ==
              UpdateResult::kRefreshed);
  BOOST_CHECK(Merge(directory, Draining(MakeRecord(1, 5, 2)), kStart) ==
              UpdateResult::kStale);
  BOOST_CHECK(Merge(directory, Draining(MakeRecord(1, 5, 4)), kStart) ==
              UpdateResult::kChanged);
}

BOOST_AUTO_TEST_CASE(NewStartWithSameIdReplacesRecord) {
  Directory directory;
  Merge(directory, Draining(MakeRecord(1, 5, 90)), kStart);
  BOOST_CHECK(Merge(directory, MakeRecord(1, 6, 1), kStart) ==
              UpdateResult::kChanged);
  BOOST_CHECK(directory.entries.at(1).record.phase == Phase::kServing);
  BOOST_CHECK(Merge(directory, MakeRecord(1, 5, 91), kStart) ==
              UpdateResult::kStale);
}

BOOST_AUTO_TEST_CASE(UpstreamThatLeftReturnsOnlyWithNewStart) {
  Directory directory;
  Merge(directory, MakeRecord(1, 5, 3), kStart);
  BOOST_CHECK(Remove(directory, 1, 0, kStart) == UpdateResult::kChanged);
  BOOST_CHECK(Remove(directory, 1, 0, kStart) == UpdateResult::kStale);
  BOOST_CHECK(Merge(directory, MakeRecord(1, 5, 9), kStart) ==
              UpdateResult::kStale);
  BOOST_CHECK(Merge(directory, MakeRecord(1, 6, 1), kStart) ==
              UpdateResult::kChanged);
}

BOOST_AUTO_TEST_CASE(RemovalOverridesLaterAnnouncementsOfSameStart) {
  // Another control host received the deregistration and knew only an earlier
  // announcement.
  Directory elsewhere;
  Merge(elsewhere, MakeRecord(1, 5, 3), kStart);
  Remove(elsewhere, 1, 0, kStart);
  Directory directory;
  Merge(directory, MakeRecord(1, 5, 8), kStart);
  BOOST_CHECK(Merge(directory, elsewhere.entries.at(1).record, kStart) ==
              UpdateResult::kChanged);
  BOOST_CHECK(directory.entries.at(1).record.phase == Phase::kGone);
}

BOOST_AUTO_TEST_CASE(RemovalOfEarlierStartIsStale) {
  Directory directory;
  Merge(directory, MakeRecord(1, 6, 1), kStart);
  BOOST_CHECK(Remove(directory, 1, 5, kStart) == UpdateResult::kStale);
  BOOST_CHECK(directory.entries.at(1).record.phase == Phase::kServing);
}

BOOST_AUTO_TEST_CASE(SilentUpstreamRecoversWithRefresh) {
  Directory directory;
  auto timeout = SilenceTimeout(milliseconds(1'000));
  Merge(directory, MakeRecord(1, 5, 1), kStart);
  BOOST_TEST(CheckSilence(directory, timeout, kStart + timeout / 2).empty());
  auto later = kStart + timeout;
  BOOST_TEST(CheckSilence(directory, timeout, later).size() == 1U);
  BOOST_TEST(CheckSilence(directory, timeout, later).empty());
  BOOST_CHECK(Refresh(directory, {1, 5, 2}, later) == UpdateResult::kChanged);
  BOOST_CHECK(Refresh(directory, {1, 5, 3}, later) == UpdateResult::kRefreshed);
  BOOST_CHECK(Refresh(directory, {2, 5, 3}, later) == UpdateResult::kStale);
}

// Guards against a refresh notice of an earlier start that arrives late from
// another control host. Applied to the current start, its higher sequence
// number would make the record of the drain stale.
BOOST_AUTO_TEST_CASE(RefreshOfEarlierStartIsStale) {
  Directory directory;
  Merge(directory, MakeRecord(1, 6, 3), kStart);
  BOOST_CHECK(Refresh(directory, {1, 5, 50}, kStart) == UpdateResult::kStale);
  BOOST_CHECK(Merge(directory, Draining(MakeRecord(1, 6, 4)), kStart) ==
              UpdateResult::kChanged);
}

BOOST_AUTO_TEST_CASE(LeftUpstreamExpiresAndServingOneDoesNot) {
  Directory directory;
  Merge(directory, MakeRecord(1, 5, 1), kStart);
  Merge(directory, MakeRecord(2, 5, 1), kStart);
  Remove(directory, 2, 0, kStart);
  BOOST_TEST(
      RemoveExpiredEntries(directory, kStart + kRetentionTime / 2).empty());
  auto removed_ids = RemoveExpiredEntries(directory, kStart + kRetentionTime);
  BOOST_REQUIRE(removed_ids.size() == 1U);
  BOOST_TEST(removed_ids[0] == 2U);
}

// Two hosts place new flows alike if their directories differ only in upstreams
// that left, silent upstreams that one host detected first, or sequence
// numbers. Their digests must then be equal.
BOOST_AUTO_TEST_CASE(DigestCoversWhatAffectsPlacement) {
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

// Guards against an entry host that goes on sending flows to the former service
// or endpoint of an upstream, since it missed the record that changed it and is
// told that its directory is the same.
BOOST_AUTO_TEST_CASE(DigestCoversEachFieldThatPlacementUses) {
  Directory directory;
  Merge(directory, MakeRecord(1, 5, 1), kStart);
  auto digest_with = [&](const std::function<void(Record&)>& change) {
    auto changed = directory;
    auto record = MakeRecord(1, 5, 2);
    change(record);
    BOOST_CHECK(Merge(changed, record, kStart) == UpdateResult::kChanged);
    return Digest(changed);
  };
  for (const auto& change : std::vector<std::function<void(Record&)>>{
           [](Record& it) { it.service += "x"; },
           [](Record& it) { it.failure_domain += "x"; },
           [](Record& it) { ++it.endpoint.port; },
           [](Record& it) { ++it.endpoint.address; },
           [](Record& it) { ++it.slots; }}) {
    BOOST_TEST(digest_with(change) != Digest(directory));
  }
}

// Guards against a phase change that is never applied: the record with it was
// lost with its connection, and a refresh notice of a later announcement, sent
// by a third host, would make that record stale. The notice carries the phase.
BOOST_AUTO_TEST_CASE(RefreshAppliesPhaseOfLostRecord) {
  Directory directory;
  Merge(directory, MakeRecord(1, 5, 1), kStart);
  RefreshNotice later{1, 5, 3, Phase::kDraining};
  BOOST_CHECK(Refresh(directory, later, kStart) == UpdateResult::kChanged);
  BOOST_CHECK(directory.entries.at(1).record.phase == Phase::kDraining);
  BOOST_CHECK(Merge(directory, Draining(MakeRecord(1, 5, 2)), kStart) ==
              UpdateResult::kStale);
  later.sequence = 4;
  BOOST_CHECK(Refresh(directory, later, kStart) == UpdateResult::kRefreshed);
}

BOOST_AUTO_TEST_CASE(UpstreamsAreIndexedByService) {
  Directory directory;
  Merge(directory, MakeRecord(1, 5, 1), kStart);
  Merge(directory, MakeRecord(2, 5, 1), kStart);
  auto moved = MakeRecord(1, 6, 1);
  moved.service = "returns";
  Merge(directory, moved, kStart);
  Remove(directory, 2, 0, kStart);
  BOOST_TEST(directory.by_service.at("orders") == std::set<UpstreamId>{2});
  BOOST_TEST(directory.by_service.at("returns") == std::set<UpstreamId>{1});
  RemoveExpiredEntries(directory, kStart + kRetentionTime);
  BOOST_TEST(!directory.by_service.contains("orders"));
  BOOST_TEST(directory.by_service.contains("returns"));
}

BOOST_AUTO_TEST_CASE(CurrentRecordHasRemainingWarmUpTime) {
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
