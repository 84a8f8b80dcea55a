#include <catch2/catch.hpp>

#include "job_simulation.h"

// Tests of the time after which a long-running task that has stopped runs again.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Callers are owed a long-running task that has stopped at work again within this time.
constexpr Duration kMaxRestartTime = seconds(9);
constexpr int kWorkers = 16;
constexpr Duration kLoadPeriod = milliseconds(250);

// A pool on which long-running tasks hold most processors, short tasks take the rest, and more of
// both kinds wait. The first starts of the long-running tasks that wait are due sooner than the
// jobs that run already.
struct BusyPool {
  BusyPool() : simulation(31, 2, kWorkers, {}) {
    simulation.RunFor(seconds(3));
    for (int i = 0; i < 12; ++i) {
      JobSpec spec = LongRunningJob(4, 1000 + 500 * (i % 4));
      spec.steps.front().estimate = seconds(20);
      jobs.push_back(simulation.Submit(spec));
    }
    simulation.RunFor(seconds(3));
    REQUIRE(RunningTasks().size() == Tasks().size());
    for (int i = 0; i < 24; ++i) simulation.Submit(LongRunningJob(1, 1500));
    for (int i = 0; i < 24; ++i) simulation.Submit(LongRunningJob(1, 500));
    RunLoaded(seconds(6));
  }

  // Advances time while short tasks keep coming, more than the pool can run.
  void RunLoaded(Duration duration) {
    const Time end = simulation.now() + duration;
    while (simulation.now() < end) {
      for (int i = 0; i < 4; ++i) simulation.Submit(SimpleJob(8, 500));
      simulation.RunFor(kLoadPeriod);
    }
  }

  std::vector<TaskRef> Tasks() const {
    std::vector<TaskRef> tasks;
    for (const JobKey& job : jobs) {
      for (int i = 0; i < 4; ++i) tasks.push_back({job, {0, 0, i}});
    }
    return tasks;
  }

  // The tasks of the first jobs that run.
  std::vector<TaskRef> RunningTasks() const {
    std::vector<TaskRef> running;
    for (const TaskRef& it : Tasks()) {
      if (simulation.IsRunning(it)) running.push_back(it);
    }
    return running;
  }

  // Fails a task wherever it runs.
  void FailTask(const TaskRef& task) {
    for (int i = 0; i < kWorkers; ++i) {
      if (simulation.worker(i).running().contains(task))
        simulation.worker(i).FailRun(task, simulation.now());
    }
  }

  // Checks that all tasks run after the time that they are owed.
  void CheckRestarts() {
    RunLoaded(kMaxRestartTime);
    const std::vector<TaskRef> running = RunningTasks();
    for (const TaskRef& it : Tasks()) {
      if (std::find(running.begin(), running.end(), it) != running.end()) continue;
      UNSCOPED_INFO(simulation.LogLines("task=" + ToString(it) + " "));
    }
    CHECK(running.size() == Tasks().size());
    CheckNoViolations(simulation);
  }

  JobSimulation simulation;
  std::vector<JobKey> jobs;
};

}  // namespace

TEST_CASE("long-running tasks that fail on a full pool wait behind first starts and short tasks") {
  // Guards against tasks that were away for 24 s: their own room went to others that ranked first.
  BusyPool pool;
  const std::vector<TaskRef> tasks = pool.Tasks();
  for (std::size_t i = 0; i < tasks.size(); i += 3) pool.FailTask(tasks[i]);
  pool.CheckRestarts();
}

TEST_CASE(
    "long-running tasks of a lost worker wait behind first starts on the worker that returns") {
  // Guards against a worker that comes back empty and is given to tasks that never ran.
  BusyPool pool;
  for (int i = 0; i < 3; ++i) pool.simulation.CrashWorker(i);
  pool.CheckRestarts();
}

TEST_CASE("long-running tasks that fail during a change of owner wait behind first starts") {
  // Guards against a new owner that takes all tasks for first starts, and that gives their room to
  // jobs that are handed in while it waits for the reports of the workers.
  BusyPool pool;
  const std::vector<TaskRef> tasks = pool.Tasks();
  for (std::size_t i = 0; i < tasks.size(); i += 3) pool.FailTask(tasks[i]);
  pool.simulation.KillAllNodes();
  pool.RunLoaded(seconds(3));
  for (int i = 0; i < 24; ++i) pool.simulation.Submit(LongRunningJob(1, 1000));
  pool.CheckRestarts();
}

