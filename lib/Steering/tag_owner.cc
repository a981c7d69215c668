// Tells the upstream of a flow by the tag of its packet.

#include "tag_owner.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "tag_flows.h"

namespace acaciahold::steering {
namespace {

// Whether the listener sends new flows to the upstream's service.
bool ServesListener(const TagUpstream& upstream,
                    const catalog::Listener& listener) {
  return std::any_of(
      listener.targets.begin(), listener.targets.end(),
      [&](const auto& it) { return it.service == upstream.service; });
}

// Removes the holders whose services the listener doesn't have, unless it has
// none of theirs.
void KeepServicesOf(const catalog::Listener& listener,
                    std::vector<TagHolder>& holders) {
  auto serves = [&](const TagHolder& it) {
    return ServesListener(*it.upstream, listener);
  };
  if (std::any_of(holders.begin(), holders.end(), serves)) {
    std::erase_if(holders, std::not_fn(serves));
  }
}

// Returns the upstream that started before all others: hosts that know it don't
// give the tag to flows of the others. Returns null if another one started at
// about the same time.
TagUpstream* FindOldest(std::vector<TagHolder> holders) {
  auto born_ms = [](const TagHolder& it) {
    return it.upstream->entry->record.born_ms;
  };
  std::ranges::sort(holders, {}, born_ms);
  constexpr auto kMarginMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(kStartOrderMargin);
  bool is_clear =
      holders.size() == 1 ||
      born_ms(holders[0]) + kMarginMs.count() <= born_ms(holders[1]);
  return is_clear ? holders.front().upstream : nullptr;
}

// Removes the holders that have left, unless all have. An upstream that left
// holds no flows.
void RemoveGone(std::vector<TagHolder>& holders) {
  auto is_gone = [](const TagHolder& it) { return IsGone(*it.upstream); };
  if (!std::all_of(holders.begin(), holders.end(), is_gone)) {
    std::erase_if(holders, is_gone);
  }
}

bool HasFlowTag(const TagHolder& holder) {
  return holder.has_flow_tag;
}

// Removes the holders of flow tags unless all are.
void KeepFormerTags(std::vector<TagHolder>& holders) {
  if (!std::all_of(holders.begin(), holders.end(), HasFlowTag)) {
    std::erase_if(holders, HasFlowTag);
  }
}

// Returns the one of several upstreams with the tag to which the flow belongs;
// null if it can't be told.
//
// A flow tag says nothing more: the flow was placed by a host that didn't know
// the other upstream, whichever that is. With tags of earlier versions all
// flows of the upstreams would be dropped, so what is known of the upstreams
// decides. While hosts of earlier versions run, a tag is rather one of theirs:
// they don't avoid the flow tags of others, and few flows have flow tags.
TagUpstream* ChooseHolder(const TagSteering& steering,
                          const TaggedFlow& flow,
                          std::vector<TagHolder> holders) {
  if (!steering.writes_flow_tags) {
    KeepFormerTags(holders);
  }
  if (std::any_of(holders.begin(), holders.end(), HasFlowTag)) {
    return nullptr;
  }
  RemoveGone(holders);
  auto it = steering.listeners.find(PackEndpoint(flow.listener));
  if (it != steering.listeners.end()) {
    KeepServicesOf(*it->second, holders);
  }
  return FindOldest(std::move(holders));
}

}  // namespace

TagUpstream* FindOwner(TagSteering& steering,
                       const TaggedFlow& flow,
                       uint64_t flow_hash,
                       Tag tag) {
  auto& holders = steering.scratch_holders;
  FindHolders(steering.tags, tag, flow_hash, holders);
  if (holders.size() <= 1) {
    return holders.empty() ? nullptr : holders.front().upstream;
  }
  return ChooseHolder(steering, flow, holders);
}

std::optional<TagClash> CountAmbiguousTag(TagSteering& steering, Tag tag) {
  ++steering.counts.ambiguous;
  if (steering.ambiguous_tags.size() >= kMaxAmbiguousTags) {
    steering.ambiguous_tags.clear();
  }
  if (!steering.ambiguous_tags.insert(tag).second) {
    return std::nullopt;
  }
  const auto& holders = steering.scratch_holders;
  return TagClash{holders[0].upstream->id, holders[1].upstream->id};
}

}  // namespace acaciahold::steering
