// Commands of the operator's command line.

#include "acaciahold/Operator/commands.h"

#include <algorithm>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <thread>

#include <boost/json.hpp>

#include "acaciahold/Operator/connection.h"
#include "acaciahold/Support/time.h"
#include "acaciahold/Table/table_json.h"
#include "acaciahold/Table/table_yaml.h"
#include "requests.h"

namespace acaciahold::op {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds kPollInterval{200};
constexpr int kMaxEditSends = 5;

// Returns the rows of the table file. If the file has errors, prints all of
// them and returns nullopt.
std::optional<std::vector<table::ServiceRow>> ReadTableRows(
    const std::string& path) {
  std::optional<std::vector<table::ServiceRow>> rows;
  leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(file, table::ReadTableFile(path));
        for (const auto& error : file.errors) {
          std::cerr << Describe(error) << "\n";
        }
        if (file.errors.empty()) {
          rows = std::move(file.rows);
        }
        return {};
      },
      [](const FieldError& e) { std::cerr << Describe(e) << "\n"; },
      [](const SystemError& e) { std::cerr << Describe(e) << "\n"; },
      [] { std::cerr << "cannot read the table file\n"; });
  return rows;
}

std::string MakeEditId() {
  std::random_device device;
  std::string id;
  for (int i = 0; i < 4; ++i) {
    constexpr char kDigits[] = "0123456789abcdef";
    for (uint32_t n = device(), k = 0; k < 8; ++k, n >>= 4U) {
      id += kDigits[n & 15U];
    }
  }
  return id;
}

