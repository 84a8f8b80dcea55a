#include "cactusshelf/placement/cell_scheduler.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>

#include "cell_harness.h"

namespace cactusshelf {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;
using Delivery = CellHarness::Delivery;

constexpr Epoch kEpoch = 5;

std::vector<WorkerSpec> Workers(int count, Resources capacity) {
  std::vector<WorkerSpec> workers;
  workers.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    workers.push_back(Worker(i, capacity));
  }
  return workers;
}

JobSpec MakeUrgent(JobSpec job) {
  job.urgent = true;
  return job;
}

JobSpec WithClass(JobSpec job, const std::string& name) {
  job.job_class = JobClass(name);
  return job;
}

std::vector<StartTask> StartsOf(const CellHarness& cell, const TaskId& task) {
  std::vector<StartTask> starts;
  std::copy_if(cell.starts.begin(), cell.starts.end(), std::back_inserter(starts),
               [&](const StartTask& start) { return start.task.task == task; });
  return starts;
}

template <typename Command>
bool Is(const WorkerCommand& command) {
  return std::holds_alternative<Command>(command);
}

TEST_CASE("all tasks of a job run once and the job is reported finished once") {
  CellHarness cell(Workers(4, Size(8, 32)), 30);
  cell.AddOwner();
  CHECK_FALSE(cell.owner(0).AdmitJob(cell.now(), MakeJob("job", 40, Size(2, 4))));
  cell.TakeOwnership(0, kEpoch, cell.now());
  cell.RunFor(minutes(5));
  CHECK(cell.finished == std::vector<JobId>{JobId("job")});
  CHECK(cell.starts.size() == 40);
}

// Runs tasks that are limited by one resource and returns the maximum number that ran on one worker
// at a time. In the first 20 s, starts arrive late and their answers are lost.
int MaxRunning(const Resources& capacity, const Resources& size,
               const PlacementProtections& protections = {}) {
  CellHarness cell(Workers(2, capacity), 300);
  CellOptions options;
  options.protections = protections;
  cell.AddOwner(options);
  cell.owner(0).AdmitJob(cell.now(), MakeJob("job", 20, size));
  cell.delivery_rule = [&](int, const WorkerId&, const WorkerCommand& command) {
    const bool is_lossy = cell.now() < kStart + seconds(20);
    return is_lossy && Is<StartTask>(command) ? Delivery::kLateCommandOnly : Delivery::kBoth;
  };
  int max_running = 0;
  cell.on_step = [&] {
    for (std::size_t i = 0; i < cell.worker_count(); ++i) {
      const auto& running = cell.worker(static_cast<int>(i)).running();
      max_running = std::max(max_running, static_cast<int>(running.size()));
    }
  };
  cell.TakeOwnership(0, kEpoch, cell.now());
  cell.RunFor(minutes(2));
  return max_running;
}

TEST_CASE("no resource of a worker is overcommitted when answers to starts are lost") {
  CHECK(MaxRunning(Size(8, 100, 100), Size(2, 1, 1)) == 4);
  CHECK(MaxRunning(Size(100, 8, 100), Size(1, 2, 1)) == 4);
  CHECK(MaxRunning(Size(100, 100, 4), Size(1, 1, 1)) == 4);
}

TEST_CASE("a worker is overcommitted if starts with a lost answer are not counted") {
  PlacementProtections protections;
  protections.count_unconfirmed_starts = false;
  CHECK(MaxRunning(Size(8, 100, 100), Size(2, 1, 1), protections) > 4);
}

TEST_CASE("the capacity of endpoints on a worker is not given to tasks") {
  std::vector<WorkerSpec> workers = Workers(1, Size(8, 32));
  workers[0].services.push_back({ServiceId("s"), 2, Size(2, 4)});
  CellHarness cell(workers, 300);
  cell.AddOwner();
  cell.owner(0).AdmitJob(cell.now(), MakeJob("job", 8, Size(1, 1)));
  cell.TakeOwnership(0, kEpoch, cell.now());
  cell.RunFor(seconds(30));
  CHECK(cell.RunningCount() == 4);
}

