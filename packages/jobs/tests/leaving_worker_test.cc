#include <algorithm>
#include <catch2/catch.hpp>

#include "job_simulation.h"

// Changes of owner just as workers leave that were drained before.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTasks = 8;
// The longest time that a worker takes to stop a run.
constexpr Duration kStopTime = milliseconds(900);
// The longest time that a lease lasts by a slow clock.
constexpr Duration kLeaseTime = milliseconds(4100);
// A takeover that waits for no lease takes up to this long.
constexpr Duration kMaxTakeoverTime = milliseconds(1300);
// A task that has ended before its owner is lost runs again within this time of the next owner.
constexpr Duration kMaxWaitForNextOwner = milliseconds(2300);

// Four nodes and six workers, of which three are enough for all tasks. Runs take time to stop.
std::unique_ptr<JobSimulation> BusySimulation(std::uint64_t seed, bool relays = true) {
  SimulationOptions options;
  options.long_polls = true;
  options.relays = relays;
  auto simulation = std::make_unique<JobSimulation>(seed, 4, 6, SimulationFaults{}, options);
  for (int i = 0; i < 6; ++i) simulation->worker(i).SetStopTime(kStopTime);
  StartLongRunningTasks(*simulation, kTasks);
  return simulation;
}

// Drains the worker until the owner knows of it.
void DrainUntilNoticed(JobSimulation& simulation, int worker) {
  simulation.DrainWorker(worker);
  for (int n = 0; n < 300 && simulation.LogLines("event=worker_draining").empty(); ++n)
    simulation.RunFor(milliseconds(10));
  REQUIRE_FALSE(simulation.LogLines("event=worker_draining").empty());
}

// Drains the worker, and loses it together with the owner just as the last run there has ended.
void LoseWithOwner(JobSimulation& simulation, int worker) {
  DrainUntilIdle(simulation, worker);
  simulation.LoseNode(simulation.OwnerIndex());
  simulation.LoseWorker(worker, milliseconds(0));
}

}  // namespace

