// Tests of the request's state machine, the dispatcher and the key table.

#include "acaciahold/Request/request.h"

#include <boost/test/unit_test.hpp>

#include "../check_property.h"
#include "acaciahold/Request/dispatcher.h"
#include "acaciahold/Request/key_table.h"

namespace acaciahold::request {

namespace {

const Instant kNow = FromUnixMillis(1'000'000);
const Instant kTenSecondsLater = kNow + std::chrono::seconds(10);

std::vector<SlotCandidate> ThreeCandidates() {
  return {{1, 2}, {2, 2}, {3, 2}};
}

void CoordinateThreeUpstreams(Dispatcher& dispatcher) {
  for (upstream::UpstreamId id = 1; id <= 3; ++id) {
    BeginCoordination(dispatcher, {"orders", id}, true, kNow);
  }
}

}  // namespace

BOOST_AUTO_TEST_CASE(RequestThatMayHaveRunIsNeverReportedAsRefused) {
  CheckProperty(
      71, 20'000, [](bool is_idempotent, std::vector<uint8_t> events) {
        auto request = MakeRequest(is_idempotent, kTenSecondsLater);
        RetryBudget budget;
        bool may_have_run = false;
        int dispatches_after_possible_run = 0;
        uint32_t attempt = 0;
        for (uint8_t event : events) {
          if (IsFinal(request)) {
            break;
          }
          if (request.state == State::kWaiting) {
            dispatches_after_possible_run += may_have_run;
            attempt = Dispatch(request, budget, event);
            continue;
          }
          switch (event % 6) {
            case 0:
              OnAttemptEnd(request, budget, attempt, AttemptResult::kAnswer,
                           kNow);
              break;
            case 1:
              OnAttemptEnd(request, budget, attempt, AttemptResult::kShed,
                           kNow);
              break;
            case 2:
              OnAttemptEnd(request, budget, attempt, AttemptResult::kNotSent,
                           kNow);
              break;
            case 3:
              may_have_run = true;
              OnAttemptEnd(request, budget, attempt, AttemptResult::kNoAnswer,
                           kNow);
              break;
            case 4:
              OnAttemptEnd(request, budget, attempt - 1, AttemptResult::kAnswer,
                           kNow);
              break;
            default:
              may_have_run = true;
              OnDeadline(request);
          }
        }
        GiveUp(request, Refusal::kOverloaded);
        RC_ASSERT(IsFinal(request));
        RC_ASSERT(!(may_have_run && request.state == State::kRefused));
        RC_ASSERT(is_idempotent || dispatches_after_possible_run == 0);
        RC_ASSERT(request.attempt <= kMaxAttempts);
      });
}

BOOST_AUTO_TEST_CASE(ResultOfEarlierAttemptIsIgnored) {
  auto request = MakeRequest(true, kTenSecondsLater);
  RetryBudget budget;
  auto first = Dispatch(request, budget, 1);
  OnAttemptEnd(request, budget, first, AttemptResult::kNoAnswer, kNow);
  auto second = Dispatch(request, budget, 2);
  OnAttemptEnd(request, budget, first, AttemptResult::kAnswer, kNow);
  BOOST_CHECK(request.state == State::kDispatched);
  OnAttemptEnd(request, budget, second, AttemptResult::kAnswer, kNow);
  BOOST_CHECK(request.state == State::kAnswered);
}

BOOST_AUTO_TEST_CASE(RetriesStopWhenBudgetIsExhaustedOrDeadlinePasses) {
  RetryBudget budget{0};
  auto request = MakeRequest(true, kTenSecondsLater);
  OnAttemptEnd(request, budget, Dispatch(request, budget, 1),
               AttemptResult::kShed, kNow);
  BOOST_CHECK(request.refusal == Refusal::kRetryBudget);
  budget.tokens = 5;
  auto late_request = MakeRequest(true, kNow);
  OnAttemptEnd(late_request, budget, Dispatch(late_request, budget, 1),
               AttemptResult::kShed, kTenSecondsLater);
  BOOST_CHECK(late_request.refusal == Refusal::kDeadline);
}