TEST_CASE("a job that can never fit is refused with the resource that limits it") {
  CellHarness cell(Workers(3, Size(8, 32, 1)));
  CellScheduler& owner = cell.AddOwner();
  const auto refusal = [&](const Resources& size) {
    return owner.AdmitJob(cell.now(), MakeJob("job", 1, size)).value();
  };
  CHECK(refusal(Size(9, 1)).limiting_resource == ResourceKind::kProcessors);
  CHECK(refusal(Size(1, 33)).limiting_resource == ResourceKind::kMemory);
  CHECK(refusal(Size(1, 1, 2)).limiting_resource == ResourceKind::kAccelerators);
  CHECK(refusal(Size(1, 1, 200)).reason == RefusalReason::kTooLargeForQuota);
  JobSpec job = MakeJob("job", 1, Size(1, 1));
  job.team = TeamId("nobody");
  CHECK(owner.AdmitJob(cell.now(), job)->reason == RefusalReason::kUnknownTeam);
}

TEST_CASE("an admitted job that no longer fits after workers were removed is refused") {
  CellHarness cell({Worker(0, Size(4, 16)), Worker(1, Size(16, 16))});
  CellScheduler& owner = cell.AddOwner();
  CHECK_FALSE(owner.AdmitJob(cell.now(), MakeJob("job", 1, Size(8, 1))));
  owner.ApplyWorkers(cell.now(), {Worker(0, Size(4, 16))});
  cell.RunFor(seconds(1));
  REQUIRE(cell.refused.size() == 1);
  CHECK(cell.refused[0].limiting_resource == ResourceKind::kProcessors);
}

// Pauses an owner and replaces it. Only the old owner can reach the first worker. Returns the
// maximum number of workers on which one task ran at a time.
int MaxRunsPerTaskAfterReplacement(const PlacementProtections& protections) {
  CellHarness cell(Workers(3, Size(8, 32)), 600);
  CellOptions options;
  options.protections = protections;
  cell.AddOwner(options);
  cell.AddOwner(options, 2);
  for (int i = 0; i < 2; ++i) {
    cell.owner(i).AdmitJob(cell.now(), MakeJob("job", 6, Size(2, 4)));
  }
  cell.delivery_rule = [&](int owner, const WorkerId& worker, const WorkerCommand&) {
    return owner == 1 && worker == WorkerId("w0") ? Delivery::kNone : Delivery::kBoth;
  };
  int max_running = 0;
  cell.on_step = [&] {
    for (int i = 0; i < 6; ++i) {
      max_running = std::max(max_running, cell.RunningCount(TaskId("job/" + std::to_string(i))));
    }
  };
  cell.TakeOwnership(0, kEpoch, cell.now());
  cell.RunFor(seconds(20));
  CHECK(cell.RunningCount() == 6);
  // The authority of the first owner ends while it is paused. It resumes without knowing that it
  // was replaced.
  const Time authority_end = cell.now() + seconds(2);
  cell.owner(0).SetAuthority(cell.now(), authority_end);
  cell.Pause(0);
  cell.RunFor(seconds(3));
  cell.Resume(0);
  cell.TakeOwnership(1, kEpoch + 1, authority_end);
  cell.RunFor(seconds(60));
  return max_running;
}

TEST_CASE("no task runs on two workers when a paused owner is replaced") {
  CHECK(MaxRunsPerTaskAfterReplacement({}) == 1);
}

TEST_CASE("a new owner that does not wait for old leases runs a task on two workers") {
  PlacementProtections protections;
  protections.wait_for_old_leases = false;
  CHECK(MaxRunsPerTaskAfterReplacement(protections) == 2);
}

TEST_CASE(
    "an owner that acts without authority renews leases of tasks that its successor restarts") {
  PlacementProtections protections;
  protections.require_authority = false;
  CHECK(MaxRunsPerTaskAfterReplacement(protections) == 2);
}

TEST_CASE("a new owner adopts running tasks and does not restart them") {
  CellHarness cell(Workers(3, Size(8, 32)), 120);
  cell.AddOwner();
  cell.AddOwner({}, 2);
  for (int i = 0; i < 2; ++i) {
    cell.owner(i).AdmitJob(cell.now(), MakeJob("job", 6, Size(2, 4)));
  }
  cell.TakeOwnership(0, kEpoch, cell.now());
  cell.RunFor(seconds(20));
  cell.owner(0).LoseOwnership(cell.now());
  cell.TakeOwnership(1, kEpoch + 1, cell.now());
  CHECK(cell.owner(1).unvisited_workers().size() == 3);
  cell.RunFor(minutes(3));
  CHECK(cell.owner(1).unvisited_workers().empty());
  CHECK(cell.starts.size() == 6);
  CHECK(cell.finished.size() == 1);
}

