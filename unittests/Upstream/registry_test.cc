// Tests of the upstream registry: ramp steps, silence and merging of records.

#include "acaciahold/Upstream/registry.h"

#include <boost/test/unit_test.hpp>

#include "../check_property.h"

namespace acaciahold::upstream {

namespace {

const Instant kStart = FromUnixMillis(1'000'000);

Announcement MakeAnnouncement(uint64_t incarnation,
                              Phase phase = Phase::kServing) {
  return {"orders", {0x0a000001, 80}, "fd1", 0, 0, incarnation, phase};
}

const Key kKey{"orders", PackEndpoint({0x0a000001, 80})};

bool IsCoordinator(const Key&) {
  return true;
}

uint32_t RampStep(const Registry& registry) {
  return registry.entries.at(kKey).record.ramp_step;
}

// Reports successes until the upstream is at the last step. Returns the time of
// the last report.
Instant WarmUp(Registry& registry, Instant now) {
  while (RampStep(registry) < kLastRampStep) {
    now += kMinRampStepTime;
    OnOutcomes(registry, kKey, {100, 0, 0}, 8, now);
  }
  return now;
}

}  // namespace

BOOST_AUTO_TEST_CASE(StartsColdAndRampsUpOnSuccesses) {
  Registry registry;
  BOOST_TEST(OnAnnouncement(registry, MakeAnnouncement(1), kStart));
  BOOST_TEST(RampStep(registry) == 0U);
  BOOST_TEST(!OnOutcomes(registry, kKey, {100, 0, 0}, 8, kStart));
  BOOST_TEST(
      OnOutcomes(registry, kKey, {1, 0, 0}, 8, kStart + kMinRampStepTime));
  BOOST_TEST(RampStep(registry) == 1U);
}

BOOST_AUTO_TEST_CASE(NewIncarnationRestartsRamp) {
  Registry registry;
  OnAnnouncement(registry, MakeAnnouncement(1), kStart);
  auto now = WarmUp(registry, kStart);
  BOOST_TEST(OnAnnouncement(registry, MakeAnnouncement(2), now));
  BOOST_TEST(RampStep(registry) == 0U);
  BOOST_TEST(!OnAnnouncement(registry, MakeAnnouncement(1), now));
  BOOST_TEST(registry.entries.at(kKey).record.announcement.incarnation == 2U);
}

BOOST_AUTO_TEST_CASE(ConsecutiveFailuresRestartRamp) {
  Registry registry;
  OnAnnouncement(registry, MakeAnnouncement(1), kStart);
  auto now = WarmUp(registry, kStart);
  BOOST_TEST(!OnOutcomes(registry, kKey, {0, 1, 0}, 8, now));
  BOOST_TEST(!OnOutcomes(registry, kKey, {0, 1, 0}, 8, now));
  BOOST_TEST(OnOutcomes(registry, kKey, {0, 1, 0}, 8, now));
  BOOST_TEST(RampStep(registry) == 0U);
}

BOOST_AUTO_TEST_CASE(IsolatedFailuresKeepRampStep) {
  Registry registry;
  OnAnnouncement(registry, MakeAnnouncement(1), kStart);
  auto now = WarmUp(registry, kStart);
  for (int i = 0; i < 20; ++i) {
    OnOutcomes(registry, kKey, {0, 1, 0}, 8, now);
    OnOutcomes(registry, kKey, {10, 0, 0}, 8, now);
  }
  BOOST_TEST(RampStep(registry) == kLastRampStep);
}

BOOST_AUTO_TEST_CASE(OnlyCoordinatorMarksUpstreamSilent) {
  Registry registry;
  OnAnnouncement(registry, MakeAnnouncement(1), kStart);
  Instant silence_deadline = kStart + kSilenceTimeout;
  BOOST_TEST(!CheckSilence(
      registry, [](const Key&) { return false; }, silence_deadline));
  BOOST_TEST(CheckSilence(registry, IsCoordinator, silence_deadline));
  BOOST_CHECK(registry.entries.at(kKey).record.announcement.phase ==
              Phase::kSilent);
  BOOST_TEST(OnAnnouncement(registry, MakeAnnouncement(1), silence_deadline));
  BOOST_CHECK(registry.entries.at(kKey).record.announcement.phase ==
              Phase::kServing);
}

BOOST_AUTO_TEST_CASE(GoneIsFinalWithinIncarnation) {
  Registry registry;
  OnAnnouncement(registry, MakeAnnouncement(1), kStart);
  OnAnnouncement(registry, MakeAnnouncement(1, Phase::kGone), kStart);
  BOOST_TEST(!OnAnnouncement(registry, MakeAnnouncement(1), kStart));
  BOOST_TEST(OnAnnouncement(registry, MakeAnnouncement(2), kStart));
}

BOOST_AUTO_TEST_CASE(MergeIsIndependentOfOrder) {
  CheckProperty(
      12, 2'000, [](std::vector<std::tuple<uint8_t, uint8_t, uint8_t>> inputs) {
        std::vector<Record> records;
        for (auto [incarnation, sequence, phase] : inputs) {
          records.push_back({MakeAnnouncement(1 + incarnation % 4,
                                              static_cast<Phase>(phase % 4)),
                             sequence % 4U, 0});
        }
        Registry a;
        Registry b;
        for (const auto& record : records) {
          Merge(a, record, kStart);
        }
        for (auto it = records.rbegin(); it != records.rend(); ++it) {
          Merge(b, *it, kStart);
        }
        RC_ASSERT(a.digest == b.digest);
      });
}

BOOST_AUTO_TEST_CASE(LimitRisesFromColdLimit) {
  BOOST_TEST(LimitAtStep(2000, 50, 0) == 50U);
  BOOST_TEST(LimitAtStep(2000, 50, 1) == 250U);
  BOOST_TEST(LimitAtStep(2000, 50, kLastRampStep) == 2000U);
  BOOST_TEST(LimitAtStep(3, 1, 1) == 1U);
  BOOST_TEST(LimitAtStep(3, 5, 0) == 3U);
}

}  // namespace acaciahold::upstream
