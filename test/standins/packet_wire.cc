// Encoding and decoding of packet heads, and sockets for them.

#include "packet_wire.h"

#include <boost/asio/buffer.hpp>
#include <boost/endian/conversion.hpp>

#include "packet_head.h"

namespace acaciahold::standins {
namespace {

namespace asio = boost::asio;
namespace endian = boost::endian;
using asio::ip::udp;

udp::endpoint ToUdp(Endpoint endpoint) {
  return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

}  // namespace

std::vector<std::byte> EncodePacket(const PacketFields& fields) {
  std::vector<std::byte> packet(platform::kPacketHeaderBytes +
                                fields.data_bytes);
  auto* at = reinterpret_cast<unsigned char*>(packet.data());
  const auto& from =
      fields.is_from_caller ? fields.flow.caller : fields.flow.listener;
  const auto& to =
      fields.is_from_caller ? fields.flow.listener : fields.flow.caller;
  endian::store_little_u32(at, fields.sum);
  at[4] = fields.flags;
  endian::store_little_u32(at + 8, fields.tag);
  endian::store_little_u32(at + 12, fields.sequence);
  endian::store_little_u32(at + 16, fields.acknowledged);
  endian::store_little_u16(at + 20, to.port);
  endian::store_little_u32(at + 22, from.address);
  endian::store_little_u32(at + 26, to.address);
  endian::store_little_u16(at + 30, from.port);
  endian::store_little_u16(at + 32, fields.data_bytes);
  return packet;
}

std::optional<PacketFields> DecodeFromUpstream(
    std::span<const std::byte> packet) {
  auto head = platform::ParsePacketHeader(packet);
  if (!head) {
    return std::nullopt;
  }
  const auto* at = reinterpret_cast<const unsigned char*>(packet.data());
  PacketFields fields;
  fields.is_from_caller = false;
  // The head names the sender first, which is the listener here.
  fields.flow = {head->flow.listener, head->flow.caller};
  fields.sum = endian::load_little_u32(at);
  fields.flags = at[4];
  fields.tag = head->tag;
  fields.sequence = head->sequence;
  fields.acknowledged = head->acknowledged;
  fields.data_bytes = head->data_bytes;
  return fields;
}

udp::socket BindUdp(asio::io_context& io, Endpoint endpoint) {
  udp::socket socket(io, udp::v4());
  socket.set_option(udp::socket::reuse_address(true));
  socket.bind(ToUdp(endpoint));
  return socket;
}

void SendTo(udp::socket& socket,
            std::span<const std::byte> bytes,
            Endpoint to) {
  boost::system::error_code ec;  // Lost, as on any network.
  socket.send_to(asio::buffer(bytes.data(), bytes.size()), ToUdp(to), 0, ec);
}

}  // namespace acaciahold::standins
