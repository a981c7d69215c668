// Records of idempotency keys at their owner and backup: bounded in number,
// age and bytes. A key that was begun and has no answer is never run again.

#ifndef ACACIAHOLD_REQUEST_KEY_TABLE_H_
#define ACACIAHOLD_REQUEST_KEY_TABLE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include "acaciahold/Support/time.h"

namespace acaciahold::request {

inline constexpr Duration kKeyLifetime = std::chrono::minutes(10);
inline constexpr size_t kMaxKeys = 200'000;
inline constexpr size_t kMaxKeptAnswerBytes = 16U << 10U;
inline constexpr size_t kMaxKeptBytes = 32U << 20U;

// An answer as it is kept for a resend.
struct KeptAnswer {
  unsigned status = 0;
  std::string content_type;
  std::string body;
};

enum class KeyState {
  kBegun,     // Running, or its end is not known.
  kAnswered,  // `answer` is kept, if it was small enough.
};

struct KeyRecord {
  uint64_t request_hash = 0;  // Of the method, the target and the body.
  KeyState state = KeyState::kBegun;
  bool is_running_here = false;
  std::optional<KeptAnswer> answer;
  Instant expires_at;
};

// Invariants: `order` has every key, oldest first, and may have forgotten ones;
// `kept_order` likewise for keys with an answer; `kept_bytes` is the sum of the
// kept answers' bodies.
struct KeyTable {
  std::unordered_map<std::string, KeyRecord> records;
  std::deque<std::string> order;
  std::deque<std::string> kept_order;
  size_t kept_bytes = 0;
};

enum class KeyVerdict {
  kNew,        // Recorded now; to be run.
  kRunning,    // An earlier one is under way here.
  kAnswered,   // The first answer is at hand.
  kUnknown,    // Begun, and nobody can tell how it ended.
  kOtherBody,  // The key was used for another request.
  kTableFull,  // No more keys can be remembered safely.
};

struct KeyLookup {
  KeyVerdict verdict = KeyVerdict::kNew;
  KeptAnswer answer;  // For kAnswered.
};

// Begins the key unless it is known.
KeyLookup BeginKey(KeyTable& table,
                   const std::string& key,
                   uint64_t request_hash,
                   Instant now);

// The owner's record, stored here as the backup.
void StoreKey(KeyTable& table,
              const std::string& key,
              uint64_t request_hash,
              Instant now);

// The request was answered.
void FinishKey(KeyTable& table, const std::string& key, KeptAnswer answer);

// The request provably did not run: the key is free again.
void ForgetKey(KeyTable& table, const std::string& key);

// The request's end will not be known.
void LoseKey(KeyTable& table, const std::string& key);

// Drops records past their lifetime.
void ExpireKeys(KeyTable& table, Instant now);

}  // namespace acaciahold::request

#endif  // ACACIAHOLD_REQUEST_KEY_TABLE_H_
