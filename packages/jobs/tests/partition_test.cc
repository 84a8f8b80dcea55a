#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "job_simulation.h"

// Tests of an owner that is cut off from the store and, together with some workers, from the other
// nodes. Its successor reaches the other workers only.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 3;
constexpr int kWorkers = 5;
constexpr int kTasks = 9;

std::unique_ptr<JobSimulation> StartTasks(std::uint64_t seed, const SimulationOptions& options) {
  auto simulation =
      std::make_unique<JobSimulation>(seed, kNodes, kWorkers, SimulationFaults{}, options);
  StartLongRunningTasks(*simulation, kTasks);
  return simulation;
}

std::unique_ptr<JobSimulation> BusySimulation(std::uint64_t seed, SimulationOptions options = {}) {
  options.relays = false;
  return StartTasks(seed, options);
}

bool RunsTaskOf(FakeWorker& worker, const JobKey& job) {
  return std::any_of(worker.running().begin(), worker.running().end(),
                     [&job](const auto& run) { return run.first.job == job; });
}

// One step of a schedule: cuts off the owner or another node, with some of the workers.
void PartitionAtRandom(JobSimulation& simulation) {
  Random& random = simulation.random();
  const int owner = simulation.OwnerIndex();
  const bool cut_owner = owner >= 0 && random.Chance(0.7);
  const int node = cut_owner ? owner : static_cast<int>(random.Below(kNodes));
  std::set<int> side;
  for (int worker = 0; worker < kWorkers; ++worker) {
    if (random.Chance(0.5)) side.insert(worker);
  }
  simulation.PartitionNodeWithWorkers(node, side, random.Between(seconds(1), seconds(14)));
}

void PlayPartitions(JobSimulation& simulation, std::uint64_t seed) {
  if (seed % 2 == 0) simulation.SetFaults(CallFaults());
  Random& random = simulation.random();
  for (int i = 0; i < 12; ++i) {
    PartitionAtRandom(simulation);
    if (i % 3 == 0) simulation.Submit(SimpleJob(4, 1000));
    simulation.RunFor(random.Between(milliseconds(500), seconds(6)));
    const int node = static_cast<int>(random.Below(kNodes));
    if (random.Chance(0.4)) simulation.CrashWorker(static_cast<int>(random.Below(kWorkers)));
    if (random.Chance(0.2)) simulation.KillNode(node);
    if (random.Chance(0.2)) simulation.FreezeNode(node, random.Between(seconds(1), seconds(4)));
  }
  simulation.StopFaults();
  simulation.RunFor(seconds(45));
  CheckScheduleEnd(simulation, seed);
}

}  // namespace

