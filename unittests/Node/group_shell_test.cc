// The shell of a replica over a disk that refuses to write for a while.

#include "acaciahold/Node/group_shell.h"

#include <csignal>
#include <filesystem>
#include <optional>

#include <boost/test/unit_test.hpp>
#include <sys/resource.h>

namespace acaciahold::node {
namespace {

using std::chrono::milliseconds;

constexpr Endpoint kOwn{(127U << 24U) | 1U, 7'720};

// Files of this process take no bytes while it lives.
class FullDisk {
 public:
  FullDisk() {
    std::signal(SIGXFSZ, SIG_IGN);
    ::getrlimit(RLIMIT_FSIZE, &before_);
    rlimit limit{0, before_.rlim_max};
    ::setrlimit(RLIMIT_FSIZE, &limit);
  }
  FullDisk(const FullDisk&) = delete;
  FullDisk& operator=(const FullDisk&) = delete;
  ~FullDisk() { ::setrlimit(RLIMIT_FSIZE, &before_); }

 private:
  rlimit before_{};
};

struct Group {
  explicit Group(const std::string& name)
      : folder(std::filesystem::temp_directory_path() /
               (name + "-" + std::to_string(::getpid()))) {
    std::filesystem::remove_all(folder);
    GroupShell::Handlers handlers;
    handlers.send = [](const auto&) {};
    handlers.apply = [this](const auto& entry) { applied = entry.payload; };
    handlers.restore = [](auto) {};
    handlers.snapshot = [] { return std::string(); };
    handlers.load_notes = [](auto) {};
    handlers.on_members = [] {};
    auto opened = GroupShell::Open(io, {folder, kOwn, {kOwn}}, handlers);
    BOOST_REQUIRE(opened);
    shell = std::move(*opened);
    shell->Start();
  }
  ~Group() { std::filesystem::remove_all(folder); }

  void RunFor(milliseconds time) {
    io.restart();
    io.run_for(time);
  }

  // Whether the command is applied within the time.
  bool Propose(const std::string& command, milliseconds time) {
    std::optional<bool> outcome;
    shell->Propose(command, [&](bool is_applied) { outcome = is_applied; });
    RunFor(time);
    return outcome.value_or(false);
  }

  boost::asio::io_context io;
  std::string folder;
  std::string applied;
  std::unique_ptr<GroupShell> shell;
};

}  // namespace

// The disk is full for longer than the first attempt to start again.
BOOST_AUTO_TEST_CASE(AReplicaComesBackAfterAFullDisk) {
  Group group("acaciahold-full-disk");
  group.RunFor(milliseconds(600));
  BOOST_TEST(group.shell->is_leader());
  BOOST_TEST(group.Propose("first", milliseconds(100)));
  {
    FullDisk full;
    BOOST_TEST(!group.Propose("lost", milliseconds(100)));
    BOOST_TEST(!group.shell->is_leader());
    group.RunFor(kDiskRetryInterval * 3);
    BOOST_TEST(!group.shell->is_leader());
  }
  group.RunFor(kDiskRetryInterval + milliseconds(800));
  BOOST_TEST(group.shell->is_leader());
  BOOST_TEST(group.Propose("second", milliseconds(100)));
  BOOST_TEST(group.applied == "second");
}

}  // namespace acaciahold::node
