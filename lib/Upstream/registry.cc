#include "acaciahold/Upstream/registry.h"

#include <algorithm>
#include <tuple>

#include "acaciahold/Support/hash.h"

namespace acaciahold::upstream {
namespace {

constexpr uint32_t kSendsPerRecord = 9;
constexpr size_t kMaxNameBytes = 63;

auto Precedence(const Record& record) {
  return std::tuple(record.announcement.incarnation, record.sequence,
                    static_cast<int>(record.announcement.phase));
}

uint64_t HashRecord(const Record& record) {
  uint64_t h = HashText(record.announcement.service);
  h = CombineHashes(h, PackEndpoint(record.announcement.endpoint));
  h = CombineHashes(h, record.announcement.incarnation);
  h = CombineHashes(h, record.sequence);
  return CombineHashes(h, static_cast<uint64_t>(record.announcement.phase));
}

// Replaces the entry's record, restarts the timers of its ramp step, and queues
// the record for sending to other hosts.
void Store(Registry& registry, Entry& entry, Record record, Instant now) {
  if (entry.record.announcement.incarnation != 0) {
    registry.digest ^= HashRecord(entry.record);
  }
  entry.record = std::move(record);
  entry.sends_left = kSendsPerRecord;
  entry.step_successes = 0;
  entry.earliest_step = now + kMinRampStepTime;
  entry.earliest_slow_step = now + kSlowRampStepTime;
  entry.removal_deadline = now + kTombstoneRetention;
  registry.digest ^= HashRecord(entry.record);
}

bool HasSameContent(const Announcement& a, const Announcement& b) {
  return a.failure_domain == b.failure_domain && a.slots == b.slots &&
         a.connections == b.connections && a.phase == b.phase;
}

bool IsValidName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes;
}

}  // namespace

std::vector<std::string> CheckAnnouncement(const Announcement& announcement) {
  std::vector<std::string> errors;
  if (!IsValidName(announcement.service)) {
    errors.emplace_back("service: must be 1 to 63 bytes long");
  }
  if (!IsValidName(announcement.failure_domain)) {
    errors.emplace_back("failure_domain: must be 1 to 63 bytes long");
  }
  if (announcement.endpoint.port == 0 || announcement.endpoint.address == 0) {
    errors.emplace_back(
        "endpoint: must have an IPv4 address and a port, both not 0");
  }
  if (announcement.incarnation == 0) {
    errors.emplace_back("incarnation: must be greater than 0");
  }
  return errors;
}

bool OnAnnouncement(Registry& registry,
                    const Announcement& announcement,
                    Instant now) {
  Key key{announcement.service, PackEndpoint(announcement.endpoint)};
  auto [it, is_new] = registry.entries.try_emplace(key);
  auto& entry = it->second;
  if (!is_new &&
      announcement.incarnation < entry.record.announcement.incarnation) {
    return false;  // Delayed announcement of an earlier incarnation.
  }
  entry.silence_deadline = now + kSilenceTimeout;
  bool is_same_incarnation =
      !is_new &&
      announcement.incarnation == entry.record.announcement.incarnation;
  if (is_same_incarnation &&
      HasSameContent(announcement, entry.record.announcement)) {
    return false;
  }
  if (is_same_incarnation && entry.record.announcement.phase == Phase::kGone) {
    return false;
  }
  Record next{announcement, 1, 0};
  if (is_same_incarnation) {
    next.sequence = entry.record.sequence + 1;
    next.ramp_step = entry.record.ramp_step;
  }
  Store(registry, entry, std::move(next), now);
  return true;
}

bool Merge(Registry& registry, const Record& record, Instant now) {
  auto [it, is_new] = registry.entries.try_emplace(record.key());
  auto& entry = it->second;
  if (!is_new && Precedence(record) <= Precedence(entry.record)) {
    return false;
  }
  entry.silence_deadline =
      std::max(entry.silence_deadline, now + kSilenceTimeout);
  Store(registry, entry, record, now);
  return true;
}

