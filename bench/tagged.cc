// Measures steering by tag: the time of a decision on a packet, and the CPU
// time of the complete packet path over loopback sockets. For comparison,
// ForwardBare measures a port that forwards every packet without a decision.

#include <ctime>
#include <vector>

#include <arpa/inet.h>
#include <benchmark/benchmark.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/endian/conversion.hpp>
#include <sys/socket.h>

#include "acaciahold/Node/packet_port.h"
#include "acaciahold/Steering/tag_steering.h"
#include "acaciahold/Support/hash.h"
#include "entry_packets.h"
#include "packet_header.h"

namespace acaciahold::bench {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr uint32_t kUpstreams = 18;
constexpr uint64_t kSeed = 5;
constexpr uint32_t kLoopback = (127U << 24U) | 1U;
constexpr Endpoint kListener{(198U << 24U) | 1U, 443};
constexpr size_t kPacketSize = 134;  // Bytes of a small request.
// Offset of the sequence number in a packet header, in bytes.
constexpr size_t kSequenceOffset = 12;
const Instant kNow = FromUnixMillis(1'000'000);

// Adds one service with a listener and kUpstreams upstreams, which all have the
// same endpoint.
void AddServiceUpstreams(steering::TagSteering& steering, uint16_t sink_port) {
  catalog::View view;
  view.revision = 1;
  view.catalog.version = 1;
  view.catalog.services = {{"feed", 0}};
  view.catalog.listeners = {{"feed", kListener, {{"feed", 1}}}};
  steering::OnView(steering, view);
  for (uint32_t n = 1; n <= kUpstreams; ++n) {
    directory::Record record;
    record.id = n;
    record.service = "feed";
    record.endpoint = {kLoopback, sink_port};
    record.failure_domain = "fd1";
    record.born_ms = n;  // The newest upstream at the endpoint gets new flows.
    record.sequence = 1;
    steering::OnRecord(steering, 0, record, kNow);
  }
  steering::OnFeedComplete(steering, 0);
}

steering::TaggedFlow MakeFlow(uint64_t i) {
  return {{static_cast<uint32_t>(i >> 14U), static_cast<uint16_t>(i)},
          kListener};
}

// Adds `upstreams` upstreams of other services, three per service.
void AddOtherUpstreams(steering::TagSteering& steering, uint32_t upstreams) {
  for (uint32_t n = 1; n <= upstreams; ++n) {
    directory::Record record;
    record.id = kUpstreams + n;
    record.service = "other-" + std::to_string(n / 3);
    record.endpoint = {kLoopback + n, 80};
    record.failure_domain = "fd1";
    record.born_ms = 1;
    record.sequence = 1;
    steering::OnRecord(steering, 0, record, kNow);
  }
}

uint64_t HashFlow(const steering::TaggedFlow& flow) {
  return CombineHashes(PackEndpoint(flow.caller), PackEndpoint(flow.listener));
}

struct TaggedPacket {
  steering::TaggedFlow flow;
  steering::Tag tag = 0;
};

// Returns later packets of randomly chosen flows, which are spread over the
// upstreams of the service.
std::vector<TaggedPacket> MakePackets(uint64_t flows) {
  constexpr size_t kPackets = 1U << 16U;
  std::mt19937_64 random(kSeed);
  std::vector<TaggedPacket> packets;
  while (packets.size() < kPackets) {
    uint64_t i = random() % flows;
    auto flow = MakeFlow(i);
    auto tag = steering::FlowTag(1 + i % kUpstreams, HashFlow(flow), 0);
    packets.push_back({flow, tag});
  }
  return packets;
}

// Decides on later packets. The arguments are the numbers of open flows and of
// upstreams of other services.
void DecideTagged(benchmark::State& state) {
  auto steering = steering::MakeTagSteering("fd1", kSeed);
  AddServiceUpstreams(steering, 9);
  AddOtherUpstreams(steering, static_cast<uint32_t>(state.range(1)));
  auto packets = MakePackets(static_cast<uint64_t>(state.range(0)));
  size_t i = 0;
  for (auto unused : state) {
    const auto& it = packets[i++ % packets.size()];
    benchmark::DoNotOptimize(
        steering::OnTagged(steering, it.flow, it.tag, 1, kNow));
  }
}

// Decides on opening packets. The argument is the number of upstreams of other
// services.
void DecideOpening(benchmark::State& state) {
  auto steering = steering::MakeTagSteering("fd1", kSeed);
  AddServiceUpstreams(steering, 9);
  AddOtherUpstreams(steering, static_cast<uint32_t>(state.range(0)));
  uint64_t i = 0;
  for (auto unused : state) {
    benchmark::DoNotOptimize(
        steering::OnOpening(steering, {MakeFlow(++i), 1, 0}, kNow));
    steering.pending_slots.clear();
  }
}

// Evaluates failure reports on a service with a hung upstream. The argument is
// the number of upstreams of other services.
void JudgeSuspects(benchmark::State& state) {
  auto steering = steering::MakeTagSteering("fd1", kSeed);
  AddServiceUpstreams(steering, 9);
  AddOtherUpstreams(steering, static_cast<uint32_t>(state.range(0)));
  directory::FailureDetector failure_detector;
  std::vector<directory::UpstreamFailures> failures{{1, 1}, {2, 3}};
  Instant now = kNow;
  for (auto unused : state) {
    now += directory::kEvaluationInterval;
    directory::OnFailureReport(failure_detector, "host", failures, now);
    benchmark::DoNotOptimize(
        directory::FindNewSuspects(failure_detector, steering.directory, now));
  }
}

// Sends batches of packets to a port under test and receives the packets that
// it forwards.
class LoopbackHarness {
 public:
  LoopbackHarness() : source_(io, udp::v4()), sink_(io, udp::v4()) {
    sink_.bind({asio::ip::address_v4(kLoopback), 0});
    sink_.non_blocking(true);
  }

