// Tests of the decisions on packets and of the replication between the shards
// of two hosts.

#include "acaciahold/Steering/flow_shard.h"

#include <boost/test/unit_test.hpp>

#include "acaciahold/Support/hash.h"

namespace acaciahold::steering {
namespace {

const Instant kNow = FromUnixMillis(1'000'000);
constexpr Endpoint kServiceAddress{0x0a090001, 7000};

// Holds the inputs of plans and creates plans and shards from them.
struct Fixture {
  Fixture() {
    table.revision = 1;
    table::VersionedRow row;
    row.revision = 1;
    row.service.name = "feed";
    row.service.address = kServiceAddress;
    row.service.limits = {3, 100, 100};
    row.service.failure_domains = {{"fd1", 100}, {"fd2", 100}};
    row.service.idle_seconds = 60;
    table.rows = {row};
    for (uint32_t i = 1; i <= 2; ++i) {
      members.push_back({{i, "h", "fd" + std::to_string(i), {i, 1}, {i, 2}, 1},
                         membership::MemberState::kAlive,
                         0});
    }
    Announce(1);
  }

  void Announce(uint32_t n, upstream::Phase phase = upstream::Phase::kServing) {
    upstream::OnAnnouncement(registry, {"feed", {n, 80}, "fd1", 0, 0, 1, phase},
                             kNow);
  }

  std::shared_ptr<const Plan> MakePlan(membership::HostId self,
                                       bool is_leaving = false) {
    return BuildPlan({&table, &registry, members, self, is_leaving},
                     cells[self], ++epoch);
  }

  // Grants the host a share of `amount` flows of every upstream.
  void GrantShares(membership::HostId host, uint32_t amount) {
    for (auto& [key, cell] : cells[host]) {
      cell->counts = uint64_t{amount} << 32U;
      cell->lease_deadline = INT64_MAX;
    }
  }

  // Initializes a shard that holds its buckets of a new service.
  void InitShard(FlowShard& shard, membership::HostId host) {
    shard.max_flows = 1'000;
    OnPlan(shard, MakePlan(host), kNow);
    OnPullsDone(shard, {}, kNow);
    StartMoves(shard, 1U << 20U, true, kNow);
  }

  // Returns a fingerprint in shard 0 whose bucket the shard's host owns.
  static uint64_t OwnedFingerprint(const FlowShard& shard) {
    for (uint64_t i = 0;; i += kShards) {
      const auto& route = shard.plan->services[0]->routes[BucketOf(i)];
      if (route.owner == shard.plan->self) {
        return i;
      }
    }
  }

