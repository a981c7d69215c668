// The control host's shell.

#include "acaciahold/Host/control_shell.h"

#include <algorithm>
#include <charconv>
#include <random>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <glog/logging.h>

#include "acaciahold/Json/decode.h"
#include "acaciahold/Table/table_json.h"

namespace acaciahold::host {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using http::Response;
using http::Status;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
constexpr std::chrono::seconds kMessageTimeout{2};
constexpr std::string_view kForwardedHeader = "Acaciahold-Forwarded";

std::string_view RoleName(consensus::Role role) {
  switch (role) {
    case consensus::Role::kFollower:
      return "follower";
    case consensus::Role::kPreCandidate:
    case consensus::Role::kCandidate:
      return "candidate";
    case consensus::Role::kLeader:
      return "leader";
  }
  return "follower";
}

Response NoLeader() {
  return http::MakeProblem(Status::service_unavailable, "no-majority",
                           "no edit can be accepted now",
                           "this control host knows of no leader with a "
                           "majority; the edit was not accepted");
}

Response UnknownOutcome(const std::string& edit_id) {
  return http::MakeProblem(
      Status::gateway_timeout, "outcome-unknown",
      "the edit's outcome is not known yet",
      "ask for /v1/edits/" + edit_id + " or send the same edit again");
}

Status StatusOf(table::EditVerdict verdict) {
  switch (verdict) {
    case table::EditVerdict::kAccepted:
      return Status::ok;
    case table::EditVerdict::kConflict:
    case table::EditVerdict::kReusedId:
      return Status::conflict;
    case table::EditVerdict::kInvalid:
      return Status::unprocessable_entity;
  }
  return Status::internal_server_error;
}

Response OutcomeResponse(const table::EditOutcome& outcome) {
  return http::MakeResponse(StatusOf(outcome.verdict),
                            json::serialize(ToJson(outcome)));
}

Response BadRequest(const std::string& detail) {
  return http::MakeProblem(Status::bad_request, "malformed-request",
                           "the request can't be read", detail);
}

uint64_t NumberOr(const std::string& text, uint64_t otherwise) {
  uint64_t n = otherwise;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

void LogFault(const SystemError& error) {
  LOG(ERROR) << Describe(error) << "; this control host stops taking part";
}

}  // namespace

ControlShell::ControlShell(asio::io_context& io,
                           http::Client& client,
                           const config::Settings& settings,
                           storage::DataFolder folder)
    : io_(io),
      client_(client),
      settings_(settings),
      folder_(std::move(folder)) {}

Result<std::unique_ptr<ControlShell>> ControlShell::Open(
    asio::io_context& io,
    http::Client& client,
    const config::Settings& settings) {
  storage::StoredState stored;
  BOOST_LEAF_AUTO(
      folder, storage::DataFolder::Open(settings.control.data_folder, stored));
  if (stored.replica_id != settings.control.replica_id) {
    return leaf::new_error(SystemError{
        "use data folder " + settings.control.data_folder,
        "it belongs to replica " + std::to_string(stored.replica_id)});
  }
  if (stored.torn_bytes > 0) {
    LOG(WARNING) << "cut " << stored.torn_bytes
                 << " torn bytes from the end of the log";
  }
  std::unique_ptr<ControlShell> shell(
      new ControlShell(io, client, settings, std::move(folder)));
  if (!stored.snapshot.data.empty()) {
    BOOST_LEAF_AUTO(value, acaciahold::json::Parse(stored.snapshot.data));
    BOOST_LEAF_ASSIGN(shell->state_, table::StateFromJson(value));
  }
  consensus::StartState start;
  start.id = stored.replica_id;
  start.instance = stored.instance;
  start.seed = std::random_device()();
  start.hard_state = std::move(stored.hard_state);
  start.snapshot = std::move(stored.snapshot);
  start.entries = std::move(stored.entries);
  start.commit_hint = stored.commit_hint;
  shell->replica_ = consensus::StartReplica(std::move(start), ReadClock());
  return shell;
}

void ControlShell::Start(TableListener listener) {
  listener_ = std::move(listener);
  {
    std::lock_guard lock(mutex_);
    Process(consensus::OnStart(replica_));
  }
  asio::co_spawn(io_, Tick(), asio::detached);
}

asio::awaitable<void> ControlShell::Tick() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    timer.expires_after(kControlTick);
    auto [ec] = co_await timer.async_wait(kToken);
    if (ec) {
      co_return;
    }
    {
      std::lock_guard lock(mutex_);
      Instant now = ReadClock();
      if (!has_failed_ && now >= consensus::NextDeadline(replica_)) {
        Process(consensus::OnTick(replica_, now));
      }
    }
    Publish();
  }
}

// Tells the listener of a newer table, outside the lock.
void ControlShell::Publish() {
  table::ServiceTable table;
  {
    std::lock_guard lock(mutex_);
    if (state_.table.revision <= published_revision_) {
      return;
    }
    published_revision_ = state_.table.revision;
    table = state_.table;
  }
  listener_(table);
}

