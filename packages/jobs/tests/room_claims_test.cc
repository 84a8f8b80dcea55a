#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <memory>

#include "placer.h"

// Tests of room that is claimed for restarts, with a placer and workers alone.
namespace cactusshelf::jobs {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Time kStart{seconds(100)};
constexpr std::int64_t kGiB = std::int64_t{1} << 30;

SubmittedJob LongRunningJob(std::uint64_t number, std::int64_t milliprocessors) {
  StepSpec step;
  step.count = 1;
  step.long_running = true;
  step.need.milliprocessors = milliprocessors;
  SubmittedJob job;
  job.key = JobKey(fmt::format("{:016x}", number));
  job.spec.steps = {step};
  return job;
}

PlacementRequest RestartOf(const SubmittedJob& job) {
  PlacementRequest request;
  request.job = &job;
  request.service = "pool";
  request.restart = true;
  return request;
}

PlacementRequest FirstStartOf(const SubmittedJob& job) {
  PlacementRequest request = RestartOf(job);
  request.restart = false;
  request.waited = seconds(2);
  return request;
}

// Workers of 16 processors and 64 GiB.
struct Pool {
  explicit Pool(int count) {
    for (int i = 0; i < count; ++i) {
      WorkerEntry entry;
      entry.id = "w" + std::to_string(i);
      entry.pool = "pool";
      entry.capacity = {16000, 64 * kGiB, 0};
      owned.push_back(std::make_unique<WorkerState>(entry, options));
      workers.push_back(owned.back().get());
    }
  }

  // Adds a run that takes `need` and ends `estimate` after kStart, unless it is long-running.
  void AddRun(int worker, const Resources& need, Duration estimate, bool long_running) {
    Run run;
    run.task = {JobKey(fmt::format("f{:015x}", ++runs)), {}};
    run.need = need;
    run.long_running = long_running;
    run.started_at = kStart;
    run.estimate = estimate;
    workers[static_cast<std::size_t>(worker)]->AddRun(run);
  }

  // Places the restarts as a pass does. Returns the number of those that fit.
  int PlaceRestarts(const std::vector<SubmittedJob>& jobs, Time now) {
    std::set<TaskRef> tasks;
    for (const SubmittedJob& it : jobs) tasks.insert(RestartOf(it).ref());
    placer.BeginPass(workers, tasks);
    for (const SubmittedJob& it : jobs) placer.ClaimRoom(RestartOf(it), now);
    int n = 0;
    for (const SubmittedJob& it : jobs) {
      const PlacementRequest request = RestartOf(it);
      const bool fits =
          placer.Choose(request, now) != nullptr || placer.ChooseClaimed(request, now) != nullptr;
      n += fits ? 1 : 0;
    }
    return n;
  }

  // Name of the worker on which the task has claimed room; empty if on none.
  std::string ClaimOf(const TaskRef& task) const {
    for (const WorkerState* it : workers) {
      if (placer.HasClaimOn(*it, task)) return it->entry().id;
    }
    return "";
  }

  SchedulerOptions options;
  InterferenceModel interference;
  std::vector<std::unique_ptr<WorkerState>> owned;
  std::vector<WorkerState*> workers;
  Placer placer{options, interference};
  std::uint64_t runs = 0;
};

// Number of comparisons of a pass with `count` restarts on a full pool, once claims have settled.
std::uint64_t ComparisonsOfPass(int count) {
  Pool pool(490);
  for (int i = 0; i < 490; ++i) {
    pool.AddRun(i, {10000, 0, 0}, {}, true);
    pool.AddRun(i, {6000, 0, 0}, seconds(2), false);
  }
  std::vector<SubmittedJob> jobs;
  jobs.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i)
    jobs.push_back(LongRunningJob(static_cast<std::uint64_t>(i), 3000 + (7919 * i + 1500) % 2000));
  for (int i = 0; i < count; ++i) pool.PlaceRestarts(jobs, kStart);
  const std::uint64_t before = pool.placer.comparison_count();
  CHECK(pool.PlaceRestarts(jobs, kStart) == 0);
  return pool.placer.comparison_count() - before;
}

}  // namespace

