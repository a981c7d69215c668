// Serializes the synchronization with feeds.

#include "acaciahold/Node/greetings.h"

namespace acaciahold::node {

bool MayGreet(const Greetings& sync, Instant now) {
  return !sync.pending || now >= sync.deadline;
}

void OnGreeted(Greetings& sync, uint32_t feed, Instant now) {
  sync.pending = feed;
  sync.deadline = now + kFirstMessageTimeout;
}

void OnWord(Greetings& sync, uint32_t feed, Instant now) {
  bool is_first = sync.pending == feed && now < sync.deadline;
  if (is_first) {
    sync.deadline = now + kCompletionTimeout;
  }
}

void OnEnd(Greetings& sync, uint32_t feed) {
  if (sync.pending == feed) {
    sync.pending.reset();
  }
}

}  // namespace acaciahold::node
