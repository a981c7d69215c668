// HTTP message types and helpers, and the names of project-specific headers.

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

// Deadline of the request in Unix milliseconds. No response is expected after
// it.
inline constexpr std::string_view kDeadlineHeader = "Acaciahold-Deadline";
// Identifies one attempt. An upstream may repeat it in its response; the client
// discards a response that names another attempt.
inline constexpr std::string_view kAttemptHeader = "Acaciahold-Attempt";
// Outcome of a request: "answer", "not-run" or "unknown".
inline constexpr std::string_view kOutcomeHeader = "Acaciahold-Outcome";

Response MakeResponse(Status status,
                      std::string body,
                      std::string_view content_type = "application/json");

// Returns a response with a problem document (RFC 9457). `type` is the last
// component of the problem type's URN.
Response MakeProblem(Status status,
                     std::string_view type,
                     std::string_view title,
                     std::string_view detail);

// Returns the value of a parameter of the target's query, not percent-decoded,
// or an empty string if it is missing.
std::string QueryParameter(std::string_view target, std::string_view name);

// Returns the request target without its query.
std::string_view TargetPath(std::string_view target);

}  // namespace acaciahold::http

#endif  // ACACIAHOLD_HTTP_MESSAGE_H_