// Sends the edit up to kMaxEditSends times until its outcome is known. Hosts
// apply an edit with the same id only once.
ApiResponse SendEdit(const CommandOptions& options, const table::Edit& edit) {
  ApiResponse response;
  std::string body = json::serialize(ToJson(edit));
  for (int i = 0; i < kMaxEditSends; ++i) {
    response =
        SendWithFailover(options.control, http::Verb::post, "/v1/edits", body);
    bool is_final = response.status == 200 || response.status == 409 ||
                    response.status == 422 || response.status == 400;
    if (is_final) {
      break;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return response;
}

// Returns the table revision that the host has applied, or 0 if it is not
// known.
uint64_t FetchTableRevision(const EntryHostInfo& host) {
  std::vector<Endpoint> single_host{host.admin};
  auto response =
      SendWithFailover(single_host, http::Verb::get, "/v1/status", "");
  if (response.status != 200 || !response.body.is_object()) {
    return 0;
  }
  const auto* revision =
      response.body.as_object().if_contains("table_revision");
  return revision ? revision->to_number<uint64_t>() : 0;
}

// Prints how many entry hosts of each failure domain have applied the revision.
void PrintRolloutProgress(const std::vector<EntryHostInfo>& hosts,
                          const std::set<std::string>& pending_hosts) {
  std::map<std::string, std::pair<int, int>> by_domain;
  for (const auto& host : hosts) {
    auto& [reached, all] = by_domain[host.failure_domain];
    ++all;
    reached += pending_hosts.contains(host.name) ? 0 : 1;
  }
  std::cerr << "applied at";
  for (const auto& [domain, counts] : by_domain) {
    std::cerr << " " << domain << " " << counts.first << "/" << counts.second;
  }
  std::cerr << "\n";
}

// Waits until all entry hosts but those in state "left" or "dead" have applied
// the revision. On a timeout, prints those that have not.
int WaitForRollout(const CommandOptions& options, uint64_t revision) {
  auto hosts = FetchHosts(options);
  std::erase_if(hosts, [](const auto& host) {
    return host.state == "left" || host.state == "dead";
  });
  std::set<std::string> pending_hosts;
  for (const auto& host : hosts) {
    pending_hosts.insert(host.name);
  }
  Instant deadline = ReadClock() + Duration(kRolloutTimeout);
  while (!pending_hosts.empty() && ReadClock() < deadline) {
    size_t before = pending_hosts.size();
    for (const auto& host : hosts) {
      if (pending_hosts.contains(host.name) &&
          FetchTableRevision(host) >= revision) {
        pending_hosts.erase(host.name);
      }
    }
    if (pending_hosts.size() != before) {
      PrintRolloutProgress(hosts, pending_hosts);
    }
    if (!pending_hosts.empty()) {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  if (pending_hosts.empty()) {
    return kExitSuccess;
  }
  std::string names;
  for (const auto& name : pending_hosts) {
    names += " " + name;
  }
  return PrintError("accepted as revision " + std::to_string(revision) +
                    ", but not yet applied at" + names);
}

int ReportEdit(const CommandOptions& options,
               const ApiResponse& response,
               const table::Edit& edit) {
  if (options.is_json) {
    std::cout << json::serialize(response.body) << "\n";
  }
  auto outcome = table::OutcomeFromJson(response.body);
  if (!outcome) {
    return PrintError(ErrorDetail(response) + " (edit id " + edit.id + ")");
  }
  switch (outcome->verdict) {
    case table::EditVerdict::kAccepted:
      if (!options.is_json) {
        std::cout << "accepted as revision " << outcome->revision << "\n";
      }
      return options.waits_for_rollout
                 ? WaitForRollout(options, outcome->revision)
                 : kExitSuccess;
    case table::EditVerdict::kConflict:
      for (const auto& row : outcome->conflicting_rows) {
        std::cerr << "conflict: " << row.service.name << " is at revision "
                  << row.revision << ":\n"
                  << table::WriteTableText({&row, 1});
      }
      return PrintError(
          "nothing was changed; compare with 'table diff' and apply "
          "again");
    case table::EditVerdict::kReusedId:
      return PrintError("edit id " + edit.id +
                        " was already used for a different edit; "
                        "nothing was changed");
    case table::EditVerdict::kInvalid:
      for (const auto& error : outcome->errors) {
        std::cerr << Describe(error) << "\n";
      }
      return PrintError("nothing was changed");
  }
  return kExitFailure;
}

int ProposeMemberChange(const CommandOptions& options,
                        const std::function<void(json::array&)>& change) {
  auto status = SendWithFailover(options.control, http::Verb::get,
                                 "/v1/control/status", "");
  if (status.status != 200) {
    return PrintError(ErrorDetail(status));
  }
  auto members = status.body.at("members").as_array();
  change(members);
  auto response =
      SendWithFailover(options.control, http::Verb::post, "/v1/control/members",
                       json::serialize(members));
  if (response.status != 202) {
    return PrintError(ErrorDetail(response));
  }
  std::cout << "the membership change was proposed; run 'status' to see "
               "whether it was committed\n";
  return kExitSuccess;
}

}  // namespace

int TableGet(const CommandOptions& options) {
  std::string error_text;
  auto table = FetchTable(options, error_text);
  if (!table) {
    return PrintError(error_text);
  }
  if (options.is_json) {
    std::cout << json::serialize(ToJson(*table)) << "\n";
  } else {
    std::cout << "# revision " << table->revision << "\n"
              << table::WriteTableText(table->rows);
  }
  return kExitSuccess;
}

int TableDiff(const CommandOptions& options) {
  auto rows = ReadTableRows(options.file);
  if (!rows) {
    return kExitFailure;
  }
  std::string error_text;
  auto table = FetchTable(options, error_text);
  if (!table) {
    return PrintError(error_text);
  }
  PrintChanges(table::Diff(*table, *rows), *table);
  return kExitSuccess;
}

int TableApply(const CommandOptions& options) {
  auto rows = ReadTableRows(options.file);
  if (!rows) {
    return kExitFailure;
  }
  std::string error_text;
  auto table = FetchTable(options, error_text);
  if (!table) {
    return PrintError(error_text);
  }
  table::Edit edit;
  edit.id = options.edit_id.empty() ? MakeEditId() : options.edit_id;
  edit.author = options.author;
  edit.changes = table::Diff(*table, *rows);
  if (edit.changes.empty()) {
    std::cout << "nothing to change at revision " << table->revision << "\n";
    return kExitSuccess;
  }
  return ReportEdit(options, SendEdit(options, edit), edit);
}

int TableHistory(const CommandOptions& options) {
  auto response =
      SendWithFailover(options.control, http::Verb::get, "/v1/history", "");
  if (response.status != 200 || !response.body.is_array()) {
    return PrintError(ErrorDetail(response));
  }
  if (options.is_json) {
    std::cout << json::serialize(response.body) << "\n";
    return kExitSuccess;
  }
  for (const auto& it : response.body.as_array()) {
    auto entry = table::HistoryFromJson(it);
    if (!entry) {
      return PrintError("the host sent a malformed history entry");
    }
    std::cout << entry->revision << " " << ToUnixMillis(entry->edit.proposed_at)
              << " " << entry->edit.author << " " << entry->edit.id;
    for (const auto& change : entry->edit.changes) {
      std::cout << (change.new_row ? " put " : " remove ") << change.name;
    }
    std::cout << "\n";
  }
  return kExitSuccess;
}

int ShowStatus(const CommandOptions& options) {
  json::object all;
  json::array control;
  for (auto host : options.control) {
    std::vector<Endpoint> single_host{host};
    auto response = SendWithFailover(single_host, http::Verb::get,
                                     "/v1/control/status", "");
    json::object line{{"admin", FormatEndpoint(host)}};
    if (response.status == 200) {
      line["status"] = response.body;
    } else {
      line["status"] = nullptr;
    }
    control.push_back(std::move(line));
  }
  json::array entries;
  for (const auto& host : FetchHosts(options)) {
    entries.push_back({{"name", host.name},
                       {"failure_domain", host.failure_domain},
                       {"state", host.state},
                       {"revision", FetchTableRevision(host)}});
  }
  all["control_hosts"] = std::move(control);
  all["entry_hosts"] = std::move(entries);
  if (options.is_json) {
    std::cout << json::serialize(all) << "\n";
    return kExitSuccess;
  }
  for (const auto& it : all["control_hosts"].as_array()) {
    std::cout << "control " << it.at("admin").as_string().c_str() << " "
              << json::serialize(it.at("status")) << "\n";
  }
  for (const auto& it : all["entry_hosts"].as_array()) {
    std::cout << "entry " << it.at("name").as_string().c_str() << " "
              << it.at("failure_domain").as_string().c_str() << " "
              << it.at("state").as_string().c_str() << " revision "
              << it.at("revision").to_number<uint64_t>() << "\n";
  }
  return kExitSuccess;
}

int AddControlHost(const CommandOptions& options,
                   uint32_t replica_id,
                   Endpoint admin) {
  return ProposeMemberChange(options, [&](json::array& members) {
    members.push_back({{"id", replica_id},
                       {"admin", PackEndpoint(admin)},
                       {"is_voter", false},
                       {"instance", 0}});
  });
}

int RemoveControlHost(const CommandOptions& options, uint32_t replica_id) {
  return ProposeMemberChange(options, [&](json::array& members) {
    for (auto it = members.begin(); it != members.end();) {
      bool is_match = it->at("id").to_number<uint32_t>() == replica_id;
      it = is_match ? members.erase(it) : std::next(it);
    }
  });
}

}  // namespace acaciahold::op
