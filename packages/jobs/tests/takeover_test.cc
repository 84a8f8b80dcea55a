#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "cactusshelf/jobs/job_log_view.h"
#include "job_simulation.h"

// Tests of changes of owner while workers are drained and leave.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A stopped long-running task runs again within this time if workers have room.
constexpr Duration kMaxRestartTime = seconds(9);
constexpr int kTasks = 8;

// Four nodes and six workers, of which three are enough for all tasks.
std::unique_ptr<JobSimulation> BusySimulation(std::uint64_t seed) {
  auto simulation = std::make_unique<JobSimulation>(seed, 4, 6, SimulationFaults{});
  StartLongRunningTasks(*simulation, kTasks);
  return simulation;
}

// The worker ends and is taken off the list.
void RemoveWorker(JobSimulation& simulation, int i) {
  simulation.PartitionWorker(i, seconds(600));
  simulation.store().UnlistWorker(simulation.worker(i).entry().id);
}

// Workers of the stored roster.
std::vector<std::string> StoredRoster(JobSimulation& simulation) {
  JobLogView log_view;
  for (const KeyedRecord& record : simulation.store().log(0)) {
    if (record.key == "roster") log_view.Apply(DecodeJobLogRecord(record), record.offset);
  }
  return {log_view.roster().begin(), log_view.roster().end()};
}

bool IsInStoredRoster(JobSimulation& simulation, int i) {
  const std::vector<std::string> roster = StoredRoster(simulation);
  return std::find(roster.begin(), roster.end(), simulation.worker(i).entry().id) != roster.end();
}

}  // namespace

