#include <algorithm>
#include <optional>
#include <tuple>

#include "scheduler.h"

// Log lines that explain why tasks wait.
namespace cactusshelf::jobs {
namespace {

constexpr Duration kReportPeriod = std::chrono::seconds(1);
// Shorter waits are usual on a full pool.
constexpr Duration kMinReportedWait = std::chrono::seconds(2);
constexpr std::size_t kMaxReportedTasks = 4;

struct WaitingTask {
  ReadyStep step;
  int index = 0;
  bool long_running = false;
  bool restart = false;
  Time since;

  // Restarts first, since callers are owed them within a fixed time; then other long-running tasks,
  // since nothing but a start ends their wait; then by time.
  bool operator<(const WaitingTask& other) const {
    return std::tuple(!restart, !long_running, since) <
           std::tuple(!other.restart, !other.long_running, other.since);
  }
};

StepStatus& StatusOf(const ReadyStep& ready) {
  return ready.job->StepOf({ready.occurrence, ready.step, 0});
}

const TaskStatus& TaskOf(const WaitingTask& waiting) {
  return StatusOf(waiting.step).tasks[static_cast<std::size_t>(waiting.index)];
}

// Appends the task of a step that has waited longest without a run although all it depends on is
// done; of its restarts, if there are any. A task whose start is not answered waits as well.
template <typename Predicate>
void CollectWaitingTask(const ReadyStep& ready, const Predicate& is_starting, Time now,
                        std::vector<WaitingTask>& waiting) {
  const StepStatus& step = StatusOf(ready);
  const bool long_running = ready.job->SpecOf({ready.occurrence, ready.step, 0}).long_running;
  std::optional<WaitingTask> first;
  for (std::size_t i = 0; i < step.tasks.size(); ++i) {
    const TaskStatus& task = step.tasks[i];
    if (task.phase == TaskPhase::kDone) continue;
    const Time since = step.WaitingSince(task);
    if (now - since < kMinReportedWait) continue;
    const TaskId id{ready.occurrence, ready.step, static_cast<int>(i)};
    const bool has_run_now = task.phase == TaskPhase::kPlaced && task.present_runs > 0;
    if (has_run_now && !is_starting(TaskRef{ready.job->job->key, id}, task)) continue;
    const WaitingTask it{ready, id.index, long_running, ready.job->IsRestart(id), since};
    if (!first || it < *first) first = it;
  }
  if (first) waiting.push_back(*first);
}

}  // namespace

void Scheduler::ReportWaitingTasks(const Now& now) {
  if (now.monotonic < next_wait_report_) return;
  next_wait_report_ = now.monotonic + kReportPeriod;
  std::vector<ReadyStep> ready;
  tracker_.CollectReady(now, ready);
  std::vector<WaitingTask> waiting;
  const auto is_starting = [this](const TaskRef& ref, const TaskStatus& task) {
    WorkerState* worker = FindWorker(task.last_worker);
    const Run* run = worker == nullptr ? nullptr : worker->FindRun(ref);
    return run != nullptr && run->phase == RunPhase::kStarting;
  };
  for (const ReadyStep& it : ready) CollectWaitingTask(it, is_starting, now.monotonic, waiting);
  if (waiting.empty()) return;
  const std::size_t n = std::min(waiting.size(), kMaxReportedTasks);
  std::partial_sort(waiting.begin(), waiting.begin() + static_cast<std::ptrdiff_t>(n),
                    waiting.end());
  for (std::size_t i = 0; i < n; ++i) {
    const WaitingTask& it = waiting[i];
    Log(ExplainWait(it.step, it.index, now)
            .With("waited_ms", ToMilliseconds(now.monotonic - it.since))
            .With("waiting_steps", waiting.size())
            .With("without_run_ms", ToMilliseconds(now.monotonic - it.since))
            .With("restart", static_cast<int>(TaskOf(it).has_run)));
  }
}

LogEvent Scheduler::ExplainWait(const ReadyStep& ready, int index, const Now& now) {
  TrackedJob& job = *ready.job;
  const TaskId id{ready.occurrence, ready.step, index};
  const TaskRef ref{job.job->key, id};
  const TaskStatus& task = StatusOf(ready).tasks[static_cast<std::size_t>(index)];
  LogEvent event(LogLevel::kInfo, "task_waiting");
  event.With("task", jobs::ToString(ref)).With("last_run", task.last_run);
  const auto with_reason = [&](const std::string& reason) -> LogEvent& {
    counters_.Add("cactusshelf_waiting_steps_total", reason);
    return event.With("reason", reason);
  };
  const bool unreported = job.may_run_unreported && !released_tasks_.contains(ref);
  if (unreported || awaited_task_set_.contains(ref)) {
    with_reason("takeover").With("awaited_workers", unreported_workers_.size());
  } else if (task.phase == TaskPhase::kPlaced && task.present_runs == 0) {
    with_reason("placed_without_run");
  } else if (task.present_runs != 0) {
    with_reason("earlier_run").With("runs", task.present_runs);
    for (const auto& [name, worker] : workers_) {
      const auto run = worker.runs().find(ref);
      if (run == worker.runs().end()) continue;
      event.With("worker", name)
          .With("phase", std::string(ToString(run->second.phase)))
          .With("reachable", static_cast<int>(worker.reachable))
          .With("lease_ms", ToMilliseconds(worker.lease_expiry() - now.monotonic));
      break;
    }
  } else if (AwaitsHomeLog(*job.job)) {
    with_reason("home_log_not_read").With("home_cell", *job.job->home_cell);
  } else if (ownership_unconfirmed_) {
    with_reason("ownership_unconfirmed");
  } else if (limited_tasks_.contains(ref)) {
    with_reason("roster_not_stored");
  } else {
    const PlacementRequest request = MakePlacementRequest(job, id, now.monotonic);
    const std::vector<WorkerState*> usable = PlaceableWorkers();
    const ObstacleCounts counts = placer_.CountObstacles(request, usable, now.monotonic);
    const CapacitySummary capacity = placer_.SummarizeCapacity(request, usable);
    const Resources need = CapacityNeed(request.step());
    with_reason("no_worker")
        .With("need_milliprocessors", need.milliprocessors)
        .With("max_free_milliprocessors", capacity.max_free.milliprocessors)
        .With("workers", workers_.size())
        .With("unusable", workers_.size() - usable.size());
    for (std::size_t i = 0; i < counts.size(); ++i) {
      event.With(std::string(ToString(static_cast<PlacementObstacle>(i))), counts[i]);
    }
    const auto claimed = std::find_if(usable.begin(), usable.end(), [&](const WorkerState* it) {
      return placer_.HasClaimOn(*it, ref);
    });
    event.With("need_memory_bytes", need.memory_bytes)
        .With("max_free_memory_bytes", capacity.max_free.memory_bytes)
        .With("short_of_processors", capacity.short_of_processors)
        .With("short_of_memory", capacity.short_of_memory)
        .With("short_of_accelerators", capacity.short_of_accelerators)
        .With("claimed_worker", claimed == usable.end() ? "" : (*claimed)->entry().id);
  }
  return event;
}

}  // namespace cactusshelf::jobs
