// Case: a control host is killed while it replaces its log by a snapshot that
// the leader sent, and cannot start any more after its next restart.

#include <sys/inotify.h>

#include "harness.hpp"

namespace {

using namespace review;

constexpr int kChangeGapMs = 80;      // config_storm: gap_s 0.08.
constexpr int kRestartDelayMs = 500;  // "restarted after a short delay"
constexpr int kMaxKills = 5;
constexpr int kPlainKills = 3;  // The others strike a host that is slowed.
// A slowed host runs a fifth of the time (node_slow: x up to 5.5).
constexpr auto kRunSlice = std::chrono::microseconds(40);
constexpr auto kStopSlice = std::chrono::microseconds(160);
constexpr uint64_t kChangesPerSnapshot = 64;
constexpr int kSyncMs = 4'000;         // syncS
constexpr int kReplacementMs = 2'000;  // replace_core: x = 2.
constexpr int kReadMs =
    24'000;  // Over recoveryS (12) and ackMs (5) and 4 more.

uint64_t InodeOf(const std::string& path) {
  struct stat info {};
  return stat(path.c_str(), &info) == 0 ? info.st_ino : 0;
}

class Scenario {
 public:
  Scenario(const std::string& root, const std::string& record_path, int trouble)
      : trouble_(trouble),
        record_(record_path),
        deployment_(root, record_),
        operator_(deployment_, record_) {}

  int Run();

