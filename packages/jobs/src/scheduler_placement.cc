#include <algorithm>
#include <set>
#include <tuple>

#include "scheduler.h"

// Placement of waiting tasks on workers.
namespace cactusshelf::jobs {
namespace {

// A result that takes longer than this multiple of the job's objective has no value to its caller,
// so the job is placed after all others.
constexpr double kMaxObjectiveFactor = 3.0;
// A worker is reserved for a long-running task that has waited for this time.
constexpr Duration kStarvationDelay = std::chrono::milliseconds(2500);
// A task that fits only on workers in quarantine waits for this time before it is tried there.
constexpr Duration kMaxQuarantineWait = std::chrono::seconds(1);
// Maximum time between two placement passes. Retry delays end and jobs become due without an event
// that requests a pass.
constexpr Duration kMaxPlacementInterval = std::chrono::milliseconds(100);

// Minimum time between two passes with best-effort tasks. A task that fits nowhere is compared with
// all workers, which is expensive, and callers do not notice a delay of this length.
constexpr Duration kBestEffortPlacementPeriod = std::chrono::milliseconds(40);

struct Rank {
  bool expired = false;
  int priority = 0;
  Time due;
  auto operator<=>(const Rank&) const = default;
};

Rank RankOf(const TrackedJob& job, Time now) {
  const auto limit =
      std::chrono::duration<double, Duration::period>(job.objective) * kMaxObjectiveFactor;
  const bool late = now > job.tracked_since + std::chrono::duration_cast<Duration>(limit);
  return {late && !job.long_running, job.job->queue.priority, job.tracked_since + job.objective};
}

struct RankedStep {
  Rank rank;
  ReadyStep step;

