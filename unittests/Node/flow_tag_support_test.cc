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

constexpr uint16_t kLinkPort = 7'740;

Endpoint ControlLink(uint32_t network) {
  auto host = static_cast<uint32_t>(::getpid()) & 0xffffU;
  return {(127U << 24U) | (network << 16U) | host, kLinkPort};
}

// A control host that sends what the test says.
struct FakeControlHost {
  FakeControlHost(boost::asio::io_context& io, Endpoint link) {
    auto opened = link::Listener::Listen(io, link, [this](auto accepted) {
      accepted->Start({[this](std::string_view) { has_hello = true; }, [] {}});
      session = accepted;
    });
    BOOST_REQUIRE(opened);
    listener = *opened;
  }

  void Send(const std::string& document) {
    session->Send(wire::EncodeControlMessage(wire::Document{document}));
  }

  std::shared_ptr<link::Listener> listener;
  std::shared_ptr<link::Session> session;
  bool has_hello = false;
};

// An entry host that is connected to two control hosts.
struct Deployment {
  Deployment() {
    entry.Start([] {});
    // An entry host synchronizes with one control host after the other.
    auto complete = R"({"kind":"complete"})";
    BOOST_REQUIRE(
        WaitUntil([this] { return first.has_hello || second.has_hello; }));
    (first.has_hello ? first : second).Send(complete);
    BOOST_REQUIRE(
        WaitUntil([this] { return first.has_hello && second.has_hello; }));
  }

  static NodeSettings Settings() {
    auto settings = EntrySettings(ControlLink(kFirstNetwork));
    settings.seeds.push_back({ControlLink(kSecondNetwork).address, 8'000});
    return settings;
  }

  bool WaitUntil(const std::function<bool()>& condition) {
    Instant deadline = ReadClock() + Duration(kTimeout);
    while (!condition() && ReadClock() < deadline) {
      io.restart();
      io.run_for(milliseconds(5));
    }
    return condition();
  }

  // Waits until the entry host has handled a message that has this count, the
  // highest so far.
  bool WaitForCount(uint32_t count) {
    return WaitUntil([&] { return entry.steering().entry_hosts == count; });
  }

  static constexpr uint32_t kFirstNetwork = 93;
  static constexpr uint32_t kSecondNetwork = 94;
  boost::asio::io_context io;
  FakeControlHost first{io, ControlLink(kFirstNetwork)};
  FakeControlHost second{io, ControlLink(kSecondNetwork)};
  EntryNode entry{io, Settings()};
};

}  // namespace

// Guards against flow tags while a control host of an earlier version can't say
// whether all entry hosts understand them, and against keeping to the former
// tags, which may clash, once all do.
BOOST_AUTO_TEST_CASE(EntryHostWritesFlowTagsOnceAllHostsUnderstandThem) {
  Deployment deployment;
  const auto& steering = deployment.entry.steering();
  BOOST_TEST(steering.writes_flow_tags);
  deployment.first.Send(R"({"kind":"entry_count","count":3})");
  BOOST_REQUIRE(deployment.WaitForCount(3));
  BOOST_TEST(!steering.writes_flow_tags);
  deployment.first.Send(
      R"({"kind":"entry_count","count":4,"flow_tag_support":2})");
  BOOST_REQUIRE(deployment.WaitForCount(4));
  BOOST_TEST(steering.writes_flow_tags);
}

// Guards against former tags after a control host has started and does not know
// all entry hosts yet.
BOOST_AUTO_TEST_CASE(EntryHostKeepsItsTagsWhileNoControlHostKnows) {
  Deployment deployment;
  auto& control = deployment.first;
  const auto& steering = deployment.entry.steering();
  for (const auto* support : {"1", "2"}) {
    bool writes_flow_tags = *support == '2';
    control.Send(std::string(R"({"kind":"entry_count","count":5,)") +
                 R"("flow_tag_support":)" + support + "}");
    BOOST_REQUIRE(deployment.WaitForCount(5));
    control.has_hello = false;
    control.session->Close();
    BOOST_REQUIRE(deployment.WaitUntil([&] { return control.has_hello; }));
    control.Send(R"({"kind":"entry_count","count":6,"flow_tag_support":0})");
    BOOST_REQUIRE(deployment.WaitForCount(6));
    BOOST_TEST(steering.writes_flow_tags == writes_flow_tags);
  }
}

// Guards against former tags for good after the last control host of an earlier
// version was replaced: the others report only what changes.
BOOST_AUTO_TEST_CASE(EntryHostWritesFlowTagsOnceTheControlHostInDoubtIsGone) {
  Deployment deployment;
  const auto& steering = deployment.entry.steering();
  deployment.first.Send(R"({"kind":"entry_count","count":3})");
  BOOST_REQUIRE(deployment.WaitForCount(3));
  deployment.second.Send(
      R"({"kind":"entry_count","count":4,"flow_tag_support":2})");
  BOOST_REQUIRE(deployment.WaitForCount(4));
  BOOST_TEST(!steering.writes_flow_tags);
  deployment.first.session->Close();
  BOOST_TEST(deployment.WaitUntil([&] { return steering.writes_flow_tags; }));
}

}  // namespace acaciahold::node
