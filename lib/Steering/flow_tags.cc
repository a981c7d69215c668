// Computes tags and keeps the index of the upstreams that have them.

#include "acaciahold/Steering/flow_tags.h"

#include <algorithm>

#include "acaciahold/Support/hash.h"

namespace acaciahold::steering {
namespace {

constexpr uint32_t kFlowTagHashMask = (1U << kFlowTagHashBits) - 1;

// Returns the lower bits of a flow tag from the hash of id and flow.
uint32_t HashBitsOf(uint64_t hash, uint32_t choice) {
  return static_cast<uint32_t>(hash >> (choice * kFlowTagHashBits)) &
         kFlowTagHashMask;
}

// Whether the tag, whose bucket is that of the id, is a flow tag of it.
bool HasFlowTag(directory::UpstreamId id, uint64_t flow_hash, Tag tag) {
  uint64_t hash = CombineHashes(id, flow_hash);
  for (uint32_t choice = 0; choice < kFlowTagChoices; ++choice) {
    if (HashBitsOf(hash, choice) == (tag & kFlowTagHashMask)) {
      return true;
    }
  }
  return false;
}

void EraseId(std::vector<TagIndex::Element>& elements,
             directory::UpstreamId id) {
  std::erase_if(elements, [id](const auto& it) { return it.id == id; });
}

}  // namespace

uint32_t TagBucket(directory::UpstreamId id) {
  return static_cast<uint32_t>(CombineHashes(id, 0) % kTagBuckets);
}

Tag FlowTag(directory::UpstreamId id, uint64_t flow_hash, uint32_t choice) {
  uint64_t hash = CombineHashes(id, flow_hash);
  return TagBucket(id) << kFlowTagHashBits | HashBitsOf(hash, choice);
}

Tag UpstreamTag(directory::UpstreamId id) {
  auto tag = static_cast<Tag>(id ^ (id >> 32U));
  return tag == 0 ? 1 : tag;
}

TagIndex MakeTagIndex() {
  TagIndex index;
  index.buckets.resize(kTagBuckets);
  return index;
}

void AddToIndex(TagIndex& index,
                directory::UpstreamId id,
                TagUpstream& upstream) {
  index.buckets[TagBucket(id)].push_back({id, &upstream});
  index.by_upstream_tag[UpstreamTag(id)].push_back({id, &upstream});
}

void RemoveFromIndex(TagIndex& index, directory::UpstreamId id) {
  EraseId(index.buckets[TagBucket(id)], id);
  auto it = index.by_upstream_tag.find(UpstreamTag(id));
  if (it == index.by_upstream_tag.end()) {
    return;
  }
  EraseId(it->second, id);
  if (it->second.empty()) {
    index.by_upstream_tag.erase(it);
  }
}

void FindHolders(const TagIndex& index,
                 Tag tag,
                 uint64_t flow_hash,
                 std::vector<TagHolder>& holders) {
  holders.clear();
  if (tag == 0) {
    return;
  }
  for (const auto& it : index.buckets[tag >> kFlowTagHashBits]) {
    if (HasFlowTag(it.id, flow_hash, tag)) {
      holders.push_back({it.upstream, true});
    }
  }
  auto same_tag = index.by_upstream_tag.find(tag);
  if (same_tag == index.by_upstream_tag.end()) {
    return;
  }
  for (const auto& it : same_tag->second) {
    bool is_listed = std::any_of(
        holders.begin(), holders.end(),
        [&](const auto& holder) { return holder.upstream == it.upstream; });
    if (!is_listed) {
      holders.push_back({it.upstream, false});
    }
  }
}

}  // namespace acaciahold::steering