BOOST_AUTO_TEST_CASE(GrantsNeverExceedSlotLimits) {
  CheckProperty(72, 3'000, [](std::vector<uint8_t> events) {
    Dispatcher dispatcher;
    CoordinateThreeUpstreams(dispatcher);
    std::map<upstream::UpstreamId, uint32_t> busy;
    std::vector<WaiterId> waiting;
    auto take_slot = [&](upstream::UpstreamId id) {
      RC_ASSERT(++busy[id] <= 2U);
    };
    for (uint8_t event : events) {
      upstream::UpstreamId id = 1 + event % 3;
      if (event % 2 == 0) {
        auto admission = Admit(dispatcher, "orders", ThreeCandidates(), kNow);
        if (const auto* granted = std::get_if<Granted>(&admission)) {
          take_slot(granted->upstream);
        } else if (const auto* queued = std::get_if<Queued>(&admission)) {
          waiting.push_back(queued->waiter);
        }
        RC_ASSERT(waiting.size() <= 6U * kMaxWaitersPerSlot);
        continue;
      }
      if (busy[id] == 0) {
        continue;
      }
      --busy[id];
      ReleaseSlot(dispatcher, "orders", id);
      for (auto grant :
           GrantWaiters(dispatcher, "orders", ThreeCandidates(), kNow)) {
        RC_ASSERT(grant.waiter == waiting.front());
        waiting.erase(waiting.begin());
        take_slot(grant.upstream);
      }
    }
  });
}

BOOST_AUTO_TEST_CASE(NewCoordinatorGrantsNoSlotUntilEarlierRequestsEnd) {
  Dispatcher dispatcher;
  BeginCoordination(dispatcher, {"orders", 1}, false, kNow);
  std::vector<SlotCandidate> candidates{{1, 2}};
  BOOST_CHECK(std::holds_alternative<QueueFull>(
      Admit(dispatcher, "orders", candidates, kNow)));
  BOOST_CHECK(std::holds_alternative<Granted>(
      Admit(dispatcher, "orders", candidates, kNow + kMaxRequestTime)));
}

BOOST_AUTO_TEST_CASE(KeyRunsOnceAndItsResponseIsStored) {
  KeyTable table;
  BOOST_CHECK(BeginKey(table, "k", 1, kNow).verdict == KeyVerdict::kNew);
  BOOST_CHECK(BeginKey(table, "k", 1, kNow).verdict == KeyVerdict::kRunning);
  BOOST_CHECK(BeginKey(table, "k", 2, kNow).verdict ==
              KeyVerdict::kRequestMismatch);
  RecordResponse(table, "k", {200, "text/plain", "done"});
  auto lookup = BeginKey(table, "k", 1, kNow);
  BOOST_CHECK(lookup.verdict == KeyVerdict::kAnswered);
  BOOST_TEST(lookup.answer.body == "done");
}

BOOST_AUTO_TEST_CASE(KeyStoredByBackupIsUnknownUntilForgotten) {
  KeyTable table;
  StoreBackupRecord(table, "k", 1, kNow);
  BOOST_CHECK(BeginKey(table, "k", 1, kNow).verdict == KeyVerdict::kUnknown);
  RemoveKey(table, "k");
  BOOST_CHECK(BeginKey(table, "k", 1, kNow).verdict == KeyVerdict::kNew);
}

BOOST_AUTO_TEST_CASE(KeyExpiresExactlyAfterItsLifetime) {
  KeyTable table;
  BeginKey(table, "k", 1, kNow);
  MarkOutcomeUnknown(table, "k");
  Instant end = kNow + kKeyLifetime;
  auto just_before_end = end - std::chrono::milliseconds(1);
  BOOST_CHECK(BeginKey(table, "k", 1, just_before_end).verdict ==
              KeyVerdict::kUnknown);
  BOOST_CHECK(BeginKey(table, "k", 1, end).verdict == KeyVerdict::kNew);
}

BOOST_AUTO_TEST_CASE(StoredResponsesStayWithinByteLimit) {
  KeyTable table;
  std::string body(kMaxStoredResponseBytes, 'x');
  for (int i = 0; i < 3'000; ++i) {
    std::string key = "k" + std::to_string(i);
    BeginKey(table, key, 1, kNow);
    RecordResponse(table, key, {200, "", body});
  }
  BOOST_TEST(table.response_bytes <= kMaxTotalStoredResponseBytes);
  BOOST_CHECK(BeginKey(table, "k0", 1, kNow).verdict == KeyVerdict::kUnknown);
  BOOST_CHECK(BeginKey(table, "k2999", 1, kNow).verdict ==
              KeyVerdict::kAnswered);
}

}  // namespace acaciahold::request
