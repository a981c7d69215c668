// Measures the time that an entry host takes to decide on a packet, with few
// and with many flows in its flow table, and the memory per flow.

#include <random>

#include <benchmark/benchmark.h>
#include <malloc.h>

#include "acaciahold/Steering/flow_shard.h"
#include "acaciahold/Upstream/registry.h"

namespace acaciahold::bench {
namespace {

using steering::FlowShard;

constexpr uint32_t kUpstreams = 14;
constexpr uint64_t kSeed = 5;
const Instant kNow = FromUnixMillis(1'000'000);

// An entry host that owns every bucket and has `flows` open flows.
struct LoadedHost {
  explicit LoadedHost(uint64_t flows) : random(kSeed) {
    table::VersionedRow row;
    row.revision = 1;
    row.service.name = "feed";
    row.service.address = {0x0a090001, 7000};
    row.service.limits = {3, 10'000'000, 10'000'000};
    row.service.failure_domains = {{"fd1", 100}};
    table.revision = 1;
    table.rows = {row};
    for (uint32_t n = 1; n <= kUpstreams; ++n) {
      upstream::OnAnnouncement(
          registry,
          {"feed", {n, 80}, "fd1", 0, 0, 1, upstream::Phase::kServing}, kNow);
    }
    std::vector<membership::MemberUpdate> members{
        {{1, "h", "fd1", {1, 1}, {1, 2}, 1},
         membership::MemberState::kAlive,
         0}};
    plan =
        steering::BuildPlan({&table, &registry, members, 1, false}, cells, 1);
    for (auto& [key, cell] : cells) {
      cell->counts = uint64_t{10'000'000} << 32U;
      cell->lease_deadline = INT64_MAX;
    }
    for (uint32_t i = 0; i < steering::kShards; ++i) {
      shards[i].index = i;
      shards[i].max_flows = 10'000'000;
      steering::OnPlan(shards[i], plan, kNow);
      steering::OnPullsDone(shards[i], {}, kNow);
      steering::StartMoves(shards[i], 1U << 30U, true, kNow);
    }
    size_t before = mallinfo2().uordblks;
    for (uint64_t i = 0; i < flows; ++i) {
      fingerprints.push_back(random());
      Decide(fingerprints.back(), true);
    }
    size_t fingerprint_bytes = fingerprints.capacity() * sizeof(uint64_t);
    bytes_per_flow =
        static_cast<double>(mallinfo2().uordblks - before - fingerprint_bytes) /
        static_cast<double>(flows);
  }

  steering::Decision Decide(uint64_t fingerprint, bool is_opening) {
    auto bucket = steering::BucketOf(fingerprint);
    auto& shard = shards[steering::ShardOf(bucket)];
    std::lock_guard lock(shard.mutex);
    return steering::Decide(shard, *plan->services[0],
                            {.fingerprint = fingerprint, .opens = is_opening},
                            kNow);
  }

  std::mt19937_64 random;
  table::ServiceTable table;
  upstream::Registry registry;
  steering::CellMap cells;
  std::shared_ptr<const steering::Plan> plan;
  std::array<FlowShard, steering::kShards> shards;
  std::vector<uint64_t> fingerprints;
  double bytes_per_flow = 0;
};

void DecideKnownFlow(benchmark::State& state) {
  LoadedHost host(static_cast<uint64_t>(state.range(0)));
  std::uniform_int_distribution<size_t> index_distribution(
      0, host.fingerprints.size() - 1);
  std::mt19937_64 random(kSeed);
  for (auto unused : state) {
    benchmark::DoNotOptimize(
        host.Decide(host.fingerprints[index_distribution(random)], false));
  }
  state.counters["bytes_per_flow"] = host.bytes_per_flow;
}

BENCHMARK(DecideKnownFlow)->Arg(10'000)->Arg(1'000'000);

}  // namespace
}  // namespace acaciahold::bench

BENCHMARK_MAIN();
