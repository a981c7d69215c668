// Follows the last request of recent flows from the packets that callers send:
// when it was sent, whether it was answered, retransmitted or given up.
// Performs no I/O. Answers don't pass through the entry host; it sees only that
// the caller's acknowledgement number increases.
//
// The memory is constant: a flow's hash selects its slot, and a newer flow
// replaces an older one there.

#ifndef ACACIAHOLD_STEERING_REQUEST_TRACKER_H_
#define ACACIAHOLD_STEERING_REQUEST_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "acaciahold/Steering/overload.h"
#include "acaciahold/Steering/route_load.h"
#include "acaciahold/Support/time.h"

namespace acaciahold::steering {

// Header fields of a later packet that show whether the flow's upstream
// answers.
struct Progress {
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;  // The caller's acknowledgement number.
  bool has_data = false;
  bool is_closing = false;  // The caller's last packet of the flow.
};

// The last request of a flow.
struct TrackedRequest {
  uint64_t flow_hash = 0;
  // The caller has sent data, with these numbers.
  bool has_data = false;
  uint32_t sequence = 0;
  uint32_t acknowledged = 0;
  // Different packets with its data. Retransmissions of all but the last are
  // not recognized as such, and count here.
  uint32_t packets = 0;
  // The first packet seen was the first one sent; else it may have been a
  // retransmission, as another flow had the slot or another host the flow.
  bool is_from_start = false;
  bool is_answered = false;
  bool is_failed = false;  // Already reported as a failure.
  bool is_closed = false;  // The caller has closed the flow.
  // Already reported as answered, since the caller did not retransmit it.
  bool is_presumed_answered = false;
  // The first request of a flow that this host placed.
  bool is_first = false;
  uint32_t retransmissions = 0;  // Of its data.
  // Load of the upstream's service; null if the upstream was unknown.
  ServiceLoad* load = nullptr;
  // Invariant: null if and only if `load` is null.
  RouteLoad* route_load = nullptr;
  bool is_in_flight = false;  // `load` and `route_load` count the request.
  Instant sent_at;            // Of the first packet.
  Instant data_sent_at;       // Of the last data, the first time.
  Instant copy_at;            // Of the last packet with the last data.
  // The caller's last acknowledgement number; none before its first packet.
  std::optional<uint32_t> latest_acknowledged;
};

// Number of slots.
inline constexpr size_t kTrackedRequests = 2'048;
struct RequestTracker {
  // Invariant: size kTrackedRequests. Each `load` and `route_load` outlives the
  // tracker.
  std::vector<TrackedRequest> requests =
      std::vector<TrackedRequest>(kTrackedRequests);
  size_t next_checked = 0;  // The slot that RemoveOverdue checks next.
};

// What a packet shows about the flow's last request.
struct RequestProgress {
  // The upstream has begun to answer: set once for each request.
  bool is_answered = false;
  // It was presumed to have answered before; see TrackedRequest.
  bool is_presumed_answered = false;
  // How long the answer took; nothing if unknown, since the caller acknowledged
  // it only with its next request or at the end of a pause.
  std::optional<Duration> response_time;
  // The upstream has sent something since the last request's data. Whether it
  // was just now is known only if the packet is prompt.
  bool is_alive = false;
  bool is_prompt = false;
  // Retransmissions of the last data so far, and when it was first sent.
  // `retransmissions` is set only if data was retransmitted or answered.
  uint32_t retransmissions = 0;
  Instant sent_at;
  // Data was retransmitted: the caller received no acknowledgement in time,
  // because a packet was lost or the upstream is slow or dead.
  bool is_repeated = false;
  bool is_given_up = false;  // The caller closes the flow without an answer.
  // Whether to count a failure: set once for each request.
  bool is_failure = false;
};

// A new flow was given to an upstream of the service. Its first request follows
// when the flow is open, but takes up a place from now on.
void OnFlowPlaced(RequestTracker& tracker,
                  uint64_t flow_hash,
                  ServiceLoad& load,
                  RouteLoad& route_load,
                  Instant now);

// Handles a later packet of a flow. `load` is that of the service of the flow's
// upstream, `route_load` that of its listener there; both are null
// if the upstream is unknown.
RequestProgress OnCallerPacket(RequestTracker& tracker,
                               uint64_t flow_hash,
                               ServiceLoad* load,
                               RouteLoad* route_load,
                               const Progress& progress,
                               Instant now);

// Returns the flow's last request, or null if its slot holds another flow's.
TrackedRequest* FindRequest(RequestTracker& tracker, uint64_t flow_hash);

// The caller did not retransmit the request when due, so that it was answered.
void PresumeAnswered(TrackedRequest& request);

// Removes requests from the count in flight whose time is over; see
// InFlightTime. Checks a part of the slots; call periodically.
void RemoveOverdue(RequestTracker& tracker, Instant now);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_STEERING_REQUEST_TRACKER_H_
