// Declarations shared by the source files of RequestProxy: headers of messages
// between entry hosts, and the encoding of outcomes.

#ifndef ACACIAHOLD_LIB_HOST_REQUEST_RUN_H_
#define ACACIAHOLD_LIB_HOST_REQUEST_RUN_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acaciahold/Host/request_proxy.h"

namespace acaciahold::host {

// Headers of messages between entry hosts.
inline constexpr std::string_view kServiceHeader = "Acaciahold-Service";
inline constexpr std::string_view kTargetHeader = "Acaciahold-Target";
inline constexpr std::string_view kMethodHeader = "Acaciahold-Method";
inline constexpr std::string_view kIdempotencyKeyHeader = "Acaciahold-Key";
inline constexpr std::string_view kRequestHashHeader = "Acaciahold-Hash";
inline constexpr std::string_view kRequestIdHeader = "Acaciahold-Request";
inline constexpr std::string_view kAttemptNumberHeader = "Acaciahold-Number";
inline constexpr std::string_view kLoadHeader = "Acaciahold-Load";
inline constexpr std::string_view kRefusalHeader = "Acaciahold-Reason";
// Asks only for the outcome recorded for the key. The request is not executed,
// because it may already have been executed on another host.
inline constexpr std::string_view kLookupHeader = "Acaciahold-Lookup";

struct RequestProxy::InFlightRequest {
  std::mutex mutex;
  // mutex guards the members from here on.
  std::optional<CallOutcome> outcome;  // Empty until the request has ended.
  std::vector<std::shared_ptr<Signal>> waiters;
};

// Returns the key of a record in request::KeyTable. Callers' keys are scoped to
// the service.
std::string MakeRecordKey(const std::string& service, const std::string& key);

// Returns the stored response, marked as replayed.
http::Response MakeReplayResponse(const request::StoredResponse& stored);
// Returns the response to a request whose key was used for a different request.
http::Response KeyReusedProblem();

// Updates the record of `key` with the outcome of its request.
void ApplyOutcome(request::KeyTable& keys,
                  const std::string& key,
                  const CallOutcome& outcome);

// Body of the message that sends an outcome to the backup. A response body
// longer than kMaxStoredResponseBytes is omitted and decoded as an unknown
// outcome. DecodeOutcome() returns nullopt for malformed text.
std::string EncodeOutcome(const CallOutcome& outcome);
std::optional<CallOutcome> DecodeOutcome(const std::string& text);

// Converts an outcome to the response to a relayed request with a key, and
// back. If the request `may_have_run` on another host, a refusal is converted
// to an unknown outcome.
http::Response MakeOutcomeResponse(const CallOutcome& outcome);
CallOutcome ParseOutcomeResponse(http::Response answer, bool may_have_run);

// Parse the result of a relayed attempt and the load of the host that made it
// from the headers of the response.
request::AttemptResult ParseAttemptResult(const http::Response& answer);
request::DispatchLoad ParseLoadHeader(const http::Response& answer);

// Parses the decimal number at the start of `text`; returns 0 if there is none.
uint64_t ParseNumber(std::string_view text);

}  // namespace acaciahold::host

#endif  // ACACIAHOLD_LIB_HOST_REQUEST_RUN_H_
