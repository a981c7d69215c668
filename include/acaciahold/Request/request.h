// One request and its attempts: a state machine without I/O. It decides when a
// request may be sent again and what its caller is told, and never lets a
// request that may have run be called refused.

#ifndef ACACIAHOLD_REQUEST_REQUEST_H_
#define ACACIAHOLD_REQUEST_REQUEST_H_

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "acaciahold/Support/time.h"
#include "acaciahold/Upstream/registry.h"

namespace acaciahold::request {

inline constexpr uint32_t kMaxAttempts = 4;

enum class State {
  kWaiting,     // For an upstream with a free slot.
  kDispatched,  // An attempt is under way.
  kAnswered,
  kRefused,   // Provably not run.
  kUnknown,   // May have run; the answer is lost.
  kCanceled,  // The caller left.
};

// How an attempt ended.
enum class AttemptEnd {
  kAnswer,    // A whole answer.
  kNotSent,   // No byte reached the upstream.
  kShed,      // The upstream or its coordinator refused before running.
  kNoAnswer,  // Sent, and no whole answer came.
};

enum class Refusal {
  kNone,
  kNoUpstream,   // No upstream takes requests of the service.
  kOverloaded,   // No slot became free, or the queue was full.
  kDeadline,     // The deadline passed before it was sent.
  kShed,         // Each upstream that was tried refused it.
  kRetryBudget,  // The host's retry budget is used up.
  kShutdown,
};

// Invariants: `may_have_run` never goes back to false; a final state never
// changes; `attempt` rises with each dispatch.
struct Request {
  bool is_idempotent = false;
  Instant deadline;
  State state = State::kWaiting;
  uint32_t attempt = 0;  // The newest one; 0 before the first.
  bool may_have_run = false;
  Refusal refusal = Refusal::kNone;
  std::vector<upstream::UpstreamId> refused_by;
  upstream::UpstreamId upstream = 0;  // Of the newest attempt.
};

// Retries that a host may still make: each first attempt earns a part of one.
struct RetryBudget {
  double tokens = 10.0;
};

inline constexpr double kRetriesPerRequest = 0.1;
inline constexpr double kMaxRetryTokens = 50.0;

Request MakeRequest(bool is_idempotent, Instant deadline);

// Whether the HTTP method promises that running twice equals running once.
bool IsIdempotentMethod(std::string_view method);

// Begins an attempt; the result is its number.
uint32_t Dispatch(Request& request,
                  RetryBudget& budget,
                  upstream::UpstreamId upstream);

// An attempt ended. Ends of other than the newest attempt change nothing.
// Afterwards the request is waiting again, or in a final state.
void OnAttemptEnd(Request& request,
                  RetryBudget& budget,
                  uint32_t attempt,
                  AttemptEnd end,
                  Instant now);

// No upstream can be tried any more, or the wait was given up.
void GiveUp(Request& request, Refusal refusal);

void OnDeadline(Request& request);
void OnCancel(Request& request);

bool IsFinal(const Request& request);
std::string_view RefusalName(Refusal refusal);

}  // namespace acaciahold::request

#endif  // ACACIAHOLD_REQUEST_REQUEST_H_
