#ifndef CACTUSSHELF_JOBS_SRC_JOB_TRACKER_H_
#define CACTUSSHELF_JOBS_SRC_JOB_TRACKER_H_

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <vector>

#include "cactusshelf/jobs/job_log_view.h"
#include "cactusshelf/jobs/worker_calls.h"

namespace cactusshelf::jobs {

enum class TaskPhase : std::uint8_t { kWaiting, kPlaced, kDone };

struct TaskStatus {
  TaskPhase phase = TaskPhase::kWaiting;
  std::vector<std::int64_t> failed_runs;
  std::int64_t last_ended_run = 0;
  std::int64_t last_run = 0;  // Highest run number known to the owner.
  // Number of the run that the task is placed with. It may be below last_run: an earlier owner
  // started it. Valid while the phase is kPlaced.
  std::int64_t placed_run = 0;
  int present_runs = 0;    // Runs on workers, including those that are being stopped.
  std::string checkpoint;  // Empty: none.
  Time retry_at;           // Earliest time of the next start.
  // End of the last run that has begun. A start that was refused does not change it.
  Time waiting_since;
  bool has_run = false;     // A run has begun, or may have begun under an earlier owner.
  std::string last_worker;  // Of the last run that this owner started or adopted.
};

struct StepStatus {
  std::vector<TaskStatus> tasks;
  int remaining_tasks = 0;
  Time ready_since;  // Valid once all steps that this step depends on are done.

  // Time since which `task`, one of `tasks`, could run and has no run.
  Time WaitingSince(const TaskStatus& task) const {
    return std::max(ready_since, task.waiting_since);
  }
};

struct OccurrenceStatus {
  std::vector<StepStatus> steps;
  int remaining_tasks = 0;
};

// A job that has not ended.
struct TrackedJob {
  std::shared_ptr<const SubmittedJob> job;
  std::vector<OccurrenceStatus> occurrences;
  JobState state = JobState::kQueued;
  Time tracked_since;
  bool long_running = false;
  Duration objective{};  // Time from acceptance to completion that earns full credit.
  // The job was accepted under an earlier owner, so its tasks may run on workers that have not
  // reported to this owner yet.
  bool may_run_unreported = false;

  const StepSpec& SpecOf(const TaskId& task) const {
    return job->spec.steps[static_cast<std::size_t>(task.step)];
  }
  StepStatus& StepOf(const TaskId& task) {
    return occurrences[static_cast<std::size_t>(task.occurrence)]
        .steps[static_cast<std::size_t>(task.step)];
  }
  // True for a long-running task that has run before. Its next start is a restart, which callers
  // are owed within a fixed time. The tasks of a gang start together only, and are no restarts.
  bool IsRestart(const TaskId& task) {
    const StepSpec& spec = SpecOf(task);
    if (!spec.long_running || spec.gang) return false;
    return StepOf(task).tasks[static_cast<std::size_t>(task.index)].has_run;
  }
};

// A step of one occurrence of a job whose dependencies are done, so that its tasks may start.
struct ReadyStep {
  TrackedJob* job = nullptr;
  int occurrence = 0;
  int step = 0;
};

// The execution state of the jobs of one owner: which tasks wait, run or are done. Decides when a
// job ends and which progress is stored. Not thread-safe.
class JobTracker {
 public:
  // `run_base` is lower than every run number of this owner and not lower than any run number of an
  // earlier owner.
  explicit JobTracker(std::int64_t run_base) : run_base_(run_base) {}

  // Adds a job, unless it is already tracked, has ended or was handed over. Returns true if it was
  // added.
  bool Add(const std::shared_ptr<const SubmittedJob>& job, const JobProgress& progress,
           bool may_run_unreported, Time now);

  // Ends a job as cancelled. Does nothing for a job that is not tracked.
  void Cancel(const JobKey& key);

  // True if this owner has decided on no run of the job, and has heard of none.
  static bool IsUntouched(const TrackedJob& job);

  // Leaves a job to another cell and forgets it. Precondition: the job is tracked and untouched,
  // and nothing of it runs on orders of an earlier owner.
  void HandOver(const JobKey& key, int cell);

  // Null for a job that is not tracked.
  TrackedJob* Find(const JobKey& key);
  // Null if no tracked job has such a task.
  TaskStatus* Find(const TaskRef& ref);

  // Run number for the next start of a task, or of all tasks of its gang.
  std::int64_t NextRun(TrackedJob& job, const TaskId& task) const;

  // Records that the task was placed on a worker with this run. Precondition: the task is waiting.
  void OnPlaced(const TaskRef& ref, std::int64_t run);

  // Records that a worker has begun a task of the job.
  void OnRunStarted(const JobKey& key);

  // Records the end of a run. An end that was recorded before has no effect.
  void OnRunEnded(const TaskRef& ref, std::int64_t run, RunEnd end, const std::string& checkpoint,
                  Time now);

  // Records the loss of a run whose end was not reported. The loss does not count as a failure. It
  // has no effect unless the task is placed with this run.
  void OnRunLost(const TaskRef& ref, std::int64_t run, bool begun, const std::string& checkpoint,
                 Time now);

  // Appends to `ready` the unfinished steps that are due and whose dependencies are done.
  void CollectReady(const Now& now, std::vector<ReadyStep>& ready);

  // Earliest time after `now` at which an occurrence becomes due, or nothing.
  std::optional<WallTime> NextDue(WallTime now) const;

  // Returns and clears the progress to be stored.
  std::vector<ProgressRecord> TakeChanges();
  // Returns and clears the number of failed tasks of each job whose failures did not fit into its
  // record. A later owner does not count these failures.
  std::map<JobKey, std::size_t> TakeOmittedFailures() {
    return std::exchange(omitted_failed_tasks_, {});
  }
  // Sets whether that has JobProgress::step_counts.
  void StoreTaskNumbers(bool numbered) { stores_task_numbers_ = numbered; }
  // Returns and clears the hand-overs to be stored.
  std::vector<HandOverRecord> TakeHandOvers() { return std::exchange(hand_overs_, {}); }
  bool has_changes() const {
    return !changed_jobs_.empty() || !final_changes_.empty() || !hand_overs_.empty();
  }

  // Forgets an ended or handed over job, after its records were dropped from the log.
  void Forget(const JobKey& key) { ended_jobs_.erase(key); }

  // Clears TrackedJob::may_run_unreported for all jobs.
  void OnAllRunsReported();

  std::unordered_map<JobKey, TrackedJob>& jobs() { return jobs_; }

 private:
  void FinishTask(TrackedJob& job, const TaskId& task, Time now);
  void RecordFailure(TrackedJob& job, const TaskRef& ref, std::int64_t run);
  void FinishGang(TrackedJob& job, const TaskId& task, Time now);
  int FailureCount(TrackedJob& job, const TaskId& task) const;
  void EndJob(TrackedJob& job, JobState state);
  JobProgress ProgressOf(const TrackedJob& job);
  void Restore(TrackedJob& job, const JobProgress& progress);

  std::int64_t run_base_;
  bool stores_task_numbers_ = false;
  std::unordered_map<JobKey, TrackedJob> jobs_;
  std::set<JobKey> changed_jobs_;
  std::vector<ProgressRecord> final_changes_;
  std::vector<HandOverRecord> hand_overs_;
  std::map<JobKey, std::size_t> omitted_failed_tasks_;
  // Ended and handed over jobs, since a submission may arrive again after that.
  std::unordered_set<JobKey> ended_jobs_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_JOB_TRACKER_H_
