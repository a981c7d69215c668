// Compares each packet with the last request of its flow.

#include "acaciahold/Steering/request_tracker.h"

#include <algorithm>
#include <utility>

namespace acaciahold::steering {
namespace {

// Slots that one call of RemoveOverdue checks.
constexpr size_t kSlotsPerCheck = kTrackedRequests / 4;
// When callers send the first and the second retransmission, after the data.
constexpr Duration kFirstCopyTime = std::chrono::milliseconds(200);
constexpr Duration kSecondCopyTime = std::chrono::milliseconds(600);
// Times between two copies from which the later one is at least the second or
// third retransmission, a little less than 400 and 800 ms.
constexpr Duration kSecondGap = std::chrono::milliseconds(370);
constexpr Duration kThirdGap = std::chrono::milliseconds(750);

TrackedRequest& SlotOf(RequestTracker& tracker, uint64_t flow_hash) {
  return tracker.requests[flow_hash % kTrackedRequests];
}

void EndInFlight(TrackedRequest& request) {
  if (std::exchange(request.is_in_flight, false)) {
    RemoveInFlight(*request.load);
    --request.route_load->in_flight;
  }
}

void Begin(TrackedRequest& request,
           ServiceLoad& load,
           RouteLoad& route_load,
           Instant now) {
  AddInFlight(load);
  ++route_load.in_flight;
  ++route_load.arrived;
  request.load = &load;
  request.route_load = &route_load;
  request.is_in_flight = true;
  request.sent_at = now;
}

// Gives the slot to another flow.
void Replace(TrackedRequest& request, uint64_t flow_hash) {
  EndInFlight(request);
  request = {};
  request.flow_hash = flow_hash;
}

// Callers double the time between two copies of their data, which tells the
// number of a retransmission even if the earlier ones went to another host, as
// while hosts restart.
void CountRetransmission(TrackedRequest& request, Instant now) {
  Duration gap = now - std::exchange(request.copy_at, now);
  uint32_t by_gap = 1;
  Duration sent_before{};
  if (gap >= kThirdGap) {
    by_gap = 3;
    sent_before = kSecondCopyTime;
  } else if (gap >= kSecondGap) {
    by_gap = 2;
    sent_before = kFirstCopyTime;
  }
  if (!request.is_from_start && request.retransmissions == 0) {
    request.data_sent_at -= sent_before;
  }
  request.retransmissions = std::max(request.retransmissions + 1, by_gap);
}

// Handles data that is no retransmission: a new request, or more of one.
void OnNewData(TrackedRequest& request,
               ServiceLoad* load,
               RouteLoad* route_load,
               const Progress& progress,
               Instant now) {
  bool is_new_request = !request.load || request.is_answered;
  bool is_more = request.has_data && !request.is_answered;
  request.packets = is_more ? request.packets + 1 : 1;
  request.is_from_start = true;
  request.is_first = request.is_first && !request.has_data;
  request.is_answered = false;
  request.has_data = true;
  request.sequence = progress.sequence;
  request.acknowledged = progress.acknowledged;
  request.is_failed = false;
  request.is_presumed_answered = false;
  request.retransmissions = 0;
  request.data_sent_at = now;
  request.copy_at = now;
  if (is_new_request && load) {
    Begin(request, *load, *route_load, now);
  }
}

// Whether what the packet acknowledges came just now. Callers acknowledge a
// short answer only with their next packet, which may be a new request, or the
// end of the flow after a pause.
bool IsPrompt(const TrackedRequest& request, const Progress& progress) {
  bool closes_at_once = request.is_first && !request.is_presumed_answered;
  return !progress.has_data && (!progress.is_closing || closes_at_once);
}

// Handles the packet that shows the request as answered. Returns the response
// time if it is known.
std::optional<Duration> OnFirstAnswer(TrackedRequest& request,
                                      const Progress& progress,
                                      Instant now) {
  request.is_answered = true;
  EndInFlight(request);
  if (!request.load) {
    return std::nullopt;
  }
  std::optional<Duration> response_time;
  if (IsPrompt(request, progress)) {
    response_time = now - request.sent_at;
  }
  bool is_pause = request.is_presumed_answered;
  OnAnswer(*request.load, is_pause ? std::nullopt : response_time, now);
  // A pause is no work, and the first packet seen may be a retransmission.
  if (response_time && request.is_from_start && !is_pause) {
    CountResponse(*request.route_load, *response_time);
  }
  return response_time;
}

}  // namespace

void OnFlowPlaced(RequestTracker& tracker,
                  uint64_t flow_hash,
                  ServiceLoad& load,
                  RouteLoad& route_load,
                  Instant now) {
  auto& request = SlotOf(tracker, flow_hash);
  Replace(request, flow_hash);
  request.is_first = true;
  Begin(request, load, route_load, now);
}

RequestProgress OnCallerPacket(RequestTracker& tracker,
                               uint64_t flow_hash,
                               ServiceLoad* load,
                               RouteLoad* route_load,
                               const Progress& progress,
                               Instant now) {
  RequestProgress result;
  auto& request = SlotOf(tracker, flow_hash);
  if (request.flow_hash != flow_hash) {
    if (progress.has_data) {
      Replace(request, flow_hash);
      request.latest_acknowledged = progress.acknowledged;
      OnNewData(request, load, route_load, progress, now);
      request.is_from_start = false;
    }
    return result;
  }
  auto latest =
      std::exchange(request.latest_acknowledged, progress.acknowledged);
  result.is_alive = latest && *latest != progress.acknowledged;
  result.is_prompt = IsPrompt(request, progress);
  result.sent_at = request.data_sent_at;
  result.is_answered = request.has_data && !request.is_answered &&
                       request.acknowledged != progress.acknowledged;
  if (result.is_answered) {
    result.retransmissions = request.retransmissions;
    result.is_presumed_answered = request.is_presumed_answered;
    result.response_time = OnFirstAnswer(request, progress, now);
  }
  result.is_repeated = progress.has_data && request.has_data &&
                       request.sequence == progress.sequence;
  result.is_given_up = !progress.has_data && progress.is_closing &&
                       request.has_data && !request.is_answered;
  if (result.is_repeated) {
    CountRetransmission(request, now);
    result.retransmissions = request.retransmissions;
    result.sent_at = request.data_sent_at;
  }
  if (result.is_repeated || result.is_given_up) {
    result.is_failure = !std::exchange(request.is_failed, true);
  } else if (progress.has_data) {
    OnNewData(request, load, route_load, progress, now);
  }
  if (progress.is_closing) {
    EndInFlight(request);
    request.is_closed = true;
  }
  return result;
}

void PresumeAnswered(TrackedRequest& request) {
  request.is_presumed_answered = true;
  EndInFlight(request);
}

TrackedRequest* FindRequest(RequestTracker& tracker, uint64_t flow_hash) {
  auto& request = SlotOf(tracker, flow_hash);
  return request.flow_hash == flow_hash ? &request : nullptr;
}

void RemoveOverdue(RequestTracker& tracker, Instant now) {
  for (size_t i = 0; i < kSlotsPerCheck; ++i) {
    auto& request = tracker.requests[tracker.next_checked];
    tracker.next_checked = (tracker.next_checked + 1) % kTrackedRequests;
    if (request.is_in_flight &&
        now >= request.sent_at + InFlightTime(*request.load)) {
      EndInFlight(request);
    }
  }
}

}  // namespace acaciahold::steering
