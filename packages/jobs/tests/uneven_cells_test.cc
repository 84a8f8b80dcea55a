#include <catch2/catch.hpp>

#include "job_simulation.h"

// Jobs and workers whose names deal them unevenly to the cells.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::int64_t kWorkerMilliprocessors = 8000;
// A worker with one task of this need has no room for another.
constexpr std::int64_t kMoreThanHalfWorker = 5000;
constexpr int kCells = 2;

SimulationOptions TwoCells() {
  SimulationOptions options;
  options.node.single_cell_max_workers = 10;
  options.node.multi_cell_target_workers = 10;
  options.worker_milliprocessors = kWorkerMilliprocessors;
  return options;
}

// 20 workers in two cells, each with its owner.
std::unique_ptr<JobSimulation> StartTwoCells(std::uint64_t seed) {
  auto simulation = std::make_unique<JobSimulation>(seed, 4, 20, SimulationFaults{}, TwoCells());
  simulation->RunFor(seconds(8));
  REQUIRE(simulation->CellCount() == kCells);
  REQUIRE(simulation->owners() == kCells);
  return simulation;
}

}  // namespace

TEST_CASE("jobs of a full cell start in a cell that has room", "[!shouldfail]") {
  // Guards against jobs that wait in a full cell while another has room (SHORT of issue 44).
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    const auto simulation = StartTwoCells(seed);
    for (int cell = 0; cell < kCells; ++cell) {
      UNSCOPED_INFO("seed " << seed << ", cell " << cell);
      const int workers = simulation->WorkersOfCell(cell);
      const JobKey filling =
          simulation->SubmitInCell(cell, LongRunningJob(workers, kMoreThanHalfWorker));
      simulation->RunFor(seconds(5));
      REQUIRE(simulation->RunningTasksOfCell(cell) == workers);
      const JobKey job = simulation->SubmitInCell(cell, SimpleJob(3, kMoreThanHalfWorker));
      // Tasks take 2 s at most.
      simulation->RunFor(seconds(4));
      CHECK(simulation->StateOf(job) == JobState::kCompleted);
      simulation->Cancel(filling);
      simulation->RunFor(seconds(5));
    }
    CheckNoViolations(*simulation);
  }
}

TEST_CASE("long-running jobs with names of one cell are spread over all cells", "[!shouldfail]") {
  // Guards against a cell that fills up with long-running tasks while another stays empty.
  const auto simulation = StartTwoCells(1);
  const int tasks = 30;
  for (int i = 0; i < tasks / 3; ++i) {
    simulation->SubmitInCell(0, LongRunningJob(3, kWorkerMilliprocessors / 4));
    simulation->RunFor(milliseconds(300));
  }
  simulation->RunFor(seconds(5));
  CHECK(simulation->running_tasks() == tasks);
  for (int cell = 0; cell < kCells; ++cell) {
    const int share = tasks * simulation->WorkersOfCell(cell) / 20;
    CHECK(simulation->RunningTasksOfCell(cell) >= share / 2);
  }
  CheckNoViolations(*simulation);
}

}  // namespace cactusshelf::jobs
