// Messages between control hosts, and from control hosts to entry hosts, as
// JSON documents on links.

#ifndef ACACIAHOLD_NODE_MESSAGES_H_
#define ACACIAHOLD_NODE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciahold/Catalog/catalog.h"
#include "acaciahold/Consensus/group.h"
#include "acaciahold/Consensus/message.h"
#include "acaciahold/Directory/directory.h"
#include "acaciahold/Directory/suspicion.h"
#include "acaciahold/Node/feed_choice.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::node {

// The first message on a link, from the side that opened it.
struct Hello {
  std::string name;
  bool is_control = false;
  Endpoint link;  // Of a control host's own listener.
  std::string failure_domain;
  // Of the view that the sender holds already, as catalog::View.
  uint64_t revision = 0;
};

// A message of the replicated log.
struct LogMessage {
  Endpoint from;  // The sender's links, for the answer.
  consensus::Message message;
};

// A host that asks to become a member; passed on to the leader.
struct JoinMessage {
  consensus::JoinRequest request;
};

// Upstreams whose records have changed.
struct Records {
  std::vector<directory::Record> records;
  // Control hosts to each other: the sender's whole directory is sent.
  bool is_whole = false;
};

// Upstreams that announced themselves again without a change.
struct Refreshes {
  std::vector<directory::Refreshment> refreshments;
};

// Upstreams that this control host has not heard of for long.
struct Silences {
  std::vector<directory::UpstreamId> ids;
};

// The control hosts that are known.
struct Hosts {
  std::vector<ControlHost> hosts;
};

// To entry hosts: whether this control host hears from a majority, so that its
// news are the newest.
struct Standing {
  bool is_current = false;
};

// Control hosts to each other: the entry hosts that the sender feeds.
struct EntryHosts {
  std::vector<std::string> names;
};

// To entry hosts: how many entry hosts there are, those counted that were lost
// not long ago.
struct EntryCount {
  uint32_t count = 0;
};

// Entry hosts to the control hosts that they follow.
struct Troubles {
  std::vector<directory::Trouble> troubles;
};

// Upstreams that a control host suspects anew, to all hosts.
struct Suspects {
  std::vector<directory::UpstreamId> ids;
};

// To entry hosts: all that this control host knows has been sent.
struct Complete {};

using Message = std::variant<Hello,
                             LogMessage,
                             JoinMessage,
                             Records,
                             Refreshes,
                             Silences,
                             Hosts,
                             Standing,
                             EntryHosts,
                             EntryCount,
                             Troubles,
                             Suspects,
                             Complete,
                             catalog::View>;

std::string Encode(const Message& message);

// Fails with FieldError.
Result<Message> DecodeMessage(std::string_view text);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_MESSAGES_H_
