// Receives datagrams in batches; sends with sendto() without an event loop.

#include "acaciahold/Host/udp.h"

#include <vector>

#include <arpa/inet.h>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/strand.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <sys/socket.h>

namespace acaciahold::host {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr auto kToken = asio::as_tuple(asio::use_awaitable);
// Maximum number of datagrams read before the coroutine yields, so that other
// handlers of the thread can run.
constexpr int kMaxReadsPerWakeup = 64;

sockaddr_in ToSockaddr(Endpoint endpoint) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(endpoint.address);
  address.sin_port = htons(endpoint.port);
  return address;
}

}  // namespace

UdpSocket::UdpSocket(asio::io_context& io) : socket_(asio::make_strand(io)) {}

Result<std::shared_ptr<UdpSocket>> UdpSocket::Bind(asio::io_context& io,
                                                   Endpoint endpoint,
                                                   bool reuse_port) {
  std::shared_ptr<UdpSocket> self(new UdpSocket(io));
  boost::system::error_code ec;
  auto& socket = self->socket_;
  socket.open(udp::v4(), ec);
  int on = 1;
  if (!ec && reuse_port) {
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_REUSEPORT, &on,
                 sizeof(on));
  }
  if (!ec) {
    // The kernel caps the sizes at its own limits; smaller buffers are
    // accepted.
    boost::system::error_code ignored;
    socket.set_option(
        asio::socket_base::receive_buffer_size(kSocketBufferBytes), ignored);
    socket.set_option(asio::socket_base::send_buffer_size(kSocketBufferBytes),
                      ignored);
    socket.bind(
        udp::endpoint(asio::ip::address_v4(endpoint.address), endpoint.port),
        ec);
  }
  if (!ec) {
    socket.non_blocking(true, ec);
  }
  if (ec) {
    return leaf::new_error(
        SystemError{"bind " + FormatEndpoint(endpoint), ec.message()});
  }
  return self;
}

void UdpSocket::Start(DatagramHandler handler) {
  asio::co_spawn(socket_.get_executor(),
                 ReceiveLoop(shared_from_this(), std::move(handler)),
                 asio::detached);
}

void UdpSocket::Stop() {
  asio::post(socket_.get_executor(), [self = shared_from_this()] {
    boost::system::error_code ec;
    self->socket_.close(ec);
  });
}

void UdpSocket::Send(Endpoint to, std::span<const std::byte> bytes) {
  auto address = ToSockaddr(to);
  ::sendto(socket_.native_handle(), bytes.data(), bytes.size(), MSG_DONTWAIT,
           reinterpret_cast<const sockaddr*>(&address), sizeof(address));
}

asio::awaitable<void> UdpSocket::ReceiveLoop(std::shared_ptr<UdpSocket> self,
                                             DatagramHandler handler) {
  std::vector<std::byte> buf(kMaxDatagramBytes);
  while (self->socket_.is_open()) {
    auto [ec] =
        co_await self->socket_.async_wait(udp::socket::wait_read, kToken);
    if (ec) {
      co_return;
    }
    for (int i = 0; i < kMaxReadsPerWakeup; ++i) {
      sockaddr_in from{};
      socklen_t from_size = sizeof(from);
      auto n = ::recvfrom(self->socket_.native_handle(), buf.data(), buf.size(),
                          MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&from),
                          &from_size);
      if (n < 0) {
        break;
      }
      handler(std::span(buf.data(), static_cast<size_t>(n)),
              {ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)});
    }
  }
}

}  // namespace acaciahold::host
