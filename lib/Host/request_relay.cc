// Requests and outcomes as entry hosts pass them to each other, and as callers
// get them.

#include <charconv>
#include <sstream>

#include <boost/json.hpp>

#include "acaciahold/Observe/tracing.h"
#include "request_run.h"

namespace acaciahold::host {
namespace {

namespace json = boost::json;
using http::Response;
using http::Status;
using request::AttemptResult;
using request::Refusal;
using request::State;

constexpr Refusal kLastRefusal = Refusal::kShutdown;

std::string HeaderOr(const http::Request& request, std::string_view name) {
  auto it = request.find(name);
  return it == request.end() ? "" : std::string(it->value());
}

Response RefusalProblem(Refusal refusal) {
  auto problem =
      http::MakeProblem(Status::service_unavailable,
                        "refused-" + std::string(request::RefusalName(refusal)),
                        "the request was not run", "it can be sent again");
  problem.set(http::Field::retry_after, "1");
  problem.set(http::kOutcomeHeader, "not-run");
  return problem;
}

Response UnknownProblem() {
  auto problem = http::MakeProblem(
      Status::gateway_timeout, "outcome-unknown",
      "the request may have run, and its answer is lost",
      "send it again with the same Idempotency-Key to get the first answer "
      "where it is still known");
  problem.set(http::kOutcomeHeader, "unknown");
  return problem;
}

}  // namespace

uint64_t ReadNumber(std::string_view text) {
  uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

std::string RecordKey(const std::string& service, const std::string& key) {
  return service + "\n" + key;
}

Response FromKept(const request::StoredResponse& kept) {
  auto response = http::MakeResponse(static_cast<Status>(kept.status),
                                     kept.body, kept.content_type);
  response.set("Idempotent-Replayed", "true");
  return response;
}

Response OtherBodyProblem() {
  return http::MakeProblem(Status::unprocessable_entity, "key-reused",
                           "the Idempotency-Key belongs to another request",
                           "send a changed request with a new key");
}

void ApplyOutcome(request::KeyTable& keys,
                  const std::string& key,
                  const CallOutcome& outcome) {
  switch (outcome.state) {
    case State::kAnswered: {
      auto type = outcome.answer[http::Field::content_type];
      request::RecordResponse(
          keys, key,
          {outcome.answer.result_int(), std::string(type.data(), type.size()),
           outcome.answer.body()});
      return;
    }
    case State::kRefused:
      request::RemoveKey(keys, key);
      return;
    default:
      request::MarkOutcomeUnknown(keys, key);
  }
}

std::string EncodeOutcome(const CallOutcome& outcome) {
  auto type = outcome.answer[http::Field::content_type];
  json::object object{{"state", static_cast<int>(outcome.state)},
                      {"refusal", static_cast<int>(outcome.refusal)}};
  if (outcome.state == State::kAnswered) {
    object["status"] = outcome.answer.result_int();
    object["content_type"] = std::string_view(type.data(), type.size());
    if (outcome.answer.body().size() <= request::kMaxStoredResponseBytes) {
      object["body"] = outcome.answer.body();
    }
  }
  return json::serialize(object);
}

std::optional<CallOutcome> DecodeOutcome(const std::string& text) {
  json::error_code ec;
  auto value = json::parse(text, ec);
  if (ec || !value.is_object()) {
    return std::nullopt;
  }
  try {
    const auto& object = value.as_object();
    CallOutcome outcome;
    auto state = object.at("state").to_number<int>();
    auto refusal = object.at("refusal").to_number<int>();
    if (state < 0 || state > static_cast<int>(State::kCanceled) ||
        refusal < 0 || refusal > static_cast<int>(kLastRefusal)) {
      return std::nullopt;
    }
    outcome.state = static_cast<State>(state);
    outcome.refusal = static_cast<Refusal>(refusal);
    if (outcome.state == State::kAnswered && !object.contains("body")) {
      // Answered, but too long to keep: a resend can't get it.
      outcome.state = State::kUnknown;
    } else if (outcome.state == State::kAnswered) {
      outcome.answer = http::MakeResponse(
          static_cast<Status>(object.at("status").to_number<unsigned>()),
          object.at("body").as_string().c_str(),
          object.at("content_type").as_string());
    }
    return outcome;
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

Response ToOutcomeAnswer(const CallOutcome& outcome) {
  Response answer;
  switch (outcome.state) {
    case State::kAnswered:
      answer = outcome.answer;
      answer.set(http::kOutcomeHeader, "answer");
      return answer;
    case State::kRefused:
      answer = http::MakeResponse(Status::ok, "");
      answer.set(http::kOutcomeHeader, "not-run");
      answer.set(kReasonHeader,
                 std::to_string(static_cast<int>(outcome.refusal)));
      return answer;
    default:
      answer = http::MakeResponse(Status::ok, "");
      answer.set(http::kOutcomeHeader, "unknown");
      return answer;
  }
}

CallOutcome ReadOutcome(Response answer, bool may_have_run) {
  CallOutcome outcome{State::kUnknown, Refusal::kNone, {}};
  auto kind = answer[http::kOutcomeHeader];
  if (kind == "answer") {
    answer.erase(http::kOutcomeHeader);
    outcome.state = State::kAnswered;
    outcome.answer = std::move(answer);
  } else if (kind == "not-run" && !may_have_run) {
    auto reason = answer[kReasonHeader];
    auto n = ReadNumber({reason.data(), reason.size()});
    outcome.state = State::kRefused;
    outcome.refusal = n <= static_cast<uint64_t>(kLastRefusal)
                          ? static_cast<Refusal>(n)
                          : Refusal::kNoUpstream;
  }
  return outcome;
}

AttemptResult ReadAttemptEnd(const Response& answer) {
  auto kind = answer[http::kOutcomeHeader];
  if (kind == "answer") {
    return AttemptResult::kAnswer;
  }
  return kind == "not-run" ? AttemptResult::kShed : AttemptResult::kNoAnswer;
}

request::DispatchLoad ReadLoad(const Response& answer) {
  request::DispatchLoad load;
  auto text = answer[kLoadHeader];
  std::istringstream in(std::string(text.data(), text.size()));
  char slash = 0;
  in >> load.busy >> slash >> load.waiting >> slash >> load.slots;
  return load;
}

http::Request RequestShell::ToRelay(const Call& call,
                                    std::string_view path) const {
  http::Request relay(http::Verb::post, {path.data(), path.size()}, 11);
  relay.set(kServiceHeader, call.service);
  relay.set(kTargetHeader, call.request.target());
  relay.set(kMethodHeader, call.request.method_string());
  relay.set(kIdHeader, call.id);
  relay.set(kHashHeader, std::to_string(call.request_hash));
  relay.set(http::kDeadlineHeader, std::to_string(ToUnixMillis(call.deadline)));
  relay.set(observe::kTraceHeader, call.trace);
  if (!call.key.empty()) {
    relay.set(kRelayKeyHeader, call.key);
  }
  auto type = call.request.find(http::Field::content_type);
  if (type != call.request.end()) {
    relay.set(http::Field::content_type, type->value());
  }
  relay.body() = call.request.body();
  return relay;
}

http::Request RequestShell::ToKeyMessage(std::string_view path,
                                         const Call& call) const {
  http::Request message(http::Verb::post, {path.data(), path.size()}, 11);
  message.set(kServiceHeader, call.service);
  message.set(kRelayKeyHeader, call.key);
  message.set(kHashHeader, std::to_string(call.request_hash));
  return message;
}

RequestShell::Call RequestShell::FromRelay(const http::Request& request) {
  Call call;
  call.service = HeaderOr(request, kServiceHeader);
  call.key = HeaderOr(request, kRelayKeyHeader);
  call.request_hash = ReadNumber(HeaderOr(request, kHashHeader));
  call.id = HeaderOr(request, kIdHeader);
  call.trace = HeaderOr(request, observe::kTraceHeader);
  call.deadline = FromUnixMillis(static_cast<int64_t>(
      ReadNumber(HeaderOr(request, http::kDeadlineHeader))));
  call.request.method_string(HeaderOr(request, kMethodHeader));
  call.request.target(HeaderOr(request, kTargetHeader));
  auto type = request.find(http::Field::content_type);
  if (type != request.end()) {
    call.request.set(http::Field::content_type, type->value());
  }
  call.request.body() = request.body();
  return call;
}

Response RequestShell::ToCaller(const CallOutcome& outcome) {
  switch (outcome.state) {
    case State::kAnswered: {
      ++counters_.answered;
      auto answer = outcome.answer;
      for (auto header :
           {kLoadHeader, http::kOutcomeHeader, http::kAttemptHeader}) {
        answer.erase(header);
      }
      return answer;
    }
    case State::kRefused:
      ++counters_.refused[static_cast<size_t>(outcome.refusal)];
      return RefusalProblem(outcome.refusal);
    default:
      ++counters_.unknown;
      return UnknownProblem();
  }
}

}  // namespace acaciahold::host
