// Keep-alives of a session over loopback.

#include "acaciahold/Link/session.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

namespace acaciahold::link {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

// Two ends of one connection.
struct Ends {
  explicit Ends(asio::io_context& io) {
    tcp::acceptor acceptor(io, {asio::ip::address_v4::loopback(), 0});
    tcp::socket opened(io);
    opened.connect(acceptor.local_endpoint());
    here = Session::Create(std::move(opened));
    there = Session::Create(acceptor.accept());
  }

  std::shared_ptr<Session> here;
  std::shared_ptr<Session> there;
};

}  // namespace

// A peer that waits for a keep-alive and a half must hear of a living session,
// whenever messages were sent.
BOOST_AUTO_TEST_CASE(ASessionIsHeardOfInEveryInterval) {
  asio::io_context io;
  Ends ends(io);
  ends.here->Start({[](std::string_view) {}, [] {}});
  ends.there->Start({[](std::string_view) {}, [] {}});
  // One message just after each keep-alive was due.
  auto longest = std::chrono::steady_clock::duration::zero();
  auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < 5; ++i) {
    auto at = begin + i * 2 * kKeepAliveInterval + milliseconds(10);
    bool has_sent = false;
    while (std::chrono::steady_clock::now() <
           begin + (i + 1) * 2 * kKeepAliveInterval) {
      io.run_for(milliseconds(5));
      auto now = std::chrono::steady_clock::now();
      if (!has_sent && now >= at) {
        ends.here->Send("news");
        has_sent = true;
      }
      longest = std::max(longest, now - ends.there->heard_at());
    }
  }
  BOOST_TEST((longest < kKeepAliveInterval * 3 / 2));
  ends.here->Close();
  ends.there->Close();
  io.run_for(milliseconds(50));
}

}  // namespace acaciahold::link
