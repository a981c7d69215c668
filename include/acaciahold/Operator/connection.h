// Blocking HTTP exchanges for commands.

#ifndef ACACIAHOLD_OPERATOR_CONNECTION_H_
#define ACACIAHOLD_OPERATOR_CONNECTION_H_

#include <optional>
#include <span>
#include <string>

#include <boost/json/value.hpp>

#include "acaciahold/Http/message.h"
#include "acaciahold/Support/address.h"

namespace acaciahold::op {

struct Answer {
  unsigned status = 0;  // 0 where no host answered.
  boost::json::value body;
  Endpoint from;
};

// Asks the hosts in turn until one answers with anything but 503.
Answer Ask(std::span<const Endpoint> hosts,
           http::Verb verb,
           const std::string& target,
           const std::string& body);

}  // namespace acaciahold::op

#endif  // ACACIAHOLD_OPERATOR_CONNECTION_H_
