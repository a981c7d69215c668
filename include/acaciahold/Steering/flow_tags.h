// The tags by which later packets of a flow find their upstream.
//
// A tag has 32 bits, an upstream's id 64, so that tags of different upstreams
// can be equal. If all flows of an upstream had the same tag, two ids with the
// same tag would mix up all their flows. A flow tag depends on the flow too:
// its upper bits select a bucket of upstreams by their ids, its lower bits are
// a hash of id and flow. Whatever the ids are, two upstreams share the tag of a
// single flow at most by chance. Each upstream has several tags for a flow, of
// which the host that places the flow uses one that no other upstream has.
//
// Tags are computed alike by all hosts and versions. Performs no I/O.

#ifndef ACACIAHOLD_STEERING_FLOW_TAGS_H_
#define ACACIAHOLD_STEERING_FLOW_TAGS_H_

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <vector>

#include "acaciahold/Directory/directory.h"

namespace acaciahold::steering {

struct TagUpstream;

using Tag = uint32_t;  // 0: no tag.

// Tags that an upstream has for a flow.
inline constexpr uint32_t kFlowTagChoices = 3;
// Lower bits of a flow tag. The choices are parts of one 64-bit hash.
inline constexpr uint32_t kFlowTagHashBits = 20;
static_assert(kFlowTagChoices * kFlowTagHashBits <= 64);
inline constexpr size_t kTagBuckets = size_t{1} << (32 - kFlowTagHashBits);

// Returns the bucket of an upstream, below kTagBuckets.
uint32_t TagBucket(directory::UpstreamId id);

// Returns one of the upstream's tags for a flow; `choice` is below
// kFlowTagChoices.
Tag FlowTag(directory::UpstreamId id, uint64_t flow_hash, uint32_t choice);

// Returns the tag that hosts of earlier versions give to all flows of the
// upstream. They don't understand flow tags.
Tag UpstreamTag(directory::UpstreamId id);

// An upstream that a packet's tag may belong to.
struct TagHolder {
  TagUpstream* upstream = nullptr;
  bool has_flow_tag = false;  // The tag is not only its UpstreamTag.
};

// Finds upstreams by the tags of packets.
struct TagIndex {
  struct Element {
    directory::UpstreamId id = 0;
    TagUpstream* upstream = nullptr;
  };
  // By TagBucket. Invariant: size kTagBuckets.
  std::vector<std::vector<Element>> buckets;
  // By UpstreamTag. Invariant: has the elements of `buckets`, and no empty
  // list.
  std::unordered_map<Tag, std::vector<Element>> by_upstream_tag;
};

TagIndex MakeTagIndex();

// The id must not be in the index yet. The upstream must outlive its element.
void AddToIndex(TagIndex& index,
                directory::UpstreamId id,
                TagUpstream& upstream);
void RemoveFromIndex(TagIndex& index, directory::UpstreamId id);

// Replaces `holders` by all upstreams that the tag of the flow's packet may
// belong to, each once. Tag 0 belongs to none.
void FindHolders(const TagIndex& index,
                 Tag tag,
                 uint64_t flow_hash,
                 std::vector<TagHolder>& holders);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_STEERING_FLOW_TAGS_H_
