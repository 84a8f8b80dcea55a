#include <catch2/catch.hpp>

#include "job_simulation.h"

// Tests of the placement of tasks while workers fail runs.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longest time that a long-running task may wait while a worker has room for it and nothing is
// disturbed.
constexpr Duration kMaxWait = seconds(3);

}  // namespace

TEST_CASE("a quarantined worker keeps long-running tasks waiting after it has recovered") {
  // Guards against tasks that wait up to 16 s: the only worker with room was in quarantine, since
  // the runs of several jobs had failed there.
  const auto simulation = FilledSimulation();
  REQUIRE(simulation->running_tasks() == 16);
  simulation->StartFailingRuns(0);
  simulation->RunFor(seconds(5));
  simulation->StopFailingRuns(0);
  simulation->RunFor(kMaxWait);
  CHECK(simulation->running_tasks() == 16);
  for (const std::string& it : simulation->violations()) FAIL_CHECK(it);
}

TEST_CASE("single failures of long-running tasks put their worker into quarantine") {
  // Guards against a sound worker without starts for 4 s: long-running tasks fail now and then and
  // never end as done, so the failures of a whole day counted as failures in a row.
  const auto simulation = FilledSimulation();
  REQUIRE(simulation->running_tasks() == 16);
  for (int i = 0; i < 3; ++i) {
    const auto it = std::next(simulation->worker(0).running().begin(), i);
    simulation->worker(0).FailRun(it->first, simulation->now());
    simulation->RunFor(kMaxWait);
    CHECK(simulation->running_tasks() == 16);
  }
  CHECK(simulation->LogLines("worker_quarantined").empty());
}

TEST_CASE("waiting tasks are started again and again on a worker that fails all its runs") {
  // Guards against a worker in quarantine that is tried by every waiting task: each start on it is
  // work thrown away, so it is tried with one task at a time.
  const auto simulation = FilledSimulation();
  const std::uint64_t starts = simulation->starts();
  simulation->StartFailingRuns(0);
  simulation->RunFor(seconds(6));
  CHECK(simulation->starts() - starts <= 20);
}

TEST_CASE("a short task loses its last attempt on a quarantined worker") {
  // Guards against jobs that fail because their waiting tasks try workers in quarantine.
  JobSimulation simulation(22, 2, 2, {});
  simulation.RunFor(seconds(3));
  simulation.StartFailingRuns(0);
  simulation.StartFailingRuns(1);
  std::vector<JobKey> keys(6);
  for (JobKey& key : keys) key = simulation.Submit(SimpleJob(1, 1000));
  simulation.RunFor(seconds(5));
  simulation.StopFailingRuns(0);
  simulation.StopFailingRuns(1);
  simulation.RunFor(seconds(20));
  int completed = 0;
  for (const JobKey& it : keys) completed += simulation.StateOf(it) == JobState::kCompleted ? 1 : 0;
  CHECK(completed >= 4);
}

}  // namespace cactusshelf::jobs
