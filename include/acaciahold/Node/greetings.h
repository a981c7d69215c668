// In which order an entry host asks its feeds to tell what they know: decisions
// without I/O.
//
// The load that it answers: a host comes back after a cut, or starts, and all
// of its control hosts are in reach at once. Each would send its whole
// directory over the host's narrow link, keep-alives would wait behind them,
// and the links would be given up and opened again, with all to be sent anew.
// Asked one after the other, the first tells all, and the others mostly that
// they know the same.

#ifndef ACACIAHOLD_NODE_GREETINGS_H_
#define ACACIAHOLD_NODE_GREETINGS_H_

#include <cstdint>
#include <optional>

#include "acaciahold/Support/time.h"

namespace acaciahold::node {

// A feed that says nothing for so long after it was asked does not hold up
// others; callers may be waiting for the first one.
inline constexpr Duration kFirstWordTimeout = std::chrono::milliseconds(100);
// One that has begun may take so long before the next is asked.
inline constexpr Duration kTellTimeout = std::chrono::milliseconds(500);

struct Greetings {
  std::optional<uint32_t> pending;  // The feed that was asked last.
  Instant deadline;                 // Others wait for it until then.
};

// Whether a further feed may be asked.
bool MayGreet(const Greetings& greetings, Instant now);

// The feed was asked; has said something; has told all, or was lost.
void OnGreeted(Greetings& greetings, uint32_t feed, Instant now);
void OnWord(Greetings& greetings, uint32_t feed, Instant now);
void OnEnd(Greetings& greetings, uint32_t feed);

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_GREETINGS_H_