TEST_CASE("tasks of a permanently lost worker resume from their checkpoints on another one") {
  CellHarness cell(Workers(2, Size(4, 32)), 120);
  cell.AddOwner();
  cell.owner(0).AdmitJob(cell.now(), MakeJob("job", 2, Size(4, 4)));
  cell.TakeOwnership(0, kEpoch, cell.now());
  cell.RunFor(seconds(30));
  for (int i = 0; i < 2; ++i) {
    const auto& [id, task] = *cell.worker(i).running().begin();
    CheckpointTask command;
    command.header = {CommandId("x"), kEpoch, 1, {}, {}};
    command.task = id;
    cell.worker(i).Execute(cell.now(), command);
  }
  cell.RunFor(seconds(10));
  cell.delivery_rule = [](int, const WorkerId& worker, const WorkerCommand&) {
    return worker == WorkerId("w0") ? Delivery::kNone : Delivery::kBoth;
  };
  cell.RunFor(minutes(5));
  CHECK(cell.finished.size() == 1);
  REQUIRE(cell.starts.size() == 3);
  CHECK(ProgressOf(cell.starts[2].checkpoint) > 25);
  CHECK(cell.starts[2].task.attempt > cell.starts[0].task.attempt);
}

TEST_CASE("a second start of an attempt is refused by the worker") {
  CellHarness cell(Workers(1, Size(4, 32)), 20);
  cell.AddOwner();
  cell.owner(0).AdmitJob(cell.now(), MakeJob("job", 1, Size(4, 4)));
  cell.TakeOwnership(0, kEpoch, cell.now());
  cell.RunFor(seconds(30));
  REQUIRE(cell.starts.size() == 1);
  StartTask repeated = cell.starts[0];
  repeated.header.id = CommandId("another");
  repeated.lease_until.ms += 1000000;
  CHECK(cell.worker(0).Execute(cell.now(), repeated).status == CommandStatus::kAttemptUsed);
  CHECK(cell.RunningCount() == 0);
}

TEST_CASE("a cancelled job is stopped, never starts again, and is not admitted again") {
  for (const bool is_start_lost : {false, true}) {
    CellHarness cell(Workers(2, Size(4, 32)), 600);
    cell.AddOwner();
    cell.owner(0).AdmitJob(cell.now(), MakeJob("job", 6, Size(2, 4)));
    cell.delivery_rule = [&](int, const WorkerId&, const WorkerCommand& command) {
      return is_start_lost && Is<StartTask>(command) ? Delivery::kCommandOnly : Delivery::kBoth;
    };
    cell.TakeOwnership(0, kEpoch, cell.now());
    cell.RunFor(seconds(10));
    cell.owner(0).CancelJob(cell.now(), JobId("job"));
    cell.RunFor(seconds(10));
    const std::size_t starts = cell.starts.size();
    CHECK(cell.RunningCount() == 0);
    CHECK(cell.owner(0).customer_task_count(CustomerId("customer")) == 0);
    CHECK(cell.owner(0).AdmitJob(cell.now(), MakeJob("job", 6, Size(2, 4)))->reason ==
          RefusalReason::kAlreadyCancelled);
    cell.RunFor(seconds(60));
    CHECK(cell.starts.size() == starts);
  }
}

TEST_CASE("all tasks of a retired customer are stopped and none is started") {
  PlacementProtections protections;
  for (const bool is_on : {true, false}) {
    protections.remember_cancellations = is_on;
    CellOptions options;
    options.protections = protections;
    CellHarness cell(Workers(2, Size(4, 32)), 600);
    cell.AddOwner(options);
    cell.owner(0).AdmitJob(cell.now(), MakeJob("job", 6, Size(2, 4)));
    cell.TakeOwnership(0, kEpoch, cell.now());
    cell.RunFor(seconds(10));
    CHECK(cell.owner(0).customer_task_count(CustomerId("customer")) == 4);
    cell.owner(0).RetireCustomer(cell.now(), CustomerId("customer"));
    cell.RunFor(seconds(10));
    CHECK(cell.RunningCount() == 0);
    CHECK(cell.owner(0).customer_task_count(CustomerId("customer")) == 0);
    cell.owner(0).AdmitJob(cell.now(), MakeJob("late", 1, Size(1, 1)));
    cell.RunFor(seconds(10));
    CHECK(cell.RunningCount() == (is_on ? 0 : 1));
  }
}