  bool operator<(const RankedStep& other) const {
    return std::tie(rank, step.job->job->key, step.occurrence, step.step) <
           std::tie(other.rank, other.step.job->job->key, other.step.occurrence, other.step.step);
  }
};

const StepSpec& SpecOf(const ReadyStep& ready) {
  return ready.job->job->spec.steps[static_cast<std::size_t>(ready.step)];
}

bool HasWaitingTask(const ReadyStep& ready) {
  const auto& tasks = ready.job->occurrences[static_cast<std::size_t>(ready.occurrence)]
                          .steps[static_cast<std::size_t>(ready.step)]
                          .tasks;
  return std::any_of(tasks.begin(), tasks.end(), [](const TaskStatus& task) {
    return task.phase == TaskPhase::kWaiting && task.present_runs == 0;
  });
}

// True if the task may start on a worker in quarantine. Long-running tasks have any number of
// attempts; a short task must not lose its last one on a worker that is likely to fail it.
bool MayProbe(TrackedJob& job, const TaskId& id, Duration waited) {
  if (waited < kMaxQuarantineWait) return false;
  if (job.SpecOf(id).long_running) return true;
  const TaskStatus& task = job.StepOf(id).tasks[static_cast<std::size_t>(id.index)];
  return static_cast<int>(task.failed_runs.size()) + 1 < job.job->queue.max_attempts;
}

}  // namespace

void Scheduler::PlaceReadySteps(const Now& now) {
  next_placement_ = now.monotonic + options_.placement_period;
  if (!placement_needed_ && now.monotonic < placement_deadline_) return;
  placement_needed_ = false;
  placement_deadline_ = now.monotonic + kMaxPlacementInterval;
  const std::vector<WorkerState*> workers = PlaceableWorkers();
  HandOverJobs(now);
  if (workers.empty()) return;
  std::vector<ReadyStep> ready;
  tracker_.CollectReady(now, ready);
  std::vector<RankedStep> ranked;
  const bool best_effort_due = now.monotonic >= next_best_effort_placement_;
  if (best_effort_due) next_best_effort_placement_ = now.monotonic + kBestEffortPlacementPeriod;
  placement_deadline_ = std::min(placement_deadline_, next_best_effort_placement_);
  for (const ReadyStep& it : ready) {
    if (it.job->may_run_unreported || !HasWaitingTask(it)) continue;
    // Room may be owed to restarts of the jobs that wait for the end of the takeover.
    if (taking_over_ && SpecOf(it).long_running) continue;
    const bool best_effort = SpecOf(it).best_effort;
    if (best_effort && !best_effort_due) continue;
    ranked.push_back({RankOf(*it.job, now.monotonic), it});
  }
  std::sort(ranked.begin(), ranked.end());
  const std::vector<WaitingRestart> restarts = CollectRestarts(ready, best_effort_due);
  std::set<TaskRef> restarting;
  const std::vector<WaitingRestart> expected = CollectExpectedRestarts();
  for (const auto* list : {&restarts, &expected}) {
    for (const WaitingRestart& it : *list) restarting.insert({it.step.job->job->key, it.task()});
  }
  starts_in_pass_ = 0;
  placer_.BeginPass(workers, restarting);
  PlaceRestarts(restarts, expected, now);
  for (const RankedStep& it : ranked) {
    if (starts_in_pass_ >= kMaxStartsPerPass) break;
    if (SpecOf(it.step).gang) {
      PlaceGang(it.step, workers, now);
    } else {
      PlaceStep(it.step, now);
    }
  }
  placement_needed_ = placement_needed_ || starts_in_pass_ >= kMaxStartsPerPass;
}

std::vector<WorkerState*> Scheduler::PlaceableWorkers() {
  std::vector<WorkerState*> workers;
  for (auto& [id, worker] : workers_) {
    if (IsPlaceable(worker)) workers.push_back(&worker);
  }
  return workers;
}

bool Scheduler::IsPlaceable(const WorkerState& worker) const {
  const bool usable =
      worker.listed && worker.token_accepted && worker.reachable && worker.in_stored_roster;
  return usable && worker.incarnation_known && !worker.entry().draining &&
         !lease_limited_.contains(worker.entry().id);
}

bool Scheduler::WaitsForWorker(TrackedJob& job, const TaskId& id) const {
  const TaskStatus& task = job.StepOf(id).tasks[static_cast<std::size_t>(id.index)];
  if (AwaitsHomeLog(*job.job)) return false;
  // The task cannot start while an earlier run of it is still being stopped.
  if (task.phase != TaskPhase::kWaiting || task.present_runs > 0) return false;
  if (awaited_task_set_.empty() && limited_tasks_.empty()) return true;
  const TaskRef ref{job.job->key, id};
  return !awaited_task_set_.contains(ref) && !limited_tasks_.contains(ref);
}

void Scheduler::PlaceStep(const ReadyStep& ready, const Now& now) {
  TrackedJob& job = *ready.job;
  TaskId id{ready.occurrence, ready.step, 0};
  StepStatus& step = job.StepOf(id);
  bool unplaceable = false;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    const TaskStatus& task = step.tasks[i];
    if (starts_in_pass_ >= kMaxStartsPerPass) break;
    id.index = static_cast<int>(i);
    if (now.monotonic < task.retry_at || !WaitsForWorker(job, id) || job.IsRestart(id)) continue;
    // The tasks of a step differ only in whether they may start on a worker in quarantine.
    const Duration waited = now.monotonic - step.WaitingSince(task);
    if (unplaceable && !MayProbe(job, id, waited)) continue;
    const PlacementRequest request = MakePlacementRequest(job, id, now.monotonic);
    WorkerState* worker = placer_.Choose(request, now.monotonic);
    if (worker == nullptr) {
      const bool starves = job.SpecOf(id).long_running && request.waited >= kStarvationDelay;
      if (starves) placer_.ReserveWorker(request, now.monotonic);
      if (request.may_probe) return;
      unplaceable = true;
      continue;
    }
    StartTask(*worker, job, id, tracker_.NextRun(job, id), now);
  }
}

