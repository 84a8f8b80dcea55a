// Measures the cost of routing decisions at one of seven entry hosts, by the number of endpoints of
// the service.
#include <benchmark/benchmark.h>

#include <optional>
#include <string>
#include <vector>

#include "cactusshelf/connection/router.h"
#include "endpoint_pool.h"

namespace cactusshelf {
namespace {

constexpr std::uint32_t kSlots = 8;
constexpr std::uint32_t kConnections = 64;
constexpr int kDomains = 4;
constexpr Duration kDeadline = std::chrono::seconds(1);
const Now start{Time{std::chrono::seconds(1)}, WallTime{std::chrono::hours(1)}};

std::vector<RouterMember> Members(int count) {
  std::vector<RouterMember> members;
  members.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    members.push_back(
        {MemberId("host" + std::to_string(i)), DomainId("d" + std::to_string(i % kDomains))});
  }
  return members;
}

RoutingTable Table(std::int64_t endpoints) {
  RoutingTable table;
  ServiceEntry service{ServiceId("s"), CustomerId("c"), kSlots, kConnections, kDeadline, {}};
  for (std::int64_t i = 0; i < endpoints; ++i) {
    service.endpoints.push_back(
        {EndpointId("s/" + std::to_string(i)), "", DomainId("d" + std::to_string(i % kDomains))});
  }
  table.services.push_back(service);
  table.customers.push_back({CustomerId("c"), 0});
  table.accounts.push_back({AccountId("a"), CustomerId("c"), 0});
  for (int i = 1; i < kDomains; ++i) {
    table.links.push_back({DomainId("d0"), DomainId("d" + std::to_string(i)),
                           std::chrono::milliseconds(5), Duration::zero()});
  }
  return table;
}

// Router of the first of seven hosts, which holds the slots of which it is the home.
Router MakeRouter(std::int64_t endpoints) {
  Router router(
      {}, MemberId("host0"), DomainId("d0"), [](std::string_view) { return std::nullopt; },
      Random(1));
  router.SetMembers(start, Members(1));
  router.ApplyServices(start, Table(endpoints));
  router.SetMembers(start, Members(7));
  router.TakeEffects();
  return router;
}

// Measures only the choice of an endpoint and slot.
void BenchPick(benchmark::State& state) {
  RouterEnv env{{}, MemberId("host0"), 0, {}, Random(1), {}, {}, {}, {}, {}};
  env.domain = env.costs.IndexOf(DomainId("d0"));
  const RoutingTable table = Table(state.range(0));
  env.costs.SetLinks(table.links);
  EndpointPool pool(env);
  pool.SetMembers(start, Members(1), true);
  pool.ApplyService(start, table.services[0], true);
  pool.SetMembers(start, Members(7), false);
  EndpointPool::PickRequest request;
  request.latest_end = start.monotonic + kDeadline;
  request.idempotent = true;
  for (auto _ : state) {
    const auto picked = pool.Pick(start, request);
    benchmark::DoNotOptimize(picked);
    pool.CancelPick(start, *picked);
  }
}
BENCHMARK(BenchPick)->Arg(65)->Arg(650)->Arg(5000);

// Measures an idempotent request from its arrival to its answer.
void BenchRequest(benchmark::State& state) {
  Router router = MakeRouter(state.range(0));
  std::uint64_t token = 0;
  Request request;
  request.service = ServiceId("s");
  request.account = AccountId("a");
  request.customer = CustomerId("c");
  request.idempotent = true;
  for (auto _ : state) {
    router.OnRequest(start, RequestToken{++token}, request);
    const std::vector<RouterEffect> effects = router.TakeEffects();
    const AttemptId attempt = std::get<SendAttempt>(effects.front()).attempt;
    router.OnAttemptEvent(start, attempt, AttemptHandedOver{});
    router.OnAttemptEvent(start, attempt, AttemptAnswered{Response{200, {}, nullptr}});
    benchmark::DoNotOptimize(router.TakeEffects());
  }
}
BENCHMARK(BenchRequest)->Arg(65)->Arg(650)->Arg(5000);

// Measures the periodic work every 250 ms: slot demand, allocation and leases.
void BenchTick(benchmark::State& state) {
  Router router = MakeRouter(state.range(0));
  Now now = start;
  for (auto _ : state) {
    now.monotonic += std::chrono::milliseconds(250);
    router.OnTimer(now);
    benchmark::DoNotOptimize(router.TakeEffects());
  }
}
BENCHMARK(BenchTick)->Arg(65)->Arg(650)->Arg(5000)->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace cactusshelf

BENCHMARK_MAIN();
