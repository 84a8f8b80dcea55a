#include <algorithm>
#include <set>
#include <tuple>

#include "scheduler.h"

// Placement of long-running tasks that have stopped.
namespace cactusshelf::jobs {

std::vector<Scheduler::WaitingRestart> Scheduler::CollectRestarts(
    const std::vector<ReadyStep>& ready, bool best_effort_due) const {
  std::vector<WaitingRestart> restarts;
  for (const ReadyStep& it : ready) {
    const TaskId first{it.occurrence, it.step, 0};
    const StepSpec& spec = it.job->SpecOf(first);
    if (!spec.long_running || (it.job->may_run_unreported && released_tasks_.empty())) continue;
    if (spec.best_effort && !best_effort_due) continue;
    const StepStatus& step = it.job->StepOf(first);
    for (int i = 0; i < spec.count; ++i) {
      const TaskStatus& task = step.tasks[static_cast<std::size_t>(i)];
      const TaskId id{it.occurrence, it.step, i};
      if (!WaitsForWorker(*it.job, id) || !it.job->IsRestart(id)) continue;
      if (it.job->may_run_unreported && !released_tasks_.contains({it.job->job->key, id})) continue;
      restarts.push_back({it, i, step.WaitingSince(task)});
    }
  }
  std::sort(restarts.begin(), restarts.end(), [](const auto& left, const auto& right) {
    return std::tuple(left.since, left.step.job->job->key, left.task()) <
           std::tuple(right.since, right.step.job->job->key, right.task());
  });
  return restarts;
}

std::vector<Scheduler::WaitingRestart> Scheduler::CollectExpectedRestarts() {
  std::vector<WaitingRestart> expected;
  for (const auto& [id, worker] : workers_) {
    const bool leaves = worker.incarnation != 0 && (!worker.reachable || worker.entry().draining);
    if (!leaves) continue;
    for (const auto& [ref, run] : worker.runs()) {
      TrackedJob* job = tracker_.Find(ref.job);
      const TaskStatus* task = tracker_.Find(ref);
      const bool placed = task != nullptr && task->phase == TaskPhase::kPlaced;
      if (!placed || !run.long_running || run.best_effort || job->SpecOf(ref.task).gang) continue;
      expected.push_back({{job, ref.task.occurrence, ref.task.step}, ref.task.index, {}});
    }
  }
  return expected;
}

PlacementRequest Scheduler::MakeRestartRequest(const WaitingRestart& restart, const Now& now) {
  TrackedJob& job = *restart.step.job;
  const TaskId id = restart.task();
  PlacementRequest request = MakePlacementRequest(job, id, now.monotonic);
  WorkerState* last =
      FindWorker(job.StepOf(id).tasks[static_cast<std::size_t>(id.index)].last_worker);
  if (last != nullptr && IsPlaceable(*last)) request.last_worker = last;
  return request;
}

void Scheduler::PlaceRestarts(const std::vector<WaitingRestart>& restarts,
                              const std::vector<WaitingRestart>& expected, const Now& now) {
  std::vector<PlacementRequest> requests;
  requests.reserve(restarts.size());
  for (const WaitingRestart& it : restarts) {
    requests.push_back(MakeRestartRequest(it, now));
    if (!requests.back().step().best_effort) placer_.ClaimRoom(requests.back(), now.monotonic);
  }
  // The tasks of a step differ only in their claims and in whether they may probe.
  std::set<std::tuple<JobKey, int, int, bool>> unplaceable_steps;
  for (std::size_t i = 0; i < restarts.size() && starts_in_pass_ < kMaxStartsPerPass; ++i) {
    const PlacementRequest& request = requests[i];
    TrackedJob& job = *restarts[i].step.job;
    const TaskId id = restarts[i].task();
    if (now.monotonic < job.StepOf(id).tasks[static_cast<std::size_t>(id.index)].retry_at) continue;
    const std::tuple kind(job.job->key, id.occurrence, id.step, request.may_probe);
    WorkerState* worker = nullptr;
    if (!unplaceable_steps.contains(kind)) worker = placer_.Choose(request, now.monotonic);
    if (worker == nullptr) unplaceable_steps.insert(kind);
    if (worker == nullptr) worker = placer_.ChooseClaimed(request, now.monotonic);
    if (worker != nullptr) StartTask(*worker, job, id, tracker_.NextRun(job, id), now);
  }
  for (const WaitingRestart& it : expected) {
    PlacementRequest request = MakePlacementRequest(*it.step.job, it.task(), now.monotonic);
    request.restart = false;
    placer_.ClaimRoom(request, now.monotonic);
  }
}

}  // namespace cactusshelf::jobs
