// Entry hosts that know upstreams whose tags may clash, for tests.

#ifndef ACACIAHOLD_UNITTESTS_STEERING_CLASH_HOSTS_H_
#define ACACIAHOLD_UNITTESTS_STEERING_CLASH_HOSTS_H_

#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "acaciahold/Steering/tag_steering.h"
#include "acaciahold/Support/hash.h"

namespace acaciahold::steering::clash {

inline const Instant kStart = FromUnixMillis(1'000'000);
inline constexpr Endpoint kFeedListener{7, 443};
inline constexpr Endpoint kArchiveListener{8, 443};
// Ids made of a zone and a number, whose halves have the same XOR.
inline constexpr directory::UpstreamId kOlder = 0x01'0000'0004;
inline constexpr directory::UpstreamId kNewer = 0x02'0000'0007;
inline constexpr int64_t kOlderBornMs = 1'000;
inline constexpr int64_t kNewerBornMs = 600'000;

inline directory::Record MakeRecord(directory::UpstreamId id,
                                    const std::string& service,
                                    int64_t born_ms) {
  directory::Record record;
  record.id = id;
  record.service = service;
  record.endpoint = {static_cast<uint32_t>(100 + id % 1'000), 8080};
  record.failure_domain = "north";
  record.slots = 1'000;
  record.born_ms = born_ms;
  record.sequence = 1;
  return record;
}

inline directory::Record Older(const std::string& service = "feed") {
  return MakeRecord(kOlder, service, kOlderBornMs);
}

inline directory::Record Newer(const std::string& service) {
  return MakeRecord(kNewer, service, kNewerBornMs);
}

// Returns a host that learns the upstreams in this order. It has a listener for
// each of the services "feed" and "archive".
inline TagSteering MakeHost(const std::vector<directory::Record>& records) {
  auto host = MakeTagSteering("north", 1);
  catalog::View view;
  view.revision = view.catalog.version = 1;
  view.catalog.services = {{"feed", 0}, {"archive", 0}};
  view.catalog.listeners = {{"a", kFeedListener, {{"feed", 1}}},
                            {"b", kArchiveListener, {{"archive", 1}}}};
  OnView(host, std::move(view));
  OnFeedBegin(host, 0);
  for (const auto& it : records) {
    OnRecord(host, 0, it, kStart);
  }
  OnFeedComplete(host, 0);
  return host;
}

inline TaggedFlow MakeFlow(uint32_t caller, Endpoint listener) {
  return {{caller, 4'000}, listener};
}

inline uint64_t HashOf(const TaggedFlow& flow) {
  return CombineHashes(PackEndpoint(flow.caller), PackEndpoint(flow.listener));
}

// Returns an id with the same bucket as kOlder.
inline directory::UpstreamId FindInSameBucket() {
  directory::UpstreamId id = kNewer + 1;
  while (TagBucket(id) != TagBucket(kOlder)) {
    ++id;
  }
  return id;
}

// Returns a caller, from `first` on, of a flow for which the first tag of both
// is the same.
inline uint32_t FindClashingCaller(directory::UpstreamId a,
                                   directory::UpstreamId b,
                                   Endpoint listener,
                                   uint32_t first = 1) {
  uint32_t caller = first;
  while (FlowTag(a, HashOf(MakeFlow(caller, listener)), 0) !=
         FlowTag(b, HashOf(MakeFlow(caller, listener)), 0)) {
    ++caller;
  }
  return caller;
}

struct OpenFlow {
  TaggedFlow flow;
  Tag tag = 0;
  directory::UpstreamId upstream = 0;
};

// Opens flows of the callers from `first` on; returns those that were placed.
inline std::vector<OpenFlow> OpenFlows(TagSteering& host,
                                       Endpoint listener,
                                       uint32_t first,
                                       uint32_t n) {
  std::vector<OpenFlow> flows;
  for (uint32_t caller = first; caller < first + n; ++caller) {
    auto flow = MakeFlow(caller, listener);
    auto decision = OnOpening(host, {flow, 77, 0}, kStart);
    if (decision.verdict == TagVerdict::kForward) {
      flows.push_back({flow, decision.tag, decision.upstream});
    }
  }
  return flows;
}

// Decides on a later packet of the flow.
inline TagDecision SendLater(TagSteering& host,
                             const OpenFlow& open,
                             Instant now = kStart) {
  return OnTagged(host, open.flow, open.tag, 1, now);
}

// Returns how many of the flows have their later packets sent to the upstream
// at which they were placed.
inline size_t CountKept(TagSteering& host, const std::vector<OpenFlow>& flows) {
  size_t kept = 0;
  for (const auto& it : flows) {
    auto decision = SendLater(host, it);
    kept += decision.verdict == TagVerdict::kForward &&
                    decision.upstream == it.upstream
                ? 1
                : 0;
  }
  return kept;
}

}  // namespace acaciahold::steering::clash

#endif  // ACACIAHOLD_UNITTESTS_STEERING_CLASH_HOSTS_H_
