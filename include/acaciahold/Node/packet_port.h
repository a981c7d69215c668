// A UDP socket that is read and written in batches: one system call for many
// packets, and no allocation for any of them.

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
// The largest packet, with room for what is put before it.
inline constexpr size_t kPacketBytes = 1'472;
inline constexpr size_t kPrefixRoom = 64;

class PacketPort {
 public:
  // What to do with one packet: to send bytes that lie in the packet's buffer
  // (`room` and what follows), or nothing.
  struct Outgoing {
    Endpoint to;
    std::span<std::byte> bytes;  // Empty: nothing is sent.
    uint64_t key = 0;            // The same for repetitions of a packet.
    bool is_early = false;       // To be handled again by HandleEarly.
  };
  // `packet` has kPrefixRoom free bytes before it.
  using Handler = std::function<Outgoing(std::span<std::byte> packet)>;

  // Fails with SystemError.
  static Result<std::unique_ptr<PacketPort>> Bind(boost::asio::io_context& io,
                                                  Endpoint endpoint,
                                                  Pacer pacer);

  void Start(Handler handler);

  // Handles the packets again that came too early.
  void HandleEarly();

  const Pacer& pacer() const { return pacer_; }
  const EarlyPacketBuffer& early() const { return early_; }

  uint64_t received() const { return received_; }
  uint64_t sent() const { return sent_; }
  uint64_t send_failures() const { return send_failures_; }

 private:
  PacketPort(boost::asio::io_context& io, Pacer pacer);

  void Wait();
  void ReadBatch();
  // Handles the first `n` packets in the buffers, whose lengths are in `in_`.
  void HandleBatch(size_t n);
  void SendBatch(size_t n);
  void SendWaiting();

  boost::asio::ip::udp::socket socket_;
  Pacer pacer_;
  EarlyPacketBuffer early_;
  boost::asio::steady_timer timer_;
  bool is_timer_set_ = false;  // For packets that wait.
  Handler handler_;
  std::array<std::array<std::byte, kPrefixRoom + kPacketBytes>, kBatchSize>
      buffers_;
  std::array<iovec, kBatchSize> in_vectors_{};
  std::array<mmsghdr, kBatchSize> in_{};
  std::array<iovec, kBatchSize> out_vectors_{};
  std::array<mmsghdr, kBatchSize> out_{};
  std::array<sockaddr_in, kBatchSize> out_addresses_{};
  uint64_t received_ = 0;
  uint64_t sent_ = 0;
  uint64_t send_failures_ = 0;
};

}  // namespace acaciahold::node

#endif  // ACACIAHOLD_NODE_PACKET_PORT_H_