TEST_CASE("a task that had stopped on a leaving worker waits for a lease of the next owner") {
  // Guards against tasks that wait for a whole lease from the change of owner: the worker of their
  // last run was drained, and lost with the owner before a roster without them was stored.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed);
    LoseWithOwner(*simulation, simulation->BusyWorker(0));
    AwaitOwner(*simulation);
    CHECK(TimeUntilRunning(*simulation, kTasks) < kMaxWaitForNextOwner);
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("a task that had stopped on a leaving worker waits again at each change of owner") {
  // Guards against a wait that each change of owner adds to: the second owner was lost before it
  // had stored until when something may run on a worker that the first one knew to be leaving.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    // How long the second owner lasts.
    const Duration reign = milliseconds(static_cast<int>(50 + 100 * (seed % 10)));
    CAPTURE(seed, reign.count());
    const auto simulation = BusySimulation(seed);
    LoseWithOwner(*simulation, simulation->BusyWorker(0));
    AwaitOwner(*simulation);
    simulation->RunFor(reign);
    simulation->LoseNode(simulation->OwnerIndex());
    AwaitOwner(*simulation);
    CHECK(TimeUntilRunning(*simulation, kTasks) < kMaxWaitForNextOwner);
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("a second owner counts a lease of its own for a draining worker that it reaches") {
  // Guards against a wait for a lease that nobody has granted: the second owner took over that the
  // worker gets no more leases, but not when the last one ends, and was lost with the worker.
  const std::uint64_t seeds = SeedCount(20);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed);
    const int draining = simulation->BusyWorker(0);
    // The runs there do not end before the last lease.
    simulation->worker(draining).SetStopTime(seconds(600));
    DrainUntilNoticed(*simulation, draining);
    const Time drained_at = simulation->now();
    simulation->RunFor(milliseconds(800));
    simulation->LoseNode(simulation->OwnerIndex());
    AwaitOwner(*simulation);
    // The second owner stores a roster after it has reached the worker.
    int idle = 0;
    while (!simulation->worker(idle).running().empty()) ++idle;
    simulation->DrainWorker(idle);
    simulation->RunFor(milliseconds(900));
    simulation->LoseNode(simulation->OwnerIndex());
    simulation->LoseWorker(draining, milliseconds(0));
    AwaitOwner(*simulation);
    simulation->RunFor(std::max(drained_at + kLeaseTime - simulation->now(), Duration::zero()));
    CHECK(TimeUntilRunning(*simulation, kTasks) < kMaxTakeoverTime);
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("a lease is renewed on a draining worker whose lease end is stored") {
  // Guards against tasks that run twice: the next owner takes what runs there for ended at the time
  // that the stored roster says. The worker does not carry out stops.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed);
    const int draining = simulation->BusyWorker(0);
    simulation->worker(draining).SetStopTime(seconds(600));
    DrainUntilNoticed(*simulation, draining);
    simulation->RunFor(milliseconds(100));
    REQUIRE_FALSE(simulation->worker(draining).running().empty());
    // No other node becomes the owner.
    for (int i = 0; i < 4; ++i) simulation->PartitionNodeFromStore(i, seconds(30));
    simulation->RunFor(milliseconds(4000));
    CHECK(simulation->worker(draining).running().empty());
    for (int i = 0; i < 4; ++i) simulation->PartitionNodeFromStore(i, seconds(0));
    TimeUntilRunning(*simulation, kTasks);
    CHECK(simulation->running_tasks() == kTasks);
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("an owner that is cut off with a draining worker renews the leases there") {
  // Guards against tasks that run twice: its successor takes what runs there for ended at the time
  // that the stored roster says. The worker does not carry out stops, and no host hears another.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed, false);
    const int draining = simulation->BusyWorker(0);
    simulation->worker(draining).SetStopTime(seconds(600));
    DrainUntilNoticed(*simulation, draining);
    simulation->RunFor(milliseconds(100 + 50 * static_cast<int>(seed)));
    simulation->PartitionNodeWithWorkers(simulation->OwnerIndex(), {draining}, seconds(12));
    SimulationFaults no_messages;
    no_messages.lost_peer_message = 1;
    simulation->SetFaults(no_messages);
    simulation->RunFor(seconds(20));
    CHECK(simulation->running_tasks() == kTasks);
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("seeded schedules of leaving workers whose runs take long to stop") {
  // Guards against tasks that run twice: an owner starts them elsewhere since an earlier one has
  // stored when the last leases of a draining worker end, and another owner has renewed them.
  const std::uint64_t seeds = SeedCount(20);
  SimulationFaults faults = CallFaults();
  faults.node_kill_period = seconds(3);
  faults.node_freeze_period = seconds(5);
  faults.store_partition_period = seconds(5);
  faults.worker_partition_period = seconds(3);
  faults.worker_crash_period = seconds(8);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    JobSimulation simulation(seed, 4, 6, faults);
    Random& random = simulation.random();
    simulation.RunFor(seconds(3));
    for (int i = 0; i < 60; ++i) {
      if (i % 6 == 0) simulation.Submit(LongRunningJob(3, 1000));
      if (i % 3 == 0) simulation.Submit(SimpleJob(4, 1000));
      const int worker = static_cast<int>(random.Below(6));
      simulation.worker(worker).SetStopTime(random.Between(milliseconds(0), seconds(6)));
      if (random.Below(2) == 0) {
        simulation.DrainWorker(worker);
      } else {
        simulation.store().ListWorker(simulation.worker(worker).entry());
      }
      simulation.RunFor(random.Between(milliseconds(50), milliseconds(700)));
    }
    simulation.StopFaults();
    for (int i = 0; i < 6; ++i) {
      simulation.worker(i).SetStopTime(milliseconds(0));
      simulation.store().ListWorker(simulation.worker(i).entry());
    }
    simulation.RunFor(seconds(30));
    CheckScheduleEnd(simulation, seed);
  }
}

TEST_CASE("a run on a draining worker lapses because it takes longer than estimated") {
  // Guards against runs that lose their checkpoint: a draining worker gets no more leases, and a
  // run that was expected to end there in time does not.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed);
    JobSpec job = SimpleJob(12, 1000);
    job.payload = "duration=12000";
    simulation->Submit(job);
    simulation->RunFor(milliseconds(500));
    const int started = simulation->running_tasks();
    REQUIRE(started > kTasks);
    for (int worker = 0; worker < 3; ++worker) simulation->DrainWorker(worker);
    simulation->RunFor(milliseconds(1400));
    REQUIRE(simulation->running_tasks() > kTasks);
    simulation->RunFor(seconds(4));
    for (int worker = 0; worker < 3; ++worker) CHECK(simulation->worker(worker).running().empty());
    CHECK_FALSE(simulation->LogLines("end=stopped").empty());
    CHECK(simulation->LogLines("end=lapsed").empty());
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("a worker that is ready again after draining gets no leases") {
  // Guards against runs that lapse on a worker that stays: its leases were limited as it drained.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    JobSimulation simulation(seed, 2, 1, {});
    simulation.RunFor(seconds(3));
    simulation.Submit(LongRunningJob(2));
    simulation.RunFor(seconds(3));
    simulation.worker(0).SetStopTime(kStopTime);
    simulation.DrainWorker(0);
    simulation.RunFor(milliseconds(100 * static_cast<int>(seed)));
    simulation.store().ListWorker(simulation.worker(0).entry());
    simulation.RunFor(milliseconds(1500));
    CHECK(simulation.running_tasks() == 2);
    const std::uint64_t starts = simulation.starts();
    simulation.RunFor(seconds(8));
    CHECK(simulation.running_tasks() == 2);
    CHECK(simulation.starts() == starts);
    CheckNoViolations(simulation);
  }
}

}  // namespace cactusshelf::jobs
