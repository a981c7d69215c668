// Stops the process on a broken invariant.

#include "acaciahold/Support/check.h"

#include <cstdio>
#include <cstdlib>

namespace acaciahold {

void AssertInvariant(bool holds, std::string_view message) {
  if (holds) {
    return;
  }
  std::fprintf(stderr, "broken invariant: %.*s\n",
               static_cast<int>(message.size()), message.data());
  std::abort();
}

}  // namespace acaciahold
