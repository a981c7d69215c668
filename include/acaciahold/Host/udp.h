// A UDP socket that is read in batches and may be written by any thread.

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
  using Receiver =
      std::function<void(std::span<const std::byte> bytes, Endpoint from)>;

  // Binds at once; datagrams are received after Start. Sockets at the same
  // endpoint share its datagrams if `is_shared`. Fails with SystemError.
  static Result<std::shared_ptr<UdpSocket>> Bind(boost::asio::io_context& io,
                                                 Endpoint endpoint,
                                                 bool is_shared);

  // Calls `receiver` for each datagram, from one thread at a time.
  void Start(Receiver receiver);
  void Stop();

  // Drops the datagram where the socket can't take it now.
  void Send(Endpoint to, std::span<const std::byte> bytes);

 private:
  explicit UdpSocket(boost::asio::io_context& io);

  static boost::asio::awaitable<void> Receive(std::shared_ptr<UdpSocket> self,
                                              Receiver receiver);

  boost::asio::ip::udp::socket socket_;
};

}  // namespace acaciahold::host

#endif  // ACACIAHOLD_HOST_UDP_H_
