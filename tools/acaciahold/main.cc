// The acaciahold command: parses the command line, runs a host or an operator's
// command, and returns its exit code.

#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <span>
#include <sstream>
#include <string>
#include <vector>

#include <glog/logging.h>
#include <popt.h>
#include <unistd.h>

#include "acaciahold/Config/settings.h"
#include "acaciahold/Explain/diagnosis.h"
#include "acaciahold/Host/host.h"
#include "acaciahold/Node/node_settings.h"
#include "acaciahold/Operator/commands.h"
#include "acaciahold/Storage/data_folder.h"
#include "config_check.h"
#include "run.h"

namespace acaciahold {
namespace {

constexpr const char* kVersion = "acaciahold 0.1.0";

// Environment variable with the path of the settings file, which is used if the
// command line has no --config.
constexpr const char* kConfigVariable = "ACACIAHOLD_CONFIG";

constexpr const char* kUsage =
    "usage: acaciahold COMMAND [options]\n"
    "\n"
    "  run --config FILE            run a host until SIGTERM\n"
    "      [--tolerated-disk-losses N]\n"
    "                               goes before the field of the settings of "
    "a\n"
    "                               control host; ignored if empty\n"
    "  check --config FILE          check a settings file; the variable\n"
    "                               ACACIAHOLD_CONFIG may name it as well\n"
    "  init --config FILE [--join]  prepare a control host's data folder\n"
    "  table get                    print the service table\n"
    "  table check FILE [--control IP:PORT,...]\n"
    "                               check FILE; with --control also compare "
    "it\n"
    "                               with the table in force\n"
    "  table diff FILE              show what applying FILE would change\n"
    "  table apply FILE             make the table match FILE\n"
    "  table history                show accepted edits\n"
    "  status                       show control and entry hosts\n"
    "  explain --caller IP:PORT [--listener IP:PORT] [--at MS] LOG...\n"
    "                               the history of a flow, and why it failed;\n"
    "                               MS: failure time, Unix milliseconds\n"
    "  control add --replica-id N --admin IP:PORT\n"
    "  control remove --replica-id N\n"
    "\n"
    "options of the commands that talk to hosts:\n"
    "  --control IP:PORT[,...]      admin endpoints of control hosts\n"
    "  --json                       output for scripts\n"
    "  --min-revision N             get: refuse an older table\n"
    "  --author NAME, --edit-id ID  apply: recorded with the edit\n"
    "  --no-wait                    apply: return once accepted\n"
    "\n"
    "exit codes: 0 done, 1 refused or failed, 2 bad usage or settings\n";

// The parsed command line.
struct CommandLine {
  // The command, followed by its subcommand and files.
  std::vector<std::string> positional;
  std::string config;
  std::string control;
  std::string admin;
  std::string author;
  std::string edit_id;
  std::string caller;
  std::string listener;
  std::string tolerated_disk_losses;
  long at_ms = 0;
  long min_revision = 0;
  int replica_id = 0;
  bool is_json = false;
  bool joins_group = false;
  bool waits_for_rollout = true;
  bool show_help = false;
  bool show_version = false;
};

int BadUsage(const std::string& text) {
  std::cerr << "acaciahold: " << text << "; see 'acaciahold --help'\n";
  return op::kExitUsageError;
}

// Copies a string that popt allocated, and frees it. Null gives an empty
// string.
std::string TakeString(char* text) {
  std::string copy = text ? text : "";
  std::free(text);
  return copy;
}

// Parses the command line. If an option is invalid, prints an error and returns
// the exit code.
std::optional<int> ParseCommandLine(int argc,
                                    const char** argv,
                                    CommandLine& command_line) {
  char* config = nullptr;
  char* control = nullptr;
  char* admin = nullptr;
  char* author = nullptr;
  char* edit_id = nullptr;
  char* caller = nullptr;
  char* listener = nullptr;
  char* tolerated_disk_losses = nullptr;
  int json = 0;
  int join = 0;
  int no_wait = 0;
  int help = 0;
  int version = 0;
  const poptOption options[] = {
      {"config", 'c', POPT_ARG_STRING, &config, 0, nullptr, nullptr},
      {"control", 0, POPT_ARG_STRING, &control, 0, nullptr, nullptr},
      {"admin", 0, POPT_ARG_STRING, &admin, 0, nullptr, nullptr},
      {"author", 0, POPT_ARG_STRING, &author, 0, nullptr, nullptr},
      {"edit-id", 0, POPT_ARG_STRING, &edit_id, 0, nullptr, nullptr},
      {"caller", 0, POPT_ARG_STRING, &caller, 0, nullptr, nullptr},
      {"listener", 0, POPT_ARG_STRING, &listener, 0, nullptr, nullptr},
      {"tolerated-disk-losses", 0, POPT_ARG_STRING, &tolerated_disk_losses, 0,
       nullptr, nullptr},
      {"at", 0, POPT_ARG_LONG, &command_line.at_ms, 0, nullptr, nullptr},
      {"min-revision", 0, POPT_ARG_LONG, &command_line.min_revision, 0, nullptr,
       nullptr},
      {"replica-id", 0, POPT_ARG_INT, &command_line.replica_id, 0, nullptr,
       nullptr},
      {"json", 0, POPT_ARG_NONE, &json, 0, nullptr, nullptr},
      {"join", 0, POPT_ARG_NONE, &join, 0, nullptr, nullptr},
      {"no-wait", 0, POPT_ARG_NONE, &no_wait, 0, nullptr, nullptr},
      {"help", 'h', POPT_ARG_NONE, &help, 0, nullptr, nullptr},
      {"version", 0, POPT_ARG_NONE, &version, 0, nullptr, nullptr},
      POPT_TABLEEND};
  poptContext context = poptGetContext("acaciahold", argc, argv, options, 0);
  int code = poptGetNextOpt(context);
  std::string option_error;
  if (code < -1) {
    option_error =
        std::string(poptBadOption(context, 0)) + ": " + poptStrerror(code);
  }
  while (const char* argument = poptGetArg(context)) {
    command_line.positional.emplace_back(argument);
  }
  poptFreeContext(context);
  const char* config_variable = std::getenv(kConfigVariable);
  command_line.config = TakeString(config);
  if (command_line.config.empty() && config_variable) {
    command_line.config = config_variable;
  }
  command_line.control = TakeString(control);
  command_line.admin = TakeString(admin);
  command_line.author = TakeString(author);
  command_line.edit_id = TakeString(edit_id);
  command_line.caller = TakeString(caller);
  command_line.listener = TakeString(listener);
  command_line.tolerated_disk_losses = TakeString(tolerated_disk_losses);
  command_line.is_json = json != 0;
  command_line.joins_group = join != 0;
  command_line.waits_for_rollout = no_wait == 0;
  command_line.show_help = help != 0;
  command_line.show_version = version != 0;
  if (!option_error.empty()) {
    return BadUsage(option_error);
  }
  return std::nullopt;
}

// Reads the settings file with `read`. If the settings are invalid or can't be
// read, prints all errors and returns no value.
template <typename Settings, typename Read>
std::optional<Settings> LoadSettings(const std::string& path, Read read) {
  std::optional<Settings> settings;
  leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(file, read(path));
        for (const auto& error : file.errors) {
          std::cerr << Describe(error) << "\n";
        }
        if (file.errors.empty()) {
          settings = std::move(file.settings);
        }
        return {};
      },
      [](const FieldError& e) { std::cerr << Describe(e) << "\n"; },
      [](const SystemError& e) { std::cerr << Describe(e) << "\n"; },
      [] { std::cerr << "the settings can't be read\n"; });
  return settings;
}

