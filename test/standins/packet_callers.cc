// Flows of callers: opening, requests, repetitions and their ends.

#include "packet_callers.h"

#include <algorithm>
#include <array>
#include <span>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace acaciahold::standins {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using std::chrono::milliseconds;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);

constexpr uint16_t kRequestBytes = 20;
// As the platform's page tells of callers.
constexpr milliseconds kFirstCopy{200};
constexpr milliseconds kSecondCopy{600};
constexpr milliseconds kOpeningTimeout{1'400};
constexpr milliseconds kRepeatMin{200};
constexpr milliseconds kRepeatMax{1'600};
// An answer after it is late.
constexpr milliseconds kLateTime{1'000};
constexpr milliseconds kPauseOfLongFlows{60};
constexpr milliseconds kCallerTick{10};

}  // namespace

PacketCallers::PacketCallers(asio::io_context& io,
                             Fabric& fabric,
                             Options options)
    : io_(io),
      fabric_(fabric),
      options_(options),
      socket_(BindUdp(io, options.own)),
      timer_(io),
      random_(options.seed) {}

void PacketCallers::Start() {
  asio::co_spawn(io_, Receive(), asio::detached);
  Tick();
}

asio::awaitable<void> PacketCallers::Receive() {
  std::array<std::byte, 2'048> buf;
  while (true) {
    udp::endpoint from;
    auto [ec, n] =
        co_await socket_.async_receive_from(asio::buffer(buf), from, kToken);
    if (!ec) {
      OnPacket(std::span(buf.data(), n));
    }
  }
}

void PacketCallers::Tick() {
  int longs = 0;
  int shorts = 0;
  for (const auto& [port, flow] : flows_) {
    (flow.is_long ? longs : shorts) += 1;
  }
  while (is_opening_ && longs < options_.long_flows) {
    Open(true);
    ++longs;
  }
  while (is_opening_ && shorts < options_.short_flows) {
    Open(false);
    ++shorts;
  }
  Instant now = ReadClock();
  std::vector<uint16_t> due;
  for (const auto& [port, flow] : flows_) {
    if (now >= flow.due_at) {
      due.push_back(port);
    }
  }
  for (auto port : due) {
    OnDue(port, flows_.at(port), now);
  }
  timer_.expires_after(kCallerTick);
  timer_.async_wait([this](boost::system::error_code ec) {
    if (!ec) {
      Tick();
    }
  });
}

void PacketCallers::Open(bool is_long) {
  while (flows_.contains(next_port_)) {
    ++next_port_;
  }
  uint16_t port = next_port_++;
  next_port_ = std::max<uint16_t>(next_port_, 1'024);
  auto& flow = flows_[port];
  flow.is_long = is_long;
  flow.first_sequence = static_cast<uint32_t>(random_());
  flow.started_at = ReadClock();
  flow.due_at = flow.started_at + Duration(kFirstCopy);
  Send(port, flow, kSyn, 0);
}

void PacketCallers::Send(uint16_t port,
                         const Flow& flow,
                         uint8_t flags,
                         uint16_t data) {
  PacketFields fields;
  fields.flow = {{options_.own.address, port}, options_.listener};
  fields.flags = flags;
  fields.tag = flow.tag;
  bool is_opening = flags == kSyn;
  fields.sequence = flow.first_sequence +
                    (is_opening ? 0 : 1 + flow.requests * kRequestBytes);
  fields.acknowledged =
      is_opening ? flow.copies
                 : flow.upstream_sequence + 1 + flow.requests * kAnswerBytes;
  fields.data_bytes = data;
  SendTo(socket_, EncodePacket(fields), fabric_.Pick(port));
}

void PacketCallers::SendRequest(uint16_t port, Flow& flow, Instant now) {
  flow.is_waiting = true;
  flow.started_at = now;
  flow.repeat_after = kRepeatMin;
  flow.due_at = now + flow.repeat_after;
  Send(port, flow, kAck, kRequestBytes);
}

void PacketCallers::NoteFailure(CallerFailure::Kind kind,
                                uint16_t port,
                                Instant now) {
  failures_.push_back(
      {kind, {{options_.own.address, port}, options_.listener}, now});
}

void PacketCallers::OnDue(uint16_t port, Flow& flow, Instant now) {
  if (flow.phase == Phase::kOpening) {
    if (now >= flow.started_at + Duration(kOpeningTimeout)) {
      ++counts_.unopened;
      NoteFailure(CallerFailure::Kind::kUnopened, port, now);
      flows_.erase(port);
      return;
    }
    ++flow.copies;
    Send(port, flow, kSyn, 0);
    flow.due_at = flow.started_at +
                  Duration(flow.copies == 1 ? kSecondCopy : kOpeningTimeout);
    return;
  }
  if (!flow.is_waiting) {
    SendRequest(port, flow, now);
    return;
  }
  if (now >= flow.started_at + Duration(options_.request_timeout)) {
    ++counts_.given_up;
    Send(port, flow, kFin | kAck, 0);
    NoteFailure(CallerFailure::Kind::kGivenUp, port, now);
    flows_.erase(port);
    return;
  }
  Send(port, flow, kAck, kRequestBytes);
  flow.repeat_after = std::min<Duration>(flow.repeat_after * 2, kRepeatMax);
  flow.due_at = now + flow.repeat_after;
}

void PacketCallers::OnPacket(std::span<const std::byte> packet) {
  auto fields = DecodeFromUpstream(packet);
  auto it = fields ? flows_.find(fields->flow.caller.port) : flows_.end();
  if (it == flows_.end()) {
    return;
  }
  auto& [port, flow] = *it;
  Instant now = ReadClock();
  if ((fields->flags & kRst) != 0) {
    bool is_open = flow.phase == Phase::kOpen;
    auto& count = fields->sum != 0 ? counts_.reset_by_upstream
                  : is_open        ? counts_.reset_while_open
                                   : counts_.refused;
    ++count;
    if (&count == &counts_.refused) {
      NoteFailure(CallerFailure::Kind::kRefused, port, now);
    }
    flows_.erase(it);
    return;
  }
  flow.tag = fields->tag;
  bool is_opened = (fields->flags & kSyn) != 0 && flow.phase == Phase::kOpening;
  if (is_opened) {
    ++counts_.opened;
    flow.phase = Phase::kOpen;
    flow.upstream_sequence = fields->sequence;
    SendRequest(port, flow, now);
    return;
  }
  // An answer to an earlier request may come twice.
  bool is_answer =
      fields->data_bytes > 0 && flow.is_waiting &&
      fields->acknowledged ==
          flow.first_sequence + 1 + (flow.requests + 1) * kRequestBytes;
  if (!is_answer) {
    return;
  }
  if (now >= flow.started_at + Duration(kLateTime)) {
    NoteFailure(CallerFailure::Kind::kLate, port, now);
  }
  ++counts_.answered;
  ++flow.requests;
  flow.is_waiting = false;
  flow.due_at = now + Duration(kPauseOfLongFlows);
  if (!flow.is_long) {
    Send(port, flow, kFin | kAck, 0);
    flows_.erase(it);
  }
}

}  // namespace acaciahold::standins
