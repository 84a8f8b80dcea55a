#include <catch2/catch.hpp>

#include "job_simulation.h"

// Schedules of disturbances, each followed by a calm time in which every long-running task that has
// stopped has to run again. JobSimulation checks that it does.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTasksPerJob = 5;
constexpr Duration kMeanShortRun = milliseconds(1100);
// Longer than all waits that the code has.
constexpr Duration kCalmTime = seconds(25);

// A system and its load before the first disturbance.
struct Setting {
  int nodes = 6;
  int workers = 12;
  double filled = 0.5;                    // Part of the processors that long-running tasks need.
  std::int64_t long_need = 1000;          // Milliprocessors of a long-running task.
  Duration estimate = milliseconds(800);  // Of a long-running task.
  double short_load = 0;          // Part of the processors that short tasks need on average.
  std::int64_t short_need = 500;  // Milliprocessors of a short task.
  bool processor_costs = false;
};

// A simulation in a setting, with functions for what schedules consist of.
class Play {
 public:
  // Fills the workers and waits until all long-running tasks run.
  Play(std::uint64_t seed, const Setting& setting) : setting_(setting) {
    SimulationOptions options;
    options.long_polls = true;
    if (setting.processor_costs) options.processor_costs.emplace();
    milliprocessors_ = static_cast<double>(options.worker_milliprocessors * setting.workers);
    simulation_ = std::make_unique<JobSimulation>(seed, setting.nodes, setting.workers,
                                                  SimulationFaults{}, options);
    simulation_->RunFor(seconds(4));
    const double need = static_cast<double>(setting.long_need * kTasksPerJob);
    const int jobs = static_cast<int>(setting.filled * milliprocessors_ / need);
    for (int i = 0; i < jobs; ++i) {
      SubmitLongRunning(kTasksPerJob, setting.estimate);
      simulation_->RunFor(milliseconds(10));
    }
    RunFor(seconds(8));
  }

  JobSimulation& simulation() { return *simulation_; }

  JobKey SubmitLongRunning(int count, Duration estimate) {
    JobSpec spec = LongRunningJob(count, setting_.long_need);
    spec.steps.front().estimate = estimate;
    return simulation_->Submit(spec);
  }

  // Runs with the short tasks of the setting.
  void RunFor(Duration duration) {
    constexpr int kTasks = 4;
    const double run_seconds = std::chrono::duration<double>(kMeanShortRun).count();
    const double job_load = static_cast<double>(setting_.short_need * kTasks) * run_seconds;
    const double jobs_per_second = setting_.short_load * milliprocessors_ / job_load;
    if (jobs_per_second <= 0) {
      simulation_->RunFor(duration);
      return;
    }
    const auto interval =
        std::chrono::duration_cast<Duration>(std::chrono::duration<double>(1 / jobs_per_second));
    const Time end = simulation_->now() + duration;
    while (simulation_->now() < end) {
      simulation_->Submit(SimpleJob(kTasks, setting_.short_need));
      simulation_->RunFor(std::min(interval, end - simulation_->now()));
    }
  }

  // Runs for a random time.
  void RunBetween(Duration min, Duration max) { RunFor(simulation_->random().Between(min, max)); }

  // The owner ends, for good or until it starts again after up to 2 s.
  void EndOwner(bool for_good) {
    const int owner = simulation_->OwnerIndex();
    if (owner < 0) return;
    if (for_good) {
      simulation_->LoseNode(owner);
    } else {
      simulation_->KillNode(owner);
    }
  }

  // Workers in order: those that were lost or retired before are left out.
  void LoseWorkers(int n) {
    for (int i = 0; i < n; ++i) simulation_->LoseWorker(next_worker_++, seconds(1));
  }
  void RetireWorkers(int n, Duration drain_time) {
    for (int i = 0; i < n; ++i) simulation_->RetireWorker(next_worker_++, drain_time);
  }
  int removed_workers() const { return next_worker_; }

 private:
  Setting setting_;
  double milliprocessors_ = 0;
  std::unique_ptr<JobSimulation> simulation_;
  int next_worker_ = 0;
};

// Fails the running test once for each violation, with the seed.
void CheckPlay(Play& play, std::uint64_t seed) {
  for (const std::string& it : play.simulation().violations())
    FAIL_CHECK("seed " << seed << ": " << it);
}