void ControlShell::Process(consensus::Output output) {
  auto role_before = replica_.role;
  if (!output.persist.IsEmpty() || output.persist.commit_hint) {
    bool is_written = leaf::try_handle_all(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(folder_.Write(output.persist));
          return true;
        },
        [](const SystemError& error) {
          LogFault(error);
          return false;
        },
        [] { return false; });
    if (!is_written) {
      has_failed_ = true;
      FailWaiters();
      return;
    }
  }
  for (auto& message : output.messages) {
    Send(std::move(message));
  }
  if (output.restore) {
    auto value = acaciahold::json::Parse(output.restore->data);
    if (value) {
      if (auto state = table::StateFromJson(*value)) {
        state_ = std::move(*state);
      }
    }
  }
  for (const auto& entry : output.committed) {
    Apply(entry);
  }
  CompactIfDue();
  if (role_before == consensus::Role::kLeader &&
      replica_.role != consensus::Role::kLeader) {
    FailWaiters();
  }
}

void ControlShell::Apply(const consensus::LogEntry& entry) {
  std::optional<table::EditOutcome> outcome;
  if (entry.kind == consensus::EntryKind::kCommand) {
    if (auto value = acaciahold::json::Parse(entry.payload)) {
      if (auto edit = table::EditFromJson(*value)) {
        outcome = table::ApplyEdit(state_, *edit);
      }
    }
  }
  auto it = waiters_.find(entry.index);
  if (it == waiters_.end()) {
    return;
  }
  if (it->second.term == entry.term) {
    *it->second.outcome = outcome;
  }
  it->second.done->try_send(boost::system::error_code());
  waiters_.erase(it);
}

void ControlShell::CompactIfDue() {
  if (replica_.applied < replica_.snapshot.index + kEntriesPerSnapshot) {
    return;
  }
  Process(consensus::Compact(replica_, json::serialize(ToJson(state_))));
}

void ControlShell::FailWaiters() {
  for (auto& [index, waiter] : waiters_) {
    waiter.done->try_send(boost::system::error_code());
  }
  waiters_.clear();
}

void ControlShell::Send(consensus::Message message) {
  auto member = std::find_if(replica_.members.begin(), replica_.members.end(),
                             [&](const auto& m) { return m.id == message.to; });
  if (member == replica_.members.end()) {
    return;
  }
  http::Request request(http::Verb::post, "/v1/log/message", 11);
  request.set(http::Field::content_type, "application/json");
  request.body() = json::serialize(ToJson(message));
  asio::co_spawn(io_,
                 client_.Fetch(member->admin, std::move(request),
                               ReadClock() + kMessageTimeout),
                 [](std::exception_ptr, const http::FetchResult&) {});
}

std::optional<Endpoint> ControlShell::LeaderEndpoint() const {
  std::lock_guard lock(mutex_);
  if (replica_.leader == 0 || replica_.leader == replica_.id) {
    return std::nullopt;
  }
  for (const auto& member : replica_.members) {
    if (member.id == replica_.leader) {
      return member.admin;
    }
  }
  return std::nullopt;
}

table::ServiceTable ControlShell::CurrentTable() const {
  std::lock_guard lock(mutex_);
  return state_.table;
}

asio::awaitable<std::optional<Response>> ControlShell::Handle(
    const http::Request& request) {
  std::string_view target(request.target().data(), request.target().size());
  auto path = http::PathOf(target);
  constexpr std::string_view kEditPrefix = "/v1/edits/";
  bool is_post = request.method() == http::Verb::post;
  if (path == "/v1/log/message" && is_post) {
    co_return OnLogMessage(request);
  }
  if (path == "/v1/edits" && is_post) {
    co_return co_await OnEdit(request);
  }
  if (path.starts_with(kEditPrefix) && !is_post) {
    co_return OnEditQuery(path.substr(kEditPrefix.size()));
  }
  if (path == "/v1/history" && !is_post) {
    co_return OnHistory(request);
  }
  if (path == "/v1/control/status" && !is_post) {
    co_return OnStatus();
  }
  if (path == "/v1/control/members" && is_post) {
    co_return co_await OnMembers(request);
  }
  co_return std::nullopt;
}

Response ControlShell::OnLogMessage(const http::Request& request) {
  auto value = acaciahold::json::Parse(request.body());
  if (!value) {
    return BadRequest("wanted a message of the log");
  }
  auto message = consensus::MessageFromJson(*value);
  if (!message) {
    return BadRequest("wanted a message of the log");
  }
  {
    std::lock_guard lock(mutex_);
    if (!has_failed_) {
      Process(consensus::OnMessage(replica_, *message, ReadClock()));
    }
  }
  Publish();
  return http::MakeResponse(Status::ok, "{}");
}

asio::awaitable<Response> ControlShell::OnEdit(const http::Request& request) {
  auto value = acaciahold::json::Parse(request.body());
  if (!value) {
    co_return BadRequest("wanted an edit as JSON");
  }
  auto edit = table::EditFromJson(*value);
  if (!edit || edit->id.empty()) {
    co_return BadRequest("wanted an edit with an id, an author and changes");
  }
  bool is_leader = false;
  {
    std::lock_guard lock(mutex_);
    is_leader = replica_.role == consensus::Role::kLeader && !has_failed_;
  }
  if (!is_leader) {
    co_return co_await ForwardToLeader(request);
  }
  co_return co_await ProposeEdit(std::move(*edit));
}

