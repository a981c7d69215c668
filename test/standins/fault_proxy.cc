// Carrying bytes between two sockets, or not.

#include "fault_proxy.h"

#include <algorithm>
#include <string_view>

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "acaciahold/Node/messages.h"

namespace acaciahold::standins {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using std::chrono::milliseconds;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
// How often a cut or silent way is looked at again.
constexpr milliseconds kLookInterval{20};
constexpr size_t kBufferBytes = 16'384;

tcp::endpoint ToTcp(Endpoint endpoint) {
  return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

// The name in the greeting that stands among these frames; empty where none
// does. Each frame is a message behind its length in network byte order.
std::string FindOpener(std::string_view bytes) {
  constexpr size_t kHeadBytes = 4;
  while (bytes.size() >= kHeadBytes) {
    size_t n = 0;
    for (char byte : bytes.substr(0, kHeadBytes)) {
      n = (n << 8U) | static_cast<unsigned char>(byte);
    }
    bytes.remove_prefix(kHeadBytes);
    auto message = node::DecodeMessage(bytes.substr(0, n));
    const auto* hello = message ? std::get_if<node::Hello>(&*message) : nullptr;
    if (hello) {
      return hello->name;
    }
    bytes.remove_prefix(std::min(n, bytes.size()));
  }
  return "";
}

}  // namespace

FaultProxy::FaultProxy(asio::io_context& io, Endpoint at, Endpoint to)
    : io_(io),
      acceptor_(io, ToTcp(at)),
      to_(to),
      delay_(std::make_shared<milliseconds>(0)),
      cut_(std::make_shared<Cut>()) {
  Accept();
}

void FaultProxy::Accept() {
  auto pair = std::make_shared<Pair>(io_);
  acceptor_.async_accept(pair->near, [this, pair](auto ec) {
    if (ec) {
      return;  // The proxy is gone.
    }
    pairs_.remove_if([](const auto& it) { return it.expired(); });
    pairs_.push_back(pair);
    pair->far.async_connect(ToTcp(to_), [this, pair](auto connect_ec) {
      if (connect_ec) {
        Reset(*pair);  // As the host itself would.
        return;
      }
      Carry(pair, kTowards);
      Carry(pair, kFrom);
    });
    Accept();
  });
}

void FaultProxy::Carry(const std::shared_ptr<Pair>& pair, Way way) {
  asio::co_spawn(io_, Run(pair, way, delay_, cut_), asio::detached);
}

asio::awaitable<void> FaultProxy::Run(std::shared_ptr<Pair> pair,
                                      Way way,
                                      std::shared_ptr<milliseconds> delay,
                                      std::shared_ptr<Cut> cut) {
  auto& from = way == kTowards ? pair->near : pair->far;
  auto& to = way == kTowards ? pair->far : pair->near;
  asio::steady_timer timer(from.get_executor());
  std::array<char, kBufferBytes> buf;
  while (true) {
    auto [ec, n] = co_await from.async_read_some(asio::buffer(buf), kToken);
    if (ec) {
      break;
    }
    if (*delay > milliseconds(0)) {
      timer.expires_after(*delay);
      co_await timer.async_wait(kToken);
    }
    if (way == kTowards && pair->opener.empty()) {
      pair->opener = FindOpener({buf.data(), n});
    }
    while (IsCut(*pair, way, *cut) && to.is_open()) {
      timer.expires_after(kLookInterval);
      co_await timer.async_wait(kToken);
    }
    auto [write_ec, written] =
        co_await asio::async_write(to, asio::buffer(buf.data(), n), kToken);
    if (write_ec) {
      break;
    }
  }
  // The end of one way is told where the other side may hear it.
  boost::system::error_code ignored;
  if (!pair->is_silent) {
    to.shutdown(tcp::socket::shutdown_send, ignored);
  }
  if (--pair->open_ways == 0) {
    pair->near.close(ignored);
    pair->far.close(ignored);
  }
}

bool FaultProxy::IsCut(const Pair& pair, Way way, const Cut& cut) {
  return pair.is_silent || cut.ways.at(way) || cut.hosts.contains(pair.opener);
}

void FaultProxy::Reset(Pair& pair) {
  for (auto* socket : {&pair.near, &pair.far}) {
    boost::system::error_code ignored;  // Closing it is all that matters.
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

void FaultProxy::ResetAll() {
  for (const auto& it : pairs_) {
    if (auto pair = it.lock()) {
      Reset(*pair);
    }
  }
}

void FaultProxy::SilenceAll() {
  for (const auto& it : pairs_) {
    if (auto pair = it.lock()) {
      pair->is_silent = true;
    }
  }
}

void FaultProxy::Heal() {
  *delay_ = milliseconds(0);
  *cut_ = {};
}

}  // namespace acaciahold::standins