TEST_CASE("cancellations of many waiting jobs send no commands") {
  CellHarness cell(Workers(1, Size(4, 32)), 600);
  cell.AddOwner();
  constexpr int kJobs = 20000;
  for (int i = 0; i < kJobs; ++i) {
    cell.owner(0).AdmitJob(cell.now(), MakeJob("job" + std::to_string(i), 1, Size(4, 4)));
  }
  cell.TakeOwnership(0, kEpoch, cell.now());
  cell.RunFor(seconds(10));
  REQUIRE(cell.starts.size() == 1);
  const std::string running = cell.starts[0].task.task.str();
  for (int i = 0; i < kJobs; ++i) {
    const std::string job = "job" + std::to_string(i);
    if (running != job + "/0") {
      cell.owner(0).CancelJob(cell.now(), JobId(job));
    }
  }
  CHECK(cell.owner(0).TakeEffects().empty());
  CHECK(cell.owner(0).waiting_jobs() == 0);
  cell.RunFor(seconds(30));
  CHECK(cell.starts.size() == 1);
}

TEST_CASE("urgent work starts within 2 s in a full cell and each preempted task resumes once") {
  CellHarness cell(Workers(8, Size(8, 32)), 120);
  cell.AddOwner();
  cell.owner(0).AdmitJob(cell.now(), MakeJob("batch", 32, Size(2, 4)));
  cell.TakeOwnership(0, kEpoch, cell.now());
  cell.RunFor(seconds(61));
  REQUIRE(cell.RunningCount() == 32);
  const Time admitted_at = cell.now();
  cell.owner(0).AdmitJob(cell.now(), MakeUrgent(MakeJob("urgent", 4, Size(4, 8))));
  cell.RunFor(seconds(2));
  for (int i = 0; i < 4; ++i) {
    CHECK(cell.RunningCount(TaskId("urgent/" + std::to_string(i))) == 1);
  }
  CHECK(cell.start_times.back() - admitted_at <= seconds(2));
  cell.RunFor(minutes(8));
  CHECK(cell.finished.size() == 2);
  // 32 batch tasks, 4 urgent tasks, and 8 batch tasks that resumed from a checkpoint.
  CHECK(cell.starts.size() == 44);
  const auto resumed =
      std::count_if(cell.starts.begin(), cell.starts.end(),
                    [](const StartTask& start) { return !start.checkpoint.empty(); });
  CHECK(resumed == 8);
}

TEST_CASE(
    "many urgent jobs that do not fit neither wake the owner constantly nor block small jobs") {
  CellHarness cell(Workers(2, Size(8, 32)), 600);
  CellScheduler& owner = cell.AddOwner();
  owner.AdmitJob(cell.now(), MakeUrgent(MakeJob("running", 2, Size(6, 4))));
  cell.TakeOwnership(0, kEpoch, cell.now());
  cell.RunFor(seconds(5));
  for (int i = 0; i < 600; ++i) {
    owner.AdmitJob(cell.now(), MakeUrgent(MakeJob("urgent" + std::to_string(i), 1, Size(4, 4))));
  }
  owner.AdmitJob(cell.now(), MakeJob("small", 4, Size(1, 1)));
  cell.RunFor(seconds(30));
  CHECK(StartsOf(cell, TaskId("small/3")).size() == 1);
  CHECK(owner.NextWakeup() >= cell.now());
  int wakeups = 0;
  for (Time now = cell.now(); owner.NextWakeup() < cell.now() + seconds(1); ++wakeups) {
    now = *owner.NextWakeup();
    owner.OnTimer(now);
  }
  CHECK(wakeups < 20);
}

