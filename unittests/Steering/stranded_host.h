// An entry host in virtual time whose upstreams may be gone, for tests.

#ifndef ACACIAHOLD_UNITTESTS_STEERING_STRANDED_HOST_H_
#define ACACIAHOLD_UNITTESTS_STEERING_STRANDED_HOST_H_

#include <functional>
#include <utility>
#include <vector>

#include "acaciahold/Steering/stranded_flow.h"
#include "acaciahold/Steering/tag_steering.h"

namespace acaciahold::steering {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Phase = directory::Phase;
using Repetition = catalog::Repetition;

inline const Instant kStart = FromUnixMillis(1'000'000);
inline constexpr Endpoint kListener{7, 443};
// Upstreams 1 and 2 are in this host's domain, 3 and 4 in another.
inline constexpr Tag kOwn = 1;
inline constexpr Tag kRemote = 3;
inline constexpr Tag kOtherRemote = 4;

inline directory::Record MakeRecord(directory::UpstreamId id) {
  directory::Record record;
  record.id = id;
  record.service = "orders";
  record.endpoint = {static_cast<uint32_t>(100 + id), 8080};
  record.failure_domain = id <= 2 ? "north" : "south";
  record.slots = 2;
  record.born_ms = 1;
  record.sequence = 1;
  return record;
}

// An entry host in virtual time, with callers that retransmit after 200, 600
// and 1,400 ms.
struct Host {
  explicit Host(Repetition repetition = Repetition::kIdempotent) {
    catalog::View view;
    view.revision = view.catalog.version = 1;
    view.catalog.services = {{"orders", 0}};
    view.catalog.listeners = {{"a", kListener, {{"orders", 1}}}};
    view.catalog.listeners[0].terms.repetition = repetition;
    OnView(steering, std::move(view));
    OnFeedBegin(steering, 0);
    for (directory::UpstreamId id = 1; id <= 4; ++id) {
      OnRecord(steering, 0, MakeRecord(id), now);
    }
    OnFeedComplete(steering, 0);
    steering.hears_feed = true;
  }

  // Advances the time, with ticks and with answers of upstream 2 each 20 ms
  // while `has_answers` is set.
  void Wait(Duration time) {
    Instant end = now + time;
    while (now < end) {
      now += milliseconds(20);
      if (has_answers) {
        AnswerOthers();
      }
      if ((now - kStart) % milliseconds(100) == Duration(0)) {
        OnTick(steering, now);
      }
    }
  }

  TagDecision Send(uint32_t caller, Tag tag, const Progress& progress) {
    TaggedFlow flow{{caller, 4'000}, kListener};
    bool is_repeated = OnProgress(steering, flow, tag, progress, now);
    return OnTagged(steering, flow, tag,
                    progress.has_data && !is_repeated ? 1 : 0, now);
  }

  // Sends the data of a request; again, if it was sent before.
  bool IsReset(uint32_t caller, Tag tag) {
    auto decision = Send(caller, tag, {100, 50, true, false});
    return decision.verdict == TagVerdict::kReset;
  }

  // Upstream 2 answers the last request of one of its callers, which sends
  // another.
  void AnswerOthers() {
    ++answers;
    Send(400, UpstreamTag(2), {answers, answers, false, false});
    Send(400, UpstreamTag(2), {answers, answers, true, false});
  }

  // The upstream answers a request of another caller.
  void Answer(Tag tag) {
    uint32_t caller = 500 + answers++;
    Send(caller, tag, {100, 50, true, false});
    Send(caller, tag, {120, 90, false, false});
    Wait(milliseconds(20));
  }

  // Returns at which try the caller's request is reset, 0 if at none: 1 is the
  // first packet, 4 the third retransmission.
  int TryAll(uint32_t caller, Tag tag) {
    int copy = 1;
    for (auto pause : {200, 400, 800, 0}) {
      if (IsReset(caller, tag)) {
        return copy;
      }
      ++copy;
      Wait(milliseconds(pause));
    }
    return 0;
  }

  // The request of a caller stays unanswered until its second retransmission.
  void LeaveOverdue(uint32_t caller, Tag tag) {
    IsReset(caller, tag);
    Wait(milliseconds(200));
    IsReset(caller, tag);
    Wait(milliseconds(400));
    IsReset(caller, tag);
  }

  TagUpstream& at(directory::UpstreamId id) {
    return steering.upstreams.at(id);
  }

  TagSteering steering = MakeTagSteering("north", 1);
  Instant now = kStart;
  uint32_t answers = 0;
  bool has_answers = true;
};

// A host that has run for long enough to be trusted, and to which all upstreams
// have just answered.
inline Host MakeHost(Repetition repetition = Repetition::kIdempotent) {
  Host host(repetition);
  host.steering.entry_hosts = 10;
  host.Wait(seconds(6));
  for (uint32_t id = 1; id <= 4; ++id) {
    host.Answer(UpstreamTag(id));
  }
  host.Wait(milliseconds(100));
  TakeLoadReport(host.steering);
  return host;
}

using Fault = std::function<void(Host&)>;

inline void MakeDark(Host& host) {
  host.at(kOwn).dark_deadline = host.now + seconds(60);
}

inline void MakeSuspected(Host& host) {
  host.at(kOwn).suspect_deadline = host.now + seconds(60);
}

inline void MakeGone(Host& host) {
  auto record = MakeRecord(kOwn);
  record.sequence = 2;
  record.phase = Phase::kGone;
  OnRecord(host.steering, 0, record, host.now);
}

inline void MakeSilent(Host& host) {
  OnSilence(host.steering, 0, kOwn, host.now);
}

inline const std::vector<Fault> kFaults{MakeDark, MakeSuspected, MakeGone,
                                        MakeSilent};

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_UNITTESTS_STEERING_STRANDED_HOST_H_
