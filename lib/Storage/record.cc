// Framing of stored records.

#include "acaciahold/Storage/record.h"

#include <optional>

#include <boost/endian/conversion.hpp>

#include "acaciahold/Support/hash.h"

namespace acaciahold::storage {
namespace {

constexpr size_t kFrameBytes = 16;  // Length and checksum, 8 bytes each.
// Ties the checksum to the length, so that a run of zeros is no record.
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
  if (bytes.size() - offset < kFrameBytes) {
    return std::nullopt;
  }
  uint64_t n = LoadWord(bytes, offset);
  if (n > kMaxRecordBytes || n > bytes.size() - offset - kFrameBytes) {
    return std::nullopt;
  }
  auto payload = bytes.substr(offset + kFrameBytes, n);
  if (Checksum(payload) != LoadWord(bytes, offset + 8)) {
    return std::nullopt;
  }
  return payload;
}

bool HoldsRecordAfter(std::string_view bytes, size_t offset) {
  for (size_t i = offset; i < bytes.size(); ++i) {
    if (RecordAt(bytes, i)) {
      return true;
    }
  }
  return false;
}

}  // namespace

std::string EncodeRecord(std::string_view payload) {
  unsigned char frame[kFrameBytes];
  boost::endian::store_little_u64(frame, payload.size());
  boost::endian::store_little_u64(frame + 8, Checksum(payload));
  std::string record(reinterpret_cast<const char*>(frame), kFrameBytes);
  record += payload;
  return record;
}

ScanResult ScanRecords(std::string_view bytes) {
  ScanResult result;
  size_t offset = 0;
  while (offset < bytes.size()) {
    auto payload = RecordAt(bytes, offset);
    if (!payload) {
      result.end = HoldsRecordAfter(bytes, offset + 1) ? ScanEnd::kDamaged
                                                       : ScanEnd::kTorn;
      break;
    }
    result.payloads.push_back(*payload);
    offset += kFrameBytes + payload->size();
  }
  result.good_bytes = offset;
  return result;
}

}  // namespace acaciahold::storage
