// Invariant checks. A failed check means that the program itself is wrong, and
// stops the process; everything else is an outcome and returned as a value.

#ifndef ACACIAHOLD_SUPPORT_CHECK_H_
#define ACACIAHOLD_SUPPORT_CHECK_H_

#include <string_view>

namespace acaciahold {

// Stops the process with `message` unless `holds`.
void AssertInvariant(bool holds, std::string_view message);

}  // namespace acaciahold

#endif  // ACACIAHOLD_SUPPORT_CHECK_H_
