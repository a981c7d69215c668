// The operators' commands.

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

namespace acaciahold::op {
namespace {

namespace json = boost::json;

constexpr std::chrono::milliseconds kPollInterval{200};
constexpr int kSendsOfEdit = 5;

int Fail(const std::string& text) {
  std::cerr << "acaciahold: " << text << "\n";
  return kFailed;
}

std::string DetailOf(const Answer& answer) {
  if (answer.status == 0) {
    return "no control host answered";
  }
  if (answer.body.is_object()) {
    if (const auto* detail = answer.body.as_object().if_contains("detail")) {
      if (detail->is_string()) {
        return detail->as_string().c_str();
      }
    }
  }
  return "status " + std::to_string(answer.status);
}

// The current table; an answer below `min_revision` is refused by the host.
std::optional<table::ServiceTable> FetchTable(const CommandOptions& options,
                                              std::string& problem) {
  std::string target = "/v1/table";
  if (options.min_revision > 0) {
    target += "?min_revision=" + std::to_string(options.min_revision);
  }
  auto answer = Ask(options.control, http::Verb::get, target, "");
  if (answer.status != 200) {
    problem = DetailOf(answer);
    return std::nullopt;
  }
  auto table = table::TableFromJson(answer.body);
  if (!table) {
    problem = "the table that came can't be read";
    return std::nullopt;
  }
  return *table;
}

// Rows of the table file; prints every fault and returns nothing if there are
// any.
std::optional<std::vector<table::ServiceRow>> ReadRows(
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
      [] { std::cerr << "the table file can't be read\n"; });
  return rows;
}

void PrintChanges(const std::vector<table::RowChange>& changes,
                  const table::ServiceTable& table) {
  for (const auto& change : changes) {
    const auto* row = table::FindRow(table, change.name);
    if (row) {
      std::cout << "--- " << change.name << " at revision " << row->revision
                << "\n"
                << table::WriteTableText({row, 1});
    }
    if (change.new_row) {
      table::VersionedRow next{*change.new_row, 0};
      std::cout << "+++ " << change.name << "\n"
                << table::WriteTableText({&next, 1});
    }
  }
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

// Sends the edit until its outcome is known. The id makes that safe.
Answer SendEdit(const CommandOptions& options, const table::Edit& edit) {
  Answer answer;
  std::string body = json::serialize(ToJson(edit));
  for (int i = 0; i < kSendsOfEdit; ++i) {
    answer = Ask(options.control, http::Verb::post, "/v1/edits", body);
    bool is_known = answer.status == 200 || answer.status == 409 ||
                    answer.status == 422 || answer.status == 400;
    if (is_known) {
      break;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return answer;
}

// One entry host, as the hosts know it.
struct KnownHost {
  std::string name;
  std::string failure_domain;
  std::string state;
  Endpoint admin;
};

std::vector<KnownHost> FetchHosts(const CommandOptions& options) {
  auto answer = Ask(options.control, http::Verb::get, "/v1/hosts", "");
  std::vector<KnownHost> hosts;
  if (answer.status != 200 || !answer.body.is_array()) {
    return hosts;
  }
  for (const auto& it : answer.body.as_array()) {
    const auto& object = it.as_object();
    auto admin = ParseEndpoint(object.at("admin").as_string().c_str());
    hosts.push_back({object.at("name").as_string().c_str(),
                     object.at("failure_domain").as_string().c_str(),
                     object.at("state").as_string().c_str(),
                     admin ? *admin : Endpoint()});
  }
  return hosts;
}

uint64_t RevisionAt(const KnownHost& host) {
  std::vector<Endpoint> one{host.admin};
  auto answer = Ask(one, http::Verb::get, "/v1/status", "");
  if (answer.status != 200 || !answer.body.is_object()) {
    return 0;
  }
  const auto* revision = answer.body.as_object().if_contains("table_revision");
  return revision ? revision->to_number<uint64_t>() : 0;
}

void PrintProgress(const std::vector<KnownHost>& hosts,
                   const std::set<std::string>& missing) {
  std::map<std::string, std::pair<int, int>> by_domain;
  for (const auto& host : hosts) {
    auto& [reached, all] = by_domain[host.failure_domain];
    ++all;
    reached += missing.contains(host.name) ? 0 : 1;
  }
  std::cerr << "in force at";
  for (const auto& [domain, counts] : by_domain) {
    std::cerr << " " << domain << " " << counts.first << "/" << counts.second;
  }
  std::cerr << "\n";
}

// Waits until every entry host has the revision; lists those that have not.
int AwaitInForce(const CommandOptions& options, uint64_t revision) {
  auto hosts = FetchHosts(options);
  std::erase_if(hosts, [](const auto& host) {
    return host.state == "left" || host.state == "dead";
  });
  std::set<std::string> missing;
  for (const auto& host : hosts) {
    missing.insert(host.name);
  }
  Instant deadline = ReadClock() + Duration(kInForceTimeout);
  while (!missing.empty() && ReadClock() < deadline) {
    size_t before = missing.size();
    for (const auto& host : hosts) {
      if (missing.contains(host.name) && RevisionAt(host) >= revision) {
        missing.erase(host.name);
      }
    }
    if (missing.size() != before) {
      PrintProgress(hosts, missing);
    }
    if (!missing.empty()) {
      std::this_thread::sleep_for(kPollInterval);
    }
  }
  if (missing.empty()) {
    return kDone;
  }
  std::string names;
  for (const auto& name : missing) {
    names += " " + name;
  }
  return Fail("accepted as revision " + std::to_string(revision) +
              ", but not yet in force at" + names);
}

int ReportEdit(const CommandOptions& options,
               const Answer& answer,
               const table::Edit& edit) {
  if (options.is_json) {
    std::cout << json::serialize(answer.body) << "\n";
  }
  auto outcome = table::OutcomeFromJson(answer.body);
  if (!outcome) {
    return Fail(DetailOf(answer) + " (edit id " + edit.id + ")");
  }
  switch (outcome->verdict) {
    case table::EditVerdict::kAccepted:
      if (!options.is_json) {
        std::cout << "accepted as revision " << outcome->revision << "\n";
      }
      return options.is_waiting ? AwaitInForce(options, outcome->revision)
                                : kDone;
    case table::EditVerdict::kConflict:
      for (const auto& row : outcome->conflicting_rows) {
        std::cerr << "conflict: " << row.service.name << " is at revision "
                  << row.revision << ":\n"
                  << table::WriteTableText({&row, 1});
      }
      return Fail(
          "nothing was changed; compare with 'table diff' and apply "
          "again");
    case table::EditVerdict::kReusedId:
      return Fail("edit id " + edit.id +
                  " belongs to another edit; nothing "
                  "was changed");
    case table::EditVerdict::kInvalid:
      for (const auto& error : outcome->errors) {
        std::cerr << Describe(error) << "\n";
      }
      return Fail("nothing was changed");
  }
  return kFailed;
}

int ChangeMembers(const CommandOptions& options,
                  const std::function<void(json::array&)>& change) {
  auto status = Ask(options.control, http::Verb::get, "/v1/control/status", "");
  if (status.status != 200) {
    return Fail(DetailOf(status));
  }
  auto members = status.body.at("members").as_array();
  change(members);
  auto answer = Ask(options.control, http::Verb::post, "/v1/control/members",
                    json::serialize(members));
  if (answer.status != 202) {
    return Fail(DetailOf(answer));
  }
  std::cout << "the change of members was proposed; see 'status'\n";
  return kDone;
}

}  // namespace

int TableGet(const CommandOptions& options) {
  std::string problem;
  auto table = FetchTable(options, problem);
  if (!table) {
    return Fail(problem);
  }
  if (options.is_json) {
    std::cout << json::serialize(ToJson(*table)) << "\n";
  } else {
    std::cout << "# revision " << table->revision << "\n"
              << table::WriteTableText(table->rows);
  }
  return kDone;
}

int TableDiff(const CommandOptions& options) {
  auto rows = ReadRows(options.file);
  if (!rows) {
    return kFailed;
  }
  std::string problem;
  auto table = FetchTable(options, problem);
  if (!table) {
    return Fail(problem);
  }
  PrintChanges(table::Diff(*table, *rows), *table);
  return kDone;
}

int TableApply(const CommandOptions& options) {
  auto rows = ReadRows(options.file);
  if (!rows) {
    return kFailed;
  }
  std::string problem;
  auto table = FetchTable(options, problem);
  if (!table) {
    return Fail(problem);
  }
  table::Edit edit;
  edit.id = options.edit_id.empty() ? MakeEditId() : options.edit_id;
  edit.author = options.author;
  edit.changes = table::Diff(*table, *rows);
  if (edit.changes.empty()) {
    std::cout << "nothing to change at revision " << table->revision << "\n";
    return kDone;
  }
  return ReportEdit(options, SendEdit(options, edit), edit);
}

int TableHistory(const CommandOptions& options) {
  auto answer = Ask(options.control, http::Verb::get, "/v1/history", "");
  if (answer.status != 200 || !answer.body.is_array()) {
    return Fail(DetailOf(answer));
  }
  if (options.is_json) {
    std::cout << json::serialize(answer.body) << "\n";
    return kDone;
  }
  for (const auto& it : answer.body.as_array()) {
    auto entry = table::HistoryFromJson(it);
    if (!entry) {
      return Fail("a history entry can't be read");
    }
    std::cout << entry->revision << " " << ToUnixMillis(entry->edit.proposed_at)
              << " " << entry->edit.author << " " << entry->edit.id;
    for (const auto& change : entry->edit.changes) {
      std::cout << (change.new_row ? " put " : " remove ") << change.name;
    }
    std::cout << "\n";
  }
  return kDone;
}

int ShowStatus(const CommandOptions& options) {
  json::object all;
  json::array control;
  for (auto host : options.control) {
    std::vector<Endpoint> one{host};
    auto answer = Ask(one, http::Verb::get, "/v1/control/status", "");
    json::object line{{"admin", FormatEndpoint(host)}};
    if (answer.status == 200) {
      line["status"] = answer.body;
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
                       {"revision", RevisionAt(host)}});
  }
  all["control_hosts"] = std::move(control);
  all["entry_hosts"] = std::move(entries);
  if (options.is_json) {
    std::cout << json::serialize(all) << "\n";
    return kDone;
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
  return kDone;
}

int AddControlHost(const CommandOptions& options,
                   uint32_t replica_id,
                   Endpoint admin) {
  return ChangeMembers(options, [&](json::array& members) {
    members.push_back({{"id", replica_id},
                       {"admin", PackEndpoint(admin)},
                       {"is_voter", false},
                       {"instance", 0}});
  });
}

int RemoveControlHost(const CommandOptions& options, uint32_t replica_id) {
  return ChangeMembers(options, [&](json::array& members) {
    for (auto it = members.begin(); it != members.end();) {
      bool is_it = it->at("id").to_number<uint32_t>() == replica_id;
      it = is_it ? members.erase(it) : std::next(it);
    }
  });
}

}  // namespace acaciahold::op