  table::ServiceTable table;
  upstream::Registry registry;
  std::vector<membership::MemberUpdate> members;
  std::map<membership::HostId, CellMap> cells;
  uint64_t epoch = 0;
};

Decision Send(FlowShard& shard, uint64_t fingerprint, bool opens) {
  return Decide(shard, *shard.plan->services[0],
                {.fingerprint = fingerprint, .opens = opens}, kNow);
}

}  // namespace

BOOST_FIXTURE_TEST_CASE(OpensFlowsOnlyWithinItsShare, Fixture) {
  FlowShard shard;
  InitShard(shard, 1);
  uint64_t fingerprint = OwnedFingerprint(shard);
  BOOST_CHECK(Send(shard, fingerprint, true).verdict == Verdict::kDrop);
  GrantShares(1, 1);
  BOOST_CHECK(Send(shard, fingerprint, true).verdict == Verdict::kForward);
  BOOST_CHECK(Send(shard, fingerprint, false).verdict == Verdict::kForward);
  auto second = Send(shard, fingerprint + kBucketsPerService, true);
  BOOST_CHECK(second.reason == Reason::kNoShare);
}

BOOST_FIXTURE_TEST_CASE(PassesAPacketToTheOwnerOfItsBucket, Fixture) {
  FlowShard owner_shard;
  FlowShard other;
  InitShard(owner_shard, 1);
  InitShard(other, 2);
  auto decision = Send(other, OwnedFingerprint(owner_shard), true);
  BOOST_CHECK(decision.verdict == Verdict::kPassToPeer);
  BOOST_TEST(decision.to.address == 1U);
  BOOST_TEST(!decision.to_acting_backup);
}

// Guards against the loss of a flow that is not on its bucket's assigned
// upstream if the owner fails before the backup has stored the flow.
BOOST_FIXTURE_TEST_CASE(ParksAnExceptionUntilTheBackupHasStoredIt, Fixture) {
  FlowShard shard;
  InitShard(shard, 1);
  GrantShares(1, 10);
  uint64_t fingerprint = OwnedFingerprint(shard);
  // The bucket's upstream drains, so the new flow is placed on another one.
  Announce(1, upstream::Phase::kDraining);
  Announce(2);
  OnPlan(shard, MakePlan(1), kNow);
  GrantShares(1, 10);
  auto decision = Send(shard, fingerprint, true);
  BOOST_REQUIRE(decision.verdict == Verdict::kPark);
  BOOST_TEST(decision.to.address == 2U);
  BOOST_CHECK(Send(shard, fingerprint, false).verdict == Verdict::kPark);
  OnNoticeStored(shard, decision.notice);
  BOOST_CHECK(Send(shard, fingerprint, false).verdict == Verdict::kForward);
}

// Guards against sending an open flow to the new upstream, at the owner or at
// the backup acting for it, after its bucket has moved.
BOOST_FIXTURE_TEST_CASE(FlowsStayOnTheirUpstreamWhenTheBucketMoves, Fixture) {
  FlowShard shard;
  InitShard(shard, 1);
  GrantShares(1, 10);
  uint64_t fingerprint = OwnedFingerprint(shard);
  Send(shard, fingerprint, true);
  Announce(1, upstream::Phase::kDraining);
  Announce(2);
  OnPlan(shard, MakePlan(1), kNow);
  auto offers = StartMoves(shard, 1U << 20U, true, kNow);
  BOOST_REQUIRE(!offers.empty());
  FlowShard backup;
  InitShard(backup, 2);
  for (const auto& offer : offers) {
    MergeNotice(backup, offer, kNow);
    OnNoticeStored(shard, offer);
  }
  // The flow stays on its upstream at the owner and at the backup.
  BOOST_TEST(Send(shard, fingerprint, false).to.address == 1U);
  auto backup_decision =
      Decide(backup, *backup.plan->services[0],
             {.fingerprint = fingerprint, .is_acting = true}, kNow);
  BOOST_TEST(backup_decision.to.address == 1U);
}

// If the acknowledgement of an offer is lost, the backup may have stored the
// offer. The new offer needs a higher version, and a late acknowledgement of
// the first one must not complete the move.
BOOST_FIXTURE_TEST_CASE(RepeatsALostOfferWithAHigherVersion, Fixture) {
  FlowShard shard;
  InitShard(shard, 1);
  Announce(1, upstream::Phase::kDraining);
  Announce(2);
  OnPlan(shard, MakePlan(1), kNow);
  auto first = StartMoves(shard, 1U << 20U, true, kNow).at(0);
  OnNoticeLost(shard, first);
  auto again = StartMoves(shard, 1U << 20U, true, kNow).at(0);
  BOOST_TEST(again.bucket == first.bucket);
  BOOST_TEST(again.version > first.version);
  // A late acknowledgement of the first offer is ignored.
  OnNoticeStored(shard, first);
  BOOST_TEST(StartMoves(shard, 1U << 20U, true, kNow).empty());
}

// A backup that acted for the owner counted an exception as its own open flow.
// After the flow's idle timeout at the backup the flow may still be in use at
// the owner, so the backup must keep the replica.
BOOST_FIXTURE_TEST_CASE(BackupKeepsExceptionsThatItServedEarlier, Fixture) {
  FlowShard backup;
  InitShard(backup, 2);
  FlowShard owner;
  InitShard(owner, 1);
  uint64_t fingerprint = OwnedFingerprint(owner);
  auto bucket = static_cast<uint16_t>(BucketOf(fingerprint));
  uint64_t service = owner.plan->services[0]->id;
  upstream::UpstreamId first = PackEndpoint({1, 80});
  upstream::UpstreamId second = PackEndpoint({2, 80});
  Announce(2);
  OnPlan(backup, MakePlan(2), kNow);
  MergeNotice(backup, {service, bucket, 9, second, {{fingerprint, first}}},
              kNow);
  FlowPacket packet{.fingerprint = fingerprint, .is_acting = true};
  Decide(backup, *backup.plan->services[0], packet, kNow);
  Instant later = kNow + std::chrono::hours(1);
  for (int i = 0; i < 8; ++i) {
    Sweep(backup, later);
  }
  auto decision = Decide(backup, *backup.plan->services[0], packet, later);
  BOOST_TEST(decision.to.address == 1U);
}

// If the only host is leaving, buckets have no owner.
BOOST_FIXTURE_TEST_CASE(DropsPacketsWhenTheOnlyHostIsLeaving, Fixture) {
  FlowShard shard;
  InitShard(shard, 1);
  members.pop_back();
  uint64_t fingerprint = OwnedFingerprint(shard);
  OnPlan(shard, MakePlan(1, true), kNow);
  BOOST_CHECK(Send(shard, fingerprint, true).verdict == Verdict::kDrop);
}

// The sender of a passed packet has another view of the hosts, so the flow may
// be known to a host that this one does not know as the owner.
BOOST_FIXTURE_TEST_CASE(DropsPacketOfUnknownFlowFromAnotherView, Fixture) {
  FlowShard shard;
  InitShard(shard, 1);
  uint64_t fingerprint = OwnedFingerprint(shard);
  auto decision = Decide(shard, *shard.plan->services[0],
                         {.fingerprint = fingerprint,
                          .hops = 1,
                          .sender_view = shard.plan->view + 1},
                         kNow);
  BOOST_CHECK(decision.reason == Reason::kInDoubt);
}

}  // namespace acaciahold::steering
