#include <catch2/catch.hpp>

#include "job_simulation.h"

// Tests of what the log says about tasks that wait.
namespace cactusshelf::jobs {
namespace {

using std::chrono::seconds;

JobSpec LongRunningJob(int count, std::int64_t milliprocessors) {
  JobSpec spec = SimpleJob(count, milliprocessors);
  spec.steps.front().long_running = true;
  return spec;
}

// Two workers that are filled by long-running tasks of 16 jobs.
std::unique_ptr<JobSimulation> FullSimulation() {
  auto simulation = std::make_unique<JobSimulation>(21, 2, 2, SimulationFaults{});
  simulation->RunFor(seconds(3));
  for (int i = 0; i < 16; ++i) simulation->Submit(LongRunningJob(1, 1000));
  simulation->RunFor(seconds(5));
  return simulation;
}

}  // namespace

TEST_CASE("the log does not say why a task waits") {
  // Guards against failures that cannot be explained: a task waited, and no line told whether for
  // capacity, for a quarantine or for an earlier run.
  const auto simulation = FullSimulation();
  const JobKey key = simulation->Submit(LongRunningJob(1, 3000));
  simulation->RunFor(seconds(4));
  const std::string lines = simulation->LogLines("task=" + key.str() + ".0.0.0 ");
  CHECK(lines.find("event=task_waiting") != std::string::npos);
  CHECK(lines.find("reason=no_worker need_milliprocessors=3000 "
                   "max_free_milliprocessors=0 workers=2 no_capacity=2 constraint=0") !=
        std::string::npos);
}

}  // namespace cactusshelf::jobs
