// To which of the upstreams that have a packet's tag its flow belongs.

#ifndef ACACIAHOLD_LIB_STEERING_TAG_OWNER_H_
#define ACACIAHOLD_LIB_STEERING_TAG_OWNER_H_

#include <optional>

#include "acaciahold/Steering/tag_steering.h"

namespace acaciahold::steering {

// Returns the upstream of the flow whose packet has the tag; null if it is
// unknown or can't be told. `scratch_holders` then has all that have the tag.
TagUpstream* FindOwner(TagSteering& steering,
                       const TaggedFlow& flow,
                       uint64_t flow_hash,
                       Tag tag);

// Counts a packet whose tag several upstreams have; call after FindOwner.
// Returns two of them if the tag was not found before.
std::optional<TagClash> CountAmbiguousTag(TagSteering& steering, Tag tag);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_LIB_STEERING_TAG_OWNER_H_
