#include <algorithm>
#include <catch2/catch.hpp>

#include "job_simulation.h"

// How long tasks wait when the worker that they run on is lost for good.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Time within which a long-running task that stopped must run again, if workers have room.
constexpr Duration kMaxAbsence = seconds(9);

// The worker loses all that runs there, is never reached again and leaves the list.
void LoseWorker(JobSimulation& simulation, int i) {
  simulation.PartitionWorker(i, seconds(600));
  simulation.CrashWorker(i);
  simulation.store().UnlistWorker(simulation.worker(i).entry().id);
}

int CountLines(const std::string& text) {
  return static_cast<int>(std::count(text.begin(), text.end(), '\n'));
}

}  // namespace

TEST_CASE("a task whose start got no answer waits for 16 s after the loss of its worker") {
  // Guards against long-running tasks that are away for too long: the start might have reached
  // another incarnation of the worker, which would have taken the lease for the longest one.
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    JobSimulation simulation(seed, 1, 2, {});
    simulation.RunFor(seconds(30));
    for (int i : {0, 1}) simulation.DelayOrdersTo(i, milliseconds(300), milliseconds(100));
    simulation.Submit(LongRunningJob(1));
    simulation.RunFor(milliseconds(300));
    const bool on_first = simulation.LogLines("run_start").find("worker=w0") != std::string::npos;
    const int w = on_first ? 0 : 1;
    LoseWorker(simulation, w);
    simulation.RunFor(kMaxAbsence);
    CHECK(simulation.running_tasks() == 1);
    CHECK(simulation.LogLines("start_failed").find("no_answer") != std::string::npos);
    CheckNoViolations(simulation);
  }
}

TEST_CASE("after two changes of owner the tasks of a lost worker wait for the longest lease") {
  // Guards against long-running tasks that are away for too long: each new owner assumed the
  // longest lease of a worker until its own first report was that old.
  int changes = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    JobSimulation simulation(seed, 4, 3, {});
    simulation.RunFor(seconds(3));
    simulation.Submit(LongRunningJob(6));
    simulation.RunFor(seconds(3));
    REQUIRE(simulation.running_tasks() == 6);
    for (int change = 1; change <= 2; ++change) {
      simulation.KillNode(simulation.OwnerIndex());
      for (int i = 0; i < 1000 && CountLines(simulation.LogLines("takeover_complete")) < change;
           ++i) {
        simulation.RunFor(milliseconds(10));
      }
    }
    if (CountLines(simulation.LogLines("takeover_complete")) >= 2) ++changes;
    simulation.RunFor(seconds(1));
    int lost = 0;
    while (simulation.worker(lost).running().empty()) ++lost;
    LoseWorker(simulation, lost);
    simulation.RunFor(kMaxAbsence);
    CHECK(simulation.running_tasks() == 6);
    CheckNoViolations(simulation);
  }
  CHECK(changes >= 8);
}

}  // namespace cactusshelf::jobs
