// Wrappers around XXH3.

#include "acaciahold/Support/hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace acaciahold {

uint64_t HashBytes(std::span<const std::byte> bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

uint64_t HashText(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint64_t CombineHashes(uint64_t a, uint64_t b) {
  const uint64_t both[2] = {a, b};
  return XXH3_64bits(both, sizeof(both));
}

}  // namespace acaciahold