TEST_CASE("each restart that waits on a full pool is compared with all workers in each pass") {
  // Guards against an owner that is held up by its own placement while hundreds of tasks wait.
  const std::uint64_t few = ComparisonsOfPass(50);
  const std::uint64_t many = ComparisonsOfPass(400);
  INFO(few << " comparisons with 50 restarts, " << many << " with 400");
  CHECK(many <= 2 * few);
}

TEST_CASE("room is claimed only by processors") {
  // Guards against a worker that is taken for full since its memory is, which short tasks hold.
  Pool pool(1);
  pool.AddRun(0, {4000, 60 * kGiB, 0}, seconds(1), false);
  SubmittedJob job = LongRunningJob(1, 4000);
  job.spec.steps.front().need.memory_bytes = 8 * kGiB;
  CHECK(pool.PlaceRestarts({job}, kStart) == 0);
  CHECK(pool.ClaimOf(RestartOf(job).ref()) == "w0");
}

TEST_CASE("a restart claims room that is not free in time") {
  // Guards against a claim on the worker with the most free processors, whose tasks run for
  // minutes.
  Pool pool(2);
  pool.AddRun(0, {13000, 0, 0}, std::chrono::minutes(2), false);
  pool.AddRun(1, {16000, 0, 0}, seconds(1), false);
  const SubmittedJob job = LongRunningJob(1, 4000);
  CHECK(pool.PlaceRestarts({job}, kStart) == 0);
  CHECK(pool.ClaimOf(RestartOf(job).ref()) == "w1");
}

TEST_CASE("a first start takes room that is claimed for a restart") {
  // Guards against claims that hold back short tasks only.
  Pool pool(1);
  pool.AddRun(0, {13000, 0, 0}, seconds(1), false);
  const SubmittedJob stopped = LongRunningJob(1, 4000);
  const SubmittedJob other = LongRunningJob(2, 2000);
  CHECK(pool.PlaceRestarts({stopped}, kStart) == 0);
  CHECK(pool.placer.Choose(FirstStartOf(other), kStart) == nullptr);
}

TEST_CASE("a pool stands still for a restart that fits nowhere") {
  // Guards against first starts that are kept from all workers, and against ones that take, a part
  // at a time, what becomes free on the worker that is to have room for the restart.
  Pool pool(2);
  pool.AddRun(0, {9000, 0, 0}, {}, true);
  pool.AddRun(1, {12000, 0, 0}, {}, true);
  const SubmittedJob large = LongRunningJob(1, 8000);
  const SubmittedJob small = LongRunningJob(2, 2000);
  CHECK(pool.PlaceRestarts({large}, kStart) == 0);
  CHECK(pool.ClaimOf(RestartOf(large).ref()).empty());
  CHECK(pool.placer.Choose(FirstStartOf(small), kStart) == pool.workers[1]);
  SubmittedJob short_job = small;
  short_job.spec.steps.front().long_running = false;
  pool.AddRun(1, {4000, 0, 0}, seconds(1), false);
  CHECK(pool.placer.Choose(FirstStartOf(small), kStart) == nullptr);
  CHECK(pool.placer.Choose(FirstStartOf(short_job), kStart) == pool.workers[0]);
}

TEST_CASE("a small restart takes the room that a large one has just left") {
  // Guards against large tasks that find no room since small ones changed their places.
  Pool pool(2);
  pool.AddRun(0, {14000, 0, 0}, {}, true);
  pool.AddRun(0, {2000, 0, 0}, seconds(1), false);
  pool.AddRun(1, {10000, 0, 0}, {}, true);
  const SubmittedJob small = LongRunningJob(1, 2000);
  const SubmittedJob large = LongRunningJob(2, 6000);
  pool.placer.BeginPass(pool.workers, {RestartOf(small).ref(), RestartOf(large).ref()});
  PlacementRequest request = RestartOf(large);
  request.last_worker = pool.workers[1];
  pool.placer.ClaimRoom(request, kStart);
  CHECK(pool.placer.Choose(RestartOf(small), kStart) == nullptr);
  CHECK(pool.placer.ChooseClaimed(request, kStart) == pool.workers[1]);
}

