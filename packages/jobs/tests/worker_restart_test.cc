#include <catch2/catch.hpp>

#include "job_simulation.h"

// Workers that restart under the ID that they had, while their owner has not heard of it.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Submits `n` jobs of short tasks, `period` apart.
void SubmitShortJobs(JobSimulation& simulation, int n, Duration period) {
  for (int i = 0; i < n; ++i) {
    simulation.Submit(SimpleJob(6, 500));
    simulation.RunFor(period);
  }
}

}  // namespace

TEST_CASE("ends of a restarted worker are not acknowledged with the numbers of its earlier life") {
  // Guards against tasks that run again after they were done: the hold after a failed one carried
  // the number of the last stored end of the earlier incarnation, and the new one forgot its ends.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    JobSimulation simulation(seed, 3, 4, {});
    simulation.RunFor(seconds(3));
    for (int i = 0; i < 8; ++i) {
      SubmitShortJobs(simulation, 10, milliseconds(120));
      simulation.PartitionWorker(i % 4, milliseconds(40));
      simulation.RunFor(milliseconds(20));
      simulation.CrashWorker(i % 4);
    }
    simulation.RunFor(seconds(20));
    CheckNoViolations(simulation);
    CHECK(simulation.running_tasks() == 0);
  }
}

TEST_CASE("runs whose ends do not fit into a report are not taken for lost") {
  // Guards against tasks that run again after they were done: while the store was unreachable, a
  // worker had more unacknowledged ends than a report lists, and the other runs counted as lost.
  JobSimulation simulation(5, 1, 1, {});
  simulation.RunFor(seconds(12));
  JobSpec many = SimpleJob(16, 500);
  many.payload = "duration=40";
  for (int i = 0; i < 90; ++i) simulation.Submit(many);
  simulation.RunFor(milliseconds(400));
  simulation.PartitionNodeFromStore(0, seconds(13));
  simulation.RunFor(seconds(12));
  REQUIRE(simulation.worker(0).ended().size() > 500);
  simulation.RunFor(seconds(25));
  CheckNoViolations(simulation);
  CHECK(simulation.LogLines("reason=not_reported").empty());
}

TEST_CASE("a late start reaches a restarted worker of which its owner has not heard") {
  // Guards against tasks that run twice: the new incarnation takes the end of the lease, a time on
  // the earlier clock, for the longest possible lease, while the owner counts the usual one.
  JobSimulation simulation(31, 1, 2, {});
  simulation.RunFor(seconds(30));
  for (int i : {0, 1}) simulation.DelayOrdersTo(i, milliseconds(300), milliseconds(400));
  simulation.Submit(LongRunningJob(1));
  simulation.RunFor(milliseconds(300));
  const bool on_first = simulation.LogLines("run_start").find("worker=w0") != std::string::npos;
  const int w = on_first ? 0 : 1;
  simulation.CrashWorker(w);
  simulation.PartitionWorker(w, seconds(600));
  simulation.RunFor(seconds(12));
  CHECK(simulation.violations().empty());
}

}  // namespace cactusshelf::jobs