void Scheduler::PlaceGang(const ReadyStep& ready, const std::vector<WorkerState*>& workers,
                          const Now& now) {
  TrackedJob& job = *ready.job;
  TaskId id{ready.occurrence, ready.step, 0};
  const StepStatus& step = job.StepOf(id);
  const int count = job.SpecOf(id).count;
  for (int i = 0; i < count; ++i) {
    const TaskStatus& task = step.tasks[static_cast<std::size_t>(i)];
    id.index = i;
    if (now.monotonic < task.retry_at || !WaitsForWorker(job, id)) return;
  }
  std::set<std::string> racks{""};
  if (job.SpecOf(id).same_rack) {
    for (const WorkerState* worker : workers) racks.insert(worker->entry().rack);
  }
  const std::int64_t number = tracker_.NextRun(job, id);
  // Tries each rack, then placement without a rack constraint. Either all tasks of the gang fit and
  // are started, or none is.
  for (auto rack = racks.rbegin(); rack != racks.rend(); ++rack) {
    std::vector<WorkerState*> chosen;
    for (int i = 0; i < count; ++i) {
      id.index = i;
      PlacementRequest request = MakePlacementRequest(job, id, now.monotonic);
      request.rack = *rack;
      WorkerState* worker = placer_.Choose(request, now.monotonic);
      if (worker == nullptr) break;
      worker->AddRun(MakeRun(*job.job, id, number));
      chosen.push_back(worker);
    }
    const bool complete = static_cast<int>(chosen.size()) == count;
    for (int i = 0; i < static_cast<int>(chosen.size()); ++i) {
      id.index = i;
      chosen[static_cast<std::size_t>(i)]->RemoveRun({job.job->key, id});
    }
    placer_.OnCapacityFreed();
    if (!complete) continue;
    for (int i = 0; i < count; ++i) {
      id.index = i;
      StartTask(*chosen[static_cast<std::size_t>(i)], job, id, number, now);
    }
    return;
  }
}

PlacementRequest Scheduler::MakePlacementRequest(TrackedJob& job, const TaskId& task, Time now) {
  PlacementRequest request;
  request.job = job.job.get();
  request.task = task;
  request.service = ServiceOf(*job.job);
  const StepStatus& step = job.StepOf(task);
  request.waited = now - step.WaitingSince(step.tasks[static_cast<std::size_t>(task.index)]);
  request.image_index = interference_.ImageIndex(job.SpecOf(task).image);
  request.may_probe = MayProbe(job, task, request.waited);
  request.restart = job.IsRestart(task);
  return request;
}

Run Scheduler::MakeRun(const SubmittedJob& job, const TaskId& task, std::int64_t number) {
  const StepSpec& step = job.spec.steps[static_cast<std::size_t>(task.step)];
  Run run;
  run.task = {job.key, task};
  run.number = number;
  run.need = CapacityNeed(step);
  run.milliprocessors = step.need.milliprocessors;
  run.estimate = step.estimate;
  run.long_running = step.long_running;
  run.best_effort = step.best_effort;
  run.image = step.image;
  run.image_index = interference_.ImageIndex(step.image);
  run.latency_target = step.latency_target;
  return run;
}

void Scheduler::StartTask(WorkerState& worker, TrackedJob& job, const TaskId& task,
                          std::int64_t number, const Now& now) {
  const TaskRef ref{job.job->key, task};
  StartOrder order;
  order.call = NextCall();
  order.worker = worker.entry().Target();
  order.token = token_;
  order.task = ref;
  order.run = number;
  order.payload = job.job->spec.payload;
  order.checkpoint = job.StepOf(task).tasks[static_cast<std::size_t>(task.index)].checkpoint;
  order.lease_end = GrantLease(worker, now).value();
  order.incarnation = worker.incarnation;
  Run run = MakeRun(*job.job, task, number);
  run.checkpoint = order.checkpoint;
  run.started_at = now.monotonic;
  run.incarnation = order.incarnation;
  placer_.OnPlaced(worker, ref, job.SpecOf(task));
  worker.quarantine.OnPlaced(ref, now.monotonic);
  AddRun(worker, std::move(run));
  tracker_.OnPlaced(ref, number);
  AddPendingOrder(order.call, worker, ref, number, now);
  const StepStatus& step = job.StepOf(task);
  const TaskStatus& status = step.tasks[static_cast<std::size_t>(task.index)];
  Log(LogEvent(LogLevel::kInfo, "run_start")
          .With("task", jobs::ToString(ref))
          .With("run", number)
          .With("worker", worker.entry().id)
          .With("waited_ms", ToMilliseconds(now.monotonic - step.ready_since))
          .With("free_milliprocessors", worker.Free().milliprocessors)
          .With("without_run_ms", ToMilliseconds(now.monotonic - step.WaitingSince(status)))
          .With("restart", static_cast<int>(status.has_run)));
  ++starts_in_pass_;
  Enqueue(worker, std::move(order));
}

}  // namespace cactusshelf::jobs
