// Messages that control hosts send to each other and to entry hosts, and their
// protobuf encoding. Messages that go to many hosts, such as upstream records
// and catalog changes, have a compact encoding of their own.

#ifndef ACACIAHOLD_WIRE_CONTROL_MESSAGE_H_
#define ACACIAHOLD_WIRE_CONTROL_MESSAGE_H_

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "acaciahold/Catalog/view_change.h"
#include "acaciahold/Directory/directory.h"
#include "acaciahold/Load/load.h"

namespace acaciahold::wire {

// Changed records of upstreams.
struct UpstreamRecords {
  std::vector<directory::Record> records;
  // Only set between control hosts: `records` is the sender's whole directory.
  bool is_whole = false;
};

// Upstreams that announced themselves again without a change.
struct RefreshNotices {
  std::vector<directory::RefreshNotice> notices;
};

// Upstreams that became silent: the sending control host has received no
// announcement of them within the silence timeout.
struct SilentUpstreams {
  std::vector<directory::UpstreamId> ids;
};

// Upstreams that a control host newly suspects to be failing. Sent to all
// hosts.
struct SuspectedUpstreams {
  std::vector<directory::UpstreamId> ids;
};

// Any other message, as JSON text. This layer does not interpret it.
struct Document {
  std::string text;
};

using ControlMessage = std::variant<Document,
                                    UpstreamRecords,
                                    RefreshNotices,
                                    SilentUpstreams,
                                    SuspectedUpstreams,
                                    catalog::ViewChange,
                                    load::LoadReport,
                                    load::LoadSums,
                                    load::LoadDigest>;

std::string EncodeControlMessage(const ControlMessage& message);
// Returns nothing if `bytes` is not a well-formed message.
std::optional<ControlMessage> DecodeControlMessage(std::string_view bytes);

}  // namespace acaciahold::wire

#endif  // ACACIAHOLD_WIRE_CONTROL_MESSAGE_H_
