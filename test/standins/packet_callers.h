// Callers that open flows through the entry hosts, as the platform's do: copies
// of opening packets, repeated requests, and what went wrong for them.

#ifndef ACACIAHOLD_TEST_STANDINS_PACKET_CALLERS_H_
#define ACACIAHOLD_TEST_STANDINS_PACKET_CALLERS_H_

#include <map>
#include <random>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include "acaciahold/Support/address.h"
#include "acaciahold/Support/time.h"
#include "packet_wire.h"
#include "packet_world.h"

namespace acaciahold::standins {

struct CallerCounts {
  uint64_t opened = 0;
  uint64_t answered = 0;
  uint64_t reset_while_open = 0;  // By the system.
  uint64_t reset_by_upstream = 0;
  uint64_t refused = 0;   // Reset by the system before opening.
  uint64_t unopened = 0;  // No answer to three openings.
  uint64_t given_up = 0;  // No answer to a request.
};

// A request, or an attempt to open a flow, that went wrong for its caller.
struct CallerFailure {
  enum class Kind { kRefused, kUnopened, kGivenUp, kLate };
  Kind kind = Kind::kRefused;
  steering::TaggedFlow flow;
  Instant at;
};

// Callers at one address: keeps so many long flows open with requests on them,
// and opens short flows of one request one after the other.
class PacketCallers {
 public:
  struct Options {
    Endpoint own;  // Where they receive.
    Endpoint listener;
    int long_flows = 0;
    int short_flows = 0;  // Open at the same time.
    // Without an answer for so long, a caller gives a request up.
    std::chrono::milliseconds request_timeout{8'000};
    uint64_t seed = 1;
  };

  PacketCallers(boost::asio::io_context& io, Fabric& fabric, Options options);

  void Start();
  void StopOpening() { is_opening_ = false; }
  const CallerCounts& counts() const { return counts_; }
  const std::vector<CallerFailure>& failures() const { return failures_; }

 private:
  enum class Phase { kOpening, kOpen };
  struct Flow {
    bool is_long = false;
    Phase phase = Phase::kOpening;
    uint32_t first_sequence = 0;
    uint32_t upstream_sequence = 0;
    steering::Tag tag = 0;
    uint32_t copies = 0;
    uint32_t requests = 0;
    bool is_waiting = false;  // For an answer.
    Instant started_at;       // Of the opening, or of the request.
    Instant due_at;           // Next copy, repetition or request.
    Duration repeat_after{};
  };

  boost::asio::awaitable<void> Receive();
  void Tick();
  void Open(bool is_long);
  void OnDue(uint16_t port, Flow& flow, Instant now);
  void OnPacket(std::span<const std::byte> packet);
  void Send(uint16_t port, const Flow& flow, uint8_t flags, uint16_t data);
  void SendRequest(uint16_t port, Flow& flow, Instant now);
  void NoteFailure(CallerFailure::Kind kind, uint16_t port, Instant now);

  boost::asio::io_context& io_;
  Fabric& fabric_;
  Options options_;
  boost::asio::ip::udp::socket socket_;
  boost::asio::steady_timer timer_;
  std::mt19937_64 random_;
  std::map<uint16_t, Flow> flows_;  // By the caller's port.
  uint16_t next_port_ = 1'024;
  bool is_opening_ = true;
  std::vector<CallerFailure> failures_;
  CallerCounts counts_;
};

}  // namespace acaciahold::standins

#endif  // ACACIAHOLD_TEST_STANDINS_PACKET_CALLERS_H_
