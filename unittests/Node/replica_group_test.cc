// Tests a group of replicas whose hosts are lost and replaced.

#include "replica_group.h"

#include <optional>

#include <boost/test/unit_test.hpp>

namespace acaciahold::node {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longer than the founders need to elect a leader.
constexpr seconds kStartTime{5};
// A further host may be lost this long after the one before it was replaced.
constexpr seconds kTimeBetweenLosses{4};
// All hosts are voters again this long after they are back.
constexpr seconds kRecoveryTime{12};
constexpr milliseconds kStormInterval{80};
constexpr milliseconds kReadStormInterval{20};

ReplicaGroup::Host& RequireLeader(ReplicaGroup& group) {
  BOOST_REQUIRE(group.RunUntil(
      [&] { return group.CanChange(milliseconds(500)); }, kStartTime));
  return *group.Leader();
}

// Returns a host that is up and is not the leader.
ReplicaGroup::Host& OtherThanLeader(ReplicaGroup& group) {
  for (auto& host : group.hosts()) {
    if (host.driver && &host != group.Leader()) {
      return host;
    }
  }
  BOOST_FAIL("there is no host besides the leader");
  return group.hosts().front();
}

// Replaces a lost host while the leader is busy, and then loses a further one.
void CheckReplacedWhileBusy(ReplicaGroup& group) {
  auto& lost = OtherThanLeader(group);
  ReplicaGroup::KillHost(lost);
  auto& successor = group.AddHost();
  std::vector<const ReplicaGroup::Host*> voters;
  for (const auto& host : group.hosts()) {
    if (&host != &lost) {
      voters.push_back(&host);
    }
  }
  BOOST_TEST(group.RunUntil([&] { return group.HasVoters(voters); },
                            kTimeBetweenLosses));
  BOOST_TEST(successor.driver->is_member());
  ReplicaGroup::KillHost(OtherThanLeader(group));
  BOOST_TEST(group.CanChange(kStartTime));
}

// Domains of two hosts lose power one after the other, and then the leader and
// another host of those that still run lose their disks. All come back.
void CheckLostDisksAfterPowerLosses(ReplicaGroup& group,
                                    size_t hosts,
                                    size_t domains) {
  RequireLeader(group);
  while (group.hosts().size() < hosts) {
    group.AddHost();
  }
  std::vector<const ReplicaGroup::Host*> all;
  for (const auto& host : group.hosts()) {
    all.push_back(&host);
  }
  BOOST_REQUIRE(
      group.RunUntil([&] { return group.HasVoters(all); }, kTimeBetweenLosses));
  for (size_t i = 0; i < domains; ++i) {
    ReplicaGroup::KillHost(OtherThanLeader(group));
    ReplicaGroup::KillHost(OtherThanLeader(group));
    group.RunFor(kTimeBetweenLosses);
  }
  // The service may stop before the disks are lost, but here it doesn't.
  BOOST_REQUIRE(group.CanChange(kStartTime));
  auto acknowledged = group.Leader()->applied;
  for (auto* host : {group.Leader(), &OtherThanLeader(group)}) {
    ReplicaGroup::KillHost(*host);
    ReplicaGroup::LoseDisk(*host);
  }
  for (auto& host : group.hosts()) {
    if (!host.driver) {
      group.StartHost(host);
    }
  }
  BOOST_REQUIRE(
      group.RunUntil([&] { return group.Leader() != nullptr; }, kRecoveryTime));
  auto has_applied = [&](const ReplicaGroup::Host& host) {
    return host.applied == acknowledged;
  };
  BOOST_TEST(group.RunUntil([&] { return has_applied(*group.Leader()); },
                            kTimeBetweenLosses));
  BOOST_TEST(group.CanChange(kStartTime));
  BOOST_TEST(
      group.RunUntil([&] { return group.HasVoters(all); }, kRecoveryTime));
}

}  // namespace

