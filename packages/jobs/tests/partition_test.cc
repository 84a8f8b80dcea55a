#include <catch2/catch.hpp>

#include "job_simulation.h"

// Tests of an owner that is cut off from the store and, together with some workers, from the other
// nodes. Its successor reaches the other workers only.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kNodes = 3;
constexpr int kWorkers = 5;
constexpr int kTasks = 9;

std::unique_ptr<JobSimulation> BusySimulation(std::uint64_t seed) {
  SimulationOptions options;
  options.relays = false;
  auto simulation =
      std::make_unique<JobSimulation>(seed, kNodes, kWorkers, SimulationFaults{}, options);
  simulation->RunFor(seconds(3));
  simulation->Submit(LongRunningJob(kTasks));
  simulation->RunFor(seconds(12));
  REQUIRE(simulation->running_tasks() == kTasks);
  return simulation;
}

// Cuts the owner off from the store and from all but the first `reached` workers, and the other
// nodes from these. Returns the owner.
int Partition(JobSimulation& simulation, int reached, Duration duration) {
  const int owner = simulation.OwnerIndex();
  simulation.PartitionNodeFromStore(owner, duration);
  for (int worker = 0; worker < kWorkers; ++worker) {
    for (int node = 0; node < kNodes; ++node) {
      const bool same_side = (worker < reached) == (node == owner);
      if (!same_side) simulation.PartitionWorkerFromNode(worker, node, duration);
    }
  }
  return owner;
}

}  // namespace

TEST_CASE("a new owner that reaches few workers starts the tasks of all others", "[!shouldfail]") {
  // Guards against tasks that run twice: a new owner that reaches few workers takes the leases on
  // the others for expired, while its predecessor renews them without the store.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed);
    Partition(*simulation, kWorkers - 1, seconds(20));
    simulation->RunFor(seconds(40));
    CHECK(simulation->running_tasks() == kTasks);
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("an owner that reaches few workers renews what its successor starts", "[!shouldfail]") {
  // Guards against tasks that run twice, as above: the earlier owner reaches few workers.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    const auto simulation = BusySimulation(seed);
    Partition(*simulation, 1, seconds(20));
    simulation->RunFor(seconds(15));
    CHECK(simulation->running_tasks() == kTasks);
    simulation->RunFor(seconds(25));
    CHECK(simulation->running_tasks() == kTasks);
    CheckNoViolations(*simulation);
  }
}

}  // namespace cactusshelf::jobs
