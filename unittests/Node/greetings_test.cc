// A host whose control hosts are all in reach at the same moment.

#include "acaciahold/Node/greetings.h"

#include <boost/test/unit_test.hpp>

namespace acaciahold::node {
namespace {

using std::chrono::milliseconds;

const Instant kStart = FromUnixMillis(1'000'000);

}  // namespace

// Six directories at once would fill a narrow link for longer than a silent
// link is kept.
BOOST_AUTO_TEST_CASE(FeedsAreAskedOneAfterTheOther) {
  Greetings greetings;
  Instant now = kStart;
  for (uint32_t feed = 0; feed < 6; ++feed) {
    BOOST_TEST(MayGreet(greetings, now));
    OnGreeted(greetings, feed, now);
    BOOST_TEST(!MayGreet(greetings, now));
    now += milliseconds(60);
    OnWord(greetings, feed, now);
    now += milliseconds(400);
    BOOST_TEST(!MayGreet(greetings, now));
    OnEnd(greetings, feed);
  }
  BOOST_TEST(MayGreet(greetings, now));
}

// Callers wait for a host that starts.
BOOST_AUTO_TEST_CASE(ASilentFeedDoesNotHoldUpOthers) {
  Greetings greetings;
  OnGreeted(greetings, 0, kStart);
  BOOST_TEST(!MayGreet(greetings, kStart + kFirstWordTimeout / 2));
  BOOST_TEST(MayGreet(greetings, kStart + kFirstWordTimeout));
}

// Nor does one that begins and never ends, or keeps on talking.
BOOST_AUTO_TEST_CASE(AFeedThatNeverEndsDoesNotHoldUpOthers) {
  Greetings greetings;
  OnGreeted(greetings, 0, kStart);
  OnWord(greetings, 0, kStart);
  BOOST_TEST(MayGreet(greetings, kStart + kTellTimeout));
  OnWord(greetings, 0, kStart + kTellTimeout);
  BOOST_TEST(MayGreet(greetings, kStart + kTellTimeout));
}

BOOST_AUTO_TEST_CASE(ALostFeedMakesWay) {
  Greetings greetings;
  OnGreeted(greetings, 3, kStart);
  OnEnd(greetings, 2);
  BOOST_TEST(!MayGreet(greetings, kStart));
  OnEnd(greetings, 3);
  BOOST_TEST(MayGreet(greetings, kStart));
}

}  // namespace acaciahold::node
