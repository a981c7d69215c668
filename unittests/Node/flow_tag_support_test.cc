// Tests which tags an entry host writes beside hosts of an earlier version,
// from what control hosts send it over loopback.

#include <functional>
#include <memory>
#include <string>

#include <boost/test/unit_test.hpp>
#include <unistd.h>

#include "acaciahold/Link/link.h"
#include "acaciahold/Node/entry_node.h"
#include "entry_settings.h"

namespace acaciahold::node {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeout{10'000};

Endpoint ControlLink() {
  auto host = static_cast<uint32_t>(::getpid()) & 0xffffU;
  return {(127U << 24U) | (93U << 16U) | host, 7'740};
}

// A control host that sends what the test says.
struct FakeControlHost {
  FakeControlHost() : entry(io, EntrySettings(ControlLink())) {
    auto opened =
        link::Listener::Listen(io, ControlLink(), [this](auto accepted) {
          accepted->Start(
              {[this](std::string_view) { has_hello = true; }, [] {}});
          session = accepted;
        });
    BOOST_REQUIRE(opened);
    listener = *opened;
    entry.Start([] {});
    BOOST_REQUIRE(WaitUntil([this] { return has_hello; }));
  }

  bool WaitUntil(const std::function<bool()>& condition) {
    Instant deadline = ReadClock() + Duration(kTimeout);
    while (!condition() && ReadClock() < deadline) {
      io.restart();
      io.run_for(milliseconds(5));
    }
    return condition();
  }

  void Send(const std::string& document) {
    session->Send(wire::EncodeControlMessage(wire::Document{document}));
  }

  // Waits until the entry host has handled a message that has this count.
  bool WaitForCount(uint32_t count) {
    return WaitUntil([&] { return entry.steering().entry_hosts == count; });
  }

  boost::asio::io_context io;
  EntryNode entry;
  std::shared_ptr<link::Listener> listener;
  std::shared_ptr<link::Session> session;
  bool has_hello = false;
};

}  // namespace

// Guards against flow tags while a control host of an earlier version can't say
// whether all entry hosts understand them, and against keeping to the former
// tags, which may clash, once all do.
BOOST_AUTO_TEST_CASE(EntryHostWritesFlowTagsOnceAllHostsUnderstandThem) {
  FakeControlHost control;
  BOOST_TEST(control.entry.steering().writes_flow_tags);
  control.Send(R"({"kind":"entry_count","count":3})");
  BOOST_REQUIRE(control.WaitForCount(3));
  BOOST_TEST(!control.entry.steering().writes_flow_tags);
  control.Send(R"({"kind":"entry_count","count":4,"flow_tag_support":2})");
  BOOST_REQUIRE(control.WaitForCount(4));
  BOOST_TEST(control.entry.steering().writes_flow_tags);
}

// Guards against former tags after a control host has started and does not know
// all entry hosts yet.
BOOST_AUTO_TEST_CASE(EntryHostKeepsItsTagsWhileNoControlHostKnows) {
  FakeControlHost control;
  for (const auto* support : {"1", "2"}) {
    bool writes_flow_tags = *support == '2';
    control.Send(std::string(R"({"kind":"entry_count","count":5,)") +
                 R"("flow_tag_support":)" + support + "}");
    BOOST_REQUIRE(control.WaitForCount(5));
    control.has_hello = false;
    control.session->Close();
    BOOST_REQUIRE(control.WaitUntil([&] { return control.has_hello; }));
    control.Send(R"({"kind":"entry_count","count":6,"flow_tag_support":0})");
    BOOST_REQUIRE(control.WaitForCount(6));
    BOOST_TEST(control.entry.steering().writes_flow_tags == writes_flow_tags);
  }
}

}  // namespace acaciahold::node
