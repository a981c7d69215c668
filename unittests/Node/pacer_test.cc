// Tests the pacer with windows of long packets on a slow link.

#include "acaciahold/Node/pacer.h"

#include <boost/test/unit_test.hpp>

namespace acaciahold::node {
namespace {

using std::chrono::milliseconds;

const Instant kStart = FromUnixMillis(1'000'000);
const std::vector<std::byte> kLong(1'242);
const std::vector<std::byte> kShort(60);

// Sends or queues a packet. Returns whether it was sent.
bool Offer(Pacer& pacer,
           const std::vector<std::byte>& bytes,
           uint64_t key,
           Instant now) {
  if (TryConsumeCredit(pacer, bytes.size(), now)) {
    return true;
  }
  Enqueue(pacer, {1, 1}, key, bytes);
  return false;
}

}  // namespace

BOOST_AUTO_TEST_CASE(WithoutLimitNothingIsQueued) {
  auto pacer = MakePacer(0);
  for (uint64_t i = 0; i < 1'000; ++i) {
    BOOST_TEST(Offer(pacer, kLong, i, kStart));
  }
  BOOST_TEST(!NextSendTime(pacer, kStart).has_value());
}

BOOST_AUTO_TEST_CASE(WindowIsSentAtLinkBandwidth) {
  auto pacer = MakePacer(2);  // In Mbit/s; 16 packets take 80 ms.
  int at_once = 0;
  for (uint64_t i = 0; i < 16; ++i) {
    at_once += Offer(pacer, kLong, i, kStart) ? 1 : 0;
  }
  BOOST_TEST(at_once <= 5);
  int sent = at_once;
  Instant now = kStart;
  while (auto next = NextSendTime(pacer, now)) {
    BOOST_TEST((*next > now));
    now = *next;
    while (Dequeue(pacer, now)) {
      ++sent;
    }
  }
  BOOST_TEST(sent == 16);
  BOOST_TEST((now - kStart >= milliseconds(50)));
  BOOST_TEST((now - kStart <= milliseconds(95)));
  BOOST_TEST(pacer.dropped == 0U);
}

BOOST_AUTO_TEST_CASE(ShortPacketsPrecedeLongOnes) {
  auto pacer = MakePacer(2);
  for (uint64_t i = 0; i < 16; ++i) {
    Offer(pacer, kLong, i, kStart);
  }
  Offer(pacer, kShort, 99, kStart);
  auto next = Dequeue(pacer, kStart + milliseconds(20));
  BOOST_REQUIRE(next.has_value());
  BOOST_TEST(next->key == 99U);
}

BOOST_AUTO_TEST_CASE(RetransmittedPacketIsQueuedOnce) {
  auto pacer = MakePacer(2);
  for (uint64_t i = 0; i < 16; ++i) {
    Offer(pacer, kLong, i, kStart);
  }
  auto waiting = pacer.long_packets.size();
  Enqueue(pacer, {1, 1}, 15, kLong);
  BOOST_TEST(pacer.long_packets.size() == waiting);
  BOOST_TEST(pacer.repeated == 1U);
}

BOOST_AUTO_TEST_CASE(QueueSizeIsBounded) {
  auto pacer = MakePacer(2);
  for (uint64_t i = 0; i < 2 * kMaxWaitingPackets; ++i) {
    Offer(pacer, kLong, i, kStart);
  }
  BOOST_TEST(pacer.long_packets.size() == kMaxWaitingPackets);
  BOOST_TEST(pacer.dropped > 0U);
}

}  // namespace acaciahold::node
