#include "short_task_share.h"

#include <catch2/catch.hpp>

#include "job_simulation.h"

// Short tasks on a pool that is full of long-running tasks of which more wait.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(100)};
constexpr int kWorkers = 8;  // Of 8 processors each.
// Callers of a short task of one second are served in time within this time.
constexpr Duration kInTime = milliseconds(2500);

JobSpec OneSecondJob(int count, std::int64_t milliprocessors) {
  JobSpec spec = SimpleJob(count, milliprocessors);
  spec.payload = "duration=1000";
  spec.steps.front().estimate = seconds(1);
  return spec;
}

// Submits a job of two tasks of two processors each 500 ms, and counts those completed in time.
struct ShortTaskCallers {
  explicit ShortTaskCallers(JobSimulation& simulation) : simulation(simulation) {}

  void RunFor(Duration duration) {
    const Time end = simulation.now() + duration;
    while (simulation.now() < end) {
      open.emplace_back(simulation.Submit(OneSecondJob(2, 2000)), simulation.now());
      simulation.RunFor(milliseconds(500));
      std::erase_if(open, [this](const auto& it) {
        if (simulation.now() - it.second < kInTime) return false;
        ++due;
        if (!simulation.LogLines("event=job_over job=" + it.first.str()).empty()) ++in_time;
        return true;
      });
    }
  }

  JobSimulation& simulation;
  std::vector<std::pair<JobKey, Time>> open;
  int due = 0;
  int in_time = 0;
};

}  // namespace

TEST_CASE("long-running tasks that wait take the room that short tasks give back") {
  // Guards against short tasks that starve: on a full pool each processor that became free went to
  // a long-running task, since those had waited longest, and never came back.
  JobSimulation simulation(41, 2, kWorkers, {});
  simulation.RunFor(seconds(3));
  ShortTaskCallers callers(simulation);
  callers.RunFor(seconds(3));
  for (int i = 0; i < 40; ++i) simulation.Submit(LongRunningJob(1, 2000));
  callers.RunFor(seconds(20));
  UNSCOPED_INFO(callers.in_time << " of " << callers.due << " in time");
  CHECK(callers.due >= 40);
  CHECK(callers.in_time >= callers.due * 9 / 10);
  // 64 processors, of which short tasks need 8 at a time.
  CHECK(simulation.running_tasks() >= 26);
  for (const std::string& it : simulation.violations()) FAIL_CHECK(it);
}

TEST_CASE("long-running tasks wait although short tasks have left room unused") {
  // Guards against room that is kept for short tasks that no longer come.
  JobSimulation simulation(42, 2, kWorkers, {});
  simulation.RunFor(seconds(3));
  ShortTaskCallers callers(simulation);
  callers.RunFor(seconds(5));
  for (int i = 0; i < 16; ++i) simulation.Submit(LongRunningJob(1, 4000));
  simulation.RunFor(seconds(5));
  UNSCOPED_INFO(simulation.LogLines("task_waiting"));
  CHECK(simulation.running_tasks() == 16);
}

TEST_CASE("the share of short tasks follows their demand within its limits") {
  ShortTaskShare share(0.06);
  share.BeginPass(100'000, 0, 0, kStart);
  CHECK(share.Size() == 6'000);
  CHECK(share.Unused() == 6'000);
  share.BeginPass(100'000, 4'000, 6'000, kStart);
  CHECK(share.Size() == 10'000);
  CHECK(share.Unused() == 6'000);
  share.OnShortTaskPlaced(6'000);
  CHECK(share.Unused() == 0);
  CHECK_FALSE(share.exceeded());
  share.BeginPass(100'000, 30'000, 50'000, kStart);
  CHECK(share.Size() == 15'000);
  CHECK(share.exceeded());
  share.BeginPass(100'000, 0, 0, kStart + seconds(60));
  CHECK(share.Size() == 6'000);
}

TEST_CASE("the share of short tasks yields room that was idle in every pass for two seconds") {
  // Guards against long-running tasks that wait while there is always room for them somewhere, in a
  // different place each time.
  ShortTaskShare share(0.06);
  Time now = kStart;
  const auto pass = [&](bool kept_waiting) {
    now += milliseconds(100);
    share.BeginPass(100'000, 0, 0, now);
    if (kept_waiting) share.OnLongRunningTaskKeptWaiting();
  };
  for (int i = 0; i < 15; ++i) pass(true);
  CHECK_FALSE(share.YieldsRoom(now));
  pass(false);
  for (int i = 0; i < 15; ++i) pass(true);
  CHECK_FALSE(share.YieldsRoom(now));
  for (int i = 0; i < 10; ++i) pass(true);
  CHECK(share.YieldsRoom(now));
  pass(false);
  pass(true);
  CHECK_FALSE(share.YieldsRoom(now));
}

}  // namespace cactusshelf::jobs
