// Refuses openings of a TagSteering for lack of room, and counts its requests
// for the reports to control hosts.

#ifndef ACACIAHOLD_LIB_STEERING_TAG_LOAD_H_
#define ACACIAHOLD_LIB_STEERING_TAG_LOAD_H_

#include <optional>
#include <string>

#include "acaciahold/Steering/tag_steering.h"

namespace acaciahold::steering {

// The load of the listener's requests at the upstream's service.
RouteLoad& RouteOf(TagSteering& steering,
                   const TagUpstream& upstream,
                   Endpoint listener);
RouteLoad& RouteOf(const TagSteering& steering,
                   TagService& service,
                   Endpoint listener);

// Counts an opening that the upstream has not answered.
void CountOverdueOpening(TagSteering& steering,
                         const TagUpstream& upstream,
                         Endpoint listener);

// Counts an opening that the upstream has answered.
void CountAnsweredOpening(TagSteering& steering,
                          const TagUpstream& upstream,
                          Endpoint listener);

// Counts a request that must have been answered, as its caller did not
// retransmit it.
void CountPresumedAnswer(TagSteering& steering,
                         const TagUpstream& upstream,
                         Endpoint listener);

// Counts what a packet shows about the flow's last request.
void CountProgress(TagSteering& steering,
                   const TagUpstream& upstream,
                   Endpoint listener,
                   const RequestProgress& progress);

// Whether packets may have waited in this host, since it was paused for a
// moment: the flow of a first opening may be open by a later copy then.
bool MayHaveReadLate(const TagSteering& steering, Instant now);

// Decides whether to refuse an opening of the listener for lack of room;
// returns nothing if it is admitted. The scratch lists must hold the service's
// upstreams that may take it.
std::optional<TagDecision> RefuseOpening(TagSteering& steering,
                                         const catalog::Listener& listener,
                                         const std::string& service_name,
                                         TagService& service,
                                         Instant now);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_LIB_STEERING_TAG_LOAD_H_
