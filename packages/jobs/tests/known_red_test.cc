#include <catch2/catch.hpp>

#include "job_simulation.h"

// Tests that fail because of faults that are not fixed yet. Each is listed in KNOWN-RED.txt, and
// its tag makes the run fail once the test passes.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

TEST_CASE("a change of owner delays the tasks of a worker that is lost right after it",
          "[!shouldfail]") {
  // Guards against tasks that wait for 10 s: a new owner assumes the longest lease that a worker
  // accepts, although the earlier owner had granted leases of 4 s only.
  JobSimulation simulation(13, 3, 3, {});
  simulation.RunFor(seconds(30));
  simulation.Submit(LongRunningJob(6));
  simulation.RunFor(seconds(3));
  REQUIRE(simulation.running_tasks() == 6);
  simulation.KillAllNodes();
  for (int i = 0; i < 1000 && simulation.LogLines("takeover_complete").empty(); ++i) {
    simulation.RunFor(milliseconds(10));
  }
  simulation.RunFor(seconds(1));
  int lost = 0;
  while (simulation.worker(lost).running().empty()) ++lost;
  simulation.PartitionWorker(lost, seconds(600));
  simulation.CrashWorker(lost);
  simulation.store().UnlistWorker(simulation.worker(lost).entry().id);
  simulation.RunFor(seconds(5));
  CHECK(simulation.running_tasks() == 6);
}

}  // namespace cactusshelf::jobs
