// Tests an entry host whose feeds all become reachable at the same time.

#include "acaciahold/Node/greetings.h"

#include <boost/test/unit_test.hpp>

namespace acaciahold::node {
namespace {

using std::chrono::milliseconds;

const Instant kStart = FromUnixMillis(1'000'000);

}  // namespace

// Six directories sent at once would occupy a narrow link for longer than the
// connection timeout, so that the connections would be closed.
BOOST_AUTO_TEST_CASE(FeedsAreSynchronizedOneAtATime) {
  Greetings sync;
  Instant now = kStart;
  for (uint32_t feed = 0; feed < 6; ++feed) {
    BOOST_TEST(MayGreet(sync, now));
    OnGreeted(sync, feed, now);
    BOOST_TEST(!MayGreet(sync, now));
    now += milliseconds(60);
    OnWord(sync, feed, now);
    now += milliseconds(400);
    BOOST_TEST(!MayGreet(sync, now));
    OnEnd(sync, feed);
  }
  BOOST_TEST(MayGreet(sync, now));
}

// Callers may be waiting for a host that has just started.
BOOST_AUTO_TEST_CASE(SilentFeedDoesNotBlockOthers) {
  Greetings sync;
  OnGreeted(sync, 0, kStart);
  BOOST_TEST(!MayGreet(sync, kStart + kFirstMessageTimeout / 2));
  BOOST_TEST(MayGreet(sync, kStart + kFirstMessageTimeout));
}

// A feed that starts to send its state but never completes, or keeps sending
// messages, must not block the others either.
BOOST_AUTO_TEST_CASE(FeedThatNeverCompletesDoesNotBlockOthers) {
  Greetings sync;
  OnGreeted(sync, 0, kStart);
  OnWord(sync, 0, kStart);
  BOOST_TEST(MayGreet(sync, kStart + kCompletionTimeout));
  OnWord(sync, 0, kStart + kCompletionTimeout);
  BOOST_TEST(MayGreet(sync, kStart + kCompletionTimeout));
}

BOOST_AUTO_TEST_CASE(LostFeedUnblocksOthers) {
  Greetings sync;
  OnGreeted(sync, 3, kStart);
  OnEnd(sync, 2);
  BOOST_TEST(!MayGreet(sync, kStart));
  OnEnd(sync, 3);
  BOOST_TEST(MayGreet(sync, kStart));
}

}  // namespace acaciahold::node