TEST_CASE("an evicted task starts from the beginning if checkpoints are not kept") {
  CellOptions options;
  options.protections.keep_checkpoints = false;
  CellHarness cell(Workers(1, Size(4, 32)), 120);
  cell.AddOwner(options);
  cell.owner(0).AdmitJob(cell.now(), MakeJob("batch", 1, Size(4, 4)));
  cell.TakeOwnership(0, kEpoch, cell.now());
  cell.RunFor(seconds(30));
  cell.owner(0).AdmitJob(cell.now(), MakeUrgent(MakeJob("urgent", 1, Size(4, 8))));
  cell.RunFor(minutes(5));
  const std::vector<StartTask> starts = StartsOf(cell, TaskId("batch/0"));
  REQUIRE(starts.size() == 2);
  CHECK(starts[1].checkpoint.empty());
}

TEST_CASE("a large job is not starved by a stream of small ones") {
  CellOptions options;
  options.starvation_bound = minutes(4);
  CellHarness cell(Workers(2, Size(8, 32)), 60);
  cell.AddOwner(options);
  cell.TakeOwnership(0, kEpoch, cell.now());
  cell.RunFor(seconds(1));
  int next = 0;
  const auto add_small = [&] {
    cell.owner(0).AdmitJob(cell.now(), MakeJob("small" + std::to_string(next++), 1, Size(1, 1)));
  };
  for (int i = 0; i < 24; ++i) {
    add_small();
  }
  cell.RunFor(seconds(5));
  cell.owner(0).AdmitJob(cell.now(), MakeJob("large", 1, Size(8, 8)));
  const Time admitted_at = cell.now();
  while (StartsOf(cell, TaskId("large/0")).empty() && cell.now() < admitted_at + minutes(20)) {
    add_small();
    add_small();
    cell.RunFor(seconds(2));
  }
  CHECK(cell.now() - admitted_at <= minutes(7));
}

TEST_CASE("a team cannot exceed its quota and does not block another team") {
  CellHarness cell(Workers(4, Size(8, 32)), 600);
  CellScheduler& owner = cell.AddOwner();
  owner.ApplyTeams(cell.now(), {{TeamId("team"), CustomerId("customer"), 9, Size(4, 100)},
                                {TeamId("other"), CustomerId("customer"), 0, Size(100, 100)}});
  owner.AdmitJob(cell.now(), MakeJob("first", 20, Size(1, 1)));
  JobSpec other = MakeJob("second", 10, Size(1, 1));
  other.team = TeamId("other");
  owner.AdmitJob(cell.now(), other);
  cell.TakeOwnership(0, kEpoch, cell.now());
  cell.RunFor(seconds(30));
  const auto starts_of_first = std::count_if(
      cell.starts.begin(), cell.starts.end(),
      [](const StartTask& start) { return start.task.task.str().rfind("first", 0) == 0; });
  CHECK(starts_of_first == 4);
  CHECK(cell.starts.size() == 14);
}

TEST_CASE("a job that waits for its quota is not forgotten when tasks of the team end") {
  CellHarness cell(Workers(4, Size(8, 32)), 20);
  CellScheduler& owner = cell.AddOwner();
  owner.ApplyTeams(cell.now(), {{TeamId("team"), CustomerId("customer"), 0, Size(4, 100)}});
  for (int i = 0; i < 10; ++i) {
    owner.AdmitJob(cell.now(), MakeJob("job" + std::to_string(i), 1, Size(2, 1)));
  }
  cell.TakeOwnership(0, kEpoch, cell.now());
  cell.RunFor(minutes(4));
  CHECK(cell.finished.size() == 10);
}

TEST_CASE("a higher priority starts first, but does not outweigh a long waiting time") {
  for (const int waited_minutes : {0, 60}) {
    CellHarness cell(Workers(1, Size(1, 32)), 10);
    CellScheduler& owner = cell.AddOwner();
    owner.ApplyTeams(cell.now(), {{TeamId("team"), CustomerId("customer"), 0, Size(100, 100)},
                                  {TeamId("high"), CustomerId("customer"), 3, Size(100, 100)}});
    owner.AdmitJob(cell.now(), MakeJob("low", 1, Size(1, 1)));
    cell.RunFor(minutes(waited_minutes) + seconds(1));
    JobSpec high = MakeJob("high", 1, Size(1, 1));
    high.team = TeamId("high");
    owner.AdmitJob(cell.now(), high);
    cell.TakeOwnership(0, kEpoch, cell.now());
    cell.RunFor(seconds(5));
    REQUIRE(cell.starts.size() == 1);
    CHECK(cell.starts[0].task.task == TaskId(waited_minutes == 0 ? "high/0" : "low/0"));
  }
}

