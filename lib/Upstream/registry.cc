// Records of upstreams: merging, silence, and the ramp after a cold start.

#include "acaciahold/Upstream/registry.h"

#include <algorithm>
#include <tuple>

#include "acaciahold/Support/hash.h"

namespace acaciahold::upstream {
namespace {

constexpr uint32_t kSendsOfNews = 9;
constexpr size_t kMaxNameBytes = 63;

auto Precedence(const Record& record) {
  return std::tuple(record.said.incarnation, record.sequence,
                    static_cast<int>(record.said.phase));
}

uint64_t HashRecord(const Record& record) {
  uint64_t h = HashText(record.said.service);
  h = CombineHashes(h, PackEndpoint(record.said.endpoint));
  h = CombineHashes(h, record.said.incarnation);
  h = CombineHashes(h, record.sequence);
  return CombineHashes(h, static_cast<uint64_t>(record.said.phase));
}

void Store(Registry& registry, Entry& entry, Record record, Instant now) {
  if (entry.record.said.incarnation != 0) {
    registry.digest ^= HashRecord(entry.record);
  }
  entry.record = std::move(record);
  entry.sends_left = kSendsOfNews;
  entry.step_successes = 0;
  entry.step_deadline = now + kRampStepTime;
  entry.slow_step_deadline = now + kSlowStepTime;
  entry.forget_deadline = now + kForgetTimeout;
  registry.digest ^= HashRecord(entry.record);
}

bool SaysTheSame(const Announcement& a, const Announcement& b) {
  return a.failure_domain == b.failure_domain && a.slots == b.slots &&
         a.connections == b.connections && a.phase == b.phase;
}

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxNameBytes;
}

}  // namespace

std::vector<std::string> CheckAnnouncement(const Announcement& said) {
  std::vector<std::string> faults;
  if (!IsName(said.service)) {
    faults.emplace_back("service: wanted a name of 1 to 63 bytes");
  }
  if (!IsName(said.failure_domain)) {
    faults.emplace_back("failure_domain: wanted a name of 1 to 63 bytes");
  }
  if (said.endpoint.port == 0 || said.endpoint.address == 0) {
    faults.emplace_back("endpoint: wanted an IPv4 number and port");
  }
  if (said.incarnation == 0) {
    faults.emplace_back("incarnation: wanted a number above 0");
  }
  return faults;
}

bool OnAnnouncement(Registry& registry, const Announcement& said, Instant now) {
  Key key{said.service, PackEndpoint(said.endpoint)};
  auto [it, is_new] = registry.entries.try_emplace(key);
  auto& entry = it->second;
  if (!is_new && said.incarnation < entry.record.said.incarnation) {
    return false;  // A late word of an earlier life.
  }
  entry.silence_deadline = now + kSilenceTimeout;
  bool is_same_life =
      !is_new && said.incarnation == entry.record.said.incarnation;
  if (is_same_life && SaysTheSame(said, entry.record.said)) {
    return false;
  }
  if (is_same_life && entry.record.said.phase == Phase::kGone) {
    return false;
  }
  Record next{said, 1, 0};
  if (is_same_life) {
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
    auto phase = entry.record.said.phase;
    bool is_heard = phase == Phase::kServing || phase == Phase::kDraining;
    if (!is_heard || now < entry.silence_deadline || !is_coordinator(key)) {
      continue;
    }
    Record next = entry.record;
    ++next.sequence;
    next.said.phase = Phase::kSilent;
    Store(registry, entry, std::move(next), now);
    is_changed = true;
  }
  std::erase_if(registry.entries, [&](const auto& it) {
    bool is_forgotten = it.second.record.said.phase >= Phase::kSilent &&
                        now >= it.second.forget_deadline;
    if (is_forgotten) {
      registry.digest ^= HashRecord(it.second.record);
    }
    return is_forgotten;
  });
  return is_changed;
}

bool OnOutcomes(Registry& registry,
                const Key& key,
                const Outcomes& seen,
                uint32_t limit,
                Instant now) {
  auto it = registry.entries.find(key);
  if (it == registry.entries.end()) {
    return false;
  }
  auto& entry = it->second;
  uint32_t bad = seen.failures + seen.sheds;
  entry.failures_in_row =
      seen.successes > 0 ? bad : entry.failures_in_row + bad;
  Record next = entry.record;
  ++next.sequence;
  if (entry.failures_in_row >= kColdSignFailures && bad > seen.successes) {
    // Perhaps a restart that nobody announced: begin again from cold.
    entry.failures_in_row = 0;
    entry.step_successes = 0;
    if (entry.record.ramp_step == 0) {
      return false;
    }
    next.ramp_step = 0;
    Store(registry, entry, std::move(next), now);
    return true;
  }
  entry.step_successes += seen.successes;
  if (entry.record.ramp_step >= kLastRampStep || bad > 0) {
    return false;
  }
  uint32_t wanted = std::max(kMinSuccessesPerStep, limit / 2);
  bool is_fast = entry.step_successes >= wanted && now >= entry.step_deadline;
  bool is_slow = entry.step_successes >= kMinSuccessesPerStep &&
                 now >= entry.slow_step_deadline;
  if (!is_fast && !is_slow) {
    return false;
  }
  ++next.ramp_step;
  Store(registry, entry, std::move(next), now);
  return true;
}

void ExtendSilence(Registry& registry, Instant now) {
  for (auto& [key, entry] : registry.entries) {
    entry.silence_deadline =
        std::max(entry.silence_deadline, now + kSilenceTimeout);
  }
}

std::vector<Record> TakeNews(Registry& registry, size_t most) {
  std::vector<Entry*> waiting;
  for (auto& [key, entry] : registry.entries) {
    if (entry.sends_left > 0) {
      waiting.push_back(&entry);
    }
  }
  // What was sent least goes first, so that no news waits behind repeats.
  std::stable_sort(waiting.begin(), waiting.end(), [](auto* a, auto* b) {
    return a->sends_left > b->sends_left;
  });
  waiting.resize(std::min(waiting.size(), most));
  std::vector<Record> news;
  for (auto* entry : waiting) {
    --entry->sends_left;
    news.push_back(entry->record);
  }
  return news;
}

std::vector<Record> Snapshot(const Registry& registry) {
  std::vector<Record> records;
  for (const auto& [key, entry] : registry.entries) {
    records.push_back(entry.record);
  }
  return records;
}

uint32_t LimitAtStep(uint32_t full, uint32_t cold, uint32_t step) {
  if (step == 0) {
    return std::min(cold, full);
  }
  uint32_t halvings = kLastRampStep - std::min(step, kLastRampStep);
  return std::max(std::min(cold, full), full >> halvings);
}

}  // namespace acaciahold::upstream
