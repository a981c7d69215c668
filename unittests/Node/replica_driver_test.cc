// Tests a replica whose disk rejects writes for a while.

#include "acaciahold/Node/replica_driver.h"

#include <csignal>
#include <filesystem>
#include <optional>
#include <thread>

#include <boost/test/unit_test.hpp>
#include <sys/resource.h>

namespace acaciahold::node {
namespace {

using std::chrono::milliseconds;

constexpr Endpoint kOwnEndpoint{(127U << 24U) | 1U, 7'720};

// While it exists, all file writes of this process fail.
class FullDiskScope {
 public:
  FullDiskScope() {
    std::signal(SIGXFSZ, SIG_IGN);
    ::getrlimit(RLIMIT_FSIZE, &before_);
    rlimit limit{0, before_.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &limit);
  }
  FullDiskScope(const FullDiskScope&) = delete;
  FullDiskScope& operator=(const FullDiskScope&) = delete;
  ~FullDiskScope() { ::setrlimit(RLIMIT_FSIZE, &before_); }

 private:
  rlimit before_{};
};

struct Group {
  explicit Group(const std::string& name)
      : folder(std::filesystem::temp_directory_path() /
               (name + "-" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(folder);
    ReplicaDriver::Handlers handlers;
    handlers.send = [](const auto&) {};
    handlers.apply = [this](const auto& entry) { applied = entry.payload; };
    handlers.restore = [](auto) {};
    handlers.snapshot = [] { return std::string(); };
    handlers.load_notes = [](auto) {};
    handlers.on_member_change = [] {};
    auto opened = ReplicaDriver::Open(
        io, {folder, kOwnEndpoint, {kOwnEndpoint}, std::nullopt}, handlers);
    BOOST_REQUIRE(opened);
    driver = std::move(*opened);
    driver->Start();
  }
  ~Group() { std::filesystem::remove_all(folder); }

  void RunFor(milliseconds time) {
    io.restart();
    io.run_for(time);
  }

  // Returns whether the command is applied within the time.
  bool Propose(const std::string& command, milliseconds time) {
    std::optional<bool> outcome;
    driver->Propose(command, [&](bool is_applied) { outcome = is_applied; });
    RunFor(time);
    return outcome.value_or(false);
  }

  boost::asio::io_context io;
  std::string folder;
  std::string applied;
  std::unique_ptr<ReplicaDriver> driver;
};

}  // namespace

// Guards against a replica that stays stopped after a full disk. The disk stays
// full past the first restart attempts, so that these fail too.
BOOST_AUTO_TEST_CASE(AReplicaRestartsAfterAFullDisk) {
  Group group("acaciahold-full-disk");
  group.RunFor(milliseconds(600));
  BOOST_TEST(group.driver->is_leader());
  BOOST_TEST(group.Propose("first", milliseconds(100)));
  {
    FullDiskScope full;
    BOOST_TEST(!group.Propose("lost", milliseconds(100)));
    BOOST_TEST(!group.driver->is_leader());
    group.RunFor(kDiskRetryInterval * 3);
    BOOST_TEST(!group.driver->is_leader());
  }
  group.RunFor(kDiskRetryInterval + milliseconds(800));
  BOOST_TEST(group.driver->is_leader());
  BOOST_TEST(group.Propose("second", milliseconds(100)));
  BOOST_TEST(group.applied == "second");
}

// Guards against a tick of a destroyed driver: both timers expire before the
// loop runs, so the driver's handler is queued when the other one destroys it.
// A tick would start the timer again, and the loop would not run out of work.
BOOST_AUTO_TEST_CASE(ADestroyedDriverDoesNotTickFromAQueuedHandler) {
  Group group("acaciahold-queued-tick");
  boost::asio::steady_timer destroyer(group.io, milliseconds(1));
  destroyer.async_wait([&](auto) { group.driver.reset(); });
  std::this_thread::sleep_for(milliseconds(100));
  BOOST_TEST(group.io.poll() == 2);
  BOOST_TEST(!group.driver);
  BOOST_TEST(group.io.stopped());
}

}  // namespace acaciahold::node