bool CheckSilence(Registry& registry,
                  const std::function<bool(const Key&)>& is_coordinator,
                  Instant now) {
  bool is_changed = false;
  for (auto& [key, entry] : registry.entries) {
    auto phase = entry.record.announcement.phase;
    bool is_heartbeat_expected =
        phase == Phase::kServing || phase == Phase::kDraining;
    if (!is_heartbeat_expected || now < entry.silence_deadline ||
        !is_coordinator(key)) {
      continue;
    }
    Record next = entry.record;
    ++next.sequence;
    next.announcement.phase = Phase::kSilent;
    Store(registry, entry, std::move(next), now);
    is_changed = true;
  }
  std::erase_if(registry.entries, [&](const auto& it) {
    bool is_expired = it.second.record.announcement.phase >= Phase::kSilent &&
                      now >= it.second.removal_deadline;
    if (is_expired) {
      registry.digest ^= HashRecord(it.second.record);
    }
    return is_expired;
  });
  return is_changed;
}

bool OnOutcomes(Registry& registry,
                const Key& key,
                const Outcomes& outcomes,
                uint32_t limit,
                Instant now) {
  auto it = registry.entries.find(key);
  if (it == registry.entries.end()) {
    return false;
  }
  auto& entry = it->second;
  uint32_t unsuccessful = outcomes.failures + outcomes.sheds;
  entry.consecutive_failures = outcomes.successes > 0
                                   ? unsuccessful
                                   : entry.consecutive_failures + unsuccessful;
  Record next = entry.record;
  ++next.sequence;
  if (entry.consecutive_failures >= kRestartSignFailures &&
      unsuccessful > outcomes.successes) {
    // The upstream may have restarted without announcing it, so start the ramp
    // again from the cold limit.
    entry.consecutive_failures = 0;
    entry.step_successes = 0;
    if (entry.record.ramp_step == 0) {
      return false;
    }
    next.ramp_step = 0;
    Store(registry, entry, std::move(next), now);
    return true;
  }
  entry.step_successes += outcomes.successes;
  if (entry.record.ramp_step >= kLastRampStep || unsuccessful > 0) {
    return false;
  }
  uint32_t required_successes = std::max(kMinSuccessesPerStep, limit / 2);
  bool is_step_due =
      entry.step_successes >= required_successes && now >= entry.earliest_step;
  bool is_slow_step_due = entry.step_successes >= kMinSuccessesPerStep &&
                          now >= entry.earliest_slow_step;
  if (!is_step_due && !is_slow_step_due) {
    return false;
  }
  ++next.ramp_step;
  Store(registry, entry, std::move(next), now);
  return true;
}

void ExtendSilenceDeadlines(Registry& registry, Instant now) {
  for (auto& [key, entry] : registry.entries) {
    entry.silence_deadline =
        std::max(entry.silence_deadline, now + kSilenceTimeout);
  }
}

std::vector<Record> TakePendingRecords(Registry& registry, size_t max_records) {
  std::vector<Entry*> pending;
  for (auto& [key, entry] : registry.entries) {
    if (entry.sends_left > 0) {
      pending.push_back(&entry);
    }
  }
  // Records that were sent least often go first, so that a new record does not
  // wait for repeated transmissions of others.
  std::stable_sort(pending.begin(), pending.end(), [](auto* a, auto* b) {
    return a->sends_left > b->sends_left;
  });
  pending.resize(std::min(pending.size(), max_records));
  std::vector<Record> records;
  for (auto* entry : pending) {
    --entry->sends_left;
    records.push_back(entry->record);
  }
  return records;
}

std::vector<Record> Snapshot(const Registry& registry) {
  std::vector<Record> records;
  for (const auto& [key, entry] : registry.entries) {
    records.push_back(entry.record);
  }
  return records;
}

uint32_t LimitAtStep(uint32_t full_limit, uint32_t cold_limit, uint32_t step) {
  if (step == 0) {
    return std::min(cold_limit, full_limit);
  }
  uint32_t halvings = kLastRampStep - std::min(step, kLastRampStep);
  return std::max(std::min(cold_limit, full_limit), full_limit >> halvings);
}

}  // namespace acaciahold::upstream
