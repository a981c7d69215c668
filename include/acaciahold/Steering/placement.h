// Choosing an upstream for a new flow: weighted rotation, which needs no word
// from other hosts. Every entry host spreads what it sees evenly, so the sum is
// even as well.
//
// The load that it answers: many short flows beside long ones that carry most
// of the requests, before upstreams that work on two or three at once. A
// replaced upstream begins with no long flows and is brought to its part by a
// bounded share of the new ones, so that a crowd of new flows never goes to the
// one upstream that looks idle. Hundreds of hosts see a few flows each, fewer
// than there are upstreams, and still keep to their own failure domain.

#ifndef ACACIAHOLD_STEERING_PLACEMENT_H_
#define ACACIAHOLD_STEERING_PLACEMENT_H_

#include <cstdint>
#include <span>

#include "acaciahold/Support/time.h"

namespace acaciahold::steering {

// Requests seen of late: a count that decays.
struct LoadMeter {
  double count = 0;
  Instant counted_at;
};

// Longer than the pause between two requests of a long flow.
inline constexpr Duration kLoadMemory = std::chrono::seconds(4);
// Counts within it are taken for one instant: a small part of kLoadMemory.
inline constexpr Duration kLoadStep = std::chrono::milliseconds(20);

void CountLoad(LoadMeter& meter, double amount, Instant now);
double LoadAt(const LoadMeter& meter, Instant now);

// What placement knows of one upstream.
struct PlacementCandidate {
  uint32_t slots = 1;
  bool is_cold = false;
  bool is_local = true;  // In the host's own failure domain.
  LoadMeter load;
  // In [0, 1), other on each host: how much of its interval passes before its
  // first turn, and before the one that follows an absence. Else all hosts
  // would choose it at once.
  double phase = 0;
  // The upstream's turn comes when it is the lowest. Below the rotation's turn
  // it was absent; see PickCandidate.
  double turn = 0;
};

// The rotation of one service: the turn that was taken last. A candidate that
// was passed over for a while does not make up for it.
struct Rotation {
  double turn = 0;
};

// An upstream gets at most this times its even part to catch up with others,
// and at least the inverse of it.
inline constexpr double kMaxCatchUp = 1.6;
// A cold upstream is taken to be this much slower.
inline constexpr double kColdSpeed = 0.5;
// Other failure domains' upstreams together get this times the own ones' part,
// however many they are.
inline constexpr double kRemotePart = 0.1;

// Picks the candidate whose turn it is and moves its turn on. Returns an index,
// or -1 where there is none. `excluded` is an index that is passed over, or -1.
int PickCandidate(Rotation& rotation,
                  std::span<PlacementCandidate* const> candidates,
                  int excluded,
                  Instant now);

// Gives a new candidate a turn in its rotation. `jitter` in [0, 1) spreads the
// hosts' choices.
void JoinRotation(PlacementCandidate& candidate, double jitter);

}  // namespace acaciahold::steering

#endif  // ACACIAHOLD_STEERING_PLACEMENT_H_