TEST_CASE("a new owner that reaches few workers starts the tasks of all others") {
  // Guards against tasks that run twice: a new owner that reaches few workers takes the leases on
  // the others for expired, while its predecessor renews them without the store.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed);
    simulation->PartitionNodeWithWorkers(simulation->OwnerIndex(), {0, 1, 2, 3}, seconds(20));
    simulation->RunFor(seconds(40));
    CHECK(simulation->running_tasks() == kTasks);
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("an owner that reaches few workers renews what its successor starts") {
  // Guards against tasks that run twice, as above: the earlier owner reaches few workers.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed);
    simulation->PartitionNodeWithWorkers(simulation->OwnerIndex(), {0}, seconds(20));
    simulation->RunFor(seconds(15));
    CHECK(simulation->running_tasks() == kTasks);
    simulation->RunFor(seconds(25));
    CHECK(simulation->running_tasks() == kTasks);
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("an owner without the store renews the leases of a worker that only it reaches") {
  // Guards against tasks that run twice: an owner and a worker are cut off together from the store
  // and the other workers. Its successor takes the leases there for expired, while it renews them.
  SimulationOptions options;
  options.relays = false;
  JobSimulation simulation(3, 3, 3, {}, options);
  simulation.RunFor(seconds(3));
  simulation.Submit(LongRunningJob(9));
  simulation.RunFor(seconds(12));
  simulation.PartitionNodeWithWorkers(simulation.OwnerIndex(), {0}, seconds(30));
  simulation.RunFor(seconds(20));
  CHECK(simulation.violations().empty());
}

TEST_CASE("an owner without the store loses the workers on which its tasks run") {
  // Guards against leases that are withheld during an outage of the store although no other owner
  // can follow, and from an owner that reaches most workers.
  const auto simulation = BusySimulation(1);
  const std::uint64_t starts = simulation->starts();
  for (int node = 0; node < kNodes; ++node) simulation->PartitionNodeFromStore(node, seconds(60));
  simulation->PartitionWorker(kWorkers - 1, seconds(60));
  simulation->RunFor(seconds(60));
  CHECK(simulation->running_tasks() == kTasks);
  CHECK(simulation->starts() == starts);
  CheckNoViolations(*simulation);
}

TEST_CASE("a new owner waits without end for workers that were lost with its predecessor") {
  // Guards against a pool that no owner uses since most workers of the stored roster are gone, and
  // against tasks that run twice because another owner waits no longer for its predecessor.
  SimulationOptions options;
  options.node.scheduler.max_time_without_store = seconds(20);
  const auto lost = BusySimulation(1, options);
  lost->LoseNode(lost->OwnerIndex());
  for (int worker = 0; worker < 3; ++worker) lost->LoseWorker(worker, seconds(1));
  lost->RunFor(seconds(40));
  CHECK(lost->running_tasks() == kTasks);

  const auto cut_off = BusySimulation(2, options);
  cut_off->PartitionNodeWithWorkers(cut_off->OwnerIndex(), {0, 1, 2}, seconds(60));
  cut_off->RunFor(seconds(50));
  CHECK(cut_off->running_tasks() == kTasks);
  cut_off->RunFor(seconds(30));
  CheckNoViolations(*cut_off);
}

TEST_CASE("a task that another owner knows to be done starts again after its worker restarts") {
  // Guards against tasks that run twice: a new owner that reaches one worker hears of an end there.
  // The worker restarts on the side of its predecessor, which takes the run for lost.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed);
    const int owner = simulation->OwnerIndex();
    const JobKey job = simulation->Submit(SimpleJob(10, 1000));
    simulation->RunFor(milliseconds(100));
    int crossing = 0;
    while (!RunsTaskOf(simulation->worker(crossing), job)) ++crossing;
    std::set<int> side;
    for (int worker = 0; worker < kWorkers; ++worker) {
      if (worker != crossing) side.insert(worker);
    }
    simulation->PartitionNodeWithWorkers(owner, side, seconds(20));
    simulation->RunFor(seconds(4));
    side.insert(crossing);
    simulation->PartitionNodeWithWorkers(owner, side, seconds(16));
    simulation->CrashWorker(crossing);
    simulation->RunFor(seconds(30));
    CHECK(simulation->StateOf(job) == JobState::kCompleted);
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("seeded schedules of partitions start a task while it runs elsewhere") {
  // Guards against tasks that run twice: owners and workers are cut off in changing groups, while
  // workers restart and forget which owner they have accepted, and nodes end or stand still.
  const std::uint64_t seeds = SeedCount(40);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto simulation = BusySimulation(seed);
    PlayPartitions(*simulation, seed);
  }
}

TEST_CASE("seeded schedules of partitions with votes of hosts start a task while it runs") {
  // Guards against tasks that run twice: as above, while the entry hosts vote too. A host that is
  // cut off with an owner votes for it, and one that restarts forgets which owners it has seen.
  const std::uint64_t seeds = SeedCount(40);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto simulation = StartTasks(seed, {});
    PlayPartitions(*simulation, seed);
  }
}

}  // namespace cactusshelf::jobs
