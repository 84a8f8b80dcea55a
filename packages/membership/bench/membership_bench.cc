#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "cactusshelf/membership/failure_detector.h"
#include "cactusshelf/membership/ownership_map.h"

namespace cactusshelf {
namespace {

std::vector<MemberId> MakeIds(std::int64_t n) {
  std::vector<MemberId> ids;
  for (std::int64_t i = 0; i < n; ++i) {
    ids.emplace_back("entry-host-" + std::to_string(i) + "/1764842000000000");
  }
  return ids;
}

void OwnerOf(benchmark::State& state) {
  std::vector<Member> members;
  for (const MemberId& id : MakeIds(state.range(0))) {
    members.push_back({id, DomainId("domain"), members.size()});
  }
  const OwnershipMap map = OwnershipMap::Make(members.size(), members);
  std::uint64_t n = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(map.OwnerOf("shard-" + std::to_string(++n % 1024)));
  }
}

// Measures one probe sent by this member, with its Ack, and one probe received from another member.
void DetectorPeriod(benchmark::State& state) {
  const std::vector<MemberId> ids = MakeIds(state.range(0));
  Time now{};
  FailureDetector detector(ids[0], {}, Random(1), now);
  detector.SetMembers(ids);
  std::uint64_t sequence = 0;
  for (auto _ : state) {
    now = detector.next_wakeup();
    const FailureDetectorEffects effects = detector.OnTick(now);
    for (const OutgoingMessage& outgoing : effects.messages) {
      const Ping& ping = std::get<Ping>(outgoing.message);
      benchmark::DoNotOptimize(
          detector.OnAck(Ack{outgoing.to, ping.sequence, outgoing.to, {}}, now));
    }
    benchmark::DoNotOptimize(detector.OnPing(Ping{ids[1], ++sequence, {}}, now));
  }
}

BENCHMARK(OwnerOf)->Arg(7)->Arg(70)->Arg(350);
BENCHMARK(DetectorPeriod)->Arg(7)->Arg(70)->Arg(350);

}  // namespace
}  // namespace cactusshelf

BENCHMARK_MAIN();
