// Tests keep-alives of a session over loopback.

#include "acaciahold/Link/session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

namespace acaciahold::link {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

// Both ends of one connection.
struct SessionPair {
  explicit SessionPair(asio::io_context& io) {
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    tcp::socket opened(io);
    opened.connect(acceptor.local_endpoint());
    local = Session::Create(std::move(opened));
    remote = Session::Create(acceptor.accept());
  }

  std::shared_ptr<Session> local;
  std::shared_ptr<Session> remote;
};

}  // namespace

// Guards against a peer that considers a live session unreachable because a
// keep-alive was skipped after a recent message: the time since data was last
// received must stay below one and a half keep-alive intervals.
BOOST_AUTO_TEST_CASE(KeepAlivesArriveAtEveryInterval) {
  asio::io_context io;
  SessionPair ends(io);
  ends.local->Start({[](std::string_view) {}, [] {}});
  ends.remote->Start({[](std::string_view) {}, [] {}});
  // Sends one message just after each keep-alive was due.
  auto longest_gap = std::chrono::steady_clock::duration::zero();
  auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < 5; ++i) {
    auto at = begin + i * 2 * kKeepAliveInterval + milliseconds(10);
    bool has_sent = false;
    while (std::chrono::steady_clock::now() <
           begin + (i + 1) * 2 * kKeepAliveInterval) {
      io.run_for(milliseconds(5));
      auto now = std::chrono::steady_clock::now();
      if (!has_sent && now >= at) {
        ends.local->Send("news");
        has_sent = true;
      }
      longest_gap =
          std::max(longest_gap, now - ends.remote->last_received_at());
    }
  }
  BOOST_TEST((longest_gap < kKeepAliveInterval * 3 / 2));
  ends.local->Close();
  ends.remote->Close();
  io.run_for(milliseconds(50));
}

}  // namespace acaciahold::link