std::optional<config::Settings> LoadHostSettings(const std::string& path) {
  return LoadSettings<config::Settings>(path, config::ReadSettings);
}

std::optional<node::NodeSettings> LoadNodeSettings(const std::string& path) {
  return LoadSettings<node::NodeSettings>(path, node::ReadNodeSettings);
}

// Runs the action and returns its exit code. If it fails, prints the error and
// returns op::kExitFailure.
int RunOrReportError(const std::function<Result<int>()>& action) {
  return leaf::try_handle_all(
      action,
      [](const SystemError& e) {
        std::cerr << "acaciahold: " << Describe(e) << "\n";
        return op::kExitFailure;
      },
      [](const CorruptionError& e) {
        std::cerr << "acaciahold: " << Describe(e) << "\n";
        return op::kExitFailure;
      },
      [](const FieldError& e) {
        std::cerr << "acaciahold: " << Describe(e) << "\n";
        return op::kExitFailure;
      },
      [] {
        std::cerr << "acaciahold: unexpected failure\n";
        return op::kExitFailure;
      });
}

// Reads the number into the settings. Returns whether it is valid.
bool TakeDiskLosses(std::string_view text, node::NodeSettings& settings) {
  uint32_t losses = 0;
  auto [end, ec] =
      std::from_chars(text.data(), text.data() + text.size(), losses);
  if (ec != std::errc() || end != text.data() + text.size() ||
      losses > node::kMaxToleratedDiskLosses) {
    return false;
  }
  settings.tolerated_disk_losses = losses;
  return true;
}

