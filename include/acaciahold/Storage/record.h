// Encoding of stored records: length, checksum, payload.

#ifndef ACACIAHOLD_STORAGE_RECORD_H_
#define ACACIAHOLD_STORAGE_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace acaciahold::storage {

// The first bytes of every file. The last character is the format version.
inline constexpr std::string_view kFileHeader = "acaciah1";

// A longer length field is treated as damage.
inline constexpr uint64_t kMaxRecordBytes = 256ULL << 20U;

std::string EncodeRecord(std::string_view payload);

enum class ScanEnd {
  kClean,    // All bytes belong to valid records.
  kTorn,     // The bytes after the last valid record hold no valid record.
  kDamaged,  // An invalid record precedes a valid one.
};

struct ScanResult {
  std::vector<std::string_view> payloads;
  // Size of the valid records before the first invalid one.
  uint64_t valid_bytes = 0;
  ScanEnd end = ScanEnd::kClean;
};

// Decodes records from `bytes`, the content of a file after its header. The
// payloads point into `bytes`.
ScanResult ScanRecords(std::string_view bytes);

}  // namespace acaciahold::storage

#endif  // ACACIAHOLD_STORAGE_RECORD_H_
