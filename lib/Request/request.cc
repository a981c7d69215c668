#include "acaciahold/Request/request.h"

#include <algorithm>
#include <array>

#include "acaciahold/Support/check.h"

namespace acaciahold::request {
namespace {

void Finish(Request& request, State state) {
  AssertInvariant(!IsFinal(request),
                  "a request in a final state does not change state");
  request.state = state;
}

bool ConsumeRetryToken(RetryBudget& budget) {
  if (budget.tokens < 1.0) {
    return false;
  }
  budget.tokens -= 1.0;
  return true;
}

// Returns the request to kWaiting if it may be retried; ends it otherwise.
// `refusal` is the reason to report if the attempts are used up.
void RetryOrFinish(Request& request,
                   RetryBudget& budget,
                   Refusal refusal,
                   Instant now) {
  bool may_resend = request.is_idempotent || !request.may_have_run;
  if (!may_resend) {
    Finish(request, State::kUnknown);
    return;
  }
  request.state = State::kWaiting;
  if (now >= request.deadline) {
    GiveUp(request, Refusal::kDeadline);
  } else if (request.attempt >= kMaxAttempts) {
    GiveUp(request, refusal);
  } else if (!ConsumeRetryToken(budget)) {
    GiveUp(request, Refusal::kRetryBudget);
  }
}

}  // namespace

Request MakeRequest(bool is_idempotent, Instant deadline) {
  Request request;
  request.is_idempotent = is_idempotent;
  request.deadline = deadline;
  return request;
}

bool IsIdempotentMethod(std::string_view method) {
  constexpr std::array<std::string_view, 6> kIdempotentMethods{
      "GET", "HEAD", "PUT", "DELETE", "OPTIONS", "TRACE"};
  return std::find(kIdempotentMethods.begin(), kIdempotentMethods.end(),
                   method) != kIdempotentMethods.end();
}

uint32_t Dispatch(Request& request,
                  RetryBudget& budget,
                  upstream::UpstreamId upstream) {
  AssertInvariant(request.state == State::kWaiting,
                  "a request is dispatched only while it is waiting");
  if (request.attempt == 0) {
    budget.tokens =
        std::min(kMaxRetryTokens, budget.tokens + kRetryTokensPerRequest);
  }
  request.state = State::kDispatched;
  request.upstream = upstream;
  return ++request.attempt;
}

void OnAttemptEnd(Request& request,
                  RetryBudget& budget,
                  uint32_t attempt,
                  AttemptResult end,
                  Instant now) {
  if (request.state != State::kDispatched || attempt != request.attempt) {
    return;
  }
  switch (end) {
    case AttemptResult::kAnswer:
      Finish(request, State::kAnswered);
      return;
    case AttemptResult::kNotSent:
      request.failed_upstreams.push_back(request.upstream);
      RetryOrFinish(request, budget, Refusal::kNoUpstream, now);
      return;
    case AttemptResult::kShed:
      request.failed_upstreams.push_back(request.upstream);
      RetryOrFinish(request, budget, Refusal::kShed, now);
      return;
    case AttemptResult::kNoAnswer:
      request.may_have_run = true;
      request.failed_upstreams.push_back(request.upstream);
      RetryOrFinish(request, budget, Refusal::kNoUpstream, now);
      return;
  }
}

void GiveUp(Request& request, Refusal refusal) {
  if (IsFinal(request)) {
    return;
  }
  if (request.may_have_run || request.state == State::kDispatched) {
    Finish(request, State::kUnknown);
    return;
  }
  request.refusal = refusal;
  Finish(request, State::kRefused);
}

void OnDeadline(Request& request) {
  GiveUp(request, Refusal::kDeadline);
}

void OnCancel(Request& request) {
  if (!IsFinal(request)) {
    Finish(request, State::kCanceled);
  }
}

bool IsFinal(const Request& request) {
  return request.state != State::kWaiting &&
         request.state != State::kDispatched;
}

std::string_view RefusalName(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNone:
      return "none";
    case Refusal::kNoUpstream:
      return "no-upstream";
    case Refusal::kOverloaded:
      return "overloaded";
    case Refusal::kDeadline:
      return "deadline";
    case Refusal::kShed:
      return "shed";
    case Refusal::kRetryBudget:
      return "retry-budget";
    case Refusal::kShutdown:
      return "shutdown";
  }
  return "none";
}

}  // namespace acaciahold::request
