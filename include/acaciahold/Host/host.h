// One process: the roles that its settings name, behind one admin server.

#ifndef ACACIAHOLD_HOST_HOST_H_
#define ACACIAHOLD_HOST_HOST_H_

#include "acaciahold/Config/settings.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::host {

// Open requests have this long to end after SIGTERM.
inline constexpr std::chrono::seconds kShutdownTimeout{20};
// Peers know by then that this host leaves.
inline constexpr std::chrono::milliseconds kLeaveDelay{500};

// Runs until SIGTERM or SIGINT; returns the process's exit code. Fails with
// SystemError or CorruptionError where the host can't start.
Result<int> RunHost(const config::Settings& settings);

}  // namespace acaciahold::host

#endif  // ACACIAHOLD_HOST_HOST_H_
