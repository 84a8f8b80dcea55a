#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "cactusshelf/connection/slot_shares.h"
#include "fake_cluster.h"

namespace cactusshelf {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kHosts = 7;

// Runs load that moves from host to host, with slow endpoints and loss of lease messages.
std::unique_ptr<FakeCluster> RunShiftingLoad(std::uint64_t seed,
                                             const RouterProtections& protections,
                                             Duration lease = seconds(2)) {
  ClusterOptions options;
  options.hosts = kHosts;
  options.endpoints = 7;
  options.slots = 8;
  options.seed = seed;
  options.deadline = milliseconds(1450);
  options.service_time = milliseconds(300);
  options.message_duplication = 0.2;
  options.message_jitter = milliseconds(50);
  options.router.protections = protections;
  options.router.token_lease = lease;
  auto result = std::make_unique<FakeCluster>(options);
  FakeCluster& cluster = *result;
  cluster.SetMessageLoss(0.3);
  for (int i = 0; i < 3000; ++i) {
    const int busy = i / 450 % kHosts;
    cluster.SendRequest(cluster.random().Chance(0.8) ? busy : i % kHosts, true);
    cluster.Run(milliseconds(8));
  }
  cluster.Run(seconds(3));
  cluster.CheckAllAnswered();
  return result;
}

std::uint64_t Answered(const FakeCluster& cluster) {
  return cluster.TotalCounters().Get("cactusshelf_outcomes_total", "answered");
}

TEST_CASE("the slot limit of an endpoint holds while 7 hosts lend slots to each other") {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const auto cluster = RunShiftingLoad(seed, {});
    CHECK(cluster->violations.empty());
    // With leases too short for any request, each host can use only its own slots.
    const auto alone = RunShiftingLoad(seed, {}, milliseconds(1));
    CHECK(Answered(*cluster) > Answered(*alone) * 5 / 4);
  }
}

TEST_CASE("without the lease margin the slot limit of an endpoint is exceeded") {
  RouterProtections protections;
  protections.lease_margin = false;
  std::ptrdiff_t exceeded = 0;
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const auto cluster = RunShiftingLoad(seed, protections);
    exceeded += std::ranges::count(cluster->violations, "more slots in use than the endpoint has");
  }
  CHECK(exceeded > 0);
}

TEST_CASE("a request that takes too long for a lease runs on a slot owned by its entry host") {
  ClusterOptions options;
  options.hosts = 7;
  options.deadline = seconds(20);
  options.service_time = milliseconds(100);
  FakeCluster cluster(options);
  std::vector<RequestToken> tokens;
  for (int i = 0; i < 70; ++i) {
    tokens.push_back(cluster.SendRequest(i % 7, true));
    cluster.Run(milliseconds(20));
  }
  cluster.Run(seconds(20));
  for (const RequestToken token : tokens) {
    CHECK(cluster.AnswerTo(token)->answer.outcome == Outcome::kAnswered);
  }
  CHECK(cluster.violations.empty());
}

TEST_CASE("a joining host uses its slots only after their former home has transferred them") {
  // A host joins while all slots are busy with long requests.
  ClusterOptions options;
  options.hosts = 1;
  options.endpoints = 2;
  options.deadline = seconds(10);
  options.service_time = seconds(3);
  FakeCluster cluster(options);
  for (int i = 0; i < 4; ++i) {
    cluster.SendRequest(0, true);
  }
  Router joiner(
      {}, MemberId("late/1"), DomainId("d0"), [](std::string_view) { return std::nullopt; },
      Random(9));
  RoutingTable table;
  table.services.push_back({ServiceId("notices"),
                            CustomerId("owner"),
                            2,
                            64,
                            seconds(10),
                            {{EndpointId("notices/10.0.0.0"), "10.0.0.0", DomainId("d0")}}});
  table.accounts.push_back({AccountId("a-c0"), CustomerId("c0"), 0});
  const Now now = cluster.NowAt(0);
  joiner.SetMembers(now,
                    {{MemberId("host0/1"), DomainId("d0")}, {MemberId("late/1"), DomainId("d0")}});
  joiner.ApplyServices(now, table);
  Request request;
  request.service = ServiceId("notices");
  request.account = AccountId("a-c0");
  request.customer = CustomerId("c0");
  request.idempotent = true;
  joiner.OnRequest(now, RequestToken{1}, request);
  const auto is_send = [](const RouterEffect& effect) {
    return std::holds_alternative<SendAttempt>(effect);
  };
  CHECK(std::ranges::none_of(joiner.TakeEffects(), is_send));
  joiner.OnPeerMessage(
      now, MemberId("host0/1"),
      SlotReturn{0, {SlotSet{EndpointId("notices/10.0.0.0"), 3}}, false, 1, false});
  CHECK(std::ranges::any_of(joiner.TakeEffects(), is_send));
}

TEST_CASE("slots that change their home are not lost when the transfer message is lost") {
  ClusterOptions options;
  options.hosts = 7;
  options.endpoints = 7;
  options.slots = 8;
  options.message_loss = 0.8;
  options.message_duplication = 0.5;
  FakeCluster cluster(options);
  cluster.Run(seconds(15));
  cluster.SetMessageLoss(0);
  for (int i = 0; i < 350; ++i) {
    cluster.SendRequest(i % 7, true);
    cluster.Run(milliseconds(1));
  }
  cluster.Run(seconds(2));
  // About 30 of the 56 slots are busy. Without the transferred slots only a few would be available.
  CHECK(cluster.TotalCounters().Get("cactusshelf_outcomes_total", "answered") > 330);
  CHECK(cluster.violations.empty());
}

TEST_CASE("slots are still lent after many hosts were replaced") {
  DomainCosts costs;
  const std::size_t domain = costs.IndexOf(DomainId("d"));
  SlotSharesOptions options{MemberId("self"), domain, seconds(2), seconds(40), true, true};
  SlotShares shares(options, costs, [](std::uint32_t, bool) {});
  Time now{seconds(1)};
  shares.SetMembers(now, {{MemberId("self"), DomainId("d")}}, {domain}, true);
  shares.AddEndpoint(now, 0, EndpointId("e"), domain, 8, true);
  for (int i = 0; i < 50; ++i) {
    const MemberId other("other" + std::to_string(i));
    const std::vector<RouterMember> members = {{MemberId("self"), DomainId("d")},
                                               {other, DomainId("d")}};
    shares.SetMembers(now, members, {domain, domain}, false);
    shares.TakeTransfers(now);
    if (i % 2 == 0) {
      // The lease numbers of each new member start at 1.
      shares.OnLend(now, other, 1, now + seconds(2), SlotSet{EndpointId("e"), 0xff});
      shares.Tick(now);
      CHECK(shares.usable() == 8);
    }
    now += seconds(3);
  }
}

TEST_CASE("slots of a host that died become usable again after its requests have ended") {
  ClusterOptions options;
  options.endpoints = 3;
  FakeCluster cluster(options);
  cluster.Kill(0);
  cluster.Run(seconds(45));
  for (int i = 0; i < 6; ++i) {
    cluster.SendRequest(1, true);
    cluster.SendRequest(2, true);
  }
  cluster.Run(seconds(2));
  CHECK(cluster.MaxConcurrent() == 2);
  CHECK(cluster.TotalCounters().Get("cactusshelf_outcomes_total", "answered") == 12);
  CHECK(cluster.violations.empty());
}

}  // namespace
}  // namespace cactusshelf
