#ifndef CACTUSSHELF_STANDINS_WORKER_MODEL_H_
#define CACTUSSHELF_STANDINS_WORKER_MODEL_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "cactusshelf/base/resources.h"
#include "cactusshelf/base/time.h"
#include "cactusshelf/placement/worker_messages.h"

namespace cactusshelf {

struct TaskEvent {
  enum class Kind { kStarted, kFinished, kFailed, kStopped, kLeaseExpired };

  WorkerTime time;
  Kind kind = Kind::kStarted;
  TaskAttempt task;
  CustomerId customer;
  // Epoch of the worker at the time of the event.
  Epoch epoch = 0;
};

struct WorkerCounts {
  // Starts refused because they would have committed the worker beyond its capacity.
  std::uint64_t overcommit_attempts = 0;
  // Starts refused because another attempt of the task was running on this worker.
  std::uint64_t double_starts = 0;
  // Commands refused because their epoch was not that of the worker.
  std::uint64_t wrong_epochs = 0;
  // Commands whose id was known, so that the first result was returned.
  std::uint64_t repeated_commands = 0;
  // Starts refused because the attempt had already been started or stopped.
  std::uint64_t used_attempts = 0;
};

// Tasks, leases, epoch and command results of one worker, which follows the protocol specified in
// worker_messages.h. The caller supplies the time, which must not decrease between calls.
class WorkerModel {
 public:
  WorkerModel(Resources capacity, std::uint64_t incarnation)
      : capacity_(capacity), incarnation_(incarnation) {}

  // Executes the command and stores its result. If the command id is known, returns the stored
  // result instead.
  CommandResult Execute(const WorkerCommand& command, WorkerTime now);

  // Updates the progress of all tasks and ends tasks whose lease expired or whose run time is over.
  void Advance(WorkerTime now);

  // Records the resource usage of all tasks. State() reports a measurement after `usage_lag`.
  void MeasureUsage(WorkerTime now);

  WorkerState State(WorkerTime now);

  // If true, every task fails as soon as it is started. Set by the setting "fail_everything".
  bool fail_tasks_on_start = false;
  // Resource usage of a task as a fraction of its declared size.
  double usage_factor = 0.6;
  Duration usage_lag = std::chrono::seconds(10);
  // Run time of tasks at full rate, by job class. Tasks of other classes run until stopped.
  std::map<std::string, Duration> run_times;
  // Service measurements to report with the state. Their time is that of the last change of the
  // setting "services".
  std::vector<ServiceMeasurement> services;

  const Resources& capacity() const { return capacity_; }
  Resources Committed() const;
  const std::vector<TaskEvent>& history() const { return history_; }
  const WorkerCounts& counts() const { return counts_; }

 private:
  struct Measurement {
    WorkerTime time;
    Resources usage;
  };
  struct Task {
    RunningTask report;
    WorkerTime lease_until;
    std::uint32_t rate_permille = 1000;
    // Work done up to `progress_time`, in milliseconds at full rate.
    std::int64_t progress_ms = 0;
    WorkerTime progress_time;
    std::deque<Measurement> measurements;
  };

  CommandStatus CheckHeader(const WorkerCommand& command);
  CommandStatus Apply(const InstallEpoch& command, WorkerTime now);
  CommandStatus Apply(const StartTask& command, WorkerTime now);
  CommandStatus Apply(const StopTask& command, WorkerTime now);
  CommandStatus Apply(const CheckpointTask& command, WorkerTime now);
  CommandStatus Apply(const ThrottleTask& command, WorkerTime now);
  CommandStatus Apply(const RenewLeases& command, WorkerTime now);
  CommandStatus Apply(const ReadState& command, WorkerTime now);

  Task* FindTask(const TaskAttempt& task);
  bool IsDone(const Task& task) const;
  void EndTask(const std::string& task, TaskEnd end, WorkerTime now);

  Resources capacity_;
  std::uint64_t incarnation_;
  Epoch epoch_ = 0;
  // By task id.
  std::map<std::string, Task> tasks_;
  std::vector<EndedTask> ended_;
  // Keys of all attempts that were started or stopped; these are never started again.
  std::set<std::string> used_attempts_;
  // By command id.
  std::map<std::string, CommandResult> results_;
  std::vector<TaskEvent> history_;
  WorkerCounts counts_;
};

}  // namespace cactusshelf

#endif  // CACTUSSHELF_STANDINS_WORKER_MODEL_H_