// Guards against a group that two disks end for good, although it bears their
// loss: silent voters had been removed until the two were half of those left.
BOOST_AUTO_TEST_CASE(TwoDisksMayBeLostAfterTwoDomainsLostPower) {
  ReplicaGroup group("acaciahold-two-domains", 3);
  CheckLostDisksAfterPowerLosses(group, 8, 2);
}

// The same where the settings say how many disks may be lost.
BOOST_AUTO_TEST_CASE(TwoDisksMayBeLostAfterADomainOfThreeLostPower) {
  ReplicaGroup group("acaciahold-domain-of-three", 3, 2);
  CheckLostDisksAfterPowerLosses(group, 6, 1);
}

// Guards against changes that keep the leader from repairing its group: the
// next loss then took the majority for good.
BOOST_AUTO_TEST_CASE(LostHostIsReplacedDuringStormOfChanges) {
  ReplicaGroup group("acaciahold-change-storm", 3);
  RequireLeader(group);
  group.SetChangeInterval(kStormInterval);
  CheckReplacedWhileBusy(group);
}

// The same with confirmed reads, which send a heartbeat each too.
BOOST_AUTO_TEST_CASE(LostHostIsReplacedDuringStormOfReads) {
  ReplicaGroup group("acaciahold-read-storm", 3);
  RequireLeader(group);
  group.SetReadInterval(kReadStormInterval);
  CheckReplacedWhileBusy(group);
}

// Guards against a leader that keeps its role without a majority for as long as
// it is asked to read or to change something.
BOOST_AUTO_TEST_CASE(BusyLeaderWithoutMajorityStepsDown) {
  ReplicaGroup group("acaciahold-quorum-storm", 3);
  auto& leader = RequireLeader(group);
  group.SetReadInterval(kReadStormInterval);
  group.SetChangeInterval(kStormInterval);
  for (auto& host : group.hosts()) {
    host.is_cut_off = &host != &leader;
  }
  BOOST_TEST(
      group.RunUntil([&] { return !leader.driver->is_leader(); }, seconds(3)));
}

// Guards against callers that wait until their deadline for a change or a read
// that the host, which no longer leads, can't answer any more.
BOOST_AUTO_TEST_CASE(PendingRequestsEndWhenLeaderStepsDown) {
  ReplicaGroup group("acaciahold-step-down", 3);
  auto& leader = RequireLeader(group);
  for (auto& host : group.hosts()) {
    host.is_cut_off = &host != &leader;
  }
  std::optional<bool> change;
  std::optional<bool> read;
  leader.driver->Propose("pending", [&](bool success) { change = success; });
  leader.driver->ConfirmRead([&](bool success) { read = success; });
  BOOST_TEST(
      group.RunUntil([&] { return !leader.driver->is_leader(); }, seconds(3)));
  BOOST_TEST(!change.value_or(true));
  BOOST_TEST(!read.value_or(true));
}

// The same for a leader that learns of a newer one before it misses its
// majority.
BOOST_AUTO_TEST_CASE(PendingRequestsEndWhenAnotherLeads) {
  ReplicaGroup group("acaciahold-newer-leader", 3);
  auto& leader = RequireLeader(group);
  consensus::Message vote;
  vote.kind = consensus::MessageKind::kVote;
  vote.from = OtherThanLeader(group).driver->replica().id;
  vote.to = leader.driver->replica().id;
  vote.instance = OtherThanLeader(group).driver->replica().instance;
  vote.term = leader.driver->replica().hard_state.term + 1;
  for (auto& host : group.hosts()) {
    host.is_cut_off = true;
  }
  std::optional<bool> change;
  leader.driver->Propose("pending", [&](bool success) { change = success; });
  leader.driver->OnMessage(vote);
  BOOST_TEST(!leader.driver->is_leader());
  BOOST_TEST(!change.value_or(true));
}

}  // namespace acaciahold::node
