// Asking feeds one after the other.

#include "acaciahold/Node/greetings.h"

namespace acaciahold::node {

bool MayGreet(const Greetings& greetings, Instant now) {
  return !greetings.pending || now >= greetings.deadline;
}

void OnGreeted(Greetings& greetings, uint32_t feed, Instant now) {
  greetings.pending = feed;
  greetings.deadline = now + kFirstWordTimeout;
}

void OnWord(Greetings& greetings, uint32_t feed, Instant now) {
  bool is_first = greetings.pending == feed && now < greetings.deadline;
  if (is_first) {
    greetings.deadline = now + kTellTimeout;
  }
}

void OnEnd(Greetings& greetings, uint32_t feed) {
  if (greetings.pending == feed) {
    greetings.pending.reset();
  }
}

}  // namespace acaciahold::node
