// A UDP socket that reads and writes packets in batches, with one system call
// for many packets and no allocation per packet.

#ifndef ACACIAHOLD_NODE_PACKET_PORT_H_
#define ACACIAHOLD_NODE_PACKET_PORT_H_

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <span>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <netinet/in.h>
#include <sys/socket.h>

#include "acaciahold/Node/early_packets.h"
#include "acaciahold/Node/pacer.h"
#include "acaciahold/Support/address.h"
#include "acaciahold/Support/error.h"

namespace acaciahold::node {

inline constexpr size_t kBatchSize = 32;
// Maximum size of a received packet, and the free space before it for a prefix
// that the handler adds.
inline constexpr size_t kMaxPacketBytes = 1'472;
inline constexpr size_t kHeadroomBytes = 64;

class PacketPort {
 public:
  // The handler's decision on a packet: send bytes that lie within the packet's
  // buffer including its headroom, keep the packet for HandleEarlyPackets, or
  // drop it.
  struct PacketAction {
    Endpoint to;
    std::span<std::byte> bytes;  // Empty: nothing is sent.
    uint64_t key = 0;            // Equal for retransmissions of a packet.
    bool is_early = false;       // To be buffered for HandleEarlyPackets.
  };
  // The buffer of `packet` has kHeadroomBytes free bytes before it.
  using Handler = std::function<PacketAction(std::span<std::byte> packet)>;

  // Fails with SystemError.
  static Result<std::unique_ptr<PacketPort>> Bind(boost::asio::io_context& io,
                                                  Endpoint endpoint,
                                                  Pacer pacer);

  void Start(Handler handler);

  // Sends a packet that is no answer to a received one.
  void Send(Endpoint to, std::span<std::byte> bytes);

  // Calls the handler again for the buffered packets that arrived before the
  // service table.
  void HandleEarlyPackets();

  const Pacer& pacer() const { return pacer_; }
  const EarlyPacketBuffer& early_packets() const { return early_packets_; }

  uint64_t received() const { return received_; }
  uint64_t sent() const { return sent_; }
  uint64_t send_failures() const { return send_failures_; }

 private:
  PacketPort(boost::asio::io_context& io, Pacer pacer);

  void Wait();
  void ReadBatch();
  // Handles the first `n` packets in buffers_, whose lengths are in
  // receive_messages_.
  void HandleBatch(size_t n);
  void SendBatch(size_t n);
  void SendPacedPackets();

  boost::asio::ip::udp::socket socket_;
  Pacer pacer_;
  EarlyPacketBuffer early_packets_;
  boost::asio::steady_timer timer_;
  // Whether timer_ runs for packets queued in pacer_.
  bool is_timer_set_ = false;
  Handler handler_;
  std::array<std::array<std::byte, kHeadroomBytes + kMaxPacketBytes>,
             kBatchSize>
      buffers_;
  std::array<iovec, kBatchSize> receive_vectors_{};
  std::array<mmsghdr, kBatchSize> receive_messages_{};
  std::array<iovec, kBatchSize> send_vectors_{};
  std::array<mmsghdr, kBatchSize> send_messages_{};
  std::array<sockaddr_in, kBatchSize> send_addresses_{};
  uint64_t received_ = 0;
  uint64_t sent_ = 0;
  uint64_t send_failures_ = 0;
};

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_PACKET_PORT_H_
