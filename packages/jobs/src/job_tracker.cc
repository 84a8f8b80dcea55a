#include "job_tracker.h"

#include <algorithm>

namespace cactusshelf::jobs {
namespace {

// Delay before the next attempt of a failed task, so that a worker on which every run fails at once
// does not use up all attempts.
constexpr Duration kRetryDelay = std::chrono::milliseconds(50);
constexpr Duration kLongRunningRetryDelay = std::chrono::milliseconds(100);

// A configured factor or latency target may be so large that the objective exceeds this, beyond
// which the order of jobs no longer matters and a multiple would not fit into Duration.
constexpr Duration kMaxObjective = std::chrono::hours(24 * 365);

// Bound on the failed runs in one record of progress. The rest of the record has a bit for each
// task.
constexpr std::size_t kMaxFailedRunBytes = 200'000;
static_assert(kMaxFailedRunBytes < kMaxRecordBytes);
// Upper bounds on the encoded sizes of a failed run and of what else is stored of its task.
constexpr std::size_t kFailedRunBytes = 9;
constexpr std::size_t kFailedTaskBytes = 28;

std::size_t Index(int n) { return static_cast<std::size_t>(n); }

OccurrenceStatus MakeOccurrence(const JobSpec& spec, Time now) {
  OccurrenceStatus occurrence;
  for (const StepSpec& step : spec.steps) {
    StepStatus status;
    status.tasks.resize(Index(step.count));
    status.remaining_tasks = step.count;
    status.ready_since = now;
    occurrence.remaining_tasks += step.count;
    occurrence.steps.push_back(std::move(status));
  }
  return occurrence;
}

bool HasTask(const TrackedJob& job, const TaskId& task) {
  if (task.occurrence < 0 || task.step < 0 || task.index < 0) return false;
  if (Index(task.occurrence) >= job.occurrences.size()) return false;
  if (Index(task.step) >= job.job->spec.steps.size()) return false;
  return task.index < job.SpecOf(task).count;
}

// Sum of the estimates along the longest chain of dependent steps.
Duration CriticalPath(const JobSpec& spec) {
  std::vector<Duration> finish;
  Duration longest{};
  for (const StepSpec& step : spec.steps) {
    Duration start{};
    for (const int it : step.depends_on) start = std::max(start, finish[Index(it)]);
    finish.push_back(start + step.estimate);
    longest = std::max(longest, finish.back());
  }
  return longest;
}

Duration CompletionObjective(const SubmittedJob& job) {
  using RealDuration = std::chrono::duration<double, Duration::period>;
  const RealDuration objective =
      RealDuration(CriticalPath(job.spec)) * job.queue.stretch + job.queue.latency_target;
  return std::chrono::duration_cast<Duration>(
      std::clamp<RealDuration>(objective, Duration::zero(), kMaxObjective));
}

bool IsPlacedWith(const TaskStatus& task, std::int64_t run) {
  return task.phase == TaskPhase::kPlaced && task.placed_run == run;
}

WallTime DueTime(const JobSpec& spec, int occurrence) {
  return spec.first_due +
         std::chrono::duration_cast<std::chrono::milliseconds>(spec.period * occurrence);
}

}  // namespace

bool JobTracker::Add(const std::shared_ptr<const SubmittedJob>& job, const JobProgress& progress,
                     bool may_run_unreported, Time now) {
  if (IsFinal(progress.state) || jobs_.contains(job->key) || ended_jobs_.contains(job->key))
    return false;
  TrackedJob tracked;
  tracked.job = job;
  tracked.tracked_since = now;
  tracked.state = progress.state;
  tracked.may_run_unreported = may_run_unreported;
  tracked.objective = CompletionObjective(*job);
  for (const StepSpec& step : job->spec.steps) {
    tracked.long_running = tracked.long_running || step.long_running;
  }
  const int n = OccurrenceCount(job->spec);
  for (int i = 0; i < n; ++i) tracked.occurrences.push_back(MakeOccurrence(job->spec, now));
  Restore(tracked, progress);
  jobs_.emplace(job->key, std::move(tracked));
  return true;
}

void JobTracker::Restore(TrackedJob& job, const JobProgress& progress) {
  // Which tasks of a running job have run is not stored. Those that have not are few, since the
  // tasks of a step are placed together.
  if (progress.state == JobState::kRunning) {
    for (OccurrenceStatus& occurrence : job.occurrences) {
      for (StepStatus& step : occurrence.steps) {
        for (TaskStatus& task : step.tasks) task.has_run = true;
      }
    }
  }
  for (const TaskProgress& stored : progress.tasks) {
    if (!HasTask(job, stored.id)) continue;
    StepStatus& step = job.StepOf(stored.id);
    TaskStatus& task = step.tasks[Index(stored.id.index)];
    task.failed_runs = stored.failed_runs;
    task.last_ended_run = stored.last_run;
    task.last_run = stored.last_run;
    if (!stored.done) continue;
    task.phase = TaskPhase::kDone;
    --step.remaining_tasks;
    --job.occurrences[Index(stored.id.occurrence)].remaining_tasks;
  }
}

void JobTracker::Cancel(const JobKey& key) {
  TrackedJob* job = Find(key);
  if (job != nullptr) EndJob(*job, JobState::kCancelled);
}

bool JobTracker::IsUntouched(const TrackedJob& job) {
  if (job.state != JobState::kQueued) return false;
  const auto untouched = [](const TaskStatus& it) {
    return it.phase == TaskPhase::kWaiting && it.last_run == 0 && it.present_runs == 0;
  };
  return std::all_of(job.occurrences.begin(), job.occurrences.end(), [&](const auto& occurrence) {
    return std::all_of(occurrence.steps.begin(), occurrence.steps.end(), [&](const auto& step) {
      return std::all_of(step.tasks.begin(), step.tasks.end(), untouched);
    });
  });
}

void JobTracker::HandOver(const JobKey& key, int cell) {
  hand_overs_.push_back({key, cell});
  ended_jobs_.insert(key);
  jobs_.erase(key);
}

TrackedJob* JobTracker::Find(const JobKey& key) {
  const auto it = jobs_.find(key);
  return it == jobs_.end() ? nullptr : &it->second;
}

TaskStatus* JobTracker::Find(const TaskRef& ref) {
  TrackedJob* job = Find(ref.job);
  if (job == nullptr || !HasTask(*job, ref.task)) return nullptr;
  return &job->StepOf(ref.task).tasks[Index(ref.task.index)];
}

std::int64_t JobTracker::NextRun(TrackedJob& job, const TaskId& task) const {
  StepStatus& step = job.StepOf(task);
  std::int64_t last = run_base_;
  if (!job.SpecOf(task).gang) {
    last = std::max(last, step.tasks[Index(task.index)].last_run);
    return last + 1;
  }
  for (const TaskStatus& member : step.tasks) last = std::max(last, member.last_run);
  return last + 1;
}

void JobTracker::OnPlaced(const TaskRef& ref, std::int64_t run) {
  TaskStatus* task = Find(ref);
  task->phase = TaskPhase::kPlaced;
  task->placed_run = run;
  task->last_run = std::max(task->last_run, run);
}

void JobTracker::OnRunStarted(const JobKey& key) {
  TrackedJob* job = Find(key);
  if (job == nullptr || job->state != JobState::kQueued) return;
  job->state = JobState::kRunning;
  changed_jobs_.insert(key);
}

void JobTracker::OnRunLost(const TaskRef& ref, std::int64_t run, bool begun,
                           const std::string& checkpoint, Time now) {
  TaskStatus* task = Find(ref);
  if (task == nullptr || !IsPlacedWith(*task, run)) return;
  task->phase = TaskPhase::kWaiting;
  task->retry_at = now;
  if (begun) {
    task->waiting_since = now;
    task->has_run = true;
  }
  if (!checkpoint.empty()) task->checkpoint = checkpoint;
}

void JobTracker::OnRunEnded(const TaskRef& ref, std::int64_t run, RunEnd end,
                            const std::string& checkpoint, Time now) {
  TaskStatus* task = Find(ref);
  if (task == nullptr || task->phase == TaskPhase::kDone) return;
  TrackedJob& job = *Find(ref.job);
  const StepSpec& spec = job.SpecOf(ref.task);
  const bool placed = IsPlacedWith(*task, run);
  const bool newest = run >= task->last_run;
  task->last_ended_run = std::max(task->last_ended_run, run);
  task->last_run = std::max(task->last_run, run);
  if (!checkpoint.empty() && (placed || newest)) task->checkpoint = checkpoint;
  if (end == RunEnd::kDone && !spec.long_running) {
    changed_jobs_.insert(ref.job);
    if (spec.gang) {
      FinishGang(job, ref.task, now);
    } else {
      FinishTask(job, ref.task, now);
    }
    return;
  }
  if (placed) {
    task->phase = TaskPhase::kWaiting;
    task->waiting_since = now;
    task->has_run = true;
    task->retry_at = now + (spec.long_running ? kLongRunningRetryDelay : kRetryDelay);
  }
  if (end == RunEnd::kFailed && !spec.long_running) RecordFailure(job, ref, run);
}

void JobTracker::RecordFailure(TrackedJob& job, const TaskRef& ref, std::int64_t run) {
  std::vector<std::int64_t>& failed = Find(ref)->failed_runs;
  if (std::find(failed.begin(), failed.end(), run) != failed.end()) return;
  failed.push_back(run);
  changed_jobs_.insert(ref.job);
  if (FailureCount(job, ref.task) >= job.job->queue.max_attempts) EndJob(job, JobState::kFailed);
}

int JobTracker::FailureCount(TrackedJob& job, const TaskId& task) const {
  StepStatus& step = job.StepOf(task);
  if (!job.SpecOf(task).gang)
    return static_cast<int>(step.tasks[Index(task.index)].failed_runs.size());
  int n = 0;
  for (const TaskStatus& member : step.tasks) n += static_cast<int>(member.failed_runs.size());
  return n;
}

void JobTracker::FinishGang(TrackedJob& job, const TaskId& task, Time now) {
  const JobKey key = job.job->key;
  const int count = job.SpecOf(task).count;
  for (int i = 0; i < count; ++i) {
    if (Find(key) == nullptr) return;
    if (job.StepOf(task).tasks[Index(i)].phase == TaskPhase::kDone) continue;
    FinishTask(job, {task.occurrence, task.step, i}, now);
  }
}

void JobTracker::FinishTask(TrackedJob& job, const TaskId& id, Time now) {
  StepStatus& step = job.StepOf(id);
  TaskStatus& task = step.tasks[Index(id.index)];
  task.phase = TaskPhase::kDone;
  --step.remaining_tasks;
  OccurrenceStatus& occurrence = job.occurrences[Index(id.occurrence)];
  --occurrence.remaining_tasks;
  if (step.remaining_tasks == 0) {
    for (StepStatus& other : occurrence.steps) {
      if (other.remaining_tasks > 0) other.ready_since = now;
    }
  }
  const bool complete =
      std::all_of(job.occurrences.begin(), job.occurrences.end(),
                  [](const OccurrenceStatus& it) { return it.remaining_tasks == 0; });
  if (complete) EndJob(job, JobState::kCompleted);
}

void JobTracker::EndJob(TrackedJob& job, JobState state) {
  const JobKey key = job.job->key;
  job.state = state;
  final_changes_.push_back({key, {state, {}}});
  changed_jobs_.erase(key);
  ended_jobs_.insert(key);
  jobs_.erase(key);
}

void JobTracker::CollectReady(const Now& now, std::vector<ReadyStep>& ready) {
  for (auto& [key, job] : jobs_) {
    const JobSpec& spec = job.job->spec;
    for (std::size_t k = 0; k < job.occurrences.size(); ++k) {
      OccurrenceStatus& occurrence = job.occurrences[k];
      if (occurrence.remaining_tasks == 0) continue;
      if (spec.occurrences > 0 && now.wall < DueTime(spec, static_cast<int>(k))) break;
      for (std::size_t s = 0; s < occurrence.steps.size(); ++s) {
        if (occurrence.steps[s].remaining_tasks == 0) continue;
        const std::vector<int>& dependencies = spec.steps[s].depends_on;
        const bool dependencies_done =
            std::all_of(dependencies.begin(), dependencies.end(),
                        [&](int it) { return occurrence.steps[Index(it)].remaining_tasks == 0; });
        if (dependencies_done) ready.push_back({&job, static_cast<int>(k), static_cast<int>(s)});
      }
    }
  }
}

std::optional<WallTime> JobTracker::NextDue(WallTime now) const {
  std::optional<WallTime> next;
  for (const auto& [key, job] : jobs_) {
    const JobSpec& spec = job.job->spec;
    if (spec.occurrences == 0) continue;
    for (int k = 0; k < spec.occurrences; ++k) {
      const WallTime due = DueTime(spec, k);
      if (due <= now) continue;
      if (!next || due < *next) next = due;
      break;
    }
  }
  return next;
}

std::vector<ProgressRecord> JobTracker::TakeChanges() {
  std::vector<ProgressRecord> changes = std::move(final_changes_);
  final_changes_.clear();
  for (const JobKey& key : changed_jobs_) changes.push_back({key, ProgressOf(jobs_.at(key))});
  changed_jobs_.clear();
  return changes;
}

JobProgress JobTracker::ProgressOf(const TrackedJob& job) {
  JobProgress progress;
  std::size_t failed_bytes = 0;
  progress.state = job.state;
  if (stores_task_numbers_) {
    for (const StepSpec& step : job.job->spec.steps) progress.step_counts.push_back(step.count);
  }
  for (std::size_t k = 0; k < job.occurrences.size(); ++k) {
    const std::vector<StepStatus>& steps = job.occurrences[k].steps;
    for (std::size_t s = 0; s < steps.size(); ++s) {
      for (std::size_t i = 0; i < steps[s].tasks.size(); ++i) {
        const TaskStatus& task = steps[s].tasks[i];
        const bool done = task.phase == TaskPhase::kDone;
        if (task.failed_runs.empty() && !done) continue;
        if (stores_task_numbers_ && !done) {
          failed_bytes += kFailedTaskBytes + kFailedRunBytes * task.failed_runs.size();
          if (failed_bytes > kMaxFailedRunBytes) {
            ++omitted_failed_tasks_[job.job->key];
            continue;
          }
        }
        const TaskId id{static_cast<int>(k), static_cast<int>(s), static_cast<int>(i)};
        progress.tasks.push_back({id, done, task.last_ended_run, task.failed_runs});
      }
    }
  }
  return progress;
}

void JobTracker::OnAllRunsReported() {
  for (auto& [key, job] : jobs_) job.may_run_unreported = false;
}

}  // namespace cactusshelf::jobs
