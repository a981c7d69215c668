// I/O and HTTP handlers of the control role.

#include "acaciahold/Host/control_server.h"

#include <algorithm>
#include <charconv>
#include <random>
#include <utility>

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
constexpr std::chrono::seconds kLogMessageTimeout{2};
// Marks a request that was forwarded to the leader. It is not forwarded again,
// so that hosts that disagree about the leader cannot pass it on endlessly.
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

Response NoLeaderProblem() {
  return http::MakeProblem(Status::service_unavailable, "no-majority",
                           "no edit can be accepted now",
                           "this control host knows of no leader with a "
                           "majority; the edit was not accepted");
}

Response UnknownOutcomeProblem(const std::string& edit_id) {
  return http::MakeProblem(
      Status::gateway_timeout, "outcome-unknown",
      "the edit's outcome is not known yet",
      "ask for /v1/edits/" + edit_id + " or send the same edit again");
}

Status HttpStatus(table::EditVerdict verdict) {
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
  return http::MakeResponse(HttpStatus(outcome.verdict),
                            json::serialize(ToJson(outcome)));
}

Response MalformedRequestProblem(const std::string& detail) {
  return http::MakeProblem(Status::bad_request, "malformed-request",
                           "the request can't be read", detail);
}

uint64_t ParseNumberOr(const std::string& text, uint64_t default_value) {
  uint64_t n = default_value;
  std::from_chars(text.data(), text.data() + text.size(), n);
  return n;
}

void LogStorageError(const SystemError& error) {
  LOG(ERROR)
      << Describe(error)
      << "; this control host no longer takes part in the replicated log "
         "until it is restarted";
}

}  // namespace

ControlServer::ControlServer(asio::io_context& io,
                             http::Client& client,
                             const config::Settings& settings,
                             storage::DataFolder folder)
    : io_(io),
      client_(client),
      settings_(settings),
      folder_(std::move(folder)) {}

Result<std::unique_ptr<ControlServer>> ControlServer::Open(
    asio::io_context& io,
    http::Client& client,
    const config::Settings& settings) {
  storage::StoredState stored;
  BOOST_LEAF_AUTO(
      folder, storage::DataFolder::Open(settings.control.data_folder, stored));
  if (stored.replica_id != settings.control.replica_id) {
    return leaf::new_error(SystemError{
        "open data folder " + settings.control.data_folder,
        "replica_id in the settings differs from the replica id stored in "
        "the folder, " +
            std::to_string(stored.replica_id)});
  }
  if (stored.torn_bytes > 0) {
    LOG(WARNING) << "truncated the log by " << stored.torn_bytes
                 << " bytes of an incomplete write";
  }
  std::unique_ptr<ControlServer> server(
      new ControlServer(io, client, settings, std::move(folder)));
  if (!stored.snapshot.data.empty()) {
    BOOST_LEAF_AUTO(value, acaciahold::json::Parse(stored.snapshot.data));
    BOOST_LEAF_ASSIGN(server->state_, table::StateFromJson(value));
  }
  consensus::StartState start;
  start.id = stored.replica_id;
  start.instance = stored.instance;
  start.seed = std::random_device()();
  start.hard_state = std::move(stored.hard_state);
  start.snapshot = std::move(stored.snapshot);
  start.entries = std::move(stored.entries);
  start.commit_hint = stored.commit_hint;
  server->replica_ = consensus::StartReplica(std::move(start), ReadClock());
  return server;
}

void ControlServer::Start(TableListener listener) {
  listener_ = std::move(listener);
  {
    std::lock_guard lock(mutex_);
    HandleOutput(consensus::OnStart(replica_));
  }
  asio::co_spawn(io_, Tick(), asio::detached);
}

asio::awaitable<void> ControlServer::Tick() {
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    timer.expires_after(kControlTickInterval);
    auto [ec] = co_await timer.async_wait(kToken);
    if (ec) {
      co_return;
    }
    {
      std::lock_guard lock(mutex_);
      if (!has_failed_) {
        HandleOutput(consensus::OnTick(replica_, ReadClock()));
      }
    }
    PublishTable();
  }
}

