// The command that checks a table before it is sent.

#include <fstream>
#include <iostream>
#include <iterator>
#include <set>

#include "acaciahold/Operator/commands.h"
#include "acaciahold/Table/table_check.h"
#include "acaciahold/Table/table_yaml.h"
#include "requests.h"

namespace acaciahold::op {
namespace {

void Append(std::vector<FieldError>& to, std::vector<FieldError> from) {
  std::move(from.begin(), from.end(), std::back_inserter(to));
}

// Returns the revision in the file's first line, or nothing.
std::optional<uint64_t> BaseRevision(const std::string& path) {
  std::ifstream in(path);
  std::string line;
  std::getline(in, line);
  return table::RevisionOfText(line);
}

void PrintOutcome(const table::EditOutcome& outcome) {
  std::cout << "an apply would be " << table::VerdictName(outcome.verdict);
  if (outcome.verdict == table::EditVerdict::kAccepted) {
    std::cout << " as revision " << outcome.revision;
  }
  std::cout << "\n";
}

// Adds the findings that need the hosts, and prints what differs from the table
// in force. Returns whether that table is known.
bool CompareWithHosts(const CommandOptions& options,
                      const table::TableFile& file,
                      table::CheckReport& report) {
  std::string error_text;
  auto table = FetchTable(options, error_text);
  if (!table) {
    PrintError(error_text);
    return false;
  }
  std::set<std::string> domains;
  for (const auto& host : FetchHosts(options)) {
    if (host.state != "left") {
      domains.insert(host.failure_domain);
    }
  }
  Append(report.warnings, table::FindDomainsWithoutHosts(file, domains));
  auto changes = table::Diff(*table, file.rows);
  PrintChanges(changes, *table);
  if (auto revision = BaseRevision(options.file)) {
    Append(report.warnings, table::FindUndoneChanges(file, changes, *revision));
  }
  if (changes.empty()) {
    std::cout << "nothing to change at revision " << table->revision << "\n";
    return true;
  }
  auto outcome = table::TryChanges(*table, std::move(changes));
  PrintOutcome(outcome);
  Append(report.errors, std::move(outcome.errors));
  return true;
}

}  // namespace

int PrintReport(const std::string& file, const table::CheckReport& report) {
  for (const auto& error : report.errors) {
    std::cerr << Describe(error) << "\n";
  }
  for (const auto& warning : report.warnings) {
    std::cerr << "warning: " << Describe(warning) << "\n";
  }
  std::cout << file << ": " << report.errors.size() << " errors, "
            << report.warnings.size() << " warnings\n";
  return report.errors.empty() ? kExitSuccess : kExitFailure;
}

int TableCheck(const CommandOptions& options) {
  return leaf::try_handle_all(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(file, table::ReadTableFile(options.file));
        auto report = table::CheckFile(file);
        bool is_whole = true;
        if (report.errors.empty() && !options.control.empty()) {
          is_whole = CompareWithHosts(options, file, report);
        }
        int code = PrintReport(options.file, report);
        return is_whole ? code : kExitFailure;
      },
      [&](const FieldError& e) {
        return PrintReport(options.file, {.errors = {e}, .warnings = {}});
      },
      [](const SystemError& e) { return PrintError(Describe(e)); },
      [] { return PrintError("can't read the table file"); });
}

}  // namespace acaciahold::op
