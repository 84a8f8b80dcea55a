#include <catch2/catch.hpp>

#include "job_simulation.h"

// Tests that fail because of faults that are not fixed yet. Each is listed in KNOWN-RED.txt, and
// its tag makes the run fail once the test passes.
namespace cactusshelf::jobs {

using std::chrono::seconds;

TEST_CASE("an owner without the store renews the leases of a worker that only it reaches",
          "[!shouldfail]") {
  // Guards against tasks that run twice: an owner and a worker are cut off together from the store
  // and the other workers. Its successor takes the leases there for expired, while it renews them.
  SimulationOptions options;
  options.relays = false;
  JobSimulation simulation(3, 3, 3, {}, options);
  simulation.RunFor(seconds(3));
  simulation.Submit(LongRunningJob(9));
  simulation.RunFor(seconds(12));
  const int owner = simulation.OwnerIndex();
  simulation.PartitionNodeFromStore(owner, seconds(30));
  for (int i : {1, 2}) simulation.PartitionWorkerFromNode(i, owner, seconds(30));
  for (int i : {0, 1, 2}) {
    if (i != owner) simulation.PartitionWorkerFromNode(0, i, seconds(30));
  }
  simulation.RunFor(seconds(20));
  CHECK(simulation.violations().empty());
}

}  // namespace cactusshelf::jobs
