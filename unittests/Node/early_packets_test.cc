// Tests the buffer for packets that arrive before the service table.

#include "acaciahold/Node/early_packets.h"

#include <boost/test/unit_test.hpp>

namespace acaciahold::node {
namespace {

using std::chrono::milliseconds;

const Instant kStart = FromUnixMillis(1'000'000);

std::vector<std::byte> MakePacket(size_t n) {
  return {static_cast<std::byte>(n), static_cast<std::byte>(n >> 8U)};
}

}  // namespace

BOOST_AUTO_TEST_CASE(EarlyPacketsAreReturnedInOrder) {
  EarlyPacketBuffer buffer;
  for (size_t n = 0; n < 3; ++n) {
    AddEarlyPacket(buffer, MakePacket(n), kStart + milliseconds(n));
  }
  auto packets = TakeEarlyPackets(buffer, kStart + milliseconds(60));
  BOOST_REQUIRE(packets.size() == 3U);
  BOOST_TEST((packets[0].bytes == MakePacket(0)));
  BOOST_TEST((packets[2].bytes == MakePacket(2)));
  BOOST_TEST(TakeEarlyPackets(buffer, kStart + milliseconds(60)).empty());
}

// By the timeout the caller has retransmitted the packet and may have given up.
BOOST_AUTO_TEST_CASE(ExpiredPacketsAreDropped) {
  EarlyPacketBuffer buffer;
  AddEarlyPacket(buffer, MakePacket(1), kStart);
  AddEarlyPacket(buffer, MakePacket(2), kStart + milliseconds(50));
  auto packets = TakeEarlyPackets(buffer, kStart + kEarlyPacketTimeout);
  BOOST_REQUIRE(packets.size() == 1U);
  BOOST_TEST((packets[0].bytes == MakePacket(2)));
  BOOST_TEST(buffer.dropped == 1U);
}

// Packets arrive for 300 ms before the table does; callers retransmit each
// after 200 ms. Guards against forwarding a packet and its retransmission
// together, which fills the queues of the upstreams in the first second after a
// restart.
BOOST_AUTO_TEST_CASE(PacketsThatAreRetransmittedSoonAreNotReturned) {
  constexpr milliseconds kRetransmissionInterval{200};
  EarlyPacketBuffer buffer;
  Instant table_received_at = kStart + milliseconds(300);
  for (size_t n = 0; n < 100; ++n) {
    Instant sent_at = kStart + milliseconds(3 * n);
    AddEarlyPacket(buffer, MakePacket(n), sent_at);
  }
  for (const auto& packet : TakeEarlyPackets(buffer, table_received_at)) {
    Instant sent_at = packet.deadline - kEarlyPacketTimeout;
    BOOST_TEST((sent_at + kRetransmissionInterval >
                table_received_at + kRetransmissionInterval / 2));
  }
}

BOOST_AUTO_TEST_CASE(BufferSizeIsBounded) {
  EarlyPacketBuffer buffer;
  for (size_t n = 0; n < kMaxEarlyPackets + 10; ++n) {
    AddEarlyPacket(buffer, MakePacket(n), kStart);
  }
  auto packets = TakeEarlyPackets(buffer, kStart);
  BOOST_REQUIRE(packets.size() == kMaxEarlyPackets);
  BOOST_TEST((packets.front().bytes == MakePacket(10)));
  BOOST_TEST(buffer.dropped == 10U);
}

}  // namespace acaciahold::node
