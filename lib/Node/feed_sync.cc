// Serializes the synchronization with feeds.

#include "acaciahold/Node/feed_sync.h"

namespace acaciahold::node {

bool CanStartSync(const FeedSync& sync, Instant now) {
  return !sync.pending || now >= sync.deadline;
}

void OnSyncStarted(FeedSync& sync, uint32_t feed, Instant now) {
  sync.pending = feed;
  sync.deadline = now + kFirstMessageTimeout;
}

void OnFeedMessage(FeedSync& sync, uint32_t feed, Instant now) {
  bool is_first = sync.pending == feed && now < sync.deadline;
  if (is_first) {
    sync.deadline = now + kCompletionTimeout;
  }
}

void OnSyncEnded(FeedSync& sync, uint32_t feed) {
  if (sync.pending == feed) {
    sync.pending.reset();
  }
}

}  // namespace acaciahold::node
