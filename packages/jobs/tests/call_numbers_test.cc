#include <catch2/catch.hpp>

#include "job_simulation.h"

// Tests of the numbers by which answers of relays find the order that they belong to.
namespace cactusshelf::jobs {

using std::chrono::seconds;

TEST_CASE("calls of two cells that one process owns have the same numbers") {
  // Guards against orders that are never answered: the first owner of each cell has epoch 1, so a
  // process that owned two cells numbered the calls of both alike, and a relay's answer to one call
  // was taken for that to the other. Tasks then did not start beside empty workers.
  constexpr int kCells = 3;
  SimulationOptions options;
  options.node.single_cell_max_workers = 10;
  options.node.multi_cell_target_workers = 8;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    JobSimulation simulation(seed, 2, 24, {}, options);
    simulation.RunFor(seconds(12));
    REQUIRE(simulation.CellCount() == kCells);
    int jobs = 0;
    for (int cell = 0; cell < kCells; ++cell) {
      for (int n = 0; n < simulation.WorkersOfCell(cell) / 2; ++n, ++jobs)
        simulation.SubmitInCell(cell, LongRunningJob(1, 7000));
    }
    simulation.RunFor(seconds(12));
    UNSCOPED_INFO("seed " << seed << "\n" << simulation.LogLines("owner_gained"));
    CHECK(simulation.running_tasks() == jobs);
    CheckNoViolations(simulation);
  }
}

}  // namespace cactusshelf::jobs