Setting DrawSetting(Random& random, bool large) {
  Setting it;
  it.workers = large ? 200 : static_cast<int>(10 + random.Below(20));
  it.processor_costs = large;
  it.long_need = 500 + 500 * static_cast<std::int64_t>(random.Below(4));
  it.filled = 0.2 + 0.25 * random.Real();
  const bool full = !large && random.Chance(0.3);
  it.short_load = full ? 0.9 - it.filled : 0.1 * random.Real();
  return it;
}

// One disturbance. At most two fifths of the workers are removed in all.
void Disturb(Play& play, const Setting& setting, Random& random) {
  const int max = 1 + setting.workers / 10;
  const int n = 1 + static_cast<int>(random.Below(static_cast<std::uint64_t>(max)));
  const bool may_remove = play.removed_workers() + n <= setting.workers * 2 / 5;
  const std::uint64_t kind = random.Below(10);
  if (kind < 4) {
    play.EndOwner(random.Chance(0.4));
  } else if (kind < 6 && may_remove) {
    play.RetireWorkers(n, random.Between(milliseconds(500), seconds(4)));
  } else if (kind < 9 && may_remove) {
    play.LoseWorkers(n);
  } else {
    play.simulation().CrashWorker(setting.workers - 1 - n);
  }
}

SimulationFaults DrawFaults(Random& random) {
  SimulationFaults faults;
  if (random.Chance(0.5)) faults.lost_worker_answer = 0.05 * random.Real();
  if (random.Chance(0.3)) faults.late_order = 0.05 * random.Real();
  if (random.Chance(0.4)) faults.failed_run = 0.3 * random.Real();
  return faults;
}

void PlaySchedule(std::uint64_t seed) {
  constexpr std::uint64_t kLargeEvery = 20;
  Random random(seed);
  const Setting setting = DrawSetting(random, seed % kLargeEvery == 0);
  Play play(seed, setting);
  play.simulation().SetFaults(DrawFaults(random));
  const std::uint64_t n = 2 + random.Below(6);
  for (std::uint64_t i = 0; i < n; ++i) {
    Disturb(play, setting, random);
    play.RunFor(random.Between(milliseconds(50), random.Chance(0.5) ? seconds(1) : seconds(5)));
  }
  play.simulation().StopFaults();
  play.RunFor(kCalmTime);
  CheckPlay(play, seed);
}

constexpr int kSpreadTasks = 12;

// Four nodes and six workers, on which long-running tasks leave room.
std::unique_ptr<JobSimulation> SpreadTasks(std::uint64_t seed) {
  SimulationOptions options;
  options.long_polls = true;
  auto simulation = std::make_unique<JobSimulation>(seed, 4, 6, SimulationFaults{}, options);
  StartLongRunningTasks(*simulation, kSpreadTasks, 1000);
  return simulation;
}

// True if a task of SpreadTasks ran again too late. All run again in the end.
bool IsLate(JobSimulation& simulation, std::uint64_t seed) {
  simulation.RunFor(seconds(20));
  CHECK(simulation.running_tasks() == kSpreadTasks);
  if (simulation.violations().empty()) return false;
  UNSCOPED_INFO("seed " << seed << ": " << simulation.violations().front());
  return true;
}

}  // namespace

TEST_CASE("seeded schedules of lost owners and workers leave no long-running task stopped") {
  // Guards against waits after a stop that are each bounded, but together last longer than 9 s.
  // Runs more seeds by hand: CACTUSSHELF_SEEDS=2000 jobs_tests.
  const std::uint64_t seeds = SeedCount(40);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) PlaySchedule(seed);
}

TEST_CASE("a start without an answer does not hold a task once its worker is lost") {
  // Guards against tasks that wait for 16 s: workers are lost while the tasks of others start
  // there.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Play play(seed, {});
    play.LoseWorkers(2);
    play.RunBetween(milliseconds(4000), milliseconds(4600));
    play.LoseWorkers(4);
    play.RunFor(kCalmTime);
    CheckPlay(play, seed);
  }
}

