// Blocking HTTP requests for the operator's commands.

#ifndef ACACIAHOLD_OPERATOR_CONNECTION_H_
#define ACACIAHOLD_OPERATOR_CONNECTION_H_

#include <optional>
#include <span>
#include <string>

#include <boost/json/value.hpp>

#include "acaciahold/Http/message.h"
#include "acaciahold/Support/address.h"

namespace acaciahold::op {

struct ApiResponse {
  unsigned status = 0;      // HTTP status; 0 if no host responded.
  boost::json::value body;  // Null if the body is not valid JSON.
  Endpoint from;            // The host that responded.
};

// Sends the request to one host after the other until one responds with a
// status other than 503. Returns that response, or otherwise the last 503
// received.
ApiResponse SendWithFailover(std::span<const Endpoint> hosts,
                             http::Verb verb,
                             const std::string& target,
                             const std::string& body);

}  // namespace acaciahold::op

#endif  // ACACIAHOLD_OPERATOR_CONNECTION_H_
