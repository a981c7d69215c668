// Tests of shares. They guard against more flows being open on an upstream than
// its limit, when messages are lost, repeated or reordered, hosts restart, or
// the coordinator fails.

#include "acaciahold/Admission/share.h"

#include <map>
#include <random>

#include <boost/test/unit_test.hpp>

#include "../check_property.h"
#include "acaciahold/Admission/ledger.h"

namespace acaciahold::admission {

namespace {

constexpr Duration kIdleTimeout = std::chrono::seconds(30);
constexpr Duration kStep = std::chrono::milliseconds(50);

// Simulates hosts that share one upstream. Host 0 is the coordinator, host 1
// the backup. The coordinator can fail once, for good; hosts 2 and up can
// restart.
class ShareSimulation {
 public:
  ShareSimulation(uint64_t seed, uint32_t limit)
      : random_(seed), limit_(limit), hosts_(kHosts) {
    for (auto& host : hosts_) {
      SetBackup(host.share, host.state, true);
    }
    OnTakeover(ledgers_[0], now_);
  }

  void Run(int steps) {
    for (int i = 0; i < steps; ++i) {
      Step();
    }
  }

  // Flows open on the upstream, including those that no host counts at present.
  uint64_t TotalOpenFlows() const {
    uint64_t open = orphaned_flows_;
    for (const auto& host : hosts_) {
      open += host.open;
    }
    return open;
  }

  uint64_t peak_open_flows() const { return peak_open_flows_; }
  uint64_t admitted() const { return admitted_; }

 private:
  static constexpr size_t kHosts = 6;

  struct Host {
    Share share;
    AdmissionState state;
    uint64_t incarnation = 1;
    uint32_t open = 0;
    bool is_up = true;
  };
  struct Message {
    bool is_grant = false;
    size_t to = 0;
    ShareReport report;
    ShareGrant grant;
  };

  bool Chance(double p) {
    return std::uniform_real_distribution<double>(0, 1)(random_) < p;
  }

  size_t Coordinator() const { return coordinator_; }
  bool HasBackup() const { return coordinator_ == 0; }

  void SendReportIfDue(size_t i) {
    auto& host = hosts_[i];
    if (!host.is_up || !IsReportDue(host.share, host.state, now_)) {
      return;
    }
    auto report =
        MakeReport(host.share, host.state, Headroom(limit_, kHosts), now_);
    Send(i, report, Coordinator());
    if (HasBackup() && host.share.confirmed_by_backup != host.share.held) {
      Send(i, MakeRecord(host.share, host.state), 1);
    }
  }

  void Send(size_t i, ShareReport report, size_t to) {
    report.host = i + 1;
    report.incarnation = hosts_[i].incarnation;
    network_.push_back({false, to, report, {}});
  }

  void Deliver(const Message& message) {
    if (Chance(0.1)) {
      return;
    }
    if (message.is_grant) {
      HandleGrant(message.to, message.grant);
      return;
    }
    if (!hosts_[message.to].is_up) {
      return;
    }
    bool is_addressed_to_role = message.report.is_record
                                    ? message.to != Coordinator()
                                    : message.to == Coordinator();
    if (!is_addressed_to_role) {
      return;
    }
    auto& ledger = ledgers_[message.to];
    auto grant =
        message.report.is_record
            ? OnRecord(ledger, message.report, now_ + kIdleTimeout, now_)
            : OnReport(ledger, message.report, limit_, now_ + kIdleTimeout,
                       now_);
    size_t from = message.report.host - 1;
    if (hosts_[from].incarnation == message.report.incarnation) {
      network_.push_back({true, from, {}, grant});
    }
  }

  void HandleGrant(size_t i, const ShareGrant& grant) {
    auto& host = hosts_[i];
    if (!host.is_up) {
      return;
    }
    if (grant.is_record) {
      OnRecordConfirmed(host.share, host.state, grant);
    } else if (OnGrant(host.share, host.state, grant) && HasBackup()) {
      Send(i, MakeRecord(host.share, host.state), 1);
    }
  }

  void Admit(size_t i) {
    auto& host = hosts_[i];
    if (host.is_up && TryAdmit(host.state, now_)) {
      ++host.open;
      ++admitted_;
    }
  }

  void Close(size_t i) {
    auto& host = hosts_[i];
    if (host.is_up && host.open > 0) {
      --host.open;
      Release(host.state);
    }
  }

