// What the source files of the request shell share: headers between hosts, and
// the encoding of outcomes.

#ifndef ACACIAHOLD_LIB_HOST_REQUEST_RUN_H_
#define ACACIAHOLD_LIB_HOST_REQUEST_RUN_H_

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "acaciahold/Host/request_shell.h"

namespace acaciahold::host {

// Headers between entry hosts.
inline constexpr std::string_view kServiceHeader = "Acaciahold-Service";
inline constexpr std::string_view kTargetHeader = "Acaciahold-Target";
inline constexpr std::string_view kMethodHeader = "Acaciahold-Method";
inline constexpr std::string_view kRelayKeyHeader = "Acaciahold-Key";
inline constexpr std::string_view kHashHeader = "Acaciahold-Hash";
inline constexpr std::string_view kIdHeader = "Acaciahold-Request";
inline constexpr std::string_view kNumberHeader = "Acaciahold-Number";
inline constexpr std::string_view kLoadHeader = "Acaciahold-Load";
inline constexpr std::string_view kReasonHeader = "Acaciahold-Reason";
// Asks for a key's record alone: the request may be running elsewhere.
inline constexpr std::string_view kLookupHeader = "Acaciahold-Lookup";

struct RequestShell::Run {
  std::mutex mutex;
  // Guarded by mutex:
  std::optional<CallOutcome> outcome;
  std::vector<std::shared_ptr<Signal>> waiting;
};

std::string RecordKey(const std::string& service, const std::string& key);

http::Response FromKept(const request::StoredResponse& kept);
http::Response OtherBodyProblem();

// Records how a keyed request ended.
void ApplyOutcome(request::KeyTable& keys,
                  const std::string& key,
                  const CallOutcome& outcome);

std::string EncodeOutcome(const CallOutcome& outcome);
std::optional<CallOutcome> DecodeOutcome(const std::string& text);

// An outcome as the answer to a relayed keyed request, and back. A refusal is
// no refusal for a caller whose request `may_have_run` elsewhere.
http::Response ToOutcomeAnswer(const CallOutcome& outcome);
CallOutcome ReadOutcome(http::Response answer, bool may_have_run);

// How a relayed attempt ended, and the load that came with it.
request::AttemptResult ReadAttemptEnd(const http::Response& answer);
request::DispatchLoad ReadLoad(const http::Response& answer);

uint64_t ReadNumber(std::string_view text);

}  // namespace acaciahold::host

#endif  // ACACIAHOLD_LIB_HOST_REQUEST_RUN_H_
