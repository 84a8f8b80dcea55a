#ifndef CACTUSSHELF_JOBS_SRC_JOB_TRACKER_H_
#define CACTUSSHELF_JOBS_SRC_JOB_TRACKER_H_

#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "cactusshelf/jobs/job_log_view.h"
#include "cactusshelf/jobs/worker_calls.h"

namespace cactusshelf::jobs {

enum class TaskPhase : std::uint8_t { kWaiting, kPlaced, kDone };

struct TaskStatus {
  TaskPhase phase = TaskPhase::kWaiting;
  std::vector<std::int64_t> failed_runs;
  std::int64_t last_ended_run = 0;
  std::int64_t last_run = 0;  // Highest run known of.
  int runs_present = 0;       // On workers, including those that are being stopped.
  std::string checkpoint;     // Empty: none.
  Time retry_at;              // No start before.
};

struct StepStatus {
  std::vector<TaskStatus> tasks;
  int not_done = 0;
  Time ready_since;  // Meaningful once all steps it depends on are done.
};

struct OccurrenceStatus {
  std::vector<StepStatus> steps;
  int not_done = 0;  // Tasks.
};

// One job that is not over.
struct TrackedJob {
  std::shared_ptr<const SubmittedJob> job;
  std::vector<OccurrenceStatus> occurrences;
  JobState state = JobState::kQueued;
  Time seen;
  int placed = 0;  // Tasks.
  bool long_running = false;
  Duration objective{};  // From acceptance to the end, for full credit.
  // Accepted under an earlier owner: its tasks may run on workers that have not reported yet.
  bool may_run_unseen = false;

  const StepSpec& SpecOf(const TaskId& task) const {
    return job->spec.steps[static_cast<std::size_t>(task.step)];
  }
  StepStatus& StepOf(const TaskId& task) {
    return occurrences[static_cast<std::size_t>(task.occurrence)]
        .steps[static_cast<std::size_t>(task.step)];
  }
};

// Steps of one occurrence of a job whose tasks may start now.
struct ReadyStep {
  TrackedJob* job = nullptr;
  int occurrence = 0;
  int step = 0;
};

// The execution state of the jobs of one owner: which tasks wait, run or are done. Decides when a
// job is over and what is stored of it. Not thread-safe.
class JobTracker {
 public:
  // `run_base` is below every run of this owner and not below any run of an earlier one.
  explicit JobTracker(std::int64_t run_base) : run_base_(run_base) {}

  // Adds a job, unless it is tracked or over.
  void Add(const std::shared_ptr<const SubmittedJob>& job, const JobProgress& progress,
           bool may_run_unseen, Time now);

  // Ends a job as cancelled. Does nothing for a job that is not tracked.
  void Cancel(const JobKey& key);

  // Null for a job that is not tracked.
  TrackedJob* Find(const JobKey& key);
  // Null if there is no such task in a tracked job.
  TaskStatus* Find(const TaskRef& ref);

  // The run of the next start of a task, or of all tasks of a gang.
  std::int64_t NextRun(TrackedJob& job, const TaskId& task) const;

  // A start of the task was decided on. Precondition: it waits.
  void OnPlaced(const TaskRef& ref, std::int64_t run);

  // The worker has begun the task.
  void OnBegun(const JobKey& key);

  // A run ended. Ends that were seen before change nothing.
  void OnEnd(const TaskRef& ref, std::int64_t run, RunEnd end, const std::string& checkpoint,
             Time now);

  // A run of which no end will be listed is gone. It does not count as a failure.
  void OnLost(const TaskRef& ref, const std::string& checkpoint, Time now);

  // Appends the steps with waiting tasks that may start at `now`.
  void CollectReady(const Now& now, std::vector<ReadyStep>& ready);

  // Earliest time from now on at which an occurrence becomes due.
  std::optional<WallTime> NextDue(WallTime now) const;

  // What is to be stored, once.
  std::vector<ProgressRecord> TakeChanges();
  bool has_changes() const { return !changed_.empty() || !final_changes_.empty(); }

  // The job's records were dropped.
  void Forget(const JobKey& key) { over_.erase(key); }

  // Lifts TrackedJob::may_run_unseen of all jobs.
  void AllRunsSeen();

  std::unordered_map<JobKey, TrackedJob>& jobs() { return jobs_; }

 private:
  void FinishTask(TrackedJob& job, const TaskId& task, Time now);
  void CountFailure(TrackedJob& job, const TaskRef& ref, std::int64_t run);
  void FinishGang(TrackedJob& job, const TaskId& task, Time now);
  int FailuresOf(TrackedJob& job, const TaskId& task) const;
  void End(TrackedJob& job, JobState state);
  JobProgress ProgressOf(const TrackedJob& job) const;
  void Restore(TrackedJob& job, const JobProgress& progress);

  std::int64_t run_base_;
  std::unordered_map<JobKey, TrackedJob> jobs_;
  std::set<JobKey> changed_;
  std::vector<ProgressRecord> final_changes_;
  // A submission may arrive again after its job is over.
  std::unordered_set<JobKey> over_;
};

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_SRC_JOB_TRACKER_H_
