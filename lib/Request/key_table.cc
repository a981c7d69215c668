#include "acaciahold/Request/key_table.h"

namespace acaciahold::request {
namespace {

void DropResponse(KeyTable& table, KeyRecord& record) {
  if (record.answer) {
    table.response_bytes -= record.answer->body.size();
    record.answer.reset();
  }
}

// Drops stored responses, oldest first, until `bytes` more fit. The records
// stay.
void EvictOldestResponses(KeyTable& table, size_t bytes) {
  while (table.response_bytes + bytes > kMaxTotalStoredResponseBytes &&
         !table.response_order.empty()) {
    auto it = table.records.find(table.response_order.front());
    if (it != table.records.end()) {
      DropResponse(table, it->second);
    }
    table.response_order.pop_front();
  }
}

KeyRecord& InsertIfAbsent(KeyTable& table,
                          const std::string& key,
                          uint64_t request_hash,
                          Instant now) {
  auto [it, is_new] = table.records.try_emplace(key);
  if (is_new) {
    table.insertion_order.push_back(key);
    it->second.request_hash = request_hash;
    it->second.expires_at = now + kKeyLifetime;
  }
  return it->second;
}

}  // namespace

KeyLookup BeginKey(KeyTable& table,
                   const std::string& key,
                   uint64_t request_hash,
                   Instant now) {
  ExpireKeys(table, now);
  auto it = table.records.find(key);
  if (it == table.records.end()) {
    if (table.records.size() >= kMaxKeys) {
      return {KeyVerdict::kTableFull, {}};
    }
    InsertIfAbsent(table, key, request_hash, now).is_running_here = true;
    return {KeyVerdict::kNew, {}};
  }
  const auto& record = it->second;
  if (record.request_hash != request_hash) {
    return {KeyVerdict::kRequestMismatch, {}};
  }
  if (record.answer) {
    return {KeyVerdict::kAnswered, *record.answer};
  }
  if (record.is_running_here) {
    return {KeyVerdict::kRunning, {}};
  }
  return {KeyVerdict::kUnknown, {}};
}

void StoreBackupRecord(KeyTable& table,
                       const std::string& key,
                       uint64_t request_hash,
                       Instant now) {
  ExpireKeys(table, now);
  InsertIfAbsent(table, key, request_hash, now);
}

void RecordResponse(KeyTable& table,
                    const std::string& key,
                    StoredResponse answer) {
  auto it = table.records.find(key);
  if (it == table.records.end()) {
    return;
  }
  auto& record = it->second;
  DropResponse(table, record);
  record.state = KeyState::kAnswered;
  record.is_running_here = false;
  if (answer.body.size() > kMaxStoredResponseBytes) {
    return;
  }
  EvictOldestResponses(table, answer.body.size());
  table.response_bytes += answer.body.size();
  table.response_order.push_back(key);
  record.answer = std::move(answer);
}

void RemoveKey(KeyTable& table, const std::string& key) {
  auto it = table.records.find(key);
  if (it == table.records.end()) {
    return;
  }
  DropResponse(table, it->second);
  table.records.erase(it);
}

void MarkOutcomeUnknown(KeyTable& table, const std::string& key) {
  auto it = table.records.find(key);
  if (it != table.records.end()) {
    it->second.is_running_here = false;
  }
}

void ExpireKeys(KeyTable& table, Instant now) {
  while (!table.insertion_order.empty()) {
    auto it = table.records.find(table.insertion_order.front());
    if (it != table.records.end()) {
      if (now < it->second.expires_at) {
        return;
      }
      DropResponse(table, it->second);
      table.records.erase(it);
    }
    table.insertion_order.pop_front();
  }
}

}  // namespace acaciahold::request
