#include <catch2/catch.hpp>

#include "job_simulation.h"

// Tests of what the log says about tasks that wait.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_CASE("the log does not say why a task waits") {
  // Guards against failures that cannot be explained: a task waited, and no line told whether for
  // capacity, for a quarantine or for an earlier run.
  const auto simulation = FilledSimulation();
  const JobKey key = simulation->Submit(LongRunningJob(1, 3000));
  simulation->RunFor(seconds(4));
  const std::string lines = simulation->LogLines("task=" + key.str() + ".0.0.0 ");
  CHECK(lines.find("event=task_waiting") != std::string::npos);
  CHECK(lines.find("reason=no_worker need_milliprocessors=3000 "
                   "max_free_milliprocessors=0 workers=2 unusable=0 no_capacity=2 constraint=0") !=
        std::string::npos);
}

TEST_CASE("the log counts the wait of a task that has stopped from its first start") {
  // Guards against a record that calls a wait of 3 s one of 15 s, and that tells neither whether
  // the task ran before nor which resource is short.
  const auto simulation = FilledSimulation();
  simulation->RunFor(seconds(5));
  const TaskRef task = simulation->worker(0).running().begin()->first;
  simulation->StartRejecting(0);
  simulation->worker(0).FailRun(task, simulation->now());
  simulation->RunFor(seconds(4));
  const std::string lines = simulation->LogLines("event=task_waiting task=" + jobs::ToString(task));
  CHECK(lines.find(" without_run_ms=3") != std::string::npos);
  CHECK(lines.find(" restart=1") != std::string::npos);
  const JobKey key = simulation->Submit(LongRunningJob(1, 9000));
  simulation->RunFor(seconds(3));
  const std::string first = simulation->LogLines("task=" + key.str());
  CHECK(first.find(" restart=0") != std::string::npos);
  CHECK(first.find(" short_of_processors=2 short_of_memory=0 short_of_accelerators=0") !=
        std::string::npos);
}

TEST_CASE("the log names first starts that wait and no task that has stopped") {
  // Guards against a record without a line on the tasks that are owed soonest: at most four tasks
  // are named each second, and five first starts had waited longer.
  const auto simulation = FilledSimulation();
  for (int i = 0; i < 5; ++i) simulation->Submit(LongRunningJob(1, 3000));
  simulation->RunFor(seconds(5));
  const TaskRef task = simulation->worker(0).running().begin()->first;
  simulation->StartRejecting(0);
  simulation->worker(0).FailRun(task, simulation->now());
  simulation->RunFor(seconds(4));
  const std::string part = "event=task_waiting task=" + jobs::ToString(task);
  const std::string lines = simulation->LogLines(part);
  CHECK_FALSE(lines.empty());
  CHECK(lines.find("reason=placed_without_run") == std::string::npos);
}

TEST_CASE("the most that is free on a worker counts workers that the task cannot use") {
  // Guards against a line that shows room where there is none: a worker that is about to leave, or
  // that is of another pool, had it.
  const auto simulation = FilledSimulation();
  simulation->Submit(LongRunningJob(1, 3000));
  simulation->DrainWorker(0);
  simulation->RunFor(seconds(4));
  REQUIRE(simulation->worker(0).running().empty());
  const std::string lines = simulation->LogLines("reason=no_worker");
  CHECK(lines.find("max_free_milliprocessors=0 workers=2 unusable=1") != std::string::npos);
  CHECK(lines.find("max_free_milliprocessors=8000") == std::string::npos);
}

TEST_CASE("long-running tasks of a large pool starve since two workers are reserved at a time") {
  // Guards against waits of 20 s and more: on a pool full of short tasks two workers at a time were
  // kept for waiting long-running tasks, however many tasks waited and workers there were.
  JobSimulation simulation(23, 2, 96, {});
  simulation.RunFor(seconds(3));
  const auto submit_short = [&](int jobs) {
    for (int i = 0; i < jobs; ++i) simulation.Submit(SimpleJob(8, 1000));
  };
  submit_short(110);
  simulation.RunFor(milliseconds(300));
  std::vector<JobKey> keys(32);
  for (JobKey& key : keys) key = simulation.Submit(LongRunningJob(1, 5000));
  for (int i = 0; i < 32; ++i) {
    submit_short(25);
    simulation.RunFor(milliseconds(250));
  }
  int running = 0;
  for (const JobKey& key : keys) running += simulation.IsRunning({key, {0, 0, 0}}) ? 1 : 0;
  CHECK(running == 32);
  for (const std::string& it : simulation.violations()) FAIL_CHECK(it);
}

}  // namespace cactusshelf::jobs
