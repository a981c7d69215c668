// Messages that hosts exchange on links: between control hosts, and between
// control hosts and entry hosts. Messages sent to many hosts have a compact
// encoding, see wire::ControlMessage; the others are JSON documents.

#ifndef ACACIAHOLD_NODE_MESSAGES_H_
#define ACACIAHOLD_NODE_MESSAGES_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciahold/Consensus/group.h"
#include "acaciahold/Consensus/message.h"
#include "acaciahold/Directory/failure_detector.h"
#include "acaciahold/Load/load.h"
#include "acaciahold/Node/entry_host_counter.h"
#include "acaciahold/Node/feed_choice.h"
#include "acaciahold/Support/error.h"
#include "acaciahold/Wire/control_message.h"

namespace acaciahold::node {

// The first message on a link, from the side that opened it.
struct Hello {
  std::string name;
  bool is_control = false;
  Endpoint link;  // Link endpoint of the sender if it is a control host.
  std::string failure_domain;
  // Revision of the sender's view.
  uint64_t revision = 0;
  // Digest of the directory that an entry host holds; 0: it has none.
  uint64_t directory_digest = 0;
  // Whether the sender understands load sums, if it is a control host, or load
  // digests. Hosts of earlier versions don't send the field.
  bool understands_load = false;
  // Whether the sender is an entry host that understands flow tags. Hosts of
  // earlier versions don't send the field.
  bool understands_flow_tags = false;
};

// Carries a message of the consensus protocol.
struct LogMessage {
  Endpoint from;  // Link endpoint of the sender, for answers.
  consensus::Message message;
};

// Requests membership in the group. A member that is not the leader forwards it
// to the leader.
struct JoinMessage {
  consensus::JoinRequest request;
};

// Requests to be removed from the group, since the sender is about to stop.
struct LeaveMessage {
  consensus::ReplicaId id = 0;
  Endpoint from;  // Link endpoint of the sender, for the answer.
};

// The leader's answer to a LeaveMessage.
struct LeaveAnswerMessage {
  bool is_member = false;  // Whether the receiver stays a member.
};

using load::LoadDigest;
using load::LoadReport;
using load::LoadSums;
using wire::RefreshNotices;
using wire::SilentUpstreams;
using wire::SuspectedUpstreams;
using wire::UpstreamRecords;

// Control hosts that the sender knows.
struct ControlHosts {
  std::vector<ControlHost> hosts;
};

// To entry hosts: whether the sending control host is in contact with a
// majority, so that its catalog is the newest.
struct FeedStatus {
  bool is_current = false;
};

// Between control hosts: entry hosts connected to the sender. Usually only
// those that were not reported yet, periodically all of them.
struct EntryHosts {
  std::vector<std::string> names;
  // Whether all of these understand flow tags, or none does. Control hosts of
  // earlier versions don't know.
  std::optional<bool> understand_flow_tags;
};

// To entry hosts: number of entry hosts in the deployment, including those lost
// within kEntryHostLease.
struct EntryHostCount {
  uint32_t count = 0;
  // Control hosts of earlier versions don't send the field, which counts as
  // kNotAll: entry hosts of such a version are likely.
  FlowTagSupport flow_tag_support = FlowTagSupport::kNotAll;
};

// From an entry host to its feeds: failures of upstreams since its last report.
struct FailureReport {
  std::vector<directory::UpstreamFailures> failures;
};

// From an entry host to a control host: requests the whole view because changes
// are missing.
struct ViewRequest {
  uint64_t revision = 0;  // Revision of the sender's view.
};

// To an entry host, instead of records: the digest in its Hello equals that of
// the control host's directory.
struct SameDirectory {};

// To entry hosts: the control host has sent its complete state.
struct SyncComplete {};

using Message = std::variant<Hello,
                             LogMessage,
                             JoinMessage,
                             LeaveMessage,
                             LeaveAnswerMessage,
                             UpstreamRecords,
                             RefreshNotices,
                             SilentUpstreams,
                             ControlHosts,
                             FeedStatus,
                             EntryHosts,
                             EntryHostCount,
                             FailureReport,
                             SuspectedUpstreams,
                             ViewRequest,
                             SameDirectory,
                             SyncComplete,
                             catalog::ViewChange,
                             LoadReport,
                             LoadSums,
                             LoadDigest>;

std::string Encode(const Message& message);

// Fails with FieldError.
Result<Message> DecodeMessage(std::string_view bytes);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_MESSAGES_H_
