// Encodes and decodes packet headers and sends packets over UDP.

#include "packet_wire.h"

#include <boost/asio/buffer.hpp>
#include <boost/endian/conversion.hpp>

#include "packet_header.h"

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
  auto* packet_bytes = reinterpret_cast<unsigned char*>(packet.data());
  const auto& from =
      fields.is_from_caller ? fields.flow.caller : fields.flow.listener;
  const auto& to =
      fields.is_from_caller ? fields.flow.listener : fields.flow.caller;
  endian::store_little_u32(packet_bytes, fields.checksum);
  packet_bytes[4] = fields.flags;
  endian::store_little_u32(packet_bytes + 8, fields.tag);
  endian::store_little_u32(packet_bytes + 12, fields.sequence);
  endian::store_little_u32(packet_bytes + 16, fields.acknowledged);
  endian::store_little_u16(packet_bytes + 20, to.port);
  endian::store_little_u32(packet_bytes + 22, from.address);
  endian::store_little_u32(packet_bytes + 26, to.address);
  endian::store_little_u16(packet_bytes + 30, from.port);
  endian::store_little_u16(packet_bytes + 32, fields.data_bytes);
  return packet;
}

std::optional<PacketFields> DecodePacketFromUpstream(
    std::span<const std::byte> packet) {
  auto header = platform::ParsePacketHeader(packet);
  if (!header) {
    return std::nullopt;
  }
  const auto* packet_bytes =
      reinterpret_cast<const unsigned char*>(packet.data());
  PacketFields fields;
  fields.is_from_caller = false;
  // The header has the sender first. In this direction that is the listener.
  fields.flow = {header->flow.listener, header->flow.caller};
  fields.checksum = endian::load_little_u32(packet_bytes);
  fields.flags = packet_bytes[4];
  fields.tag = header->tag;
  fields.sequence = header->sequence;
  fields.acknowledged = header->acknowledged;
  fields.data_bytes = header->data_bytes;
  return fields;
}

udp::socket BindUdp(asio::io_context& io, Endpoint endpoint) {
  udp::socket socket(io, udp::v4());
  socket.set_option(udp::socket::reuse_address(true));
  socket.bind(ToUdp(endpoint));
  return socket;
}

void SendDatagram(udp::socket& socket,
                  std::span<const std::byte> bytes,
                  Endpoint to) {
  boost::system::error_code ec;  // Ignored: treated as packet loss.
  socket.send_to(asio::buffer(bytes.data(), bytes.size()), ToUdp(to), 0, ec);
}

}  // namespace acaciahold::standins
