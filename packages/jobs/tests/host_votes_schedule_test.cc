#include <catch2/catch.hpp>
#include <set>

#include "job_simulation.h"

// Seeded schedules of hosts that are cut off from each other.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTasks = 9;

std::unique_ptr<JobSimulation> BusySimulation(std::uint64_t seed, int nodes) {
  auto simulation = std::make_unique<JobSimulation>(seed, nodes, 5, SimulationFaults{});
  simulation->RunFor(seconds(3));
  simulation->Submit(LongRunningJob(kTasks));
  simulation->RunFor(seconds(12));
  REQUIRE(simulation->running_tasks() == kTasks);
  return simulation;
}

}  // namespace

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
