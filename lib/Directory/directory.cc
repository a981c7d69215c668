// Merges upstream records, and detects silent and expired upstreams.

#include "acaciahold/Directory/directory.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "acaciahold/Support/hash.h"

namespace acaciahold::directory {
namespace {

bool IsNewer(const Record& a, const Record& b) {
  return std::tie(a.born_ms, a.sequence) > std::tie(b.born_ms, b.sequence);
}

// Whether the two records are equivalent for the placement of flows.
bool IsEquivalent(const Record& a, const Record& b) {
  return a.service == b.service && a.endpoint == b.endpoint &&
         a.failure_domain == b.failure_domain && a.slots == b.slots &&
         a.phase == b.phase && a.born_ms == b.born_ms;
}

// Hashes all fields that IsEquivalent compares.
uint64_t HashRecord(const Record& record) {
  uint64_t hash = HashText(record.service);
  hash = HashText(record.failure_domain, hash);
  for (uint64_t it : {record.id, static_cast<uint64_t>(record.born_ms),
                      static_cast<uint64_t>(record.phase),
                      PackEndpoint(record.endpoint), uint64_t{record.slots}}) {
    hash = CombineHashes(hash, it);
  }
  return hash;
}

void RemoveFromService(Directory& directory, const Record& record) {
  auto it = directory.by_service.find(record.service);
  if (it == directory.by_service.end()) {
    return;
  }
  it->second.erase(record.id);
  if (it->second.empty()) {
    directory.by_service.erase(it);
  }
}

}  // namespace

UpdateResult Merge(Directory& directory,
                   const Record& record,
                   Instant heard_at) {
  auto [it, is_new] = directory.entries.try_emplace(record.id);
  auto& entry = it->second;
  bool is_same_start = !is_new && record.born_ms == entry.record.born_ms;
  bool is_leaving = is_same_start && record.phase == Phase::kGone;
  if (is_same_start && entry.record.phase == Phase::kGone) {
    // Only a record of a later start adds the upstream again.
    return UpdateResult::kStale;
  }
  if (!is_new && !is_leaving && !IsNewer(record, entry.record)) {
    return UpdateResult::kStale;
  }
  bool was_cold = entry.cold_deadline > heard_at;
  bool is_changed = is_new || !IsEquivalent(record, entry.record) ||
                    entry.is_silent || was_cold != (record.cold_ms > 0);
  uint64_t sequence =
      std::max(is_leaving ? entry.record.sequence : 0, record.sequence);
  if (!is_new && entry.record.service != record.service) {
    RemoveFromService(directory, entry.record);
  }
  directory.by_service[record.service].insert(record.id);
  entry.record = record;
  entry.record.sequence = sequence;
  entry.heard_at = std::max(entry.heard_at, heard_at);
  entry.cold_deadline = heard_at + std::chrono::milliseconds(record.cold_ms);
  entry.is_silent = false;
  return is_changed ? UpdateResult::kChanged : UpdateResult::kRefreshed;
}

UpdateResult Remove(Directory& directory,
                    UpstreamId id,
                    int64_t born_ms,
                    Instant now) {
  Record record;
  auto it = directory.entries.find(id);
  if (it != directory.entries.end()) {
    record = it->second.record;
  }
  record.id = id;
  record.phase = Phase::kGone;
  record.cold_ms = 0;
  if (born_ms > 0) {
    record.born_ms = born_ms;
  }
  return Merge(directory, record, now);
}

UpdateResult Refresh(Directory& directory,
                     const RefreshNotice& notice,
                     Instant heard_at) {
  auto it = directory.entries.find(notice.id);
  if (it == directory.entries.end()) {
    return UpdateResult::kStale;
  }
  const auto& known = it->second.record;
  bool is_current_start = known.born_ms == notice.born_ms &&
                          known.sequence <= notice.sequence &&
                          known.phase != Phase::kGone;
  if (!is_current_start) {
    return UpdateResult::kStale;
  }
  auto& entry = it->second;
  bool was_silent = std::exchange(entry.is_silent, false);
  bool is_other_phase = known.phase != notice.phase;
  entry.record.phase = notice.phase;
  entry.record.sequence = notice.sequence;
  entry.heard_at = std::max(entry.heard_at, heard_at);
  return was_silent || is_other_phase ? UpdateResult::kChanged
                                      : UpdateResult::kRefreshed;
}

std::vector<UpstreamId> CheckSilence(Directory& directory,
                                     Duration timeout,
                                     Instant now) {
  std::vector<UpstreamId> silent;
  for (auto& [id, entry] : directory.entries) {
    bool is_due = !entry.is_silent && entry.record.phase != Phase::kGone &&
                  now >= entry.heard_at + timeout;
    if (is_due) {
      entry.is_silent = true;
      silent.push_back(id);
    }
  }
  return silent;
}

std::vector<UpstreamId> RemoveExpiredEntries(Directory& directory,
                                             Instant now) {
  std::vector<UpstreamId> removed_ids;
  std::erase_if(directory.entries, [&](const auto& it) {
    const auto& entry = it.second;
    bool is_inactive = entry.is_silent || entry.record.phase == Phase::kGone;
    bool is_expired = is_inactive && now >= entry.heard_at + kRetentionTime;
    if (is_expired) {
      RemoveFromService(directory, entry.record);
      removed_ids.push_back(it.first);
    }
    return is_expired;
  });
  return removed_ids;
}

uint64_t Digest(const Directory& directory) {
  uint64_t digest = 0;
  for (const auto& [id, entry] : directory.entries) {
    if (!entry.is_silent && entry.record.phase != Phase::kGone) {
      digest ^= HashRecord(entry.record);
    }
  }
  return digest;
}

Record CurrentRecord(const Entry& entry, Instant now) {
  Record record = entry.record;
  auto remaining = std::max(Duration::zero(), entry.cold_deadline - now);
  record.cold_ms = static_cast<uint32_t>(
      std::chrono::ceil<std::chrono::milliseconds>(remaining).count());
  return record;
}

std::string_view PhaseName(Phase phase) {
  switch (phase) {
    case Phase::kServing:
      return "serving";
    case Phase::kDraining:
      return "draining";
    case Phase::kGone:
      return "gone";
  }
  return "gone";
}

}  // namespace acaciahold::directory
