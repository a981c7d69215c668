// Case: a control host is replaced as planned, by one that has long been
// running; soon after, another control host is lost for good and replaced.

#include "harness.hpp"

namespace {

using namespace review;

constexpr int kSyncMs = 4'000;         // syncS
constexpr int kSuccessorMs = 10'000;   // The successor runs first: over syncS.
constexpr int kSeedLagMs = 3'000;      // seedLagS
constexpr int kStormGapMs = 80;        // config_storm: gap_s 0.08, for_s 2.
constexpr int kStormMs = 4'000;        // Two of them, one after the other.
constexpr int kLaterMs = 4'000;        // If TROUBLE=2.
constexpr int kReplacementMs = 2'000;  // replace_core: x = 2.
constexpr int kReadMs = 30'000;        // Over recoveryS (12), ackMs (5) and 4.

class Scenario {
 public:
  Scenario(const std::string& root,
           const std::string& record_path,
           int trouble,
           bool has_storm)
      : trouble_(trouble),
        has_storm_(has_storm),
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
  // Changes the configuration each `gap_ms` until `ms` have passed.
  void ChangeFor(int ms, int gap_ms) {
    auto deadline = Clock::now() + milliseconds(ms);
    while (Clock::now() < deadline) {
      auto next = Clock::now() + milliseconds(gap_ms);
      Change();
      Sleep(std::min(RemainingMs(next), RemainingMs(deadline)));
    }
  }
  // The host that acknowledged last.
  Host& Leader() {
    for (auto& host : deployment_.hosts) {
      if (host.address == operator_.last_address) {
        return host;
      }
    }
    return deployment_.hosts[0];
  }
  void Add(const std::string& zone, int number) {
    deployment_.hosts.push_back({"core-" + zone + "-" + std::to_string(number),
                                 zone, deployment_.Address(4, number), false,
                                 false, -1});
    deployment_.Start(deployment_.hosts.back());
    operator_.addresses.push_back(deployment_.hosts.back().address);
  }
  void Forget(const Host& host) {
    std::erase(operator_.addresses, host.address);
  }
  int ReadBack();

  int trouble_;
  bool has_storm_;
  Record record_;
  Deployment deployment_;
  Operator operator_;
  uint64_t version_ = 0;
  uint64_t acked_ = 0;
};

// The operator reads the configuration back and sends one more change.
int Scenario::ReadBack() {
  auto deadline = Clock::now() + milliseconds(kReadMs);
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
  deployment_.hosts.reserve(8);
  const char* zones[] = {"asahikawa", "nayoro", "kitami"};
  for (int i = 0; i < 3; ++i) {
    deployment_.seeds.push_back(deployment_.Address(4, i + 1));
    deployment_.hosts.push_back(
        {std::string("core-") + zones[i] + "-" + std::to_string(i + 1),
         zones[i], deployment_.seeds[i], false, true, -1});
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
  ChangeFor(2'000, 500);
  if (trouble_ == 0) {
    ChangeFor(kSuccessorMs + kSeedLagMs, 500);
    ChangeFor(kStormMs, kStormGapMs);
    return ReadBack();
  }
  auto& leaving = Leader();
  record_.Line("note    planned replacement of %s: the new one starts first",
               leaving.name.c_str());
  Add(leaving.zone, 4);
  ChangeFor(kSuccessorMs, 500);
  record_.Line("SIGTERM %s; it is gone for good", leaving.name.c_str());
  deployment_.Signal(leaving, SIGTERM);
  auto terminated_at = Clock::now();
  deployment_.Reap(leaving, 6'000);
  Forget(leaving);
  Sleep(kSeedLagMs - 500);
  Change();
  Sleep(RemainingMs(terminated_at + milliseconds(kSeedLagMs)));
  if (trouble_ == 2) {
    ChangeFor(kLaterMs, 500);
  } else if (has_storm_) {
    record_.Line("note    changes in quick succession, one each %d ms",
                 kStormGapMs);
    ChangeFor(kStormMs, kStormGapMs);
  } else {
    Change();
    Sleep(RemainingMs(terminated_at + milliseconds(kSyncMs + 50)));
  }
  auto& lost = Leader();
  deployment_.Kill(lost);
  Forget(lost);
  record_.Line(
      "note    %s is gone for good, %d ms after the SIGTERM", lost.name.c_str(),
      static_cast<int>(
          std::chrono::duration_cast<milliseconds>(Clock::now() - terminated_at)
              .count()));
  Sleep(kReplacementMs);
  Add(lost.zone, 5);
  Sleep(kSyncMs);
  return ReadBack();
}

}  // namespace

int main(int argc, char** argv) {
  if (argc != 5) {
    return kCouldNotRun;
  }
  bool has_storm = std::strcmp(argv[4], "storm") == 0;
  return Scenario(argv[1], argv[2], std::atoi(argv[3]), has_storm).Run();
}
