// Packets that come before a host knows what to do with them.

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

BOOST_AUTO_TEST_CASE(EarlyPacketsComeBackInOrder) {
  EarlyPackets early;
  for (size_t n = 0; n < 3; ++n) {
    KeepEarly(early, MakePacket(n), kStart + milliseconds(n));
  }
  auto packets = TakeEarly(early, kStart + milliseconds(60));
  BOOST_REQUIRE(packets.size() == 3U);
  BOOST_TEST((packets[0].bytes == MakePacket(0)));
  BOOST_TEST((packets[2].bytes == MakePacket(2)));
  BOOST_TEST(TakeEarly(early, kStart + milliseconds(60)).empty());
}

// Its sender has repeated it by then, and may have given up.
BOOST_AUTO_TEST_CASE(WhatWaitedTooLongIsDropped) {
  EarlyPackets early;
  KeepEarly(early, MakePacket(1), kStart);
  KeepEarly(early, MakePacket(2), kStart + milliseconds(50));
  auto packets = TakeEarly(early, kStart + kEarlyTimeout);
  BOOST_REQUIRE(packets.size() == 1U);
  BOOST_TEST((packets[0].bytes == MakePacket(2)));
  BOOST_TEST(early.dropped == 1U);
}

BOOST_AUTO_TEST_CASE(ACrowdIsBounded) {
  EarlyPackets early;
  for (size_t n = 0; n < kMaxEarlyPackets + 10; ++n) {
    KeepEarly(early, MakePacket(n), kStart);
  }
  auto packets = TakeEarly(early, kStart);
  BOOST_REQUIRE(packets.size() == kMaxEarlyPackets);
  BOOST_TEST((packets.front().bytes == MakePacket(10)));
  BOOST_TEST(early.dropped == 10U);
}

}  // namespace acaciahold::node