asio::awaitable<Response> ControlShell::ProposeEdit(table::Edit edit) {
  using asio::experimental::awaitable_operators::operator||;
  auto executor = co_await asio::this_coro::executor;
  Waiter waiter;
  waiter.done = std::make_shared<WaitChannel>(executor, 1);
  waiter.outcome = std::make_shared<std::optional<table::EditOutcome>>();
  edit.made_at = ReadClock();
  {
    std::lock_guard lock(mutex_);
    auto result = consensus::Propose(replica_, json::serialize(ToJson(edit)),
                                     ReadClock());
    if (result.status != consensus::ProposeStatus::kAccepted) {
      co_return NoLeader();
    }
    waiter.term = result.term;
    waiters_[result.index] = waiter;
    Process(std::move(result.output));
  }
  asio::steady_timer timer(executor);
  timer.expires_after(kEditTimeout);
  co_await (waiter.done->async_receive(kToken) || timer.async_wait(kToken));
  Publish();
  std::lock_guard lock(mutex_);
  if (*waiter.outcome) {
    co_return OutcomeResponse(**waiter.outcome);
  }
  co_return UnknownOutcome(edit.id);
}

asio::awaitable<Response> ControlShell::ForwardToLeader(
    const http::Request& request) {
  auto leader = LeaderEndpoint();
  if (!leader || request.find(kForwardedHeader) != request.end()) {
    co_return NoLeader();
  }
  http::Request forwarded = request;
  forwarded.set(kForwardedHeader, "1");
  auto result = co_await client_.Fetch(*leader, std::move(forwarded),
                                       ReadClock() + kEditTimeout * 2);
  if (result.end == http::FetchEnd::kAnswer) {
    co_return std::move(result.response);
  }
  if (result.end == http::FetchEnd::kNotSent) {
    co_return NoLeader();
  }
  co_return UnknownOutcome("ID");
}

Response ControlShell::OnEditQuery(std::string_view id) const {
  std::lock_guard lock(mutex_);
  if (const auto* answered = table::FindAnswer(state_, id)) {
    return OutcomeResponse(answered->outcome);
  }
  return http::MakeProblem(Status::not_found, "unknown-edit",
                           "no such edit is known here",
                           "it was not accepted up to revision " +
                               std::to_string(state_.table.revision));
}

Response ControlShell::OnHistory(const http::Request& request) const {
  std::string target(request.target());
  uint64_t after = NumberOr(http::QueryParameter(target, "after"), 0);
  std::lock_guard lock(mutex_);
  json::array entries;
  for (const auto& entry : state_.history) {
    if (entry.revision > after) {
      entries.push_back(ToJson(entry));
    }
  }
  return http::MakeResponse(Status::ok, json::serialize(entries));
}

Response ControlShell::OnStatus() const {
  std::lock_guard lock(mutex_);
  auto age = ReadClock() - replica_.last_contact_at;
  bool is_current = replica_.leader != 0 &&
                    age < consensus::kElectionTimeoutMax && !has_failed_;
  json::object status{{"replica_id", replica_.id},
                      {"role", RoleName(replica_.role)},
                      {"leader", replica_.leader},
                      {"term", replica_.hard_state.term},
                      {"commit", replica_.commit},
                      {"applied", replica_.applied},
                      {"revision", state_.table.revision},
                      {"is_current", is_current},
                      {"has_failed", has_failed_},
                      {"rejected_instances", replica_.rejected_instances},
                      {"members", ToJson(replica_.members)}};
  if (replica_.last_contact_at != Instant()) {
    status["current_as_of_ms"] = ToUnixMillis(replica_.last_contact_at);
    status["knowledge_age_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  }
  return http::MakeResponse(Status::ok, json::serialize(status));
}

asio::awaitable<Response> ControlShell::OnMembers(
    const http::Request& request) {
  auto value = acaciahold::json::Parse(request.body());
  if (!value) {
    co_return BadRequest("wanted a list of members");
  }
  auto members = consensus::MembersFromJson(*value);
  if (!members || members->empty()) {
    co_return BadRequest("wanted a list of members with id, admin, is_voter");
  }
  consensus::ProposeStatus status = consensus::ProposeStatus::kNotLeader;
  {
    std::lock_guard lock(mutex_);
    auto result =
        consensus::ProposeMembers(replica_, std::move(*members), ReadClock());
    status = result.status;
    Process(std::move(result.output));
  }
  if (status == consensus::ProposeStatus::kNotLeader) {
    co_return co_await ForwardToLeader(request);
  }
  if (status == consensus::ProposeStatus::kBusy) {
    co_return http::MakeProblem(
        Status::conflict, "members-busy", "the members were not changed",
        "an earlier change is not committed yet, or more than one member "
        "would change at once");
  }
  co_return http::MakeResponse(Status::accepted, "{}");
}

}  // namespace acaciahold::host