TEST_CASE("long-running tasks that were stopped on draining workers wait behind first starts") {
  // Guards against room that a cancelled job leaves and that first starts take, a part at a time.
  BusyPool pool;
  const std::vector<JobKey> cancelled(pool.jobs.end() - 4, pool.jobs.end());
  pool.jobs.resize(pool.jobs.size() - 4);
  for (const JobKey& it : cancelled) pool.simulation.Cancel(it);
  for (int i = 0; i < 2; ++i) pool.simulation.DrainWorker(i);
  pool.CheckRestarts();
}

TEST_CASE("a restart that no worker may take keeps no room from first starts") {
  // Guards against long-running jobs that never start on an empty pool: a stopped task that matches
  // no worker keeps room on each of them.
  JobSimulation simulation(1, 2, 3, {});
  simulation.RunFor(seconds(3));
  JobSpec spread = LongRunningJob(3, 1000);
  spread.steps.front().max_per_worker = 1;
  simulation.Submit(spread);
  simulation.RunFor(seconds(3));
  REQUIRE(simulation.running_tasks() == 3);
  simulation.LoseWorker(0, milliseconds(100));
  simulation.RunFor(seconds(12));
  REQUIRE(simulation.running_tasks() == 2);
  // Each worker has 7 of 8 processors free.
  const JobKey first = simulation.Submit(LongRunningJob(1, 1000));
  simulation.RunFor(seconds(10));
  INFO(simulation.LogLines("task_waiting"));
  CHECK(simulation.IsRunning({first, {0, 0, 0}}));
}

TEST_CASE(
    "restarts that fit nowhere keep no room from first starts on a pool that is mostly free") {
  // Guards against long-running jobs that never start on a pool that is nearly empty: each stopped
  // task that fits nowhere awaits room on a worker of its own, without an end.
  JobSimulation simulation(2, 3, 5, {});
  simulation.RunFor(seconds(3));
  JobSpec spread = LongRunningJob(4, 1000);
  spread.steps.front().max_per_worker = 1;
  simulation.Submit(spread);
  simulation.RunFor(seconds(2));
  simulation.Submit(LongRunningJob(5, 7500));
  simulation.RunFor(seconds(3));
  REQUIRE(simulation.running_tasks() == 5);
  // The new owner does not know which tasks of the running job have run before.
  simulation.KillNode(simulation.OwnerIndex());
  simulation.RunFor(seconds(12));
  REQUIRE(simulation.running_tasks() == 5);
  // 28.5 of 40 processors are free, 7 each on four workers.
  const JobKey first = simulation.Submit(LongRunningJob(1, 1000));
  simulation.RunFor(seconds(10));
  INFO(simulation.LogLines("task_waiting"));
  CHECK(simulation.IsRunning({first, {0, 0, 0}}));
}

TEST_CASE(
    "room that is expected only after the time in which callers are owed a restart is not "
    "claimed") {
  // Guards against short jobs that never start on a pool that is nearly empty: each restart claims
  // a worker, however late its room is expected.
  JobSimulation simulation(3, 3, 6, {});
  simulation.RunFor(seconds(3));
  JobSpec spread = SimpleJob(5, 500);
  spread.payload = "duration=60000";
  spread.steps.front().estimate = seconds(60);
  spread.steps.front().max_per_worker = 1;
  simulation.Submit(spread);
  simulation.RunFor(seconds(1));
  REQUIRE(simulation.running_tasks() == 5);
  simulation.Submit(LongRunningJob(6, 8000));
  simulation.RunFor(seconds(3));
  REQUIRE(simulation.running_tasks() == 6);
  simulation.KillNode(simulation.OwnerIndex());
  simulation.RunFor(seconds(10));
  REQUIRE(simulation.running_tasks() == 6);
  // 37.5 of 48 processors are free, 7.5 each on five workers.
  JobSpec small = SimpleJob(1, 500);
  small.payload = "duration=60000";
  simulation.Submit(small);
  simulation.RunFor(seconds(8));
  CHECK(simulation.running_tasks() == 7);
}

}  // namespace cactusshelf::jobs