// Passes the table to the listener if its revision was not passed before.
void ControlServer::PublishTable() {
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

void ControlServer::HandleOutput(consensus::Output output) {
  if (!output.persist.IsEmpty() || output.persist.commit_hint) {
    bool is_persisted = leaf::try_handle_all(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(folder_.Write(output.persist));
          return true;
        },
        [](const SystemError& error) {
          LogStorageError(error);
          return false;
        },
        [] { return false; });
    if (!is_persisted) {
      has_failed_ = true;
      FailPendingEdits();
      return;
    }
  }
  for (auto& message : output.messages) {
    SendMessage(std::move(message));
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
    ApplyEntry(entry);
  }
  CompactLogIfDue();
  bool is_leader = replica_.role == consensus::Role::kLeader;
  if (std::exchange(was_leader_, is_leader) && !is_leader) {
    FailPendingEdits();
  }
}

void ControlServer::ApplyEntry(const consensus::LogEntry& entry) {
  std::optional<table::EditOutcome> outcome;
  if (entry.kind == consensus::EntryKind::kCommand) {
    if (auto value = acaciahold::json::Parse(entry.payload)) {
      if (auto edit = table::EditFromJson(*value)) {
        outcome = table::ApplyEdit(state_, *edit);
      }
    }
  }
  auto it = pending_edits_.find(entry.index);
  if (it == pending_edits_.end()) {
    return;
  }
  if (it->second.term == entry.term) {
    *it->second.outcome = outcome;
  }
  it->second.done->try_send(boost::system::error_code());
  pending_edits_.erase(it);
}

void ControlServer::CompactLogIfDue() {
  if (replica_.applied < replica_.snapshot.index + kEntriesPerSnapshot) {
    return;
  }
  HandleOutput(consensus::Compact(replica_, json::serialize(ToJson(state_))));
}

void ControlServer::FailPendingEdits() {
  for (auto& [index, pending] : pending_edits_) {
    pending.done->try_send(boost::system::error_code());
  }
  pending_edits_.clear();
}

void ControlServer::SendMessage(consensus::Message message) {
  auto member = std::find_if(replica_.members.begin(), replica_.members.end(),
                             [&](const auto& m) { return m.id == message.to; });
  if (member == replica_.members.end()) {
    return;
  }
  http::Request request(http::Verb::post, "/v1/log/message", 11);
  request.set(http::Field::content_type, "application/json");
  request.body() = json::serialize(ToJson(message));
  asio::co_spawn(io_,
                 client_.Fetch(member->endpoint, std::move(request),
                               ReadClock() + kLogMessageTimeout),
                 [](std::exception_ptr, const http::FetchResult&) {});
}

std::optional<Endpoint> ControlServer::LeaderEndpoint() const {
  std::lock_guard lock(mutex_);
  if (replica_.leader == 0 || replica_.leader == replica_.id) {
    return std::nullopt;
  }
  for (const auto& member : replica_.members) {
    if (member.id == replica_.leader) {
      return member.endpoint;
    }
  }
  return std::nullopt;
}

table::ServiceTable ControlServer::CurrentTable() const {
  std::lock_guard lock(mutex_);
  return state_.table;
}

asio::awaitable<std::optional<Response>> ControlServer::Handle(
    const http::Request& request) {
  std::string_view target(request.target().data(), request.target().size());
  auto path = http::TargetPath(target);
  constexpr std::string_view kEditPrefix = "/v1/edits/";
  bool is_post = request.method() == http::Verb::post;
  if (path == "/v1/log/message" && is_post) {
    co_return OnLogMessage(request);
  }
  if (path == "/v1/edits" && is_post) {
    co_return co_await OnEdit(request);
  }
  if (path.starts_with(kEditPrefix) && !is_post) {
    co_return OnGetEdit(path.substr(kEditPrefix.size()));
  }
  if (path == "/v1/history" && !is_post) {
    co_return OnHistory(request);
  }
  if (path == "/v1/control/status" && !is_post) {
    co_return OnStatus();
  }
  if (path == "/v1/control/members" && is_post) {
    co_return co_await OnChangeMembers(request);
  }
  co_return std::nullopt;
}

Response ControlServer::OnLogMessage(const http::Request& request) {
  auto value = acaciahold::json::Parse(request.body());
  if (!value) {
    return MalformedRequestProblem("expected a replicated log message as JSON");
  }
  auto message = consensus::MessageFromJson(*value);
  if (!message) {
    return MalformedRequestProblem("expected a replicated log message as JSON");
  }
  {
    std::lock_guard lock(mutex_);
    if (!has_failed_) {
      HandleOutput(consensus::OnMessage(replica_, *message, ReadClock()));
    }
  }
  PublishTable();
  return http::MakeResponse(Status::ok, "{}");
}

