// Forwards data between two sockets and injects faults.

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

constexpr auto kCompletionToken = asio::as_tuple(asio::use_awaitable);
// How often a blocked direction is checked again.
constexpr milliseconds kBlockPollInterval{20};
constexpr size_t kBufferBytes = 16'384;

tcp::endpoint ToTcp(Endpoint endpoint) {
  return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

// Returns the host name in the Hello message among these frames, or an empty
// string if there is none. Each frame is a message preceded by its length, four
// bytes in network byte order.
std::string FindInitiator(std::string_view bytes) {
  constexpr size_t kLengthBytes = 4;
  while (bytes.size() >= kLengthBytes) {
    size_t n = 0;
    for (char byte : bytes.substr(0, kLengthBytes)) {
      n = (n << 8U) | static_cast<unsigned char>(byte);
    }
    bytes.remove_prefix(kLengthBytes);
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

FaultProxy::FaultProxy(asio::io_context& io,
                       Endpoint listen_endpoint,
                       Endpoint target)
    : io_(io),
      acceptor_(io, ToTcp(listen_endpoint)),
      target_(target),
      delay_(std::make_shared<milliseconds>(0)),
      blocks_(std::make_shared<Blocks>()) {
  Accept();
}

void FaultProxy::Accept() {
  auto connection = std::make_shared<Connection>(io_);
  acceptor_.async_accept(
      connection->client_socket, [this, connection](auto ec) {
        if (ec) {
          return;  // The acceptor was closed.
        }
        connections_.remove_if([](const auto& it) { return it.expired(); });
        connections_.push_back(connection);
        connection->target_socket.async_connect(
            ToTcp(target_), [this, connection](auto connect_ec) {
              if (connect_ec) {
                // As the host would do if it did not listen.
                Reset(*connection);
                return;
              }
              StartForwarding(connection, kToTarget);
              StartForwarding(connection, kFromTarget);
            });
        Accept();
      });
}

void FaultProxy::StartForwarding(const std::shared_ptr<Connection>& connection,
                                 Direction direction) {
  asio::co_spawn(io_, Forward(connection, direction, delay_, blocks_),
                 asio::detached);
}

asio::awaitable<void> FaultProxy::Forward(
    std::shared_ptr<Connection> connection,
    Direction direction,
    std::shared_ptr<milliseconds> delay,
    std::shared_ptr<Blocks> blocks) {
  auto& from = direction == kToTarget ? connection->client_socket
                                      : connection->target_socket;
  auto& to = direction == kToTarget ? connection->target_socket
                                    : connection->client_socket;
  asio::steady_timer timer(from.get_executor());
  std::array<char, kBufferBytes> buf;
  while (true) {
    auto [ec, n] =
        co_await from.async_read_some(asio::buffer(buf), kCompletionToken);
    if (ec) {
      break;
    }
    if (*delay > milliseconds(0)) {
      timer.expires_after(*delay);
      co_await timer.async_wait(kCompletionToken);
    }
    if (direction == kToTarget && connection->initiator.empty()) {
      connection->initiator = FindInitiator({buf.data(), n});
    }
    while (IsBlocked(*connection, direction, *blocks) && to.is_open()) {
      timer.expires_after(kBlockPollInterval);
      co_await timer.async_wait(kCompletionToken);
    }
    auto [write_ec, written] = co_await asio::async_write(
        to, asio::buffer(buf.data(), n), kCompletionToken);
    if (write_ec) {
      break;
    }
  }
  // Pass the end of this direction on, unless the connection is blackholed.
  boost::system::error_code ignored;
  if (!connection->is_blackholed) {
    to.shutdown(tcp::socket::shutdown_send, ignored);
  }
  if (--connection->open_directions == 0) {
    connection->client_socket.close(ignored);
    connection->target_socket.close(ignored);
  }
}

bool FaultProxy::IsBlocked(const Connection& connection,
                           Direction direction,
                           const Blocks& blocks) {
  return connection.is_blackholed || blocks.directions.at(direction) ||
         blocks.initiators.contains(connection.initiator);
}

void FaultProxy::Reset(Connection& connection) {
  for (auto* socket : {&connection.client_socket, &connection.target_socket}) {
    boost::system::error_code ignored;  // The socket is closed either way.
    socket->set_option(asio::socket_base::linger(true, 0), ignored);
    socket->close(ignored);
  }
}

void FaultProxy::ResetConnections() {
  for (const auto& it : connections_) {
    if (auto connection = it.lock()) {
      Reset(*connection);
    }
  }
}

void FaultProxy::BlackholeConnections() {
  for (const auto& it : connections_) {
    if (auto connection = it.lock()) {
      connection->is_blackholed = true;
    }
  }
}

void FaultProxy::ClearFaults() {
  *delay_ = milliseconds(0);
  *blocks_ = {};
}

}  // namespace acaciahold::standins
