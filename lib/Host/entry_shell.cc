// The entry host's shell.

#include "acaciahold/Host/entry_shell.h"

#include <charconv>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <glog/logging.h>

#include "acaciahold/Json/decode.h"
#include "acaciahold/Table/table_json.h"
#include "acaciahold/Upstream/registry_json.h"

namespace acaciahold::host {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using http::Response;
using http::Status;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);

std::span<const std::byte> Bytes(const std::string& text) {
  return std::as_bytes(std::span(text));
}

entry::EntryOptions OptionsFrom(const config::Settings& settings) {
  entry::EntryOptions options;
  auto now_ms = static_cast<uint64_t>(ToUnixMillis(ReadClock()));
  options.self = {membership::MakeHostId(settings.name),
                  settings.name,
                  settings.failure_domain,
                  settings.entry.peer,
                  settings.admin,
                  now_ms};
  for (const auto& peer : settings.entry_hosts) {
    options.seeds.push_back({membership::MakeHostId(peer.name), peer.name,
                             peer.failure_domain, peer.peer, peer.admin, 0});
  }
  options.seed = std::random_device()();
  options.max_flows = settings.entry.max_flows;
  return options;
}

uint64_t ReadNumber(const std::string& text) {
  uint64_t n = 0;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

http::Request Get(const std::string& target) {
  return {http::Verb::get, target, 11};
}

}  // namespace

EntryShell::EntryShell(asio::io_context& io,
                       http::Client& client,
                       const config::Settings& settings)
    : io_(io), client_(client), settings_(settings) {}

Result<std::unique_ptr<EntryShell>> EntryShell::Open(
    asio::io_context& io,
    http::Client& client,
    const config::Settings& settings,
    std::shared_ptr<opentracing::Tracer> tracer) {
  std::unique_ptr<EntryShell> shell(new EntryShell(io, client, settings));
  shell->tracer_ = std::move(tracer);
  for (uint32_t i = 0; i < settings.threads; ++i) {
    BOOST_LEAF_AUTO(socket, UdpSocket::Bind(io, settings.entry.packets, true));
    shell->packet_sockets_.push_back(std::move(socket));
  }
  BOOST_LEAF_ASSIGN(shell->peer_socket_,
                    UdpSocket::Bind(io, settings.entry.peer, false));
  shell->entry_ = entry::MakeEntry(OptionsFrom(settings), ReadClock());
  return shell;
}

void EntryShell::Start() {
  for (auto& socket : packet_sockets_) {
    socket->Start([this](std::span<const std::byte> bytes, Endpoint from) {
      Perform(entry::OnFabricPacket(*entry_, bytes, from, ReadClock()));
    });
  }
  peer_socket_->Start([this](std::span<const std::byte> bytes, Endpoint from) {
    Perform(entry::OnPeerDatagram(*entry_, bytes, from, ReadClock()));
  });
  asio::co_spawn(io_, Tick(), asio::detached);
  asio::co_spawn(io_, PollTable(), asio::detached);
}

void EntryShell::Leave() {
  Perform(entry::Leave(*entry_, ReadClock()));
}

void EntryShell::Stop() {
  for (auto& socket : packet_sockets_) {
    socket->Stop();
  }
  peer_socket_->Stop();
}

void EntryShell::OnTable(const table::ServiceTable& table) {
  if (entry::OnTable(*entry_, table, ReadClock())) {
    LOG(INFO) << "table revision " << table.revision << " is in force";
  }
}

void EntryShell::Perform(entry::Actions actions) {
  for (const auto& it : actions.datagrams) {
    peer_socket_->Send(it.to, Bytes(it.bytes));
  }
  for (const auto& it : actions.inner) {
    packet_sockets_.front()->Send(it.to, it.bytes);
  }
  for (const auto& pull : actions.pull_handoffs) {
    asio::co_spawn(io_, PullHandoff(pull), asio::detached);
  }
  for (const auto& admin : actions.pull_registries) {
    asio::co_spawn(io_, PullRegistry(admin), asio::detached);
  }
  for (const auto& admin : actions.pull_tables) {
    asio::co_spawn(io_, PullTable(admin), asio::detached);
  }
}

asio::awaitable<void> EntryShell::Tick() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    timer.expires_after(kEntryTick);
    auto [ec] = co_await timer.async_wait(kToken);
    if (ec) {
      co_return;
    }
    Perform(entry::OnTick(*entry_, ReadClock()));
  }
}

asio::awaitable<void> EntryShell::PollTable() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  std::mt19937_64 random(std::random_device{}());
  while (!settings_.control_hosts.empty()) {
    std::uniform_int_distribution<size_t> spread(
        0, settings_.control_hosts.size() - 1);
    co_await PullTable(settings_.control_hosts[spread(random)].admin);
    timer.expires_after(kTablePollInterval);
    auto [ec] = co_await timer.async_wait(kToken);
    if (ec) {
      co_return;
    }
  }
}

asio::awaitable<void> EntryShell::PullTable(Endpoint from) {
  if (is_pulling_table_.exchange(true)) {
    co_return;
  }
  uint64_t revision = entry::TableOf(*entry_).revision;
  auto result = co_await client_.Fetch(
      from, Get("/v1/table?after=" + std::to_string(revision)),
      ReadClock() + kPullTimeout);
  is_pulling_table_ = false;
  if (result.end != http::FetchEnd::kAnswer ||
      result.response.result() != Status::ok) {
    co_return;
  }
  auto value = acaciahold::json::Parse(result.response.body());
  if (!value) {
    co_return;
  }
  auto table = table::TableFromJson(*value);
  if (table) {
    OnTable(*table);
  }
}

