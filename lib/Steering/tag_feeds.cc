// Handles the updates that feeds send to an entry host that steers by tag:
// views, upstream records and reports of silent upstreams.

#include <algorithm>

#include "acaciahold/Steering/tag_steering.h"
#include "acaciahold/Support/check.h"

namespace acaciahold::steering {

bool IsSilent(const TagSteering& steering, const TagUpstream& upstream) {
  return steering.synced_feeds != 0 &&
         (upstream.silent_feeds & steering.synced_feeds) ==
             steering.synced_feeds;
}

namespace {

// Updates which upstream started last at the record's endpoint.
void UpdateLatestAtEndpoint(TagSteering& steering,
                            const directory::Record& record) {
  auto& latest = steering.latest_by_endpoint[PackEndpoint(record.endpoint)];
  auto it = steering.directory.entries.find(latest);
  bool is_later = it == steering.directory.entries.end() ||
                  it->second.record.endpoint != record.endpoint ||
                  it->second.record.born_ms < record.born_ms;
  if (is_later) {
    latest = record.id;
  }
}

// Removes the upstream from the list of its service.
void RemoveFromService(TagSteering& steering, TagUpstream& upstream) {
  auto it = steering.services.find(upstream.service);
  if (it != steering.services.end()) {
    std::erase(it->second.upstreams, &upstream);
  }
}

// Creates or updates the upstream of a directory entry.
TagUpstream& EnsureUpstream(TagSteering& steering,
                            const directory::Entry& entry) {
  const auto& record = entry.record;
  auto [it, is_new] = steering.upstreams.try_emplace(record.id);
  auto& upstream = it->second;
  if (is_new) {
    upstream.id = record.id;
    upstream.entry = &entry;
    // The feeds that have not sent the upstream yet will send it soon, so they
    // don't count as silent.
    upstream.silent_feeds = 0;
    AddToIndex(steering.tags, record.id, upstream);
  }
  if (is_new || upstream.service != record.service) {
    RemoveFromService(steering, upstream);
    upstream.service = record.service;
    steering.services[record.service].upstreams.push_back(&upstream);
  }
  upstream.endpoint = record.endpoint;
  upstream.candidate.slots = std::max(1U, record.slots);
  auto next_index = static_cast<uint32_t>(steering.domain_indexes.size());
  upstream.candidate.domain =
      steering.domain_indexes.try_emplace(record.failure_domain, next_index)
          .first->second;
  return upstream;
}

// Resets the placement state of an upstream that has started: its virtual time,
// load and failure history.
void ResetPlacement(TagSteering& steering, TagUpstream& upstream) {
  std::uniform_real_distribution<double> jitter(0.0, 1.0);
  InitVirtualTime(upstream.candidate, jitter(steering.random));
  upstream.candidate.load = {};
  upstream.cold_limiter = {};
  upstream.reachability = {};
  upstream.suspect_deadline = {};
  upstream.speed_deadline = {};
  upstream.dark_deadline = {};
  upstream.sight = {};
}

}  // namespace

bool OnView(TagSteering& steering, catalog::View view) {
  if (view.revision < steering.view.revision) {
    return false;
  }
  steering.view = std::move(view);
  steering.listeners.clear();
  for (const auto& listener : steering.view.catalog.listeners) {
    steering.listeners[PackEndpoint(listener.endpoint)] = &listener;
  }
  return true;
}

bool OnRecord(TagSteering& steering,
              uint32_t feed,
              const directory::Record& record,
              Instant now) {
  auto known = steering.directory.entries.find(record.id);
  bool is_start = known == steering.directory.entries.end() ||
                  known->second.record.born_ms < record.born_ms;
  auto change = directory::Merge(steering.directory, record, now);
  auto& upstream =
      EnsureUpstream(steering, steering.directory.entries.at(record.id));
  if (change != directory::UpdateResult::kStale) {
    upstream.silent_feeds = 0;
    UpdateLatestAtEndpoint(steering, record);
  }
  upstream.silent_feeds &= ~(FeedMask{1} << feed);
  steering.directory.entries.at(record.id).is_silent = false;
  if (is_start) {
    ResetPlacement(steering, upstream);
  }
  return change == directory::UpdateResult::kChanged;
}

bool OnSilence(TagSteering& steering,
               uint32_t feed,
               directory::UpstreamId id,
               Instant now) {
  auto it = steering.upstreams.find(id);
  if (it == steering.upstreams.end()) {
    return false;
  }
  it->second.silent_feeds |= FeedMask{1} << feed;
  auto& entry = steering.directory.entries.at(id);
  bool is_change = !entry.is_silent && IsSilent(steering, it->second);
  if (is_change) {
    entry.is_silent = true;
    entry.heard_at = now;
  }
  return is_change;
}

void OnFeedBegin(TagSteering& steering, uint32_t feed) {
  FeedMask bit = FeedMask{1} << feed;
  steering.synced_feeds &= ~bit;
  // Upstreams that the feed does not send during its synchronization count as
  // silent there.
  for (auto& [id, upstream] : steering.upstreams) {
    upstream.silent_feeds |= bit;
  }
}

void OnFeedComplete(TagSteering& steering, uint32_t feed) {
  steering.synced_feeds |= FeedMask{1} << feed;
  steering.has_synced_feed = true;
}

void OnSameDirectory(TagSteering& steering, uint32_t feed) {
  for (auto& [id, upstream] : steering.upstreams) {
    if (!upstream.entry->is_silent) {
      upstream.silent_feeds &= ~(FeedMask{1} << feed);
    }
  }
}

void OnFeedLost(TagSteering& steering, uint32_t feed, Instant now) {
  load::RemoveFeed(steering.digests, feed);
  FeedMask remaining_feeds = steering.synced_feeds & ~(FeedMask{1} << feed);
  if (remaining_feeds == 0) {
    return;  // No feed is left: keep using the last known state.
  }
  steering.synced_feeds = remaining_feeds;
  for (auto& [id, upstream] : steering.upstreams) {
    auto& entry = steering.directory.entries.at(id);
    if (!entry.is_silent && IsSilent(steering, upstream)) {
      entry.is_silent = true;
      entry.heard_at = now;
    }
  }
}

void RemoveOldUpstreams(TagSteering& steering, Instant now) {
  std::erase_if(steering.latest_by_endpoint, [&](const auto& it) {
    return !steering.directory.entries.contains(it.second);
  });
  for (auto id : directory::RemoveExpiredEntries(steering.directory, now)) {
    auto it = steering.upstreams.find(id);
    AssertInvariant(it != steering.upstreams.end(),
                    "a removed directory entry has an upstream");
    RemoveFromIndex(steering.tags, id);
    RemoveFromService(steering, it->second);
    steering.upstreams.erase(it);
  }
}

}  // namespace acaciahold::steering
