// How many log lines a process may write: decisions without I/O.
//
// The load that it answers: a fault makes every packet a decision worth a line,
// while the processor is needed for the packets. Lines that turned work away or
// changed what the process believes go before routine ones, and what is left
// out is counted and told.

#ifndef ACACIAHOLD_OBSERVE_LINE_BUDGET_H_
#define ACACIAHOLD_OBSERVE_LINE_BUDGET_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "acaciahold/Support/time.h"

namespace acaciahold::observe {

// What a line is worth when not all can be written.
enum class Weight {
  kRoutine,  // One of many decisions alike.
  kNotable,  // Turned work away, or changed what the process believes.
};

// In one second.
struct LineLimits {
  uint32_t routine_lines = 64;  // Of one kind of event.
  uint32_t notable_lines = 50;  // Of one kind of event.
  // Of all kinds. Routine lines leave half of it to notable ones.
  size_t bytes = 48U << 10U;
};

struct KindBudget {
  uint32_t written = 0;   // In this second.
  uint64_t left_out = 0;  // Not yet told.
};

struct LineBudget {
  LineLimits limits;
  Instant second_end;
  size_t bytes = 0;  // Written in this second.
  std::map<std::string, KindBudget, std::less<>> kinds;
};

// Whether a line of this kind may be written; counts it as left out where not.
bool MayWrite(LineBudget& budget,
              Weight weight,
              std::string_view event,
              Instant now);

// A line of so many bytes was written, or could not be.
void OnWritten(LineBudget& budget, std::string_view event, size_t bytes);
void OnNotWritten(LineBudget& budget, std::string_view event);

struct LeftOut {
  std::string event;
  uint64_t lines = 0;
};

// What was left out in a second that has ended, by kind; each is told once.
std::vector<LeftOut> TakeLeftOut(LineBudget& budget, Instant now);

}  // namespace acaciahold::observe

#endif  // ACACIAHOLD_OBSERVE_LINE_BUDGET_H_
