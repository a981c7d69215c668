// Invariant checks. A failed check is a programming error and aborts the
// process. All other failures are returned as values.

#ifndef ACACIAHOLD_SUPPORT_CHECK_H_
#define ACACIAHOLD_SUPPORT_CHECK_H_

#include <string_view>

namespace acaciahold {

// Prints `message` to standard error and aborts unless `condition` is true.
void AssertInvariant(bool condition, std::string_view message);

}  // namespace acaciahold

#endif  // ACACIAHOLD_SUPPORT_CHECK_H_
