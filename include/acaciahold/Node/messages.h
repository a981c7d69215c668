// Messages between control hosts, and from control hosts to entry hosts, on
// links. What goes to many hosts has a compact form, see wire::News; the rest
// are JSON documents.

#ifndef ACACIAHOLD_NODE_MESSAGES_H_
#define ACACIAHOLD_NODE_MESSAGES_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciahold/Consensus/group.h"
#include "acaciahold/Consensus/message.h"
#include "acaciahold/Directory/failure_detector.h"
#include "acaciahold/Node/feed_choice.h"
#include "acaciahold/Support/error.h"
#include "acaciahold/Wire/control_message.h"

namespace acaciahold::node {

// The first message on a link, from the side that opened it.
struct Hello {
  std::string name;
  bool is_control = false;
  Endpoint link;  // Of a control host's own listener.
  std::string failure_domain;
  // Of the view that the sender holds already.
  uint64_t revision = 0;
  // Of the directory that an entry host holds; 0: it has none.
  uint64_t directory_digest = 0;
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

using wire::RefreshNotices;
using wire::SilentUpstreams;
using wire::SuspectedUpstreams;
using wire::UpstreamRecords;

// The control hosts that are known.
struct Hosts {
  std::vector<ControlHost> hosts;
};

// To entry hosts: whether this control host hears from a majority, so that its
// news are the newest.
struct Standing {
  bool is_current = false;
};

// Control hosts to each other: entry hosts that the sender feeds, those that
// are new to it or, now and then, all.
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
  std::vector<directory::UpstreamFailures> troubles;
};

// Entry hosts to a control host: changes of the view are missing, so that the
// whole view is wanted.
struct ViewRequest {
  uint64_t revision = 0;  // Of the view that the sender holds.
};

// To entry hosts, in place of records: this control host's directory is as the
// entry host's own, which it named in its greeting.
struct SameDirectory {};

// To entry hosts: all that this control host knows has been sent.
struct Complete {};

using Message = std::variant<Hello,
                             LogMessage,
                             JoinMessage,
                             UpstreamRecords,
                             RefreshNotices,
                             SilentUpstreams,
                             Hosts,
                             Standing,
                             EntryHosts,
                             EntryCount,
                             Troubles,
                             SuspectedUpstreams,
                             ViewRequest,
                             SameDirectory,
                             Complete,
                             catalog::ViewChange>;

std::string Encode(const Message& message);

// Fails with FieldError.
Result<Message> DecodeMessage(std::string_view bytes);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_MESSAGES_H_
