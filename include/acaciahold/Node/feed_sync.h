// Serializes the initial synchronization of an entry host with its feeds, the
// control hosts that it subscribes to. Performs no I/O.
//
// After a start or a network partition all feeds become reachable at once. If
// each sent its whole directory over the entry host's narrow link, keep-alives
// would queue behind the transfers, the connections would time out, and the
// transfers would start again. With one synchronization at a time, the first
// feed sends its directory, and most others only confirm that theirs is equal.

#ifndef ACACIAHOLD_NODE_FEED_SYNC_H_
#define ACACIAHOLD_NODE_FEED_SYNC_H_

#include <cstdint>
#include <optional>

#include "acaciahold/Support/time.h"

namespace acaciahold::node {

// How long a feed may take to send its first message before the next
// synchronization may start. Short, since callers may be waiting for the first
// directory.
inline constexpr Duration kFirstMessageTimeout = std::chrono::milliseconds(100);
// How long a feed may take after a message to complete, or to send another one,
// before the next synchronization may start.
inline constexpr Duration kCompletionTimeout = std::chrono::milliseconds(500);

// How long other feeds wait for one at the most, however often it sends.
inline constexpr Duration kMaxSyncTime = std::chrono::seconds(2);

struct FeedSync {
  std::optional<uint32_t> pending;  // Feed being synchronized.
  Instant deadline;                 // Other feeds wait for it until then.
  Instant last_deadline;            // `deadline` is never later than this.
};

// Whether the synchronization with another feed may start.
bool CanStartSync(const FeedSync& sync, Instant now);

// Call when the entry host has sent its synchronization request to the feed.
void OnSyncStarted(FeedSync& sync, uint32_t feed, Instant now);

// Call when any message arrives from the feed.
void OnFeedMessage(FeedSync& sync, uint32_t feed, Instant now);

// Call when the feed has sent its complete state or its connection was lost.
void OnSyncEnded(FeedSync& sync, uint32_t feed);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_FEED_SYNC_H_