 private:
  bool Change() {
    ++version_;
    auto response =
        operator_.Send("PUT", "/-/config", MakeConfig(version_), 5'000);
    bool is_acked = response && response->status == 200;
    acked_ = is_acked ? version_ : acked_;
    return is_acked;
  }
  void ChangeUntil(uint64_t version) {
    while (acked_ < version) {
      Change();
      Sleep(kChangeGapMs);
    }
  }
  void ChangeFor(int ms, int gap_ms) {
    auto deadline = Clock::now() + milliseconds(ms);
    while (Clock::now() < deadline) {
      Change();
      Sleep(gap_ms);
    }
  }
  bool KillDuringSnapshot(Host& host, bool is_slow);
  void KeepStarting(Host& host, int ms);
  int ReadBack();

  int trouble_;
  Record record_;
  Deployment deployment_;
  Operator operator_;
  uint64_t version_ = 0;
  uint64_t acked_ = 0;
};

void Spin(std::chrono::microseconds time) {
  auto deadline = Clock::now() + time;
  while (Clock::now() < deadline) {
  }
}

// Waits until a file is moved to `name` in the folder.
bool AwaitMove(int watch, const char* name, Clock::time_point deadline) {
  while (Clock::now() < deadline) {
    pollfd wait{watch, POLLIN, 0};
    alignas(inotify_event) char buf[4'096];
    poll(&wait, 1, RemainingMs(deadline));
    auto n = read(watch, buf, sizeof(buf));
    for (ssize_t i = 0; i < n;) {
      const auto* event = reinterpret_cast<const inotify_event*>(buf + i);
      if (std::strcmp(event->name, name) == 0) {
        return true;
      }
      i += static_cast<ssize_t>(sizeof(inotify_event) + event->len);
    }
  }
  return false;
}

// Starts the host, kills it when its file `snapshot` has been replaced, and
// starts it again. Returns whether the kill came before the file `log` was
// replaced too. The files are only looked at.
bool Scenario::KillDuringSnapshot(Host& host, bool is_slow) {
  std::string folder = deployment_.DiskOf(host);
  auto log_before = InodeOf(folder + "/log");
  auto snapshot_before = InodeOf(folder + "/snapshot");
  int watch = inotify_init1(IN_NONBLOCK | IN_CLOEXEC);
  inotify_add_watch(watch, folder.c_str(), IN_MOVED_TO);
  deployment_.Start(host);
  auto deadline = Clock::now() + milliseconds(5'000);
  if (is_slow) {
    record_.Line("slow    %s, five times", host.name.c_str());
    while (InodeOf(folder + "/snapshot") == snapshot_before &&
           Clock::now() < deadline) {
      deployment_.Signal(host, SIGCONT);
      Spin(kRunSlice);
      deployment_.Signal(host, SIGSTOP);
      Spin(kStopSlice);
    }
  } else {
    AwaitMove(watch, "snapshot", deadline);
  }
  deployment_.Signal(host, SIGKILL);
  close(watch);
  deployment_.Kill(host);
  bool is_snapshot_new = InodeOf(folder + "/snapshot") != snapshot_before;
  bool is_log_new = InodeOf(folder + "/log") != log_before;
  record_.Line("note    snapshot replaced: %s, log replaced: %s",
               is_snapshot_new ? "yes" : "no", is_log_new ? "yes" : "no");
  Sleep(kRestartDelayMs);
  deployment_.Start(host);
  return is_snapshot_new && !is_log_new;
}

// Restarts the host's process each time that it ends, as the platform does.
void Scenario::KeepStarting(Host& host, int ms) {
  auto deadline = Clock::now() + milliseconds(ms);
  while (Clock::now() < deadline) {
    if (auto code = deployment_.Reap(host, 0)) {
      std::string reason = deployment_.LastLogLine(host);
      reason = reason.substr(std::min(reason.size(), reason.find("corrupt")));
      record_.Line("END     %s ended by itself, exit code %d: %s",
                   host.name.c_str(), *code, reason.c_str());
    }
    if (host.pid <= 0) {
      Sleep(kRestartDelayMs);
      deployment_.Start(host);
    }
    Sleep(100);
  }
}

// The operator reads the configuration back and sends one more change.
int Scenario::ReadBack() {
  auto deadline = Clock::now() + milliseconds(kReadMs);
  operator_.is_quiet = false;
  bool has_read = false;
  bool is_acked = false;
  ++version_;
  while (Clock::now() < deadline && !(has_read && is_acked)) {
    auto read = operator_.Send("GET", "/-/config", "", 1'500);
    if (read && read->status == 200) {
      has_read = VersionOf(read->body) >= acked_;
    }
    auto put = operator_.Send("PUT", "/-/config", MakeConfig(version_), 1'500);
    is_acked = is_acked || (put && put->status == 200);
    KeepStarting(deployment_.hosts[2], 100);
  }
  record_.Line(
      "RESULT  newest acknowledged version %lu; read back: %s; one "
      "more change acknowledged: %s",
      static_cast<unsigned long>(acked_), has_read ? "yes" : "no",
      is_acked ? "yes" : "no");
  return has_read && is_acked ? kHeld : kBroken;
}

int Scenario::Run() {
  if (!deployment_.is_usable()) {
    return kCouldNotRun;
  }
  const char* zones[] = {"asahikawa", "nayoro", "kitami"};
  for (int i = 0; i < 3; ++i) {
    deployment_.seeds.push_back(deployment_.Address(4, i + 1));
    deployment_.hosts.push_back({std::string("core-") + zones[i] + "-1",
                                 zones[i], deployment_.seeds[i], false, true,
                                 -1});
  }
  operator_.addresses = deployment_.seeds;
  for (auto& host : deployment_.hosts) {
    deployment_.Start(host);
  }
  if (!Change()) {
    record_.Line("RESULT  the first configuration was not acknowledged");
    return kCouldNotRun;
  }
  for (auto& host : deployment_.hosts) {
    host.bootstrap = false;
  }
  // The host that is killed comes last, and is not the leader.
  while (deployment_.hosts[2].address == operator_.last_address) {
    std::rotate(deployment_.hosts.begin(), deployment_.hosts.begin() + 1,
                deployment_.hosts.end());
  }
  auto& victim = deployment_.hosts[2];
  operator_.is_quiet = true;
  for (int i = 0; i < kMaxKills; ++i) {
    record_.Line("note    changes, one each %d ms", kChangeGapMs);
    ChangeFor(3'200, kChangeGapMs);
    if (trouble_ == 1) {
      deployment_.Kill(victim);
    }
    // Until the leader has replaced the part of its log that the host lacks.
    ChangeUntil((acked_ / kChangesPerSnapshot + 1) * kChangesPerSnapshot + 8);
    record_.Line("note    %lu versions acknowledged",
                 static_cast<unsigned long>(acked_));
    if (trouble_ != 1 || KillDuringSnapshot(victim, i >= kPlainKills)) {
      break;
    }
    ChangeFor(2'800, 250);
  }
  ChangeFor(kSyncMs + 2'000, 500);
  if (trouble_ == 1) {
    record_.Line("SIGTERM %s", victim.name.c_str());
    deployment_.Signal(victim, SIGTERM);
    deployment_.Reap(victim, 6'000);
    KeepStarting(victim, kSyncMs + 3'000);
  }
  // A machine of the core is replaced by an empty one at another address: one
  // that does not lead.
  int removed = deployment_.hosts[0].address == operator_.last_address ? 1 : 0;
  if (trouble_ != 0) {
    deployment_.Kill(deployment_.hosts[removed]);
    record_.Line("note    %s is gone for good",
                 deployment_.hosts[removed].name.c_str());
    Sleep(kReplacementMs);
    Host added{deployment_.hosts[removed].zone + "-new",
               deployment_.hosts[removed].zone,
               deployment_.Address(4, 4),
               false,
               false,
               -1};
    added.name = "core-" + added.name;
    deployment_.hosts.push_back(added);
    deployment_.Start(deployment_.hosts.back());
    operator_.addresses.push_back(added.address);
    std::erase(operator_.addresses, deployment_.hosts[removed].address);
    KeepStarting(deployment_.hosts[2], kSyncMs);
  }
  return ReadBack();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 4) {
    return kCouldNotRun;
  }
  return Scenario(argv[1], argv[2], std::atoi(argv[3])).Run();
}
