#include <catch2/catch.hpp>
#include <optional>
#include <set>

#include "host_votes.h"
#include "job_simulation.h"
#include "scheduler.h"

// Tests of what owners conclude from the votes of entry hosts, with faults of the hosts themselves.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTasks = 9;

std::unique_ptr<JobSimulation> BusySimulation(std::uint64_t seed, int nodes) {
  auto simulation = std::make_unique<JobSimulation>(seed, nodes, 5, SimulationFaults{});
  StartLongRunningTasks(*simulation, kTasks);
  return simulation;
}

void PartitionAllFromStore(JobSimulation& simulation, int nodes, Duration duration) {
  for (int i = 0; i < nodes; ++i) simulation.PartitionNodeFromStore(i, duration);
}

}  // namespace

TEST_CASE("an owner stops for a claim that never reaches the store's fence") {
  // Guards against work that stands still: the store fails for the owner, then, right after another
  // process has claimed the cell, for everybody. Nobody can own the cell in its place.
  const std::uint64_t seeds = SeedCount(30);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed, 3);
    const int owner = simulation->OwnerIndex();
    simulation->PartitionNodeFromStore(owner, seconds(40));
    const std::string before = simulation->LogLines("event=owner_claim");
    for (int i = 0; i < 5000 && simulation->LogLines("event=owner_claim") == before; ++i)
      simulation->RunFor(milliseconds(1));
    // In some seeds the claim is stored and read by then, and the append that shuts out the owner
    // is not.
    simulation->RunFor(milliseconds(seed));
    for (int i = 0; i < 3; ++i) {
      if (i != owner) simulation->PartitionNodeFromStore(i, seconds(20));
    }
    simulation->RunFor(seconds(15));
    CHECK(simulation->running_tasks() == kTasks);
    CHECK(simulation->LogLines("told_by_successor").empty());
  }
}

TEST_CASE("an owner without the store stops when another host starts again", "[!shouldfail]") {
  // Guards against work that stands still in an outage of the store: up to half of the entry hosts
  // are started again, the owner is not.
  for (const int nodes : {2, 3, 4}) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      CAPTURE(nodes, seed);
      const auto simulation = BusySimulation(seed, nodes);
      const int owner = simulation->OwnerIndex();
      PartitionAllFromStore(*simulation, nodes, seconds(40));
      simulation->RunFor(seconds(3));
      int killed = 0;
      for (int i = 0; i < nodes && killed < nodes / 2; ++i) {
        if (i == owner) continue;
        simulation->KillNode(i);
        ++killed;
      }
      simulation->RunFor(seconds(15));
      CHECK(simulation->running_tasks() == kTasks);
      CHECK(simulation->OwnerIndex() == owner);
    }
  }
}

TEST_CASE("two owners of one generation count each other's answers as votes") {
  // Guards against tasks that run twice: the owner's claim is stored once more, late, as an append
  // without an answer may be, just before the owner loses the store. Then the log shows the claim
  // of the same generation that had lost, and its process becomes the owner.
  const auto decode = [](const KeyedRecord& record) {
    return std::get<OwnerRecord>(DecodeJobLogRecord(record));
  };
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    for (const std::set<int>& side : {std::set<int>{0, 1, 2}, std::set<int>{0, 1, 2, 3}}) {
      CAPTURE(seed, side.size());
      const auto simulation = BusySimulation(seed, 3);
      const int first_owner = simulation->OwnerIndex();
      simulation->LoseNode(first_owner);
      simulation->RunFor(seconds(14));
      const int owner = simulation->OwnerIndex();
      REQUIRE(simulation->running_tasks() == kTasks);
      REQUIRE(owner != first_owner);
      const std::string owner_key = "o/h" + std::to_string(owner);
      const std::string other = "h" + std::to_string(3 - owner - first_owner);
      std::optional<OwnerRecord> owners_claim;
      for (const KeyedRecord& record : simulation->store().log(0)) {
        if (record.key == owner_key) owners_claim = decode(record);
      }
      REQUIRE(owners_claim);
      owners_claim->epoch = 0;
      OwnerRecord lost_claim = *owners_claim;
      lost_claim.host = other;
      lost_claim.member = other + "/1";
      simulation->store().Append({0, 1, {Encode(lost_claim)}, "", 0, 0});
      simulation->RunFor(seconds(1));
      REQUIRE(simulation->OwnerIndex() == owner);
      simulation->PartitionNodeWithWorkers(owner, side, seconds(20));
      simulation->store().Append({0, 2, {Encode(*owners_claim)}, "", 0, 0});
      simulation->RunFor(seconds(30));
      CheckNoViolations(*simulation);
    }
  }
}