TEST_CASE("a worker that fails all tasks is not confused with a class that always fails") {
  CellHarness cell(Workers(6, Size(8, 32)), 5);
  cell.AddOwner();
  for (int i = 0; i < 6; ++i) {
    cell.worker(i).fails = [i](const StartTask& start) {
      return i == 2 || start.job_class == JobClass("bad");
    };
  }
  for (int i = 0; i < 4; ++i) {
    const std::string name = "class" + std::to_string(i);
    cell.owner(0).AdmitJob(cell.now(), WithClass(MakeJob(name, 100, Size(1, 1)), name));
  }
  cell.owner(0).AdmitJob(cell.now(), WithClass(MakeJob("bad", 20, Size(1, 1)), "bad"));
  cell.TakeOwnership(0, kEpoch, cell.now());
  cell.RunFor(minutes(10));
  CHECK(cell.finished.size() == 4);
  CHECK(cell.owner(0).counters().Get("cactusshelf_placement_quarantines_total", "class") == 1);
  CHECK(cell.owner(0).counters().Get("cactusshelf_placement_quarantines_total", "worker") == 1);
  // Probes release both from quarantine after the fault is removed.
  for (int i = 0; i < 6; ++i) {
    cell.worker(i).fails = [](const StartTask&) { return false; };
  }
  cell.RunFor(minutes(40));
  CHECK(cell.finished.size() == 5);
}

TEST_CASE("tasks of a job are spread over racks and failure domains") {
  CellHarness cell(Workers(8, Size(16, 64)), 600);
  cell.AddOwner();
  cell.owner(0).AdmitJob(cell.now(), MakeJob("job", 8, Size(1, 1)));
  cell.TakeOwnership(0, kEpoch, cell.now());
  cell.RunFor(seconds(10));
  for (int rack = 0; rack < 4; ++rack) {
    CHECK(cell.worker(rack).running().size() + cell.worker(rack + 4).running().size() == 2);
  }
}

TEST_CASE(
    "work of a removed worker moves with its checkpoint, and the worker is used again once it is "
    "added again") {
  CellHarness cell(Workers(2, Size(4, 32)), 600);
  CellScheduler& owner = cell.AddOwner();
  owner.AdmitJob(cell.now(), MakeJob("job", 4, Size(2, 4)));
  cell.TakeOwnership(0, kEpoch, cell.now());
  cell.RunFor(seconds(10));
  REQUIRE(cell.RunningCount() == 4);
  owner.ApplyWorkers(cell.now(), {Worker(0, Size(4, 32))});
  cell.RunFor(seconds(30));
  CHECK(cell.worker(1).running().empty());
  owner.ApplyWorkers(cell.now(), Workers(2, Size(4, 32)));
  cell.RunFor(seconds(10));
  CHECK(cell.worker(1).running().size() == 2);
  REQUIRE(cell.starts.size() == 6);
  CHECK(ProgressOf(cell.starts.back().checkpoint) >= 8);
  // The next owner finds records of both the removed worker and the one that was added again.
  cell.TakeOwnership(0, kEpoch + 1, cell.now());
  CHECK(owner.unvisited_workers().size() == 2);
  cell.RunFor(seconds(30));
  CHECK_FALSE(owner.is_recovering());
  CHECK(cell.RunningCount() == 4);
  CHECK(owner.customer_task_count(CustomerId("customer")) == 4);
}

TEST_CASE("an owner without authority sends no commands") {
  CellHarness cell(Workers(2, Size(8, 32)));
  CellScheduler& owner = cell.AddOwner();
  owner.AdmitJob(cell.now(), MakeJob("job", 1, Size(1, 1)));
  owner.TakeOwnership(cell.now(), kEpoch, cell.now());
  owner.OnTimer(cell.now() + minutes(1));
  CHECK(owner.TakeEffects().empty());
  owner.SetAuthority(cell.now() + minutes(1), cell.now() + minutes(1) + milliseconds(1));
  CHECK_FALSE(owner.TakeEffects().empty());
}

}  // namespace
}  // namespace cactusshelf
