// Tests of decisions on packets, with two hosts' shards side by side.

#include "acaciahold/Steering/flow_shard.h"

#include <boost/test/unit_test.hpp>

#include "acaciahold/Support/hash.h"

namespace acaciahold::steering {
namespace {

const Instant kNow = FromUnixMillis(1'000'000);
constexpr Endpoint kService{0x0a090001, 7000};

// The inputs of plans, and shards that follow them.
struct Fixture {
  Fixture() {
    table.revision = 1;
    table::VersionedRow row;
    row.revision = 1;
    row.service.name = "feed";
    row.service.address = kService;
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

  std::shared_ptr<const Plan> PlanOf(membership::HostId self,
                                     bool is_leaving = false) {
    return BuildPlan({&table, &registry, members, self, is_leaving},
                     cells[self], ++epoch);
  }

  // Gives every upstream of the host a share.
  void GiveShares(membership::HostId host, uint32_t amount) {
    for (auto& [key, cell] : cells[host]) {
      cell->counts = uint64_t{amount} << 32U;
      cell->lease_deadline = INT64_MAX;
    }
  }

  // A shard that holds its buckets of a new service.
  void Settle(FlowShard& shard, membership::HostId host) {
    shard.max_flows = 1'000;
    OnPlan(shard, PlanOf(host), kNow);
    OnPullsDone(shard, {}, kNow);
    StartMoves(shard, 1U << 20U, true, kNow);
  }

  // A fingerprint in shard 0 whose bucket this host owns.
  static uint64_t FingerprintAt(const FlowShard& shard) {
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

BOOST_FIXTURE_TEST_CASE(OpensAFlowWithinItsShareAlone, Fixture) {
  FlowShard shard;
  Settle(shard, 1);
  uint64_t fingerprint = FingerprintAt(shard);
  BOOST_CHECK(Send(shard, fingerprint, true).verdict == Verdict::kDrop);
  GiveShares(1, 1);
  BOOST_CHECK(Send(shard, fingerprint, true).verdict == Verdict::kForward);
  BOOST_CHECK(Send(shard, fingerprint, false).verdict == Verdict::kForward);
  auto second = Send(shard, fingerprint + kBucketsPerService, true);
  BOOST_CHECK(second.reason == Reason::kNoShare);
}

BOOST_FIXTURE_TEST_CASE(PassesAPacketToItsBucketsOwner, Fixture) {
  FlowShard mine;
  FlowShard other;
  Settle(mine, 1);
  Settle(other, 2);
  auto decision = Send(other, FingerprintAt(mine), true);
  BOOST_CHECK(decision.verdict == Verdict::kPass);
  BOOST_TEST(decision.to.address == 1U);
  BOOST_TEST(!decision.pass_acting);
}

BOOST_FIXTURE_TEST_CASE(ParksAnExceptionUntilTheBackupHasIt, Fixture) {
  FlowShard shard;
  Settle(shard, 1);
  GiveShares(1, 10);
  uint64_t fingerprint = FingerprintAt(shard);
  // The bucket's upstream drains; another one takes the new flow.
  Announce(1, upstream::Phase::kDraining);
  Announce(2);
  OnPlan(shard, PlanOf(1), kNow);
  GiveShares(1, 10);
  auto decision = Send(shard, fingerprint, true);
  BOOST_REQUIRE(decision.verdict == Verdict::kPark);
  BOOST_TEST(decision.to.address == 2U);
  BOOST_CHECK(Send(shard, fingerprint, false).verdict == Verdict::kPark);
  OnNoticeStored(shard, decision.notice);
  BOOST_CHECK(Send(shard, fingerprint, false).verdict == Verdict::kForward);
}

BOOST_FIXTURE_TEST_CASE(MovesABucketOnlyWhenTheBackupHasTheRest, Fixture) {
  FlowShard shard;
  Settle(shard, 1);
  GiveShares(1, 10);
  uint64_t fingerprint = FingerprintAt(shard);
  Send(shard, fingerprint, true);
  Announce(1, upstream::Phase::kDraining);
  Announce(2);
  OnPlan(shard, PlanOf(1), kNow);
  auto offers = StartMoves(shard, 1U << 20U, true, kNow);
  BOOST_REQUIRE(!offers.empty());
  FlowShard backup;
  Settle(backup, 2);
  for (const auto& offer : offers) {
    MergeNotice(backup, offer, kNow);
    OnNoticeStored(shard, offer);
  }
  // The flow stays where it is at both holders.
  BOOST_TEST(Send(shard, fingerprint, false).to.address == 1U);
  auto acting = Decide(backup, *backup.plan->services[0],
                       {.fingerprint = fingerprint, .is_acting = true}, kNow);
  BOOST_TEST(acting.to.address == 1U);
}

BOOST_FIXTURE_TEST_CASE(MakesALostOfferAgainWithAHigherVersion, Fixture) {
  FlowShard shard;
  Settle(shard, 1);
  Announce(1, upstream::Phase::kDraining);
  Announce(2);
  OnPlan(shard, PlanOf(1), kNow);
  auto first = StartMoves(shard, 1U << 20U, true, kNow).at(0);
  OnNoticeLost(shard, first);
  auto again = StartMoves(shard, 1U << 20U, true, kNow).at(0);
  BOOST_TEST(again.bucket == first.bucket);
  BOOST_TEST(again.version > first.version);
  // The word on the first one comes late and counts for nothing.
  OnNoticeStored(shard, first);
  BOOST_TEST(StartMoves(shard, 1U << 20U, true, kNow).empty());
}

BOOST_FIXTURE_TEST_CASE(ABackupKeepsExceptionsThatItOnceServed, Fixture) {
  FlowShard backup;
  Settle(backup, 2);
  FlowShard owner;
  Settle(owner, 1);
  uint64_t fingerprint = FingerprintAt(owner);
  auto bucket = static_cast<uint16_t>(BucketOf(fingerprint));
  uint64_t service = owner.plan->services[0]->id;
  upstream::UpstreamId first = PackEndpoint({1, 80});
  upstream::UpstreamId second = PackEndpoint({2, 80});
  Announce(2);
  OnPlan(backup, PlanOf(2), kNow);
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

BOOST_FIXTURE_TEST_CASE(TheLastHostToLeaveDecidesNothing, Fixture) {
  FlowShard shard;
  Settle(shard, 1);
  members.pop_back();
  uint64_t fingerprint = FingerprintAt(shard);
  OnPlan(shard, PlanOf(1, true), kNow);
  BOOST_CHECK(Send(shard, fingerprint, true).verdict == Verdict::kDrop);
}

BOOST_FIXTURE_TEST_CASE(AnUnknownPacketFromAnotherViewIsDropped, Fixture) {
  FlowShard shard;
  Settle(shard, 1);
  uint64_t fingerprint = FingerprintAt(shard);
  auto decision = Decide(shard, *shard.plan->services[0],
                         {.fingerprint = fingerprint,
                          .hops = 1,
                          .sender_view = shard.plan->view + 1},
                         kNow);
  BOOST_CHECK(decision.reason == Reason::kInDoubt);
}

}  // namespace acaciahold::steering
