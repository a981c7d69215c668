// Encoding of stored records.

#include "acaciahold/Storage/record.h"

#include <optional>

#include <boost/endian/conversion.hpp>

#include "acaciahold/Support/hash.h"

namespace acaciahold::storage {
namespace {

constexpr size_t kRecordHeaderBytes = 16;  // Length and checksum, 8 bytes each.
// Added to the payload size to seed the checksum, so that a run of zero bytes
// is not a valid record.
constexpr uint64_t kChecksumSeed = 0x61636163;

uint64_t Checksum(std::string_view payload) {
  return HashText(payload, kChecksumSeed + payload.size());
}

uint64_t LoadWord(std::string_view bytes, size_t offset) {
  return boost::endian::load_little_u64(
      reinterpret_cast<const unsigned char*>(bytes.data()) + offset);
}

std::optional<std::string_view> RecordAt(std::string_view bytes,
                                         size_t offset) {
  if (bytes.size() - offset < kRecordHeaderBytes) {
    return std::nullopt;
  }
  uint64_t n = LoadWord(bytes, offset);
  if (n > kMaxRecordBytes || n > bytes.size() - offset - kRecordHeaderBytes) {
    return std::nullopt;
  }
  auto payload = bytes.substr(offset + kRecordHeaderBytes, n);
  if (Checksum(payload) != LoadWord(bytes, offset + 8)) {
    return std::nullopt;
  }
  return payload;
}

// Returns whether a valid record begins at `offset` or later.
bool HasRecordFrom(std::string_view bytes, size_t offset) {
  for (size_t i = offset; i < bytes.size(); ++i) {
    if (RecordAt(bytes, i)) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::string EncodeRecord(std::string_view payload) {
  unsigned char header[kRecordHeaderBytes];
  boost::endian::store_little_u64(header, payload.size());
  boost::endian::store_little_u64(header + 8, Checksum(payload));
  std::string record(reinterpret_cast<const char*>(header), kRecordHeaderBytes);
  record += payload;
  return record;
}

ScanResult ScanRecords(std::string_view bytes) {
  ScanResult result;
  size_t offset = 0;
  while (offset < bytes.size()) {
    auto payload = RecordAt(bytes, offset);
    if (!payload) {
      result.end =
          HasRecordFrom(bytes, offset + 1) ? ScanEnd::kDamaged : ScanEnd::kTorn;
      break;
    }
    result.payloads.push_back(*payload);
    offset += kRecordHeaderBytes + payload->size();
  }
  result.valid_bytes = offset;
  return result;
}

}  // namespace acaciahold::storage