int RunNode(const CommandLine& command_line) {
  auto settings = LoadNodeSettings(command_line.config);
  if (!settings) {
    return op::kExitUsageError;
  }
  const auto& losses = command_line.tolerated_disk_losses;
  if (!losses.empty() && !TakeDiskLosses(losses, *settings)) {
    return BadUsage("--tolerated-disk-losses: '" + losses +
                    "' is no number from 0 to " +
                    std::to_string(node::kMaxToleratedDiskLosses));
  }
  return RunOrReportError(
      [&] { return platform::RunNode(*settings, command_line.config); });
}

// Runs a host on the platform if the settings file has a field `node`, and
// otherwise a host with the roles in its settings.
int Run(const CommandLine& command_line) {
  if (node::IsNodeSettings(command_line.config)) {
    return RunNode(command_line);
  }
  if (!command_line.tolerated_disk_losses.empty()) {
    return BadUsage(
        "--tolerated-disk-losses is for settings with the field 'node'");
  }
  auto settings = LoadHostSettings(command_line.config);
  if (!settings) {
    return op::kExitUsageError;
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging("acaciahold");
  return RunOrReportError([&] { return host::RunHost(*settings); });
}

int Check(const CommandLine& command_line) {
  bool is_valid = node::IsNodeSettings(command_line.config)
                      ? LoadNodeSettings(command_line.config).has_value()
                      : LoadHostSettings(command_line.config).has_value();
  if (!is_valid) {
    return op::kExitUsageError;
  }
  std::cout << command_line.config << ": no faults\n";
  return op::kExitSuccess;
}

int Init(const CommandLine& command_line) {
  auto settings = LoadHostSettings(command_line.config);
  if (!settings) {
    return op::kExitUsageError;
  }
  if (!settings->is_control) {
    return BadUsage("init is for hosts with the control role");
  }
  std::vector<consensus::Member> members;
  if (!command_line.joins_group) {
    for (const auto& peer : settings->control_hosts) {
      members.push_back({peer.replica_id, peer.admin, true, 0});
    }
  }
  return RunOrReportError([&]() -> Result<int> {
    std::random_device device;
    uint64_t instance = (uint64_t{device()} << 32U) | device();
    BOOST_LEAF_CHECK(storage::DataFolder::Initialize(
        settings->control.data_folder, settings->control.replica_id, instance,
        members));
    return op::kExitSuccess;
  });
}

// Returns no value if --control lists an invalid endpoint, or none although the
// command needs hosts.
std::optional<op::CommandOptions> MakeCommandOptions(
    const CommandLine& command_line,
    bool needs_hosts) {
  op::CommandOptions options;
  std::string remaining = command_line.control;
  while (!remaining.empty()) {
    auto comma = remaining.find(',');
    auto endpoint = ParseEndpoint(remaining.substr(0, comma));
    if (!endpoint) {
      return std::nullopt;
    }
    options.control.push_back(*endpoint);
    remaining = comma == std::string::npos ? "" : remaining.substr(comma + 1);
  }
  if (options.control.empty() && needs_hosts) {
    return std::nullopt;
  }
  const char* user = std::getenv("USER");
  options.author = command_line.author.empty() ? (user ? user : "operator")
                                               : command_line.author;
  options.edit_id = command_line.edit_id;
  options.min_revision = static_cast<uint64_t>(command_line.min_revision);
  options.is_json = command_line.is_json;
  options.waits_for_rollout = command_line.waits_for_rollout;
  return options;
}

// Returns the word after the command, or an empty string.
std::string Subcommand(const CommandLine& command_line) {
  return command_line.positional.size() > 1 ? command_line.positional[1] : "";
}

// Checks a table of services, or a configuration of the platform.
int CheckTable(const op::CommandOptions& options) {
  std::ifstream in(options.file);
  std::stringstream text;
  text << in.rdbuf();
  if (!platform::IsConfigText(text.str())) {
    return op::TableCheck(options);
  }
  if (!options.control.empty()) {
    return BadUsage("table check compares only tables of services with hosts");
  }
  return op::PrintReport(options.file,
                         platform::CheckConfig(options.file, text.str()));
}

int RunTable(const CommandLine& command_line, op::CommandOptions options) {
  auto subcommand = Subcommand(command_line);
  if (subcommand == "get") {
    return op::TableGet(options);
  }
  if (subcommand == "history") {
    return op::TableHistory(options);
  }
  if (subcommand != "check" && subcommand != "diff" && subcommand != "apply") {
    return BadUsage("table requires get, check, diff, apply or history");
  }
  if (command_line.positional.size() != 3) {
    return BadUsage("table " + subcommand + " requires one FILE");
  }
  options.file = command_line.positional[2];
  if (subcommand == "check") {
    return CheckTable(options);
  }
  return subcommand == "diff" ? op::TableDiff(options)
                              : op::TableApply(options);
}

int RunControl(const CommandLine& command_line,
               const op::CommandOptions& options) {
  auto subcommand = Subcommand(command_line);
  if (command_line.replica_id <= 0) {
    return BadUsage("control requires --replica-id N above 0");
  }
  auto id = static_cast<uint32_t>(command_line.replica_id);
  if (subcommand == "remove") {
    return op::RemoveControlHost(options, id);
  }
  auto admin = ParseEndpoint(command_line.admin);
  if (subcommand != "add" || !admin) {
    return BadUsage("control requires add with --admin IP:PORT, or remove");
  }
  return op::AddControlHost(options, id, *admin);
}

// Reads the events of all log files. If a file can't be opened, prints an error
// and returns no value.
std::optional<std::vector<explain::LogLine>> ReadLogs(
    std::span<const std::string> paths) {
  std::vector<explain::LogLine> lines;
  for (const auto& path : paths) {
    std::ifstream in(path);
    if (!in) {
      std::cerr << "acaciahold: " << path << ": can't be read\n";
      return std::nullopt;
    }
    auto file = explain::ReadLogFile(in);
    if (file.skipped_lines > 0) {
      std::cerr << path << ": " << file.skipped_lines
                << " lines skipped because they are not events\n";
    }
    std::move(file.lines.begin(), file.lines.end(), std::back_inserter(lines));
  }
  return lines;
}

int RunExplain(const CommandLine& command_line) {
  bool is_valid =
      ParseEndpoint(command_line.caller) &&
      (command_line.listener.empty() || ParseEndpoint(command_line.listener));
  if (!is_valid || command_line.positional.size() < 2) {
    return BadUsage("explain requires --caller IP:PORT and at least one LOG");
  }
  auto lines = ReadLogs(std::span(command_line.positional).subspan(1));
  if (!lines) {
    return op::kExitFailure;
  }
  explain::FlowQuery query{command_line.caller, command_line.listener,
                           std::nullopt};
  if (command_line.at_ms > 0) {
    query.at_ms = command_line.at_ms;
  }
  auto diagnosis = explain::DiagnoseFlow(*lines, query);
  std::cout << explain::FormatDiagnosis(diagnosis);
  return diagnosis.cause == explain::Cause::kNotSeen ? op::kExitFailure
                                                     : op::kExitSuccess;
}

int RunCommand(const CommandLine& command_line) {
  const auto& command = command_line.positional.front();
  if (command == "run" || command == "check" || command == "init") {
    if (command_line.config.empty()) {
      return BadUsage(command + " requires --config FILE or " +
                      kConfigVariable);
    }
    if (command == "run") {
      return Run(command_line);
    }
    return command == "check" ? Check(command_line) : Init(command_line);
  }
  if (command == "explain") {
    return RunExplain(command_line);
  }
  if (command != "table" && command != "status" && command != "control") {
    return BadUsage("unknown command '" + command + "'");
  }
  bool needs_hosts = command != "table" || Subcommand(command_line) != "check";
  auto options = MakeCommandOptions(command_line, needs_hosts);
  if (!options) {
    return BadUsage("missing or invalid --control IP:PORT[,...]");
  }
  if (command == "table") {
    return RunTable(command_line, *options);
  }
  if (command == "control") {
    return RunControl(command_line, *options);
  }
  return op::ShowStatus(*options);
}

// Runs the command and returns its exit code.
int Main(int argc, const char** argv) {
  CommandLine command_line;
  if (auto code = ParseCommandLine(argc, argv, command_line)) {
    return *code;
  }
  if (command_line.show_version) {
    std::cout << kVersion << "\n";
    return op::kExitSuccess;
  }
  if (command_line.show_help) {
    std::cout << kUsage;
    return op::kExitSuccess;
  }
  if (command_line.positional.empty()) {
    std::cerr << kUsage;
    return op::kExitUsageError;
  }
  return RunCommand(command_line);
}

}  // namespace
}  // namespace acaciahold

int main(int argc, char** argv) {
  return acaciahold::Main(argc, const_cast<const char**>(argv));
}
