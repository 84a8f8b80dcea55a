#ifndef CACTUSSHELF_JOBS_JOB_H_
#define CACTUSSHELF_JOBS_JOB_H_

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "cactusshelf/base/resources.h"
#include "cactusshelf/base/strong_id.h"
#include "cactusshelf/base/time.h"

// Jobs that callers submit: values without behaviour of their own.
namespace cactusshelf::jobs {

// Name of a job, chosen by its caller.
using JobKey = StrongId<struct JobKeyTag>;

// Tasks of one kind that run on workers.
struct StepSpec {
  int count = 0;  // Tasks.
  Resources need;
  Duration estimate{};
  std::vector<int> depends_on;  // Earlier steps, all of whose tasks end before any task starts.
  bool checkpointing = false;
  bool gang = false;          // The tasks make progress only while all of them run.
  bool same_rack = false;     // A gang that is faster on one rack.
  bool speculative = false;   // Several runs of one task are allowed.
  bool long_running = false;  // Runs until the job is cancelled.
  bool best_effort = false;   // Uses only processors that other tasks leave idle.
  std::string required_label;
  std::string preferred_rack;  // The task's data is there.
  int max_per_worker = 0;      // 0: no limit.
  std::string image;
  Duration latency_target{};  // Of a long-running task that serves requests; 0: none.
  int max_unavailable = 0;    // Tasks that may be interrupted at a time.
};

struct JobSpec {
  std::string payload;  // Passed on to workers.
  std::vector<StepSpec> steps;
  int occurrences = 0;  // 0: the job runs once, at once.
  WallTime first_due{};
  Duration period{};
};

// What the configuration says of a queue.
struct QueuePolicy {
  std::string name;
  std::string service;   // Pool of workers that run the queue's tasks.
  int priority = 0;      // 0 is the most urgent.
  int max_attempts = 1;  // Failed runs of one task after which its job has failed.
  double stretch = 1;    // Objective for a job's duration, relative to its longest chain of tasks.
  Duration latency_target{};  // Added to the objective.
};

// A job as it is stored when it is accepted.
struct SubmittedJob {
  JobKey key;
  QueuePolicy queue;  // As in force at acceptance.
  JobSpec spec;
  WallTime accepted{};
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

// What is stored of one task.
struct TaskProgress {
  TaskId id;
  bool done = false;
  std::int64_t last_run = 0;              // Highest run that ended.
  std::vector<std::int64_t> failed_runs;  // Ends may be listed again, and in any order.
  friend bool operator==(const TaskProgress&, const TaskProgress&) = default;
};

// What is stored of a job's execution.
struct JobProgress {
  JobState state = JobState::kQueued;
  std::vector<TaskProgress> tasks;  // Without those that have no ended run.
  friend bool operator==(const JobProgress&, const JobProgress&) = default;
};

// Number of times the steps run.
inline int OccurrenceCount(const JobSpec& spec) {
  return spec.occurrences > 0 ? spec.occurrences : 1;
}

}  // namespace cactusshelf::jobs

#endif  // CACTUSSHELF_JOBS_JOB_H_
