// Starting, routing and stopping of one process.

#include "acaciahold/Host/host.h"

#include <charconv>
#include <thread>
#include <vector>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <glog/logging.h>

#include "acaciahold/Host/control_shell.h"
#include "acaciahold/Host/entry_shell.h"
#include "acaciahold/Host/request_shell.h"
#include "acaciahold/Http/server.h"
#include "acaciahold/Observe/history.h"
#include "acaciahold/Observe/tracing.h"
#include "acaciahold/Table/table_json.h"
#include "host_metrics.h"

namespace acaciahold::host {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using http::Response;
using http::Status;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr uint64_t kMaxAdminBodyBytes = 64ULL << 20U;
constexpr std::chrono::milliseconds kShutdownPoll{20};

// Everything that a running process owns. Members that others refer to stand
// first, so that they go last.
struct Process {
  explicit Process(const config::Settings& from)
      : settings(from), io(static_cast<int>(from.threads)), client(io) {}

  const config::Settings& settings;
  asio::io_context io;
  http::Client client;
  std::shared_ptr<opentracing::Tracer> tracer;
  std::unique_ptr<observe::History> history;
  std::unique_ptr<ControlShell> control;
  std::unique_ptr<EntryShell> entry;
  std::unique_ptr<RequestShell> requests;
  std::shared_ptr<http::Server> admin_server;
  std::shared_ptr<http::Server> caller_server;
  int signals_seen = 0;
  int exit_code = 0;
};

// The newest table that this process knows, whatever its roles.
table::ServiceTable NewestTable(Process& process) {
  table::ServiceTable table;
  if (process.control) {
    table = process.control->CurrentTable();
  }
  if (process.entry) {
    auto other = entry::CopyServiceTable(process.entry->entry());
    if (other.revision > table.revision) {
      return other;
    }
  }
  return table;
}

uint64_t NumberIn(std::string_view target, std::string_view name) {
  auto text = http::QueryParameter(target, name);
  uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

Response OnTable(Process& process, std::string_view target) {
  auto table = NewestTable(process);
  if (table.revision < NumberIn(target, "min_revision")) {
    return http::MakeProblem(
        Status::precondition_failed, "revision-not-reached",
        "this host does not know the revision yet",
        "it is at revision " + std::to_string(table.revision));
  }
  if (!http::QueryParameter(target, "after").empty() &&
      table.revision <= NumberIn(target, "after")) {
    return http::MakeResponse(Status::not_modified, "");
  }
  return http::MakeResponse(Status::ok, json::serialize(ToJson(table)));
}

Response OnMetrics(Process& process) {
  MetricSources sources;
  sources.entry = process.entry ? &process.entry->entry() : nullptr;
  sources.requests = process.requests.get();
  sources.caller_server = process.caller_server.get();
  sources.admin_server = process.admin_server.get();
  return http::MakeResponse(Status::ok, MetricsText(sources),
                            "text/plain; version=0.0.4");
}

json::value HostLine(std::string_view name,
                     std::string_view failure_domain,
                     Endpoint admin,
                     std::string_view state) {
  return {{"name", name},
          {"failure_domain", failure_domain},
          {"admin", FormatEndpoint(admin)},
          {"state", state}};
}

// The entry hosts that this process knows: by probes, or from its settings.
Response OnHosts(Process& process) {
  json::array hosts;
  if (process.entry) {
    auto& control = process.entry->entry().control;
    std::lock_guard lock(control.mutex);
    for (const auto& it : membership::Snapshot(control.membership)) {
      hosts.push_back(HostLine(it.host.name, it.host.failure_domain,
                               it.host.admin, membership::StateName(it.state)));
    }
  } else {
    for (const auto& it : process.settings.entry_hosts) {
      hosts.push_back(
          HostLine(it.name, it.failure_domain, it.admin, "configured"));
    }
  }
  return http::MakeResponse(Status::ok, json::serialize(hosts));
}

asio::awaitable<Response> HandleAdmin(Process& process, http::Request request) {
  std::string_view target(request.target().data(), request.target().size());
  auto path = http::PathOf(target);
  if (path == "/metrics") {
    co_return OnMetrics(process);
  }
  if (path == "/v1/table") {
    co_return OnTable(process, target);
  }
  if (path == "/v1/hosts") {
    co_return OnHosts(process);
  }
  if (process.requests) {
    if (auto response = co_await process.requests->HandleRelay(request)) {
      co_return std::move(*response);
    }
  }
  if (process.entry) {
    if (auto response = process.entry->Handle(request)) {
      co_return std::move(*response);
    }
  }
  if (process.control) {
    if (auto response = co_await process.control->Handle(request)) {
      co_return std::move(*response);
    }
  }
  co_return http::MakeProblem(Status::not_found, "unknown-path",
                              "nothing is at this path", "");
}

Result<void> OpenEntry(Process& process) {
  BOOST_LEAF_ASSIGN(process.entry,
                    EntryShell::Open(process.io, process.client,
                                     process.settings, process.tracer));
  process.requests = std::make_unique<RequestShell>(
      process.io, process.client, process.entry->entry(),
      process.settings.entry.max_open_requests, process.tracer,
      process.history.get());
  http::ServerLimits limits;
  limits.max_body_bytes = process.settings.entry.max_body_bytes;
  BOOST_LEAF_ASSIGN(
      process.caller_server,
      http::Server::Listen(process.io, process.settings.entry.requests, limits,
                           [&process](http::Request request) {
                             return process.requests->HandleCaller(
                                 std::move(request));
                           }));
  return {};
}

Result<void> OpenProcess(Process& process) {
  const auto& settings = process.settings;
  BOOST_LEAF_ASSIGN(process.tracer, observe::MakeTracer(settings.trace_file));
  if (!settings.history_file.empty()) {
    BOOST_LEAF_ASSIGN(process.history,
                      observe::History::Open(settings.history_file));
  }
  if (settings.is_control) {
    BOOST_LEAF_ASSIGN(process.control,
                      ControlShell::Open(process.io, process.client, settings));
  }
  if (settings.is_entry) {
    BOOST_LEAF_CHECK(OpenEntry(process));
  }
  http::ServerLimits limits;
  limits.max_body_bytes = kMaxAdminBodyBytes;
  BOOST_LEAF_ASSIGN(process.admin_server,
                    http::Server::Listen(process.io, settings.admin, limits,
                                         [&process](http::Request request) {
                                           return HandleAdmin(
                                               process, std::move(request));
                                         }));
  return {};
}

void StartProcess(Process& process) {
  if (process.control) {
    process.control->Start([&process](const table::ServiceTable& table) {
      if (process.entry) {
        process.entry->OnTable(table);
      }
    });
  }
  if (process.entry) {
    process.entry->Start();
    process.requests->Start();
    process.caller_server->Start();
  }
  process.admin_server->Start();
  LOG(INFO) << "host " << process.settings.name << " in failure domain "
            << process.settings.failure_domain << " is serving";
}

// Lets open requests end; new ones are refused and peers take over the rest.
asio::awaitable<void> ShutDown(Process& process) {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  if (process.entry) {
    process.entry->Leave();
    timer.expires_after(kLeaveDelay);
    co_await timer.async_wait(kToken);
    process.requests->BeginShutdown();
    Instant deadline = ReadClock() + Duration(kShutdownTimeout);
    while (process.requests->open_requests() > 0 && ReadClock() < deadline) {
      timer.expires_after(kShutdownPoll);
      co_await timer.async_wait(kToken);
    }
    uint64_t cut = process.requests->open_requests();
    if (cut > 0) {
      LOG(WARNING) << "shutdown cuts " << cut << " open requests";
      process.exit_code = 1;
    }
    process.caller_server->Stop();
  }
  // Answers that are being written have their time.
  timer.expires_after(kLeaveDelay);
  co_await timer.async_wait(kToken);
  LOG(INFO) << "host " << process.settings.name << " has left";
  process.io.stop();
}

asio::awaitable<void> AwaitSignals(Process& process) {
  asio::signal_set signals(co_await asio::this_coro::executor, SIGTERM, SIGINT);
  while (true) {
    auto [ec, number] = co_await signals.async_wait(kToken);
    if (ec) {
      co_return;
    }
    if (++process.signals_seen == 1) {
      LOG(INFO) << "host " << process.settings.name << " leaves";
      asio::co_spawn(process.io, ShutDown(process), asio::detached);
      continue;
    }
    uint64_t cut = process.requests ? process.requests->open_requests() : 0;
    LOG(WARNING) << "second signal: cuts " << cut << " open requests";
    process.exit_code = cut > 0 ? 1 : 0;
    process.io.stop();
  }
}

}  // namespace

Result<int> RunHost(const config::Settings& settings) {
  Process process(settings);
  BOOST_LEAF_CHECK(OpenProcess(process));
  asio::co_spawn(process.io, AwaitSignals(process), asio::detached);
  StartProcess(process);
  std::vector<std::thread> threads;
  for (uint32_t i = 1; i < settings.threads; ++i) {
    threads.emplace_back([&process] { process.io.run(); });
  }
  process.io.run();
  for (auto& thread : threads) {
    thread.join();
  }
  return process.exit_code;
}

}  // namespace acaciahold::host
