// What the decisions on opening and on later packets of a TagSteering share.

#ifndef ACACIAHOLD_LIB_STEERING_TAG_FLOWS_H_
#define ACACIAHOLD_LIB_STEERING_TAG_FLOWS_H_

#include "acaciahold/Steering/tag_steering.h"

namespace acaciahold::steering {

uint64_t HashFlow(const TaggedFlow& flow);

// Returns the slot of a flow in TagSteering::recent_openings.
uint32_t SlotOf(uint64_t flow_hash);

// Returns null if the upstream is unknown.
TagUpstream* FindUpstream(TagSteering& steering, directory::UpstreamId id);

// Whether the upstream has announced that it left.
bool IsGone(const TagUpstream& upstream);

ServiceLoad& LoadOf(TagSteering& steering, const TagUpstream& upstream);

const std::string& DomainNameOf(const TagUpstream& upstream);

// State of the upstream's failure domain.
Reachability& DomainOf(TagSteering& steering, const TagUpstream& upstream);
DomainSight& DomainSightOf(TagSteering& steering, const TagUpstream& upstream);

TagDecision Forward(const TagUpstream& upstream, Tag tag, TagReason reason);

void CountFailure(TagSteering& steering, TagUpstream& upstream);
void CountDecision(TagSteering& steering, const TagDecision& decision);

// Marks requests as presumed answered if their next retransmission was due and
// did not come. Call at each tick.
void PresumeAnswers(TagSteering& steering, Instant now);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_LIB_STEERING_TAG_FLOWS_H_
