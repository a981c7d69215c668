// Aborts the process on a violated invariant.

#include "acaciahold/Support/check.h"

#include <cstdio>
#include <cstdlib>

namespace acaciahold {

void AssertInvariant(bool condition, std::string_view message) {
  if (condition) {
    return;
  }
  std::fprintf(stderr, "invariant violated: %.*s\n",
               static_cast<int>(message.size()), message.data());
  std::abort();
}

}  // namespace acaciahold
