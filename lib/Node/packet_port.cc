// Batched reading and writing of datagrams.

#include "acaciahold/Node/packet_port.h"

#include <algorithm>
#include <cerrno>
#include <utility>

#include <arpa/inet.h>

namespace acaciahold::node {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using boost::system::error_code;

// Holds a burst of packets while the process does other work.
constexpr int kReceiveBufferBytes = 1 << 20;

}  // namespace

PacketPort::PacketPort(asio::io_context& io, Pacer pacer)
    : socket_(io), pacer_(std::move(pacer)), timer_(io) {
  for (size_t i = 0; i < kBatchSize; ++i) {
    receive_vectors_[i] = {buffers_[i].data() + kHeadroomBytes,
                           kMaxPacketBytes};
    receive_messages_[i].msg_hdr.msg_iov = &receive_vectors_[i];
    receive_messages_[i].msg_hdr.msg_iovlen = 1;
    send_addresses_[i].sin_family = AF_INET;
    send_messages_[i].msg_hdr.msg_iov = &send_vectors_[i];
    send_messages_[i].msg_hdr.msg_iovlen = 1;
    send_messages_[i].msg_hdr.msg_name = &send_addresses_[i];
    send_messages_[i].msg_hdr.msg_namelen = sizeof(sockaddr_in);
  }
}

Result<std::unique_ptr<PacketPort>> PacketPort::Bind(asio::io_context& io,
                                                     Endpoint endpoint,
                                                     Pacer pacer) {
  std::unique_ptr<PacketPort> port(new PacketPort(io, std::move(pacer)));
  error_code ec;
  auto& socket = port->socket_;
  socket.open(udp::v4(), ec);
  if (!ec) {
    socket.bind({asio::ip::address_v4(endpoint.address), endpoint.port}, ec);
  }
  if (!ec) {
    socket.non_blocking(true, ec);
  }
  if (ec) {
    return leaf::new_error(
        SystemError{"bind " + FormatEndpoint(endpoint), ec.message()});
  }
  // An error is ignored: a smaller buffer only means that more packets of a
  // burst are dropped.
  error_code ignored;
  socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBufferBytes),
                    ignored);
  return port;
}

void PacketPort::Start(Handler handler) {
  handler_ = std::move(handler);
  Wait();
}

void PacketPort::Wait() {
  socket_.async_wait(udp::socket::wait_read, [this](error_code ec) {
    if (ec) {
      return;
    }
    ReadBatch();
    Wait();
  });
}

void PacketPort::ReadBatch() {
  int n = ::recvmmsg(socket_.native_handle(), receive_messages_.data(),
                     kBatchSize, MSG_DONTWAIT, nullptr);
  if (n <= 0) {
    return;  // No packet is available; an error is reported by the next wait.
  }
  received_ += static_cast<uint64_t>(n);
  HandleBatch(static_cast<size_t>(n));
}

void PacketPort::HandleEarlyPackets() {
  size_t n = 0;
  for (const auto& packet : TakeEarlyPackets(early_packets_, ReadClock())) {
    std::copy(packet.bytes.begin(), packet.bytes.end(),
              buffers_[n].data() + kHeadroomBytes);
    receive_messages_[n].msg_len = static_cast<unsigned>(packet.bytes.size());
    if (++n == kBatchSize) {
      HandleBatch(std::exchange(n, 0));
    }
  }
  HandleBatch(n);
}

void PacketPort::Send(Endpoint to, std::span<std::byte> bytes) {
  send_vectors_[0] = {bytes.data(), bytes.size()};
  send_addresses_[0].sin_addr.s_addr = htonl(to.address);
  send_addresses_[0].sin_port = htons(to.port);
  SendBatch(1);
}

void PacketPort::HandleBatch(size_t n) {
  Instant now = ReadClock();
  size_t outgoing = 0;
  for (size_t i = 0; i < n; ++i) {
    std::span packet(buffers_[i].data() + kHeadroomBytes,
                     receive_messages_[i].msg_len);
    auto action = handler_(packet);
    if (action.is_early) {
      AddEarlyPacket(early_packets_, packet, now);
      continue;
    }
    if (action.bytes.empty()) {
      continue;
    }
    if (!TryConsumeCredit(pacer_, action.bytes.size(), now)) {
      Enqueue(pacer_, action.to, action.key, action.bytes);
      continue;
    }
    send_vectors_[outgoing] = {action.bytes.data(), action.bytes.size()};
    send_addresses_[outgoing].sin_addr.s_addr = htonl(action.to.address);
    send_addresses_[outgoing].sin_port = htons(action.to.port);
    ++outgoing;
  }
  SendBatch(outgoing);
  SendPacedPackets();
}

// Sends the queued packets that may be sent now, and starts the timer for the
// rest.
void PacketPort::SendPacedPackets() {
  Instant now = ReadClock();
  while (auto packet = Dequeue(pacer_, now)) {
    send_vectors_[0] = {packet->bytes.data(), packet->bytes.size()};
    send_addresses_[0].sin_addr.s_addr = htonl(packet->to.address);
    send_addresses_[0].sin_port = htons(packet->to.port);
    SendBatch(1);
  }
  auto next = NextSendTime(pacer_, now);
  if (!next || is_timer_set_) {
    return;
  }
  is_timer_set_ = true;
  timer_.expires_after(*next - now);
  timer_.async_wait([this](error_code ec) {
    is_timer_set_ = false;
    if (!ec) {
      SendPacedPackets();
    }
  });
}

void PacketPort::SendBatch(size_t n) {
  size_t begin = 0;
  while (begin < n) {
    int sent =
        ::sendmmsg(socket_.native_handle(), send_messages_.data() + begin,
                   static_cast<unsigned>(n - begin), MSG_DONTWAIT);
    if (sent < 0 && errno == EINTR) {
      continue;
    }
    if (sent <= 0) {
      ++send_failures_;  // The packet is dropped; its sender retransmits it.
      ++begin;
      continue;
    }
    sent_ += static_cast<uint64_t>(sent);
    begin += static_cast<size_t>(sent);
  }
}

}  // namespace acaciahold::node