TEST_CASE("long-running tasks that have stopped start before those that have never run") {
  // Guards against stopped tasks that wait as long as the pool is full: the room that became free
  // went to the first starts of a job with an earlier due time.
  Setting setting;
  setting.workers = 30;
  setting.long_need = 3000;
  setting.estimate = seconds(60);
  setting.short_need = 3000;
  setting.short_load = 0.5;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Play play(seed, setting);
    REQUIRE(play.simulation().AbsentLongRunningTasks().empty());
    play.LoseWorkers(4);
    play.RunFor(seconds(2));
    const JobKey late = play.SubmitLongRunning(40, seconds(1));
    play.RunFor(seconds(20));
    for (const TaskRef& it : play.simulation().AbsentLongRunningTasks()) {
      if (it.job != late) FAIL_CHECK("seed " << seed << ": " << ToString(it) << " does not run");
    }
    CheckPlay(play, seed);
  }
}

TEST_CASE("on a full pool the room of a task that fails goes to the same task again and again") {
  // Guards against stopped tasks that wait as long as the pool is full, while tasks that fail get
  // their room back at once: at any moment some room is free, so all tasks are owed a turn. So few
  // tasks find their turn without a preference; room_claims_test has the case with many.
  Setting setting;
  setting.workers = 10;
  setting.long_need = 2000;
  setting.filled = 0.9;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    Play play(seed, setting);
    JobSimulation& simulation = play.simulation();
    REQUIRE(simulation.running_tasks() == 35);
    play.LoseWorkers(2);
    for (int i = 0; i < 1000; ++i) {
      FakeWorker& worker = simulation.worker(2 + static_cast<int>(simulation.random().Below(8)));
      const auto n = static_cast<std::int64_t>(worker.running().size());
      if (n > 0) {
        const auto task = std::next(worker.running().begin(), i % n);
        worker.FailRun(TaskRef(task->first), simulation.now());
      }
      simulation.RunFor(milliseconds(25));
    }
    CheckPlay(play, seed);
  }
}

TEST_CASE("owners that follow each other within seconds do not assume the longest lease again") {
  // Guards against tasks of a lost worker that wait for 10 s: an owner stored what it knew of the
  // worker's incarnation only after 10.2 s, and no owner lived as long.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Play play(seed, {});
    for (int i = 0; i < 4; ++i) play.simulation().CrashWorker(i);
    play.RunFor(seconds(2));
    for (int i = 0; i < 2; ++i) {
      play.EndOwner(true);
      play.RunBetween(milliseconds(3500), milliseconds(6500));
    }
    play.EndOwner(true);
    play.RunBetween(milliseconds(0), milliseconds(4500));
    play.LoseWorkers(4);
    play.RunFor(kCalmTime);
    CheckPlay(play, seed);
  }
}

TEST_CASE("a new owner does not wait for workers that have left before it starts stopped tasks") {
  // Guards against tasks that were stopped on drained workers and wait for all of a takeover: its
  // roster kept these workers after they had left, and they never reported.
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Play play(seed, {});
    play.RetireWorkers(3, seconds(1));
    play.RunBetween(milliseconds(10), milliseconds(300));
    play.EndOwner(true);
    play.RunBetween(seconds(2), seconds(6));
    play.EndOwner(true);
    play.RunFor(kCalmTime);
    CheckPlay(play, seed);
  }
}

TEST_CASE("a lost worker and the loss of the owner seconds later add up to more than 9 s") {
  // Guards against two waits in a row for the lease of one lost worker: that of the first owner
  // was about to end, and the next owner waits for another whole one.
  int late = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    const auto simulation = SpreadTasks(seed);
    simulation->LoseWorker(simulation->BusyWorker(0), seconds(1));
    simulation->RunFor(milliseconds(2000 + 60 * static_cast<int>(seed)));
    simulation->LoseNode(simulation->OwnerIndex());
    late += IsLate(*simulation, seed) ? 1 : 0;
  }
  CHECK(late == 0);
}

TEST_CASE("a worker and the owner lost at once hold tasks that had stopped before") {
  // Guards against a takeover that lets tasks wait for a worker on which they cannot run.
  int late = 0;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    const auto simulation = SpreadTasks(seed);
    const int lost = simulation->BusyWorker(0);
    const int other = simulation->BusyWorker(lost + 1);
    // The first lost worker's lease is about to end when a second one goes with the owner.
    simulation->LoseWorker(lost, seconds(1));
    simulation->RunFor(milliseconds(3000 + 50 * static_cast<int>(seed)));
    simulation->LoseWorker(other, seconds(1));
    simulation->LoseNode(simulation->OwnerIndex());
    late += IsLate(*simulation, seed) ? 1 : 0;
  }
  CHECK(late == 0);
}

}  // namespace cactusshelf::jobs
