#include <algorithm>
#include <set>
#include <tuple>

#include "scheduler.h"

// Placement of long-running tasks that have stopped.
namespace cactusshelf::jobs {

std::vector<Scheduler::WaitingRestart> Scheduler::CollectRestarts(
    const std::vector<ReadyStep>& ready, bool best_effort_due) {
  std::vector<WaitingRestart> restarts;
  for (const ReadyStep& it : ready) {
    const TaskId first{it.occurrence, it.step, 0};
    const StepSpec& spec = it.job->SpecOf(first);
    if (!spec.long_running || it.job->may_run_unreported) continue;
    if (spec.best_effort && !best_effort_due) continue;
    const StepStatus& step = it.job->StepOf(first);
    for (int i = 0; i < spec.count; ++i) {
      const TaskStatus& task = step.tasks[static_cast<std::size_t>(i)];
      const bool waits = task.phase == TaskPhase::kWaiting && task.present_runs == 0;
      if (!waits || !it.job->IsRestart({it.occurrence, it.step, i})) continue;
      restarts.push_back({it, i, step.WaitingSince(task)});
    }
  }
  std::sort(restarts.begin(), restarts.end(), [](const auto& left, const auto& right) {
    return std::tuple(left.since, left.step.job->job->key, left.task()) <
           std::tuple(right.since, right.step.job->job->key, right.task());
  });
  return restarts;
}

void Scheduler::PlaceRestarts(const std::vector<WaitingRestart>& restarts, const Now& now) {
  // The tasks of a step differ only in their claims and in whether they may probe.
  std::set<std::tuple<JobKey, int, int, bool>> unplaceable_steps;
  for (const WaitingRestart& it : restarts) {
    TrackedJob& job = *it.step.job;
    const TaskId id = it.task();
    const TaskStatus& task = job.StepOf(id).tasks[static_cast<std::size_t>(id.index)];
    PlacementRequest request = MakePlacementRequest(job, id, now.monotonic);
    WorkerState* last = FindWorker(task.last_worker);
    if (last != nullptr && IsPlaceable(*last)) request.last_worker = last;
    const std::tuple kind(job.job->key, id.occurrence, id.step, request.may_probe);
    WorkerState* worker = nullptr;
    if (now.monotonic >= task.retry_at) {
      if (!unplaceable_steps.contains(kind)) worker = placer_.Choose(request, now.monotonic);
      if (worker == nullptr) unplaceable_steps.insert(kind);
      if (worker == nullptr) worker = placer_.ChooseClaimed(request, now.monotonic);
    }
    if (worker != nullptr) {
      StartTask(*worker, job, id, tracker_.NextRun(job, id), now);
    } else if (!request.step().best_effort) {
      placer_.ClaimRoom(request, now.monotonic);
    }
  }
}

}  // namespace cactusshelf::jobs