asio::awaitable<void> EntryShell::PullRegistry(Endpoint from) {
  auto result = co_await client_.Fetch(from, Get("/v1/upstreams"),
                                       ReadClock() + kPullTimeout);
  if (result.end != http::FetchEnd::kAnswer) {
    co_return;
  }
  auto value = acaciahold::json::Parse(result.response.body());
  if (!value) {
    co_return;
  }
  auto records = upstream::RecordsFromJson(*value);
  if (records) {
    entry::OnRegistry(*entry_, *records, ReadClock());
  }
}

asio::awaitable<void> EntryShell::PullHandoff(
    entry::Actions::HandoffPull pull) {
  uint64_t incarnation = 0;
  {
    std::lock_guard lock(entry_->control.mutex);
    incarnation = entry_->control.membership.self.incarnation;
  }
  auto id = membership::MakeHostId(settings_.name);
  auto result = co_await client_.Fetch(
      pull.admin,
      Get("/v1/handoff?host=" + std::to_string(id) + "&incarnation=" +
          std::to_string(incarnation) + "&view=" + std::to_string(pull.view) +
          "&known_view=" + std::to_string(pull.known_view)),
      ReadClock() + kPullTimeout);
  if (result.end != http::FetchEnd::kAnswer ||
      result.response.result() != Status::ok) {
    co_return;
  }
  entry_->counters.control_bytes_received += result.response.body().size();
  entry::OnHandoff(*entry_, pull.peer,
                   wire::DecodeHandoff(result.response.body()), ReadClock());
}

std::optional<Response> EntryShell::Handle(const http::Request& request) {
  std::string_view target(request.target().data(), request.target().size());
  auto path = http::PathOf(target);
  bool is_get = request.method() == http::Verb::get;
  if (path == "/v1/announce" && request.method() == http::Verb::post) {
    return OnAnnounce(request);
  }
  if (path == "/v1/upstreams" && is_get) {
    std::lock_guard lock(entry_->control.mutex);
    auto records = upstream::Snapshot(entry_->control.registry);
    return http::MakeResponse(Status::ok,
                              json::serialize(upstream::ToJson(records)));
  }
  if (path == "/v1/handoff" && is_get) {
    return OnHandoffRequest(target);
  }
  if (path == "/v1/status" && is_get) {
    return OnStatus();
  }
  return std::nullopt;
}

Response EntryShell::OnAnnounce(const http::Request& request) {
  auto bad = [](const std::string& detail) {
    return http::MakeProblem(Status::bad_request, "bad-announcement",
                             "the announcement can't be accepted", detail);
  };
  return leaf::try_handle_all(
      [&]() -> Result<Response> {
        BOOST_LEAF_AUTO(value, acaciahold::json::Parse(request.body()));
        BOOST_LEAF_AUTO(announcement, upstream::AnnouncementFromJson(value));
        auto faults = upstream::CheckAnnouncement(announcement);
        if (!faults.empty()) {
          return bad(faults.front());
        }
        Perform(entry::OnAnnouncement(*entry_, announcement, ReadClock()));
        return http::MakeResponse(Status::ok, "{}");
      },
      [&](const FieldError& error) { return bad(Describe(error)); },
      [&] { return bad("unreadable"); });
}

Response EntryShell::OnHandoffRequest(std::string_view target) {
  entry::HandoffRequest request;
  request.host = ReadNumber(http::QueryParameter(target, "host"));
  request.incarnation = ReadNumber(http::QueryParameter(target, "incarnation"));
  request.view = ReadNumber(http::QueryParameter(target, "view"));
  request.known_view = ReadNumber(http::QueryParameter(target, "known_view"));
  auto handoff = entry::MakeHandoff(*entry_, request, ReadClock());
  if (!handoff) {
    return http::MakeProblem(Status::service_unavailable, "unknown-host",
                             "the asking host has another view of the members",
                             "ask again shortly");
  }
  auto body = wire::EncodeHandoff(*handoff);
  entry_->counters.control_bytes_sent += body.size();
  return http::MakeResponse(Status::ok, std::move(body),
                            "application/octet-stream");
}

Response EntryShell::OnStatus() {
  json::array members;
  json::object status;
  {
    std::lock_guard lock(entry_->control.mutex);
    const auto& control = entry_->control;
    for (const auto& it : membership::Snapshot(control.membership)) {
      members.push_back({{"name", it.host.name},
                         {"failure_domain", it.host.failure_domain},
                         {"state", membership::StateName(it.state)},
                         {"incarnation", it.host.incarnation}});
    }
    status["table_revision"] = control.table.revision;
    status["upstreams"] = control.registry.entries.size();
    status["is_settled"] = control.plan && !control.pulls.is_running;
  }
  status["name"] = settings_.name;
  status["failure_domain"] = settings_.failure_domain;
  status["open_flows"] = entry::CountFlows(*entry_);
  status["members"] = std::move(members);
  return http::MakeResponse(Status::ok, json::serialize(status));
}

}  // namespace acaciahold::host
