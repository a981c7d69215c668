// 64-bit XXH3 hashes. The results are identical on all hosts and in all
// versions.

#ifndef ACACIAHOLD_SUPPORT_HASH_H_
#define ACACIAHOLD_SUPPORT_HASH_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace acaciahold {

uint64_t HashBytes(std::span<const std::byte> bytes, uint64_t seed = 0);
uint64_t HashText(std::string_view text, uint64_t seed = 0);

// Combines two hashes. Not commutative.
uint64_t CombineHashes(uint64_t a, uint64_t b);

}  // namespace acaciahold

#endif  // ACACIAHOLD_SUPPORT_HASH_H_
