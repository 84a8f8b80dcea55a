#include <algorithm>

#include "scheduler.h"

// Jobs that another cell runs, because it has more room.
namespace cactusshelf::jobs {
namespace {

// The parts of a worker of the pool that a task of the step needs; a whole one if the cell has no
// such worker.
int PartsOfStep(const StepSpec& step, const std::string& pool,
                const std::map<std::string, WorkerState>& workers) {
  const auto of_pool = std::find_if(workers.begin(), workers.end(),
                                    [&](const auto& it) { return it.second.entry().pool == pool; });
  if (of_pool == workers.end()) return PoolRoom::kPartsPerWorker;
  return PartsOf(CapacityNeed(step), of_pool->second.entry().capacity);
}

int CountWaiting(const StepStatus& step) {
  return static_cast<int>(std::count_if(step.tasks.begin(), step.tasks.end(), [](const auto& it) {
    return it.phase == TaskPhase::kWaiting;
  }));
}

// The reports of other cells say nothing of labels, accelerators and idle processors, nor of the
// time at which a scheduled job is due.
bool CanBeHandedOver(const SubmittedJob& job) {
  const auto is_simple = [](const StepSpec& step) {
    return step.required_label.empty() && step.need.accelerators == 0 && !step.best_effort;
  };
  return !job.home_cell && job.spec.occurrences == 0 &&
         std::all_of(job.spec.steps.begin(), job.spec.steps.end(), is_simple);
}

}  // namespace

void Scheduler::AddUnstartedJob(const SubmittedJob& job) {
  if (other_cells_ != nullptr && CanBeHandedOver(job)) unstarted_jobs_.insert(job.key);
}

bool Scheduler::IsUnstarted(const JobKey& key) {
  TrackedJob* job = tracker_.Find(key);
  if (job == nullptr || job->may_run_unreported || !JobTracker::IsUntouched(*job)) return false;
  for (std::size_t s = 0; s < job->job->spec.steps.size(); ++s) {
    TaskId id{0, static_cast<int>(s), 0};
    for (; id.index < job->job->spec.steps[s].count; ++id.index) {
      if (!WaitsForWorker(*job, id)) return false;
    }
  }
  return true;
}

RoomDemand Scheduler::DemandOf(const TrackedJob& job) {
  RoomDemand demand;
  demand.pool = ServiceOf(*job.job);
  for (const StepSpec& step : job.job->spec.steps) {
    const RoomDemand of_step{demand.pool, step.count, PartsOfStep(step, demand.pool, workers_)};
    if (of_step.total_parts() > demand.total_parts()) demand = of_step;
  }
  return demand;
}

CellRoom Scheduler::MeasureRoomForUnstartedJobs(const Now& now) {
  CellRoom room;
  room.cell = cell_;
  for (const auto& [id, worker] : workers_) {
    if (IsPlaceable(worker))
      room.pools[worker.entry().pool].AddWorker(worker.Free(), worker.entry().capacity);
  }
  std::vector<ReadyStep> ready;
  tracker_.CollectReady(now, ready);
  for (const ReadyStep& it : ready) {
    if (unstarted_jobs_.contains(it.job->job->key)) continue;
    const int n = CountWaiting(it.job->StepOf({it.occurrence, it.step, 0}));
    if (n == 0) continue;
    const std::string& pool = ServiceOf(*it.job->job);
    const StepSpec& step = it.job->SpecOf({it.occurrence, it.step, 0});
    room.pools[pool].waiting_parts += std::int64_t{n} * PartsOfStep(step, pool, workers_);
  }
  return room;
}

CellRoom Scheduler::MeasureRoom(const Now& now) {
  CellRoom room = MeasureRoomForUnstartedJobs(now);
  for (const JobKey& key : unstarted_jobs_) {
    if (!IsUnstarted(key)) continue;
    const RoomDemand demand = DemandOf(*tracker_.Find(key));
    room.pools[demand.pool].waiting_parts += demand.total_parts();
  }
  return room;
}

void Scheduler::HandOverJobs(const Now& now) {
  if (other_cells_ == nullptr || unstarted_jobs_.empty()) return;
  std::erase_if(unstarted_jobs_, [this](const JobKey& key) { return !IsUnstarted(key); });
  CellRoom own = MeasureRoomForUnstartedJobs(now);
  std::erase_if(unstarted_jobs_, [&](const JobKey& key) {
    const RoomDemand demand = DemandOf(*tracker_.Find(key));
    const auto choice = other_cells_->Choose(demand, own, now.monotonic);
    if (!choice) {
      own.pools[demand.pool].waiting_parts += demand.total_parts();
      return false;
    }
    tracker_.HandOver(key, choice->cell);
    other_cells_->OnHandedOver(cell_, choice->cell, demand, now.monotonic);
    hand_over_targets_.insert(choice->cell);
    const std::string reason(ToString(choice->reason));
    counters_.Add("cactusshelf_jobs_handed_over_total", reason);
    Log(LogEvent(LogLevel::kInfo, "job_handed_over")
            .With("job", key.str())
            .With("to_cell", choice->cell)
            .With("reason", reason)
            .With("tasks", demand.tasks)
            .With("parts_each", demand.parts)
            .With("own_room", choice->own_room)
            .With("other_room", choice->other_room)
            .With("report_age_ms", ToMilliseconds(choice->report_age)));
    return true;
  });
}

}  // namespace cactusshelf::jobs
