// A host process: runs the roles that its settings name and one admin HTTP
// server for them.

#ifndef ACACIAHOLD_HOST_HOST_H_
#define ACACIAHOLD_HOST_HOST_H_

#include "acaciahold/Config/settings.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::host {

// After SIGTERM, open requests may take this long to complete; the process then
// exits and aborts the rest.
inline constexpr std::chrono::seconds kShutdownTimeout{20};
// Delay after the notice to peers that this host is leaving, by which they have
// received it and new requests can be refused. Also the time to finish writing
// responses before the process exits.
inline constexpr std::chrono::milliseconds kDrainDelay{500};

// Runs the host until it has shut down after SIGTERM or SIGINT; a second signal
// ends it at once. Returns the exit code of the process: 1 if open requests
// were aborted, and 0 otherwise. Fails with SystemError or CorruptionError if
// the host cannot start.
Result<int> RunHost(const config::Settings& settings);

}  // namespace acaciahold::host

#endif  // ACACIAHOLD_HOST_HOST_H_
