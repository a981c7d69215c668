// Serializes the synchronization with feeds.

#include "acaciahold/Node/feed_sync.h"

#include <algorithm>

namespace acaciahold::node {

bool CanStartSync(const FeedSync& sync, Instant now) {
  return !sync.pending || now >= sync.deadline;
}

void OnSyncStarted(FeedSync& sync, uint32_t feed, Instant now) {
  sync.pending = feed;
  sync.deadline = now + kFirstMessageTimeout;
  sync.last_deadline = now + kMaxSyncTime;
}

void OnFeedMessage(FeedSync& sync, uint32_t feed, Instant now) {
  bool is_in_time = sync.pending == feed && now < sync.deadline;
  if (is_in_time) {
    sync.deadline = std::min(now + kCompletionTimeout, sync.last_deadline);
  }
}

void OnSyncEnded(FeedSync& sync, uint32_t feed) {
  if (sync.pending == feed) {
    sync.pending.reset();
  }
}

}  // namespace acaciahold::node