TEST_CASE("a task that has just stopped takes its room again before one that waits for long") {
  // Guards against stopped tasks that wait as long as a pool is full: hundreds of them took turns
  // to be searched for, and tasks that failed meanwhile had claimed the room that they left.
  Pool pool(2);
  for (int i : {0, 1}) {
    for (int n = 0; n < 4; ++n) pool.AddRun(i, {4000, 0, 0}, {}, true);
  }
  std::vector<SubmittedJob> jobs;
  for (std::uint64_t i = 1; i <= 20; ++i) jobs.push_back(LongRunningJob(i, 4000));
  const SubmittedJob stopped = LongRunningJob(21, 4000);
  std::set<TaskRef> tasks{RestartOf(stopped).ref()};
  for (const SubmittedJob& it : jobs) tasks.insert(RestartOf(it).ref());
  const auto claim_all = [&](Duration waited) {
    pool.placer.BeginPass(pool.workers, tasks);
    for (const SubmittedJob& it : jobs) {
      PlacementRequest request = RestartOf(it);
      request.waited = waited;
      pool.placer.ClaimRoom(request, kStart);
    }
    PlacementRequest request = RestartOf(stopped);
    request.last_worker = pool.workers[1];
    pool.placer.ClaimRoom(request, kStart);
  };
  // The first four have had their turn to be searched for.
  claim_all(seconds(1));
  pool.workers[1]->RemoveRun(pool.workers[1]->runs().begin()->first);
  SECTION("the others have waited for a short time") {
    claim_all(seconds(1));
    CHECK(pool.ClaimOf(RestartOf(jobs[0]).ref()).empty());
  }
  SECTION("the others have waited for long") {
    claim_all(seconds(5));
    CHECK(pool.ClaimOf(RestartOf(jobs[0]).ref()) == "w1");
    CHECK(pool.ClaimOf(RestartOf(stopped).ref()).empty());
  }
}

TEST_CASE("two restarts that claim room on a worker wait until it has room for both") {
  // Guards against free room that stands idle while a short task ends, though each of the restarts
  // would fit alone and the other has to wait for that end in any case.
  Pool pool(1);
  pool.AddRun(0, {9000, 0, 0}, {}, true);
  pool.AddRun(0, {2200, 0, 0}, seconds(3), false);
  const SubmittedJob first = LongRunningJob(1, 2950);
  const SubmittedJob second = LongRunningJob(2, 2500);
  const std::set<TaskRef> tasks{RestartOf(first).ref(), RestartOf(second).ref()};
  pool.placer.BeginPass(pool.workers, tasks);
  pool.placer.ClaimRoom(RestartOf(first), kStart);
  pool.placer.ClaimRoom(RestartOf(second), kStart);
  REQUIRE(pool.ClaimOf(RestartOf(first).ref()) == "w0");
  REQUIRE(pool.ClaimOf(RestartOf(second).ref()) == "w0");
  CHECK(pool.placer.ChooseClaimed(RestartOf(first), kStart) == pool.workers[0]);
  pool.AddRun(0, {2950, 0, 0}, {}, true);
  pool.placer.OnPlaced(*pool.workers[0], RestartOf(first).ref(), first.spec.steps.front());
  // The other one keeps its claim, and nobody else takes the rest.
  CHECK(pool.placer.ChooseClaimed(RestartOf(second), kStart) == nullptr);
  CHECK(pool.ClaimOf(RestartOf(second).ref()) == "w0");
  SubmittedJob short_job = LongRunningJob(3, 1000);
  short_job.spec.steps.front().long_running = false;
  CHECK(pool.placer.Choose(FirstStartOf(short_job), kStart) == nullptr);
  const SubmittedJob third = LongRunningJob(4, 1000);
  CHECK(pool.placer.Choose(RestartOf(third), kStart) == nullptr);
}

}  // namespace cactusshelf::jobs