asio::awaitable<Response> ControlServer::OnEdit(const http::Request& request) {
  auto value = acaciahold::json::Parse(request.body());
  if (!value) {
    co_return MalformedRequestProblem("expected an edit as JSON");
  }
  auto edit = table::EditFromJson(*value);
  if (!edit || edit->id.empty()) {
    co_return MalformedRequestProblem(
        "expected an edit with an id, an author and changes");
  }
  table::EditOutcome refused;
  refused.verdict = table::EditVerdict::kInvalid;
  refused.errors = table::FindTermErrors(*edit);
  bool is_leader = false;
  {
    std::lock_guard lock(mutex_);
    is_leader = replica_.role == consensus::Role::kLeader && !has_failed_;
    refused.revision = state_.table.revision;
  }
  if (!refused.errors.empty()) {
    co_return OutcomeResponse(refused);
  }
  if (!is_leader) {
    co_return co_await ForwardToLeader(request);
  }
  co_return co_await ProposeEdit(std::move(*edit));
}

asio::awaitable<Response> ControlServer::ProposeEdit(table::Edit edit) {
  using asio::experimental::awaitable_operators::operator||;
  auto executor = co_await asio::this_coro::executor;
  PendingEdit pending;
  pending.done = std::make_shared<CompletionChannel>(executor, 1);
  pending.outcome = std::make_shared<std::optional<table::EditOutcome>>();
  edit.proposed_at = ReadClock();
  {
    std::lock_guard lock(mutex_);
    auto result = consensus::Propose(replica_, json::serialize(ToJson(edit)),
                                     ReadClock());
    if (result.status != consensus::ProposeStatus::kAccepted) {
      co_return NoLeaderProblem();
    }
    pending.term = result.term;
    pending_edits_[result.index] = pending;
    HandleOutput(std::move(result.output));
  }
  asio::steady_timer timer(executor);
  timer.expires_after(kEditTimeout);
  co_await (pending.done->async_receive(kToken) || timer.async_wait(kToken));
  PublishTable();
  std::lock_guard lock(mutex_);
  if (*pending.outcome) {
    co_return OutcomeResponse(**pending.outcome);
  }
  co_return UnknownOutcomeProblem(edit.id);
}

asio::awaitable<Response> ControlServer::ForwardToLeader(
    const http::Request& request) {
  auto leader = LeaderEndpoint();
  if (!leader || request.find(kForwardedHeader) != request.end()) {
    co_return NoLeaderProblem();
  }
  http::Request forwarded = request;
  forwarded.set(kForwardedHeader, "1");
  auto result = co_await client_.Fetch(*leader, std::move(forwarded),
                                       ReadClock() + kEditTimeout * 2);
  if (result.end == http::FetchOutcome::kResponse) {
    co_return std::move(result.response);
  }
  if (result.end == http::FetchOutcome::kNotSent) {
    co_return NoLeaderProblem();
  }
  co_return UnknownOutcomeProblem("ID");
}

Response ControlServer::OnGetEdit(std::string_view id) const {
  std::lock_guard lock(mutex_);
  if (const auto* stored_outcome = table::FindOutcome(state_, id)) {
    return OutcomeResponse(stored_outcome->outcome);
  }
  return http::MakeProblem(Status::not_found, "unknown-edit",
                           "no such edit is known here",
                           "it was not accepted up to revision " +
                               std::to_string(state_.table.revision));
}

Response ControlServer::OnHistory(const http::Request& request) const {
  std::string target(request.target());
  uint64_t after = ParseNumberOr(http::QueryParameter(target, "after"), 0);
  std::lock_guard lock(mutex_);
  json::array entries;
  for (const auto& entry : state_.history) {
    if (entry.revision > after) {
      entries.push_back(ToJson(entry));
    }
  }
  return http::MakeResponse(Status::ok, json::serialize(entries));
}

Response ControlServer::OnStatus() const {
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

asio::awaitable<Response> ControlServer::OnChangeMembers(
    const http::Request& request) {
  auto value = acaciahold::json::Parse(request.body());
  if (!value) {
    co_return MalformedRequestProblem("expected a list of members as JSON");
  }
  auto members = consensus::MembersFromJson(*value);
  if (!members || members->empty()) {
    co_return MalformedRequestProblem(
        "expected a list of members with id, admin, is_voter");
  }
  consensus::ProposeStatus status = consensus::ProposeStatus::kNotLeader;
  {
    std::lock_guard lock(mutex_);
    auto result =
        consensus::ProposeMembers(replica_, std::move(*members), ReadClock());
    status = result.status;
    HandleOutput(std::move(result.output));
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
