// State machine of a request and its attempts; does no I/O. Decides whether a
// request is retried and which result the caller gets. A request that may have
// run is never reported as refused.

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
  kWaiting,     // No attempt is in progress; the request can be dispatched.
  kDispatched,  // An attempt is in progress.
  kAnswered,
  kRefused,   // The request did not run.
  kUnknown,   // The request may have run, and there is no response.
  kCanceled,  // The caller canceled the request or disconnected.
};

// Result of an attempt.
enum class AttemptResult {
  kAnswer,    // A complete response was received.
  kNotSent,   // No byte of the request reached the upstream.
  kShed,      // The upstream or its coordinator refused to run it.
  kNoAnswer,  // Sent, but no complete response was received.
};

// Why a request was refused.
enum class Refusal {
  kNone,
  kNoUpstream,   // No upstream of the service was available.
  kOverloaded,   // No slot became free, or the queue was full.
  kDeadline,     // The deadline passed, and the request had not run.
  kShed,         // Attempts ran out, and the last one was shed.
  kRetryBudget,  // The host's retry budget is exhausted.
  kShutdown,
};

// Invariants: `may_have_run` is never reset to false; a final state never
// changes; `attempt` increases with each dispatch.
struct Request {
  bool is_idempotent = false;
  Instant deadline;
  State state = State::kWaiting;
  uint32_t attempt = 0;  // Number of the latest attempt; 0 before the first.
  bool may_have_run = false;
  Refusal refusal = Refusal::kNone;
  // Ids passed to Dispatch() for the attempts that ended without a response.
  std::vector<upstream::UpstreamId> failed_upstreams;
  upstream::UpstreamId upstream = 0;  // Id passed to the latest Dispatch().
};

// Token bucket that limits retries of a host. A retry takes one token; the
// first attempt of each request adds kRetryTokensPerRequest.
struct RetryBudget {
  double tokens = 10.0;
};

inline constexpr double kRetryTokensPerRequest = 0.1;
inline constexpr double kMaxRetryTokens = 50.0;

Request MakeRequest(bool is_idempotent, Instant deadline);

// Whether the HTTP method is idempotent by definition.
bool IsIdempotentMethod(std::string_view method);

// Begins an attempt and returns its number. The request must be waiting.
uint32_t Dispatch(Request& request,
                  RetryBudget& budget,
                  upstream::UpstreamId upstream);

// Handles the end of an attempt. Afterwards the request is waiting for a retry
// or in a final state. Results of attempts other than the latest are ignored.
void OnAttemptEnd(Request& request,
                  RetryBudget& budget,
                  uint32_t attempt,
                  AttemptResult end,
                  Instant now);

// Ends the request because no upstream is left to try or the wait for one
// ended. The state becomes kUnknown if the request may have run or an attempt
// is in progress, and kRefused with the reason `refusal` otherwise. Does
// nothing in a final state.
void GiveUp(Request& request, Refusal refusal);

void OnDeadline(Request& request);
void OnCancel(Request& request);

bool IsFinal(const Request& request);
// Returns the reason as reported to callers and in metrics.
std::string_view RefusalName(Refusal refusal);

}  // namespace acaciahold::request

#endif  // ACACIAHOLD_REQUEST_REQUEST_H_
