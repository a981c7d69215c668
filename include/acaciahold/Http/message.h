// HTTP messages as the shell passes them, and headers of the project's own.

#ifndef ACACIAHOLD_HTTP_MESSAGE_H_
#define ACACIAHOLD_HTTP_MESSAGE_H_

#include <string>
#include <string_view>

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

namespace acaciahold::http {

using Request = boost::beast::http::request<boost::beast::http::string_body>;
using Response = boost::beast::http::response<boost::beast::http::string_body>;
using Status = boost::beast::http::status;
using Verb = boost::beast::http::verb;
using Field = boost::beast::http::field;

// Unix milliseconds after which nobody waits for the answer.
inline constexpr std::string_view kDeadlineHeader = "Acaciahold-Deadline";
// Names one attempt; an upstream may repeat it in its answer.
inline constexpr std::string_view kAttemptHeader = "Acaciahold-Attempt";
// How a request between hosts ended: answer, not-run or unknown.
inline constexpr std::string_view kOutcomeHeader = "Acaciahold-Outcome";

Response MakeResponse(Status status,
                      std::string body,
                      std::string_view content_type = "application/json");

// A problem body as of RFC 9457. `type` is the last part of the problem's URN.
Response MakeProblem(Status status,
                     std::string_view type,
                     std::string_view title,
                     std::string_view detail);

// The value of one parameter of the target's query; empty where it is missing.
std::string QueryParameter(std::string_view target, std::string_view name);

// The target without its query.
std::string_view PathOf(std::string_view target);

}  // namespace acaciahold::http

#endif  // ACACIAHOLD_HTTP_MESSAGE_H_
