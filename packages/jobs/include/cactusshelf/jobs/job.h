#ifndef CACTUSSHELF_JOBS_JOB_H_
#define CACTUSSHELF_JOBS_JOB_H_

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "cactusshelf/base/resources.h"
#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"

// Value types for the jobs that callers submit.
namespace cactusshelf::jobs {

// Name of a job, chosen by its caller.
using JobKey = StrongId<struct JobKeyTag>;

// A group of identical tasks that run on workers.
struct StepSpec {
  int count = 0;  // Number of tasks.
  Resources need;
  Duration estimate{};
  std::vector<int> depends_on;  // Earlier steps whose tasks must all end before a task starts.
  bool checkpointing = false;
  bool gang = false;           // The tasks make progress only while all of them run.
  bool same_rack = false;      // The gang runs faster if all its tasks are on one rack.
  bool speculative = false;    // Several runs of one task may execute at the same time.
  bool long_running = false;   // Runs until the job is cancelled.
  bool best_effort = false;    // Uses only processor time that other tasks leave idle.
  std::string required_label;  // Label that a worker must have; empty: none.
  std::string preferred_rack;  // Rack that holds the task's data.
  int max_per_worker = 0;      // 0: no limit.
  std::string image;
  Duration latency_target{};  // Tail latency objective of a task that serves requests; 0: none.
  int max_unavailable = 0;    // Number of tasks that may be interrupted at the same time.
};

struct JobSpec {
  std::string payload;  // Passed to the workers unchanged.
  std::vector<StepSpec> steps;
  int occurrences = 0;  // 0: the job runs once, immediately.
  WallTime first_due{};
  Duration period{};
};

// Configuration of a queue.
struct QueuePolicy {
  std::string name;
  std::string service;        // Service whose workers run the queue's tasks.
  int priority = 0;           // 0 is the most urgent.
  int max_attempts = 1;       // Failed runs of one task after which the job fails.
  double stretch = 1;         // Target duration of a job, as a multiple of its critical path.
  Duration latency_target{};  // Added to the target duration.
};

// A job as it is stored when it is accepted.
struct SubmittedJob {
  JobKey key;
  QueuePolicy queue;  // The policy in force when the job was accepted.
  JobSpec spec;
  WallTime accepted{};
  // In a copy that the cell stores to which the job was handed over: the cell of the job's name.
  std::optional<int> home_cell{};
};

struct TaskId {
  int occurrence = 0;
  int step = 0;
  int index = 0;
  friend auto operator<=>(const TaskId&, const TaskId&) = default;
};

// One task of one job.
struct TaskRef {
  JobKey job;
  TaskId task;
  friend auto operator<=>(const TaskRef&, const TaskRef&) = default;
};

// "<job>.<occurrence>.<step>.<index>".
std::string ToString(const TaskRef& ref);

// Inverse of ToString. Throws DecodeError.
TaskRef ParseTaskRef(std::string_view text);

enum class JobState : std::uint8_t { kQueued, kRunning, kCompleted, kFailed, kCancelled };

inline bool IsFinal(JobState state) { return state >= JobState::kCompleted; }

std::string_view ToString(JobState state);

// Stored execution state of one task.
struct TaskProgress {
  TaskId id;
  bool done = false;
  // Highest number of a run that ended. Not stored for a task that is done and has never failed,
  // and neither this nor failed_runs for one that is done if step_counts is set, since no further
  // run of it starts.
  std::int64_t last_run = 0;
  std::vector<std::int64_t> failed_runs;  // Unordered; run ends may be reported repeatedly.
  friend bool operator==(const TaskProgress&, const TaskProgress&) = default;
};

// Stored execution state of a job.
struct JobProgress {
  JobState state = JobState::kQueued;
  std::vector<TaskProgress> tasks;  // Only tasks with at least one ended run.
  // Number of tasks of each step. If set, the record has one bit for each task that is done, and
  // none for those before the first that is not; hosts of earlier versions can't read that.
  std::vector<int> step_counts = {};
  friend bool operator==(const JobProgress&, const JobProgress&) = default;
};

// Number of times that the steps run.
inline int OccurrenceCount(const JobSpec& spec) {
  return spec.occurrences > 0 ? spec.occurrences : 1;
}

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_JOB_H_
