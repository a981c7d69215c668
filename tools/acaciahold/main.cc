// The acaciahold command: reads its words, runs a host or an operators'
// command, and turns the outcome into an exit code.

#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <span>
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
#include "run.h"

namespace acaciahold {
namespace {

constexpr const char* kVersion = "acaciahold 0.1.0";

// Names the settings file where the command line does not.
constexpr const char* kConfigVariable = "ACACIAHOLD_CONFIG";

constexpr const char* kUsage =
    "usage: acaciahold COMMAND [options]\n"
    "\n"
    "  run --config FILE            run a host until SIGTERM\n"
    "  check --config FILE          check a settings file; the variable\n"
    "                               ACACIAHOLD_CONFIG may name it as well\n"
    "  init --config FILE [--join]  prepare a control host's data folder\n"
    "  table get                    print the service table\n"
    "  table diff FILE              show what applying FILE would change\n"
    "  table apply FILE             make the table as FILE says\n"
    "  table history                show accepted edits\n"
    "  status                       show control and entry hosts\n"
    "  explain --caller IP:PORT [--listener IP:PORT] [--at MS] LOG...\n"
    "                               the story of a flow, and why it failed;\n"
    "                               MS: of the failure, Unix milliseconds\n"
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

// What the command line says.
struct Words {
  std::vector<std::string> commands;
  std::string config;
  std::string control;
  std::string admin;
  std::string author;
  std::string edit_id;
  std::string caller;
  std::string listener;
  long at_ms = 0;
  long min_revision = 0;
  int replica_id = 0;
  bool is_json = false;
  bool is_join = false;
  bool is_waiting = true;
  bool wants_help = false;
  bool wants_version = false;
};

int BadUsage(const std::string& text) {
  std::cerr << "acaciahold: " << text << "; see 'acaciahold --help'\n";
  return op::kBadUsage;
}

std::string TextOf(char* text) {
  std::string copy = text ? text : "";
  std::free(text);
  return copy;
}

// Reads the words; returns an exit code where they make no sense.
std::optional<int> ParseWords(int argc, const char** argv, Words& words) {
  char* config = nullptr;
  char* control = nullptr;
  char* admin = nullptr;
  char* author = nullptr;
  char* edit_id = nullptr;
  char* caller = nullptr;
  char* listener = nullptr;
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
      {"at", 0, POPT_ARG_LONG, &words.at_ms, 0, nullptr, nullptr},
      {"min-revision", 0, POPT_ARG_LONG, &words.min_revision, 0, nullptr,
       nullptr},
      {"replica-id", 0, POPT_ARG_INT, &words.replica_id, 0, nullptr, nullptr},
      {"json", 0, POPT_ARG_NONE, &json, 0, nullptr, nullptr},
      {"join", 0, POPT_ARG_NONE, &join, 0, nullptr, nullptr},
      {"no-wait", 0, POPT_ARG_NONE, &no_wait, 0, nullptr, nullptr},
      {"help", 'h', POPT_ARG_NONE, &help, 0, nullptr, nullptr},
      {"version", 0, POPT_ARG_NONE, &version, 0, nullptr, nullptr},
      POPT_TABLEEND};
  poptContext context = poptGetContext("acaciahold", argc, argv, options, 0);
  int code = poptGetNextOpt(context);
  std::string fault;
  if (code < -1) {
    fault = std::string(poptBadOption(context, 0)) + ": " + poptStrerror(code);
  }
  while (const char* word = poptGetArg(context)) {
    words.commands.emplace_back(word);
  }
  poptFreeContext(context);
  const char* config_variable = std::getenv(kConfigVariable);
  words.config = TextOf(config);
  if (words.config.empty() && config_variable) {
    words.config = config_variable;
  }
  words.control = TextOf(control);
  words.admin = TextOf(admin);
  words.author = TextOf(author);
  words.edit_id = TextOf(edit_id);
  words.caller = TextOf(caller);
  words.listener = TextOf(listener);
  words.is_json = json != 0;
  words.is_join = join != 0;
  words.is_waiting = no_wait == 0;
  words.wants_help = help != 0;
  words.wants_version = version != 0;
  if (!fault.empty()) {
    return BadUsage(fault);
  }
  return std::nullopt;
}

// Settings of the file as `read` takes them; prints every fault.
template <typename Settings, typename Read>
std::optional<Settings> LoadSettings(const std::string& path, Read read) {
  std::optional<Settings> settings;
  leaf::try_handle_all(
      [&]() -> Result<void> {
        BOOST_LEAF_AUTO(file, read(path));
        for (const auto& fault : file.faults) {
          std::cerr << Describe(fault) << "\n";
        }
        if (file.faults.empty()) {
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

int Guarded(const std::function<Result<int>()>& action) {
  return leaf::try_handle_all(
      action,
      [](const SystemError& e) {
        std::cerr << "acaciahold: " << Describe(e) << "\n";
        return op::kFailed;
      },
      [](const CorruptionError& e) {
        std::cerr << "acaciahold: " << Describe(e) << "\n";
        return op::kFailed;
      },
      [](const FieldError& e) {
        std::cerr << "acaciahold: " << Describe(e) << "\n";
        return op::kFailed;
      },
      [] {
        std::cerr << "acaciahold: unexpected failure\n";
        return op::kFailed;
      });
}

int RunNode(const Words& words) {
  auto settings = LoadNodeSettings(words.config);
  if (!settings) {
    return op::kBadUsage;
  }
  return Guarded([&] { return platform::RunNode(*settings, words.config); });
}

int Run(const Words& words) {
  if (node::IsNodeSettings(words.config)) {
    return RunNode(words);
  }
  auto settings = LoadHostSettings(words.config);
  if (!settings) {
    return op::kBadUsage;
  }
  FLAGS_logtostderr = true;
  google::InitGoogleLogging("acaciahold");
  return Guarded([&] { return host::RunHost(*settings); });
}

int Check(const Words& words) {
  bool is_good = node::IsNodeSettings(words.config)
                     ? LoadNodeSettings(words.config).has_value()
                     : LoadHostSettings(words.config).has_value();
  if (!is_good) {
    return op::kBadUsage;
  }
  std::cout << words.config << ": no faults\n";
  return op::kDone;
}

int Init(const Words& words) {
  auto settings = LoadHostSettings(words.config);
  if (!settings) {
    return op::kBadUsage;
  }
  if (!settings->is_control) {
    return BadUsage("init is for hosts with the control role");
  }
  std::vector<consensus::Member> members;
  if (!words.is_join) {
    for (const auto& peer : settings->control_hosts) {
      members.push_back({peer.replica_id, peer.admin, true, 0});
    }
  }
  return Guarded([&]() -> Result<int> {
    std::random_device device;
    uint64_t instance = (uint64_t{device()} << 32U) | device();
    BOOST_LEAF_CHECK(storage::DataFolder::Initialize(
        settings->control.data_folder, settings->control.replica_id, instance,
        members));
    return op::kDone;
  });
}

std::optional<op::CommandOptions> OptionsFrom(const Words& words) {
  op::CommandOptions options;
  std::string rest = words.control;
  while (!rest.empty()) {
    auto comma = rest.find(',');
    auto endpoint = ParseEndpoint(rest.substr(0, comma));
    if (!endpoint) {
      return std::nullopt;
    }
    options.control.push_back(*endpoint);
    rest = comma == std::string::npos ? "" : rest.substr(comma + 1);
  }
  if (options.control.empty()) {
    return std::nullopt;
  }
  const char* user = std::getenv("USER");
  options.author =
      words.author.empty() ? (user ? user : "operator") : words.author;
  options.edit_id = words.edit_id;
  options.min_revision = static_cast<uint64_t>(words.min_revision);
  options.is_json = words.is_json;
  options.is_waiting = words.is_waiting;
  return options;
}

int RunTable(const Words& words, op::CommandOptions options) {
  std::string verb = words.commands.size() > 1 ? words.commands[1] : "";
  if (verb == "get") {
    return op::TableGet(options);
  }
  if (verb == "history") {
    return op::TableHistory(options);
  }
  if (verb != "diff" && verb != "apply") {
    return BadUsage("table wants get, diff, apply or history");
  }
  if (words.commands.size() != 3) {
    return BadUsage("table " + verb + " wants one FILE");
  }
  options.file = words.commands[2];
  return verb == "diff" ? op::TableDiff(options) : op::TableApply(options);
}

int RunControl(const Words& words, const op::CommandOptions& options) {
  std::string verb = words.commands.size() > 1 ? words.commands[1] : "";
  if (words.replica_id <= 0) {
    return BadUsage("control wants --replica-id N above 0");
  }
  auto id = static_cast<uint32_t>(words.replica_id);
  if (verb == "remove") {
    return op::RemoveControlHost(options, id);
  }
  auto admin = ParseEndpoint(words.admin);
  if (verb != "add" || !admin) {
    return BadUsage("control wants add with --admin IP:PORT, or remove");
  }
  return op::AddControlHost(options, id, *admin);
}

// Reads all events of the files; nothing where one can't be read.
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
    if (file.malformed_lines > 0) {
      std::cerr << path << ": " << file.malformed_lines
                << " lines are no events\n";
    }
    std::move(file.lines.begin(), file.lines.end(), std::back_inserter(lines));
  }
  return lines;
}

int RunExplain(const Words& words) {
  bool is_good = ParseEndpoint(words.caller) &&
                 (words.listener.empty() || ParseEndpoint(words.listener));
  if (!is_good || words.commands.size() < 2) {
    return BadUsage("explain wants --caller IP:PORT and one LOG or more");
  }
  auto lines = ReadLogs(std::span(words.commands).subspan(1));
  if (!lines) {
    return op::kFailed;
  }
  explain::FlowQuery query{words.caller, words.listener, std::nullopt};
  if (words.at_ms > 0) {
    query.at_ms = words.at_ms;
  }
  auto diagnosis = explain::DiagnoseFlow(*lines, query);
  std::cout << explain::FormatDiagnosis(diagnosis);
  return diagnosis.cause == explain::Cause::kNotSeen ? op::kFailed : op::kDone;
}

int RunCommand(const Words& words) {
  const auto& command = words.commands.front();
  if (command == "run" || command == "check" || command == "init") {
    if (words.config.empty()) {
      return BadUsage(command + " wants --config FILE or " + kConfigVariable);
    }
    if (command == "run") {
      return Run(words);
    }
    return command == "check" ? Check(words) : Init(words);
  }
  if (command == "explain") {
    return RunExplain(words);
  }
  if (command != "table" && command != "status" && command != "control") {
    return BadUsage("unknown command '" + command + "'");
  }
  auto options = OptionsFrom(words);
  if (!options) {
    return BadUsage("wanted --control IP:PORT[,...]");
  }
  if (command == "table") {
    return RunTable(words, *options);
  }
  if (command == "control") {
    return RunControl(words, *options);
  }
  return op::ShowStatus(*options);
}

// The whole command; returns the exit code.
int Main(int argc, const char** argv) {
  Words words;
  if (auto code = ParseWords(argc, argv, words)) {
    return *code;
  }
  if (words.wants_version) {
    std::cout << kVersion << "\n";
    return op::kDone;
  }
  if (words.wants_help) {
    std::cout << kUsage;
    return op::kDone;
  }
  if (words.commands.empty()) {
    std::cerr << kUsage;
    return op::kBadUsage;
  }
  return RunCommand(words);
}

}  // namespace
}  // namespace acaciahold

int main(int argc, char** argv) {
  return acaciahold::Main(argc, const_cast<const char**>(argv));
}
