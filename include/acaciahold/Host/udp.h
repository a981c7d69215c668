// UDP socket that receives datagrams in batches and can send from any thread.

#ifndef ACACIAHOLD_HOST_UDP_H_
#define ACACIAHOLD_HOST_UDP_H_

#include <cstddef>
#include <functional>
#include <memory>
#include <span>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include "acaciahold/Support/address.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::host {

inline constexpr size_t kMaxDatagramBytes = 65'535;
inline constexpr int kSocketBufferBytes = 4 << 20;

class UdpSocket : public std::enable_shared_from_this<UdpSocket> {
 public:
  using DatagramHandler =
      std::function<void(std::span<const std::byte> bytes, Endpoint from)>;

  // Binds the socket; datagrams are received after Start(). With `reuse_port`,
  // several sockets can bind the same endpoint, and the kernel distributes
  // datagrams among them. Fails with SystemError.
  static Result<std::shared_ptr<UdpSocket>> Bind(boost::asio::io_context& io,
                                                 Endpoint endpoint,
                                                 bool reuse_port);

  // Calls `receiver` for each datagram, from one thread at a time.
  void Start(DatagramHandler handler);
  void Stop();

  // Drops the datagram if it cannot be sent without blocking.
  void Send(Endpoint to, std::span<const std::byte> bytes);

 private:
  explicit UdpSocket(boost::asio::io_context& io);

  static boost::asio::awaitable<void> ReceiveLoop(
      std::shared_ptr<UdpSocket> self,
      DatagramHandler handler);

  boost::asio::ip::udp::socket socket_;
};

}  // namespace acaciahold::host

#endif  // ACACIAHOLD_HOST_UDP_H_
