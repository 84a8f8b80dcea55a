#include <catch2/catch.hpp>

#include "job_simulation.h"

namespace cactusshelf::jobs {

TEST_CASE("a takeover counts a usual lease for a worker that restarted under the earlier owner") {
  // Guards against tasks that run twice: a hold with a lease by the clock of the earlier
  // incarnation gave the new one the longest lease, of which the next owner did not know.
  using std::chrono::seconds;
  JobSimulation simulation(31, 3, 3, {});
  simulation.RunFor(seconds(15));
  simulation.Submit(LongRunningJob(4));
  simulation.RunFor(seconds(2));
  int restarted = 0;
  while (simulation.worker(restarted).running().empty()) ++restarted;
  simulation.CrashWorker(restarted);
  simulation.RunFor(seconds(2));
  REQUIRE_FALSE(simulation.worker(restarted).running().empty());
  simulation.PartitionWorker(restarted, seconds(60));
  simulation.KillNode(simulation.OwnerIndex());
  simulation.RunFor(seconds(14));
  CheckNoViolations(simulation);
}

}  // namespace cactusshelf::jobs