TEST_CASE("a claim that lost stands for the owner of its generation") {
  // Guards against tasks that run twice: the owner of generation 5 ended just now, and its host has
  // claimed again. Another claim of generation 5 is of a host that started again long before.
  const auto claim = [](const std::string& host, std::int64_t generation, std::int64_t epoch) {
    OwnerRecord record;
    record.host = host;
    record.member = host + "/1";
    record.generation = generation;
    record.epoch = epoch;
    return record;
  };
  const Time gained{seconds(100)};
  JobLogView view;
  LeaseRecord leases;
  leases.bound = true;
  leases.lease = seconds(4);
  leases.generation = 4;
  view.Apply(leases, 0);
  view.Apply(RosterRecord{{"w0", "w1"}}, 1);
  view.Apply(claim("c", 4, 3), 2);
  view.Apply(claim("a", 5, 5), 4);
  view.Apply(claim("b", 5, 0), 5);
  OwnerRecord own = claim("a", 6, 0);
  own.member = "a/2";
  own.bound_since = own.limits_since = own.host_votes_since = 1;
  view.Apply(own, 6);
  HostVotes votes("a", "a/2", 7, gained, gained);
  Scheduler scheduler({}, 0, 7, 6, EarlierOwners{true, gained, &votes}, view, NowAt(gained));
  const Time later = gained + milliseconds(100);
  for (const std::string host : {"b", "c"})
    votes.OnAnswer({host, host + "/2", 0, 7, seconds(60), seconds(60), gained.time_since_epoch()},
                   later);
  scheduler.ConfirmOwnership(later);
  scheduler.Decide(NowAt(later));
  std::string log;
  for (const LogEvent& event : scheduler.TakeLog()) log += event.Format() + "\n";
  CAPTURE(log);
  CHECK(log.find("ms_since_gained=-") == std::string::npos);
  CHECK(log.find("event=takeover_complete") == std::string::npos);
}

TEST_CASE("seeded schedules of cuts between hosts start a task while it runs elsewhere") {
  // Guards against tasks that run twice: hosts vote, and are cut off from each other, from the
  // store and from workers in changing groups, while processes end or stand still.
  const std::uint64_t seeds = SeedCount(40);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const int nodes = 3 + static_cast<int>(seed % 3);
    const auto simulation = BusySimulation(seed, nodes);
    if (seed % 2 == 0) simulation->SetFaults(CallFaults());
    Random& random = simulation->random();
    const auto any_node = [&] {
      return static_cast<int>(random.Below(static_cast<std::uint64_t>(nodes)));
    };
    for (int i = 0; i < 12; ++i) {
      const int owner = simulation->OwnerIndex();
      const int node = owner >= 0 && random.Chance(0.7) ? owner : any_node();
      std::set<int> side;
      for (int worker = 0; worker < 5; ++worker) {
        if (random.Chance(0.6)) side.insert(worker);
      }
      const Duration lasts = random.Between(seconds(3), seconds(20));
      simulation->PartitionNodeWithWorkers(node, side, lasts);
      for (int a = 0; a < nodes; ++a) {
        for (int b = a + 1; b < nodes; ++b) {
          if (random.Chance(a == node || b == node ? 0.5 : 0.2))
            simulation->PartitionNodes(a, b, lasts);
        }
      }
      if (i % 3 == 0) simulation->Submit(SimpleJob(4, 1000));
      simulation->RunFor(random.Between(milliseconds(500), seconds(16)));
      if (random.Chance(0.3)) simulation->CrashWorker(static_cast<int>(random.Below(5)));
      if (random.Chance(0.4)) simulation->KillNode(any_node());
      if (random.Chance(0.3))
        simulation->FreezeNode(any_node(), random.Between(seconds(1), seconds(4)));
    }
    simulation->StopFaults();
    simulation->RunFor(seconds(45));
    CheckScheduleEnd(*simulation, seed);
  }
}

TEST_CASE("an owner that reaches most workers and no other host goes on beside its successor") {
  // Guards against tasks that run twice: the owner is cut off from the store, from one worker and
  // from all other hosts, whose votes are enough for its successor.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed, 3);
    const int owner = simulation->OwnerIndex();
    simulation->PartitionNodeWithWorkers(owner, {0, 1, 2, 3}, seconds(25));
    for (int i = 0; i < 3; ++i) {
      if (i != owner) simulation->PartitionNodes(owner, i, seconds(25));
    }
    simulation->RunFor(seconds(20));
    CHECK_FALSE(simulation->LogLines("event=leases_withheld").empty());
    simulation->RunFor(seconds(30));
    CHECK(simulation->running_tasks() == kTasks);
    CheckNoViolations(*simulation);
  }
}

}  // namespace cactusshelf::jobs
