// Tests an entry host whose feeds all become reachable at the same time.

#include "acaciahold/Node/feed_sync.h"

#include <boost/test/unit_test.hpp>

namespace acaciahold::node {
namespace {

using std::chrono::milliseconds;

const Instant kStart = FromUnixMillis(1'000'000);

}  // namespace

// Six directories sent at once would occupy a narrow link for longer than the
// connection timeout, so that the connections would be closed.
BOOST_AUTO_TEST_CASE(FeedsAreSynchronizedOneAtATime) {
  FeedSync sync;
  Instant now = kStart;
  for (uint32_t feed = 0; feed < 6; ++feed) {
    BOOST_TEST(CanStartSync(sync, now));
    OnSyncStarted(sync, feed, now);
    BOOST_TEST(!CanStartSync(sync, now));
    now += milliseconds(60);
    OnFeedMessage(sync, feed, now);
    now += milliseconds(400);
    BOOST_TEST(!CanStartSync(sync, now));
    OnSyncEnded(sync, feed);
  }
  BOOST_TEST(CanStartSync(sync, now));
}

// Callers may be waiting for a host that has just started.
BOOST_AUTO_TEST_CASE(SilentFeedDoesNotBlockOthers) {
  FeedSync sync;
  OnSyncStarted(sync, 0, kStart);
  BOOST_TEST(!CanStartSync(sync, kStart + kFirstMessageTimeout / 2));
  BOOST_TEST(CanStartSync(sync, kStart + kFirstMessageTimeout));
}

// A feed that starts to send its state but never completes, or keeps sending
// messages, must not block the others either.
BOOST_AUTO_TEST_CASE(FeedThatNeverCompletesDoesNotBlockOthers) {
  FeedSync sync;
  OnSyncStarted(sync, 0, kStart);
  OnFeedMessage(sync, 0, kStart);
  BOOST_TEST(CanStartSync(sync, kStart + kCompletionTimeout));
  OnFeedMessage(sync, 0, kStart + kCompletionTimeout);
  BOOST_TEST(CanStartSync(sync, kStart + kCompletionTimeout));
}

BOOST_AUTO_TEST_CASE(LostFeedUnblocksOthers) {
  FeedSync sync;
  OnSyncStarted(sync, 3, kStart);
  OnSyncEnded(sync, 2);
  BOOST_TEST(!CanStartSync(sync, kStart));
  OnSyncEnded(sync, 3);
  BOOST_TEST(CanStartSync(sync, kStart));
}

}  // namespace acaciahold::node
