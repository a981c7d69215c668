// Records of idempotency keys, kept by the owner and the backup host of a key.
// Number and age of the records and the bytes of stored responses are bounded.
// A request whose key is recorded without a response is never run again.

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
inline constexpr size_t kMaxStoredResponseBytes = 16U << 10U;
inline constexpr size_t kMaxTotalStoredResponseBytes = 32U << 20U;

// A response stored for replay when the caller resends the request.
struct StoredResponse {
  unsigned status = 0;
  std::string content_type;
  std::string body;
};

enum class KeyState {
  kBegun,  // Running, or its outcome is unknown.
  // Answered; the response is stored unless it exceeds kMaxStoredResponseBytes
  // or was evicted.
  kAnswered,
};

struct KeyRecord {
  uint64_t request_hash = 0;  // Hash of the method, the target and the body.
  KeyState state = KeyState::kBegun;
  bool is_running_here = false;  // Whether this host is running the request.
  std::optional<StoredResponse> answer;
  Instant expires_at;
};

// Invariants: `insertion_order` contains the key of every record, oldest first;
// it may also contain keys whose records were removed. `response_order` does
// the same for records with a stored response. `response_bytes` is the total
// size of the stored response bodies.
struct KeyTable {
  std::unordered_map<std::string, KeyRecord> records;
  std::deque<std::string> insertion_order;
  std::deque<std::string> response_order;
  size_t response_bytes = 0;
};

enum class KeyVerdict {
  kNew,              // Recorded by this call; the request is to be run.
  kRunning,          // This host is already running the request.
  kAnswered,         // The stored response can be replayed.
  kUnknown,          // Begun before; there is no response to replay.
  kRequestMismatch,  // The key was used for a different request.
  // kMaxKeys records exist. The request must not run, because a resend could
  // not be recognized without a record.
  kTableFull,
};

struct KeyLookup {
  KeyVerdict verdict = KeyVerdict::kNew;
  StoredResponse answer;  // Set for kAnswered only.
};

// Records the key as begun, unless a record exists. The verdict says how to
// handle the request.
KeyLookup BeginKey(KeyTable& table,
                   const std::string& key,
                   uint64_t request_hash,
                   Instant now);

// Stores the owner's record at this host, the backup. Does nothing if a record
// exists.
void StoreBackupRecord(KeyTable& table,
                       const std::string& key,
                       uint64_t request_hash,
                       Instant now);

// Marks the request as answered and stores the response, unless its body
// exceeds kMaxStoredResponseBytes. Evicts the oldest stored responses if
// needed.
void RecordResponse(KeyTable& table,
                    const std::string& key,
                    StoredResponse answer);

// Removes the record of a request that provably did not run, so that the key
// can be used again.
void RemoveKey(KeyTable& table, const std::string& key);

// Marks the request as no longer running. Its outcome stays unknown, so
// BeginKey() returns kUnknown for this key until the record expires.
void MarkOutcomeUnknown(KeyTable& table, const std::string& key);

// Removes records older than kKeyLifetime.
void ExpireKeys(KeyTable& table, Instant now);

}  // namespace acaciahold::request

#endif  // ACACIAHOLD_REQUEST_KEY_TABLE_H_
