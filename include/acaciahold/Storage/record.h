// Framing of stored records: length, checksum, payload.

#ifndef ACACIAHOLD_STORAGE_RECORD_H_
#define ACACIAHOLD_STORAGE_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace acaciahold::storage {

// The first bytes of every file; the last character is the format version.
inline constexpr std::string_view kFileHeader = "acaciah1";

inline constexpr uint64_t kMaxRecordBytes = 256ULL << 20U;

std::string EncodeRecord(std::string_view payload);

enum class ScanEnd {
  kClean,    // The last record ends where the bytes end.
  kTorn,     // The bytes after the last good record hold no good record.
  kDamaged,  // A bad record stands before a good one.
};

struct ScanResult {
  std::vector<std::string_view> payloads;
  // Bytes up to the end of the last good record in unbroken order.
  uint64_t good_bytes = 0;
  ScanEnd end = ScanEnd::kClean;
};

// Reads records from `bytes`, which follow the file header. The payloads point
// into `bytes`.
ScanResult ScanRecords(std::string_view bytes);

}  // namespace acaciahold::storage

#endif  // ACACIAHOLD_STORAGE_RECORD_H_