  uint16_t sink_port() { return sink_.local_endpoint().port(); }

  // Measures the CPU time to forward a batch of packets that is waiting in the
  // port's socket.
  void Run(benchmark::State& state, Endpoint to) {
    std::vector<std::byte> packet = MakePacket();
    udp::endpoint target(asio::ip::address_v4(to.address), to.port);
    for (auto unused : state) {
      for (size_t i = 0; i < node::kBatchSize; ++i) {
        // Each packet has a new sequence number, because retransmitted data
        // takes a less common path.
        boost::endian::store_little_u32(
            reinterpret_cast<unsigned char*>(packet.data()) + kSequenceOffset,
            ++sequence_);
        source_.send_to(asio::buffer(packet), target);
      }
      double start = CpuSeconds();
      io.poll();
      state.SetIterationTime(CpuSeconds() - start);
      io.restart();
      ReceiveAll();
    }
    state.SetItemsProcessed(static_cast<int64_t>(state.iterations()) *
                            static_cast<int64_t>(node::kBatchSize));
  }

  asio::io_context io{1};

 private:
  static double CpuSeconds() {
    timespec at{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &at);
    return static_cast<double>(at.tv_sec) +
           static_cast<double>(at.tv_nsec) / 1e9;
  }

  static std::vector<std::byte> MakePacket() {
    std::vector<std::byte> packet(kPacketSize);
    packet[4] = std::byte{32};     // ACK
    uint64_t hash = HashFlow({});  // The addresses are 0.
    platform::WriteTag(packet, steering::FlowTag(1, hash, 0));
    packet[32] = std::byte{kPacketSize - platform::kPacketHeaderBytes};
    return packet;
  }

  void ReceiveAll() {
    std::array<std::byte, 2'048> buf;
    boost::system::error_code ec;
    udp::endpoint from;
    while (!ec) {
      sink_.receive_from(asio::buffer(buf), from, 0, ec);
      received_ += ec ? 0 : 1;
    }
  }

  udp::socket source_;
  udp::socket sink_;
  uint32_t sequence_ = 0;
  uint64_t received_ = 0;
};

// Binds a port with the given handler and measures its packet path.
void MeasurePort(benchmark::State& state,
                 LoopbackHarness& harness,
                 uint16_t port,
                 const node::PacketPort::Handler& handler) {
  auto bound =
      node::PacketPort::Bind(harness.io, {kLoopback, port}, node::MakePacer(0));
  if (!bound) {
    state.SkipWithError("the port can't be bound");
    return;
  }
  (*bound)->Start(handler);
  harness.Run(state, {kLoopback, port});
}

void ForwardBare(benchmark::State& state) {
  LoopbackHarness harness;
  Endpoint to{kLoopback, harness.sink_port()};
  MeasurePort(state, harness, 39'801, [to](std::span<std::byte> packet) {
    return node::PacketPort::PacketAction{to, packet, 0};
  });
}

void ForwardWhole(benchmark::State& state) {
  LoopbackHarness harness;
  node::NodeSettings settings;
  settings.name = "bench";
  settings.failure_domain = "fd1";
  node::EntryNode entry(harness.io, settings);
  AddServiceUpstreams(entry.steering(), harness.sink_port());
  MeasurePort(state, harness, 39'802, [&entry](std::span<std::byte> packet) {
    return platform::HandlePacket(entry, 9, packet, kNow);
  });
}

BENCHMARK(DecideTagged)->ArgsProduct({{10'000, 1'000'000}, {0, 15'000}});
BENCHMARK(DecideOpening)->Arg(0)->Arg(15'000);
BENCHMARK(JudgeSuspects)->Arg(0)->Arg(15'000);
BENCHMARK(ForwardBare)->UseManualTime();
BENCHMARK(ForwardWhole)->UseManualTime();

}  // namespace
}  // namespace acaciahold::bench