  // The host loses all state. Its flows stay open without a host that counts
  // them until CountMigratedFlows() assigns them.
  void Restart(size_t i) {
    auto& host = hosts_[i];
    orphaned_flows_ += host.open;
    host.open = 0;
    host.share = {};
    host.state.counts = 0;
    host.state.lease_deadline = 0;
    ++host.incarnation;
    SetBackup(host.share, host.state, HasBackup());
    std::erase_if(network_,
                  [&](const Message& f) { return f.is_grant && f.to == i; });
  }

  // Every open flow sends a packet within the idle timeout; the host that
  // receives the packet then counts the flow.
  void CountMigratedFlows() {
    uint64_t max_flows = orphaned_flows_ / 50 + Chance(0.5);
    for (uint64_t i = 0; i < max_flows && orphaned_flows_ > 0; ++i) {
      auto& host = hosts_[random_() % kHosts];
      if (!host.is_up) {
        continue;
      }
      --orphaned_flows_;
      ++host.open;
      CountMigratedFlow(host.state);
    }
  }

  void FailCoordinator() {
    hosts_[0].is_up = false;
    orphaned_flows_ += hosts_[0].open;
    hosts_[0].open = 0;
    coordinator_ = 1;
    OnTakeover(ledgers_[1], now_);
    for (size_t i = 1; i < kHosts; ++i) {
      SetBackup(hosts_[i].share, hosts_[i].state, false);
    }
  }

  void Step() {
    now_ += kStep;
    for (size_t i = 0; i < kHosts; ++i) {
      SendReportIfDue(i);
      for (int k = 0; k < 3; ++k) {
        Chance(0.7) ? Admit(i) : Close(i);
      }
    }
    for (int k = 0; k < 8 && !network_.empty(); ++k) {
      std::swap(network_[random_() % network_.size()], network_.back());
      auto message = network_.back();
      if (!Chance(0.05)) {
        network_.pop_back();
      }
      Deliver(message);
    }
    CountMigratedFlows();
    ExpireSilentShares(ledgers_[Coordinator()], kIdleTimeout, now_);
    if (Chance(0.003)) {
      Restart(2 + random_() % (kHosts - 2));
    }
    if (coordinator_ == 0 && Chance(0.002)) {
      FailCoordinator();
    }
    peak_open_flows_ = std::max(peak_open_flows_, TotalOpenFlows());
  }

  std::mt19937_64 random_;
  uint32_t limit_;
  Instant now_ = FromUnixMillis(1'000'000);
  std::vector<Host> hosts_;
  Ledger ledgers_[2];
  size_t coordinator_ = 0;
  std::vector<Message> network_;
  uint64_t orphaned_flows_ = 0;
  uint64_t peak_open_flows_ = 0;
  uint64_t admitted_ = 0;
};

}  // namespace

BOOST_AUTO_TEST_CASE(OpenFlowsNeverExceedLimit) {
  uint64_t admitted = 0;
  for (uint32_t limit : {1U, 3U, 50U, 2000U}) {
    CheckProperty(40 + limit, 300, [&](uint64_t seed) {
      ShareSimulation simulation(seed, limit);
      simulation.Run(1'200);
      RC_ASSERT(simulation.peak_open_flows() <= limit);
      admitted += simulation.admitted();
    });
  }
  BOOST_TEST(admitted > 100'000U);
}

BOOST_AUTO_TEST_CASE(ExpiredLeaseRefusesNewFlows) {
  Share share;
  AdmissionState state;
  Instant now = FromUnixMillis(1'000);
  MakeReport(share, state, 5, now);
  OnGrant(share, state, {0, 0, 0, share.sequence, 5, false, false});
  BOOST_TEST(TryAdmit(state, now));
  BOOST_TEST(!TryAdmit(state, now + kShareLease));
}

BOOST_AUTO_TEST_CASE(ReportReturnsExcessShare) {
  Share share;
  AdmissionState state;
  Instant now = FromUnixMillis(1'000);
  MakeReport(share, state, 5, now);
  OnGrant(share, state, {0, 0, 0, share.sequence, 100, false, false});
  auto report = MakeReport(share, state, 5, now + kReportInterval);
  BOOST_TEST(report.held == 5U);
}

BOOST_AUTO_TEST_CASE(IgnoresGrantForEarlierReport) {
  Share share;
  AdmissionState state;
  Instant now = FromUnixMillis(1'000);
  MakeReport(share, state, 5, now);
  uint64_t earlier_sequence = share.sequence;
  MakeReport(share, state, 5, now);
  OnGrant(share, state, {0, 0, 0, earlier_sequence, 100, false, false});
  BOOST_TEST(!TryAdmit(state, now));
}

}  // namespace acaciahold::admission