TEST_CASE("a takeover waits for workers that were drained and have left") {
  // Guards against tasks that wait for the end of leases on which nothing runs: drained workers
  // stayed in the stored roster, so a new owner waited for them before it started any task.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed);
    const int left = simulation->BusyWorker(0);
    DrainUntilIdle(*simulation, left);
    simulation->RunFor(milliseconds(1500));
    RemoveWorker(*simulation, left);
    simulation->RunFor(milliseconds(500));
    const int leaving = simulation->BusyWorker(left + 1);
    DrainUntilIdle(*simulation, leaving);
    simulation->KillNode(simulation->OwnerIndex());
    const Duration waited = TimeUntilRunning(*simulation, kTasks);
    CHECK(waited < seconds(5));
    CHECK_FALSE(simulation->LogLines("event=takeover_complete").empty());
    // The log names the workers that are awaited.
    CHECK(simulation->LogLines(simulation->worker(left).entry().id + ":").empty());
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("a takeover waits a second for the next report of workers on which nothing runs") {
  // Guards against tasks that wait for the holds of idle workers, which are far apart: reports
  // count for a takeover once most workers have accepted the new owner.
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed);
    simulation->LoseNode(simulation->OwnerIndex());
    AwaitOwner(*simulation);
    simulation->RunFor(milliseconds(500));
    CHECK_FALSE(simulation->LogLines("event=takeover_complete").empty());
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("a stopped task waits too long when the owner changes twice in a row") {
  // Guards against a wait that each change of owner adds to: every new owner waited for workers
  // that had been drained and had left before the first change.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    // How long the second owner lasts.
    const Duration reign = milliseconds(seed % 2 == 0 ? 50 : 1500);
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed);
    const int left = simulation->BusyWorker(0);
    DrainUntilIdle(*simulation, left);
    simulation->RunFor(milliseconds(1500));
    RemoveWorker(*simulation, left);
    simulation->RunFor(milliseconds(500));
    DrainUntilIdle(*simulation, simulation->BusyWorker(left + 1));
    const Time stopped_at = simulation->now();
    simulation->KillNode(simulation->OwnerIndex());
    AwaitOwner(*simulation);
    simulation->RunFor(reign);
    simulation->KillNode(simulation->OwnerIndex());
    TimeUntilRunning(*simulation, kTasks);
    CHECK(simulation->now() - stopped_at < kMaxRestartTime);
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("a new owner starts no task because a lost worker may run others") {
  // Guards against tasks that wait for the leases of a worker on which they cannot run: the roster
  // said that a worker may run something, but not what.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed);
    const int lost = simulation->BusyWorker(0);
    const auto lost_tasks = static_cast<int>(simulation->worker(lost).running().size());
    const int draining = simulation->BusyWorker(lost + 1);
    simulation->PartitionWorker(lost, seconds(600));
    simulation->RunFor(milliseconds(2200));
    DrainUntilIdle(*simulation, draining);
    simulation->KillNode(simulation->OwnerIndex());
    const Time killed_at = simulation->now();
    // All tasks but those of the lost worker run, whether its lease has ended or not.
    const auto running_elsewhere = [&] {
      return simulation->running_tasks() -
             static_cast<int>(simulation->worker(lost).running().size());
    };
    while (running_elsewhere() < kTasks - lost_tasks && simulation->now() < killed_at + seconds(20))
      simulation->RunFor(milliseconds(10));
    CHECK(simulation->now() - killed_at < milliseconds(4500));
    simulation->RunFor(seconds(10));
    CHECK(running_elsewhere() == kTasks);
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("an idle draining worker stays in the stored roster") {
  // Guards against a roster that shrinks only once all leases of a worker that is gone have ended.
  const auto simulation = BusySimulation(3);
  const int draining = simulation->BusyWorker(0);
  REQUIRE(IsInStoredRoster(*simulation, draining));
  DrainUntilIdle(*simulation, draining);
  simulation->RunFor(milliseconds(1500));
  CHECK_FALSE(IsInStoredRoster(*simulation, draining));
  CHECK_FALSE(
      simulation
          ->LogLines("event=roster_entry_dropped worker=" + simulation->worker(draining).entry().id)
          .empty());
  CheckNoViolations(*simulation);
}

TEST_CASE("a worker that is ready again after draining gets no tasks") {
  // Guards against a worker that left the stored roster and is never added to it again.
  JobSimulation simulation(4, 2, 1, {});
  simulation.RunFor(seconds(4));
  simulation.Submit(LongRunningJob(2));
  simulation.RunFor(seconds(2));
  DrainUntilIdle(simulation, 0);
  simulation.RunFor(milliseconds(1500));
  REQUIRE_FALSE(IsInStoredRoster(simulation, 0));
  simulation.store().ListWorker(simulation.worker(0).entry());
  simulation.RunFor(milliseconds(1000));
  CHECK(simulation.running_tasks() == 2);
  CHECK(IsInStoredRoster(simulation, 0));
  CheckNoViolations(simulation);
}

TEST_CASE("a worker that was unreachable beyond its leases gets no tasks when it is back") {
  // Guards against a worker that leaves the stored roster while it is listed, comes back as the
  // same incarnation and is not added again.
  JobSimulation simulation(5, 2, 1, {});
  simulation.RunFor(seconds(14));
  simulation.Submit(LongRunningJob(2));
  simulation.RunFor(seconds(2));
  simulation.PartitionWorker(0, seconds(8));
  simulation.RunFor(milliseconds(7500));
  REQUIRE_FALSE(IsInStoredRoster(simulation, 0));
  simulation.RunFor(milliseconds(2500));
  CHECK(simulation.running_tasks() == 2);
  CHECK(IsInStoredRoster(simulation, 0));
  CheckNoViolations(simulation);
}

TEST_CASE("a worker that left the stored roster gets no start before a later one is stored") {
  // Guards against tasks that run twice: the next owner does not wait for a worker that the stored
  // roster lacks, so this owner must not start anything there.
  JobSimulation simulation(7, 2, 2, {});
  simulation.RunFor(seconds(3));
  simulation.Submit(LongRunningJob(1));
  simulation.RunFor(seconds(12));
  const int busy = simulation.BusyWorker(0);
  const int idle = 1 - busy;
  simulation.PartitionWorker(idle, milliseconds(4000));
  simulation.RunFor(milliseconds(3950));
  REQUIRE_FALSE(IsInStoredRoster(simulation, idle));
  simulation.PartitionNodeFromStore(simulation.OwnerIndex(), seconds(3));
  simulation.RunFor(milliseconds(700));
  const std::string reached = "event=worker_reached worker=" + simulation.worker(idle).entry().id;
  REQUIRE_FALSE(simulation.LogLines(reached).empty());
  simulation.StartRejecting(busy);
  simulation.worker(busy).FailAllRuns(simulation.now());
  simulation.RunFor(milliseconds(400));
  CHECK_FALSE(IsInStoredRoster(simulation, idle));
  CHECK(simulation.worker(idle).running().empty());
  simulation.RunFor(seconds(10));
  CHECK(simulation.worker(idle).running().size() == 1);
  CheckNoViolations(simulation);
}

TEST_CASE("a lease is renewed on a worker whose lease end is stored") {
  // Guards against tasks that run twice: the next owner takes what runs there for ended at the time
  // that the stored roster says.
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed);
    const int lost = simulation->BusyWorker(0);
    simulation->PartitionWorker(lost, milliseconds(3000));
    simulation->RunFor(milliseconds(2900));
    // No other node becomes the owner and renews the lease.
    for (int i = 0; i < 4; ++i) simulation->PartitionNodeFromStore(i, seconds(30));
    simulation->RunFor(milliseconds(3000));
    const std::string reached =
        "event=worker_reached worker=" + simulation->worker(lost).entry().id + " ";
    REQUIRE_FALSE(simulation->LogLines(reached).empty());
    CHECK(simulation->worker(lost).running().empty());
    for (int i = 0; i < 4; ++i) simulation->PartitionNodeFromStore(i, seconds(0));
    TimeUntilRunning(*simulation, kTasks);
    CHECK(simulation->running_tasks() == kTasks);
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("a worker that is reached again in time loses its runs") {
  // Guards against leases that are not renewed although the worker and the store are back.
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed);
    const std::uint64_t starts = simulation->starts();
    simulation->PartitionWorker(simulation->BusyWorker(0), milliseconds(3000));
    simulation->RunFor(seconds(12));
    CHECK(simulation->starts() == starts);
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("a new owner waits for a quorum of workers that were lost with its predecessor") {
  // Guards against work that stands still: most workers of the stored roster are gone, and the
  // hosts are not asked whether the earlier owner may still be at work.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed);
    const int owner = simulation->OwnerIndex();
    for (int worker = 0; worker < 4; ++worker) simulation->LoseWorker(worker, seconds(2));
    simulation->LoseNode(owner);
    simulation->RunFor(seconds(14));
    CHECK(simulation->running_tasks() == kTasks);
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("a new owner waits for a quorum of workers after its predecessor has woken up") {
  // Guards against work that stands still: an owner that was suspended is alive but has stopped,
  // and most workers are gone.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed);
    simulation->FreezeNode(simulation->OwnerIndex(), seconds(4));
    for (int worker = 0; worker < 4; ++worker) simulation->LoseWorker(worker, seconds(2));
    simulation->RunFor(seconds(14));
    CHECK(simulation->running_tasks() == kTasks);
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("a replaced owner gives up the runs of a worker whose leases its successor renews") {
  // Guards against tasks that run twice: an owner loses a worker and then the store. Its successor
  // reaches the worker and renews the lease there, whose end the owner still expects.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    constexpr int kNodes = 4;
    constexpr int kWorkers = 3;
    SimulationOptions options;
    options.relays = false;
    JobSimulation simulation(seed, kNodes, kWorkers, {}, options);
    simulation.RunFor(seconds(3));
    simulation.Submit(LongRunningJob(3));
    simulation.RunFor(seconds(12));
    const int owner = simulation.OwnerIndex();
    const int lost = simulation.BusyWorker(0);
    simulation.PartitionWorkerFromNode(lost, owner, seconds(30));
    simulation.RunFor(milliseconds(100 * static_cast<int>(seed)));
    // The other workers do not tell the owner that it is replaced.
    std::set<int> others;
    for (int worker = 0; worker < kWorkers; ++worker) {
      if (worker != lost) others.insert(worker);
    }
    simulation.PartitionNodeWithWorkers(owner, others, seconds(30));
    simulation.RunFor(milliseconds(5500));
    CHECK_FALSE(simulation.worker(lost).running().empty());
    CheckNoViolations(simulation);
  }
}

TEST_CASE("a worker that is idle and draining when a new owner hears of it stays in the roster") {
  // Guards against an entry of an earlier owner that no later one drops, since none added it.
  const auto simulation = BusySimulation(6);
  const int draining = simulation->BusyWorker(0);
  simulation->KillNode(simulation->OwnerIndex());
  DrainUntilIdle(*simulation, draining);
  simulation->RunFor(milliseconds(1500));
  REQUIRE(simulation->OwnerIndex() >= 0);
  CHECK_FALSE(IsInStoredRoster(*simulation, draining));
  CheckNoViolations(*simulation);
}

TEST_CASE("a start goes to a worker that the stored roster does not list any more") {
  // Guards against tasks that run twice under the next owner, which does not wait for a worker that
  // left the roster. Workers are drained, made ready and taken off the list beside other faults.
  const std::uint64_t seeds = SeedCount(25);
  SimulationFaults faults = CallFaults();
  faults.node_kill_period = seconds(3);
  faults.node_freeze_period = seconds(6);
  faults.store_partition_period = seconds(6);
  faults.worker_partition_period = seconds(3);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    JobSimulation simulation(seed, 4, 6, faults);
    simulation.RunFor(seconds(3));
    for (int i = 0; i < 60; ++i) {
      if (i % 6 == 0) simulation.Submit(LongRunningJob(3, 1000));
      if (i % 3 == 0) simulation.Submit(SimpleJob(4, 1000));
      const int worker = static_cast<int>(simulation.random().Below(6));
      switch (simulation.random().Below(4)) {
        case 0:
          simulation.DrainWorker(worker);
          break;
        case 1:
          simulation.store().UnlistWorker(simulation.worker(worker).entry().id);
          break;
        default:
          simulation.store().ListWorker(simulation.worker(worker).entry());
      }
      simulation.RunFor(simulation.random().Between(milliseconds(50), milliseconds(700)));
    }
    simulation.StopFaults();
    for (int i = 0; i < 6; ++i) simulation.store().ListWorker(simulation.worker(i).entry());
    simulation.RunFor(seconds(30));
    CheckScheduleEnd(simulation, seed);
  }
}

}  // namespace cactusshelf::jobs
